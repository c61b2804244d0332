// Choice of a replica. See route_choice.h.
#include "request/route_choice.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

std::optional<RoutePolicy> ParseRoutePolicy(std::string_view name)
{
    if (name == "cost")
        return RoutePolicy_Cost;
    if (name == "random")
        return RoutePolicy_Random;
    if (name == "round-robin")
        return RoutePolicy_RoundRobin;
    if (name == "least-requests")
        return RoutePolicy_LeastRequests;
    return std::nullopt;
}

double RouteCost(const ReplicaView& v, const RouteConfig& cfg)
{
    const double own    = v.m_InFlight;
    const double others = std::max(0.0, v.m_Reported - own) * std::exp(-ToSeconds(v.m_ReportAge) / cfg.m_ReportAgeScaleS);
    double       cost   = own + others + cfg.m_DistanceCost * v.m_Distance + cfg.m_FailureCost * v.m_Failures;
    if (v.m_UsableFor < cfg.m_SlowStart)
        cost += cfg.m_SlowStartCost * (1.0 - ToSeconds(v.m_UsableFor) / ToSeconds(cfg.m_SlowStart));
    if (v.m_Warm)
        cost -= cfg.m_WarmBonus;
    return cost;
}

static size_t Pick(Random& random, size_t n)
{
    return static_cast<size_t>(random() % n);
}

static size_t LeastRequests(std::span<const ReplicaView> views, Random& random)
{
    size_t       best  = Pick(random, views.size());
    const size_t start = best;
    for (size_t k = 1; k < views.size(); k++)
    {
        const size_t i = (start + k) % views.size();
        if (views[i].m_InFlight < views[best].m_InFlight)
            best = i;
    }
    return best;
}

std::optional<size_t> ChooseReplica(std::span<const ReplicaView> views, const RouteConfig& cfg, Random& random, uint64_t request_count)
{
    if (views.empty())
        return std::nullopt;
    switch (cfg.m_Policy)
    {
    case RoutePolicy_Random:
        return Pick(random, views.size());
    case RoutePolicy_RoundRobin:
        return static_cast<size_t>(request_count % views.size());
    case RoutePolicy_LeastRequests:
        return LeastRequests(views, random);
    case RoutePolicy_Cost:
        break;
    }
    size_t     best     = Pick(random, views.size());
    const auto consider = [&](size_t i)
    {
        if (RouteCost(views[i], cfg) < RouteCost(views[best], cfg))
            best = i;
    };
    // Each further candidate differs from the one before, so that two choices are two replicas.
    size_t last = best;
    for (unsigned k = 1; k < cfg.m_Choices && views.size() > 1; k++)
    {
        last = (last + 1 + Pick(random, views.size() - 1)) % views.size();
        consider(last);
    }
    const size_t start = Pick(random, views.size());
    for (size_t k = 0; k < views.size(); k++)
        if (views[(start + k) % views.size()].m_Warm)
            consider((start + k) % views.size());
    return best;
}

} // namespace aldervale
