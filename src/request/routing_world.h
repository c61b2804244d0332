// aldervale: what a router believes of the world, from its platform's tables and from agents' reports
//
// Usage:
//   RoutingWorld world;
//   NoteNamed(world, "model-a", 7, Now());
//   ForEachServer(world, [](const Service& s, const ServerEntry& e) { ... });

#pragma once
#include "process/server_directory.h"
#include "version/route_table.h"

namespace aldervale
{

// Versions of a model's weights and when this process learned of each. A version's deadline stays when a newer one is named.
using NamedVersions = std::map<uint64_t, TimePoint>;

struct RoutingWorld // touched on one thread
{
    RouteTablePtr                        m_Routes;               // null until the first declarations are known; its version only rises
    TimePoint                            m_RoutesAt{};           // when they were learned
    ServerDirectory                      m_Servers;              //
    bool                                 m_ServersKnown = false; // the list was read once
    std::map<std::string, NamedVersions> m_Weights;              // by model; the newest few
};

// A version was named, as learned at `known_at`; older ones than the newest known are ignored. True: it was news.
bool NoteNamed(RoutingWorld& world, const std::string& model, uint64_t version, TimePoint known_at);

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
