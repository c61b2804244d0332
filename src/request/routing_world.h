// aldervale: what a router believes of the world, from its platform's tables and from agents' reports
//
// Usage:
//   RoutingState world;
//   RecordTargetVersion(world, "model-a", 7, {Now(), true});
//   ForEachServer(world, [](const Service& s, const ServerEntry& e) { ... });

#pragma once
#include "common/load_report.h"
#include "process/server_directory.h"
#include "version/route_table.h"
#include <span>

namespace aldervale
{

constexpr auto kConfirmationMaxAge = milliseconds(1500); // without a confirmation; while all goes well one is 1.2 s old at most

// When a version of weights was named, as this process believes.
struct DeclarationTime
{
    TimePoint m_At{};             // not before the true time, if m_Observed
    bool      m_Observed = false; // somebody was there; else m_At is assumed, for a version named before this process started
};

// Of a version that was named at an unknown time: older weights get only a short while. `deadline`: from declared until nobody may use them.
DeclarationTime AssumeDeclarationTime(TimePoint now, Duration deadline);

// By version. A version's deadline stays when a newer one is named.
using DeclaredVersions = std::map<uint64_t, DeclarationTime>;

// How sure a router is that its declarations are the newest. Row versions are the store's.
struct DeclarationsFreshness
{
    uint64_t    m_HeldRow   = 0; // newest row that this router holds
    uint64_t    m_NewestRow = 0; // newest row that some router has told of; over m_HeldRow: this one is behind, and fetching it
    TimePoint   m_ConfirmedAt{}; // when the store last said, to this router or to one that told it, that m_HeldRow is the newest
    std::string m_Source;        // who gave m_HeldRow: "store", or the address of a router
};

struct RoutingState // touched on one thread
{
    RouteTablePtr                           m_Routes;                 // null until the first declarations are known; its version only rises
    TimePoint                               m_RoutesReceivedAt{};     // when they were learned
    DeclarationsFreshness                   m_Freshness;              // of m_Routes
    ServerDirectory                         m_Servers;                //
    bool                                    m_ServerListRead = false; // the list was read once
    std::map<std::string, DeclaredVersions> m_TargetVersions;         // by model; the newest few
};

// A version was named. A sure time replaces an assumed one, and an earlier sure time a later one: who learned of it first is nearest to the
// truth. An assumed time of a version older than the newest known is ignored. True: it is the newest, and news.
bool RecordTargetVersion(RoutingState& world, const std::string& model, uint64_t version, DeclarationTime declared);

// The same for what a model server's agent tells: it may reach the store when this process doesn't, and was there when this one was not.
void RecordReportedVersions(RoutingState& world, const std::string& model, std::span<const NamedAge> named, Duration deadline, TimePoint now);

// A route or key that isn't declared, as far as this router knows, may have been declared since: a newer row was heard of, or nobody has
// confirmed for kConfirmationMaxAge that what is held is the newest. False where nobody follows the declarations (m_HeldRow 0).
bool DeclarationsMayBeStale(const DeclarationsFreshness& freshness, TimePoint now);

// Calls fn(service, entry) for each server of each declared service, draining ones too.
template <class FnT> void ForEachServer(const RoutingState& world, FnT fn)
{
    if (!world.m_Routes)
        return;
    for (const Service& s : world.m_Routes->Spec().m_Services)
        for (const ServerEntry* e : world.m_Servers.All(s.m_Name))
            fn(s, *e);
}

} // namespace aldervale
