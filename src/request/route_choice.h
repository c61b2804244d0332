// aldervale: which replica answers a request
//
// Pure. Two random candidates, plus one that is believed to hold the prompt's prefix, are compared by a cost: what this router has in
// flight there, what others have by the last report discounted by its age, distance, recent failures, a slow start after becoming
// usable, less a bonus for a warm prefix. Cache events are late and gappy, so warmth is a hint that load can outweigh.
//
// Usage:
//   std::optional<size_t> i = ChooseReplica(views, {.m_Policy = RoutePolicy_Cost}, random);
//
// Baselines kept for measurements: RoutePolicy_Random, RoutePolicy_RoundRobin, RoutePolicy_LeastRequests.

#pragma once
#include "common/clock.h"
#include "common/hash.h"
#include <optional>
#include <span>

namespace aldervale
{

enum RoutePolicy
{
    RoutePolicy_Cost,
    RoutePolicy_Random,
    RoutePolicy_RoundRobin,
    RoutePolicy_LeastRequests,
};

std::optional<RoutePolicy> ParseRoutePolicy(std::string_view name); // "cost", "random", "round-robin", "least-requests"

struct ReplicaView // one usable replica as this router sees it now
{
    unsigned m_Distance = 0;              // 0 same data centre, 1 same region, 2 elsewhere
    unsigned m_InFlight = 0;              // requests of this router
    double   m_Reported = 0;              // running and queued there by its last report, of all routers
    Duration m_ReportAge{};               // how old that report is
    bool     m_Warm      = false;         // believed to hold the prompt's prefix
    double   m_Failures  = 0;             // recent failures, decayed
    Duration m_UsableFor = seconds(3600); // since it became usable
};

struct RouteConfig
{
    RoutePolicy m_Policy          = RoutePolicy_Cost; // [settings route.policy]
    unsigned    m_Choices         = 2;                // random candidates [settings route.choices]
    double      m_ReportAgeScaleS = 0.5;              // seconds after which a report counts 1/e
    double      m_DistanceCost    = 2.0;              // requests' worth per step of distance
    double      m_WarmBonus       = 6.0;              // requests' worth of a warm prefix
    double      m_FailureCost     = 8.0;              // per recent failure
    Duration    m_SlowStart       = seconds(3);       // a new replica's cost falls to normal over this time
    double      m_SlowStartCost   = 8.0;              // at its beginning
};

double                RouteCost(const ReplicaView& v, const RouteConfig& cfg);
std::optional<size_t> ChooseReplica(std::span<const ReplicaView> views, const RouteConfig& cfg, Random& random,
                                    uint64_t request_count); // request_count: counts requests

} // namespace aldervale
