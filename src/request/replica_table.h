// aldervale: what a router knows of each backend server, from heartbeats and its own requests
//
// Thread-safe. The table is the only place where a router looks when it chooses a box: membership says whether a box may get new work,
// the table says which version it serves, how loaded it is, and which prefixes it is believed to have cached.
//
// Usage:
//   table.OnHeartbeat(link, hb, now);
//   std::optional<Chosen> c = table.Choose(query, random, now);      // counts as in flight until OnEnd()
//   table.OnEnd(c->m_Box, outcome, now);

#pragma once
#include "connection/link.h"
#include "process/resources.h"
#include "request/route_choice.h"
#include <set>

namespace aldervale
{

struct ReplicaQuery
{
    std::set<std::string> m_Digests;    // model services: versions of the model, whichever a box serves just now; empty: any
    std::string           m_Adapter;    // adapter digest that must be loaded; empty: none
    std::set<std::string> m_Boxes;      // plain services: boxes to choose from; empty: any
    std::set<std::string> m_Tried;      // not again
    uint64_t              m_Prefix = 0; // hash of the prompt's prefix; 0: none
};

struct Chosen
{
    std::string m_Digest; // manifest of the version that the box serves; empty for plain services
    std::string m_Box;    //
    LinkPtr     m_Link;   //
};

using UsableFunction = std::function<bool(const std::string&)>;

class ReplicaTable
{
public:
    ReplicaTable(RouteConfig cfg, std::string data_centre, uint64_t seed) : m_Config(cfg), m_DataCentre(std::move(data_centre)), m_Random(seed) {}

    void OnLinkUp(const LinkPtr& link);
    void OnLinkDown(const LinkPtr& link);
    void OnHeartbeat(const LinkPtr& link, const wire::Heartbeat& hb, TimePoint now);

    std::optional<Chosen> Choose(const ReplicaQuery& q, const ConfigSnapshot& c, const UsableFunction& usable, TimePoint now);
    std::optional<Chosen> Take(const std::string& box); // a given box, whatever its state; counts as in flight
    void                  OnEnd(const std::string& box, bool failed, TimePoint now);
    size_t                CountUsable(const ReplicaQuery& q, const UsableFunction& usable) const;
    json::array           Describe(TimePoint now) const;

private:
    struct Replica
    {
        LinkPtr                       m_Link;                // newest; null when lost
        std::string                   m_DataCentre;          //
        std::string                   m_Active;              // slice digest it serves
        bool                          m_GroupClosed = false; // another box of its replica is in doubt
        bool                          m_Leaving     = false; //
        std::set<std::string>         m_Adapters;            // digests loaded
        double                        m_Reported = 0;        // running and queued by its last report
        TimePoint                     m_ReportAt{};          // when that was true
        std::set<uint64_t>            m_Warm;                // prefixes by its last report
        std::map<uint64_t, TimePoint> m_SentPrefixes;        // prefixes that this router sent there lately
        unsigned                      m_InFlight = 0;        // of this router
        double                        m_Failures = 0;        // decays by half every kFailureHalfLifeS
        TimePoint                     m_FailureAt{};         //
        TimePoint                     m_UsableSince{};       // when the active version changed last
        json::array                   m_Versions;            // for Describe()
        json::object                  m_State;               // for Describe()
    };

    bool          Matches(const std::string& name, const Replica& r, const ReplicaQuery& q) const;
    ReplicaView   ViewOf(const Replica& r, const ReplicaQuery& q, const std::string& own_region, const ConfigSnapshot& c, TimePoint now) const;
    static double DecayedFailures(const Replica& r, TimePoint now);

    const RouteConfig m_Config;     //
    const std::string m_DataCentre; // own

    mutable std::mutex             m_Mutex;           // guards the members below
    std::map<std::string, Replica> m_Replicas;        // by box
    Random                         m_Random;          //
    uint64_t                       m_ChoiceCount = 0; // requests chosen for
};

} // namespace aldervale
