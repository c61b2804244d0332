// aldervale: what a router believes of the world, from its platform's tables and from agents' reports
//
// Usage:
//   RoutingWorld world;
//   NoteNamed(world, "model-a", 7, {Now(), true});
//   ForEachServer(world, [](const Service& s, const ServerEntry& e) { ... });

#pragma once
#include "common/load_report.h"
#include "process/server_directory.h"
#include "version/route_table.h"
#include <span>

namespace aldervale
{

constexpr auto kDoubtedAfter = milliseconds(1500); // without a confirmation; while all goes well one is 1.2 s old at most

// When a version of weights was named, as this process believes.
struct Naming
{
    TimePoint m_At{};         // not before the true time, if m_Sure
    bool      m_Sure = false; // somebody was there; else m_At is assumed, for a version named before this process started
};

// Of a version that was named at an unknown time: older weights get only a short while. `deadline`: from naming until nobody may use them.
Naming AssumedNaming(TimePoint now, Duration deadline);

// By version. A version's deadline stays when a newer one is named.
using NamedVersions = std::map<uint64_t, Naming>;

// How sure a router is that its declarations are the newest. Row versions are the store's.
struct DeclarationsBelief
{
    uint64_t    m_Held  = 0;   // newest row that this router holds
    uint64_t    m_Heard = 0;   // newest row that some router has told of; over m_Held: this one is behind, and fetching it
    TimePoint   m_CheckedAt{}; // when the store last said, to this router or to one that told it, that m_Held is the newest
    std::string m_From;        // who gave m_Held: "store", or the address of a router
};

struct RoutingWorld // touched on one thread
{
    RouteTablePtr                        m_Routes;               // null until the first declarations are known; its version only rises
    TimePoint                            m_RoutesAt{};           // when they were learned
    DeclarationsBelief                   m_Belief;               // of m_Routes
    ServerDirectory                      m_Servers;              //
    bool                                 m_ServersKnown = false; // the list was read once
    std::map<std::string, NamedVersions> m_Weights;              // by model; the newest few
};

// A version was named. A sure time replaces an assumed one, and an earlier sure time a later one: who learned of it first is nearest to the
// truth. An assumed time of a version older than the newest known is ignored. True: it is the newest, and news.
bool NoteNamed(RoutingWorld& world, const std::string& model, uint64_t version, Naming naming);

// The same for what a model server's agent tells: it may reach the store when this process doesn't, and was there when this one was not.
void NoteReported(RoutingWorld& world, const std::string& model, std::span<const NamedAge> named, Duration deadline, TimePoint now);

// A route or key that isn't declared, as far as this router knows, may have been declared since: a newer row was heard of, or nobody has
// confirmed for kDoubtedAfter that what is held is the newest. False where nobody follows the declarations (m_Held 0).
bool DeclarationsDoubted(const DeclarationsBelief& belief, TimePoint now);

// Calls fn(service, entry) for each server of each declared service, draining ones too.
template <class FnT> void ForEachServer(const RoutingWorld& world, FnT fn)
{
    if (!world.m_Routes)
        return;
    for (const Service& s : world.m_Routes->Spec().m_Services)
        for (const ServerEntry* e : world.m_Servers.All(s.m_Name))
            fn(s, *e);
}

} // namespace aldervale
