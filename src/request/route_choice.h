// aldervale: chooses the replica that answers a request
//
// Pure logic. Compares two random candidates and those that may have the prompt's prefix cached, by a cost: this router's requests in flight,
// requests of others as last reported (discounted by the report's age), distance, recent failures, and a slow start after becoming usable, less
// a bonus for a cached ("warm") prefix. Cache events arrive late and with gaps, so a warm prefix is a hint that load can outweigh.
//
// Usage:
//   std::optional<size_t> i = ChooseReplica(views, {.m_Policy = RoutePolicy_Cost}, random);
//
// Policies for comparison in measurements: RoutePolicy_Random, RoutePolicy_RoundRobin, RoutePolicy_LeastRequests.

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

struct ReplicaView // state of one usable replica, as this router has it
{
    unsigned m_Distance = 0;              // 0 same data centre, 1 same region, 2 another region
    unsigned m_InFlight = 0;              // requests of this router that are in flight
    double   m_Reported = 0;              // requests of all routers running and queued there, as last reported
    Duration m_ReportAge{};               // age of that report
    bool     m_Warm      = false;         // its cache probably holds the prompt's prefix
    double   m_Failures  = 0;             // recent failures, with exponential decay
    Duration m_UsableFor = seconds(3600); // time since it became usable
};

struct RouteConfig
{
    RoutePolicy m_Policy          = RoutePolicy_Cost; // [settings route.policy]
    unsigned    m_Choices         = 2;                // random candidates [settings route.choices]
    double      m_ReportAgeScaleS = 0.5;              // seconds after which a report counts 1/e
    double      m_DistanceCost    = 2.0;              // cost per step of distance, in requests in flight
    double      m_WarmBonus       = 6.0;              // cost reduction for a warm prefix, in requests in flight
    double      m_FailureCost     = 8.0;              // cost per recent failure, in requests in flight
    Duration    m_SlowStart       = seconds(3);       // time over which the extra cost of a new replica falls to zero
    double      m_SlowStartCost   = 8.0;              // extra cost at its beginning, in requests in flight
};

double                RouteCost(const ReplicaView& v, const RouteConfig& cfg);
std::optional<size_t> ChooseReplica(std::span<const ReplicaView> views, const RouteConfig& cfg, Random& random,
                                    uint64_t request_count); // request_count: of this router so far, for round robin

} // namespace aldervale
