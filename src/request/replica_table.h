// aldervale: state of each backend server, from heartbeats and from this router's own requests
//
// Thread-safe. A router chooses a box by this table alone, plus the membership list that says whether a box may get new work. The table has the
// version that a box serves, its load, and which prefixes its cache probably holds.
//
// Usage:
//   table.OnHeartbeat(link, hb, now);
//   std::optional<Chosen> c = table.Choose(query, config, usable, now);    // counts as in flight until OnEnd()
//   table.OnEnd(c->m_Box, failed, now);

#pragma once
#include "connection/link.h"
#include "process/resources.h"
#include "request/route_choice.h"
#include <set>

namespace aldervale
{

struct ReplicaQuery
{
    std::set<std::string> m_Digests;    // model services: accepted versions of the model; a box that serves any of them matches; empty: any
    std::string           m_Adapter;    // digest of an adapter that must be loaded; empty: none
    std::set<std::string> m_Boxes;      // plain services: boxes to choose from; empty: any
    std::set<std::string> m_Tried;      // boxes to leave out: the request was sent to them already
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
    std::optional<Chosen> Take(const std::string& box); // a given box, even if it is not usable; counts as in flight
    void                  OnEnd(const std::string& box, bool failed, TimePoint now);
    size_t                CountUsable(const ReplicaQuery& q, const UsableFunction& usable) const;
    json::array           Describe(TimePoint now) const;

private:
    struct Replica
    {
        LinkPtr                       m_Link;                // newest link to the box; null: disconnected
        std::string                   m_DataCentre;          //
        std::string                   m_Active;              // digest of the slice that it serves
        bool                          m_GroupClosed = false; // another box of its replica may be down: takes no requests
        bool                          m_Leaving     = false; //
        std::set<std::string>         m_Adapters;            // digests of loaded adapters
        double                        m_Reported = 0;        // requests running and queued, as last reported
        TimePoint                     m_ReportAt{};          // time that m_Reported refers to
        std::set<uint64_t>            m_Warm;                // hashes of cached prefixes, as last reported
        std::map<uint64_t, TimePoint> m_SentPrefixes;        // hashes of prefixes that this router sent there lately, with the time
        unsigned                      m_InFlight = 0;        // requests of this router
        double                        m_Failures = 0;        // recent failures at m_FailureAt; half-life kFailureHalfLifeS
        TimePoint                     m_FailureAt{};         //
        TimePoint                     m_UsableSince{};       // last change of the active version
        json::array                   m_Versions;            // for Describe()
        json::object                  m_State;               // for Describe()
    };

    bool          Matches(const std::string& name, const Replica& r, const ReplicaQuery& q) const;
    ReplicaView   ViewOf(const Replica& r, const ReplicaQuery& q, const std::string& own_region, const ConfigSnapshot& c, TimePoint now) const;
    static double DecayedFailures(const Replica& r, TimePoint now);

    const RouteConfig m_Config;     //
    const std::string m_DataCentre; // of this router

    mutable std::mutex             m_Mutex;           // guards the members below
    std::map<std::string, Replica> m_Replicas;        // by box
    Random                         m_Random;          //
    uint64_t                       m_ChoiceCount = 0; // calls of Choose()
};

} // namespace aldervale
