// Learned capacity of a model server. See server_capacity.h.
#include "request/server_capacity.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

namespace
{

constexpr double   kPredictionErrorMax = 1.5;  // ratio of the true time to the predicted one; usual errors are 30 ms of 100 to 200
constexpr double   kSlowdownStep       = 0.1;  // weight of the newest outcome in the slowdown
constexpr double   kSlowdownMax        = 10;   // of one outcome: a frozen server says no more
constexpr unsigned kRiseDoublings      = 2;    // of the step by which a bound rises, while each rise yields more
constexpr double   kRouterForgotten    = 0.01; // weight at which a router's entry is removed
constexpr double   kLevelsShare        = 0.25; // of a bound: the levels just up to it, whose answers show its yield

} // namespace

bool CountsAsLate(Duration time_to_first, Duration predicted, Duration objective, Duration longest_pause, Duration max_pause)
{
    const bool begun_late = time_to_first > objective && ToSeconds(time_to_first) > kPredictionErrorMax * ToSeconds(predicted);
    return begun_late || longest_pause > max_pause;
}

void ServerCapacity::OnSlots(unsigned slots)
{
    m_Slots = std::min(slots, kLevelsMax);
    if (m_Bound >= m_Slots)
        m_Bound = 0;
}

void ServerCapacity::Clear()
{
    const unsigned slots = m_Slots;
    *this                = ServerCapacity(m_Config);
    m_Slots              = slots;
}

void ServerCapacity::Decay(TimePoint now)
{
    const double factor = m_LastAt == TimePoint{} ? 1 : std::exp(-ToSeconds(now - m_LastAt) / ToSeconds(m_Config.m_Memory));
    for (Level& l : m_Levels)
        for (double* sum : {&l.m_Weight, &l.m_Late, &l.m_LogRatio, &l.m_Timed, &l.m_LogMs})
            *sum *= factor;
    for (auto& [router, weight] : m_RouterWeight)
        weight *= factor;
    std::erase_if(m_RouterWeight, [](const auto& r) { return r.second < kRouterForgotten; });
    m_Weight *= factor;
}

void ServerCapacity::OnOutcome(const CapacitySample& sample, TimePoint now)
{
    if (!IsKnown(now))
        Clear();
    Decay(now);
    m_FirstAt         = m_FirstAt == TimePoint{} ? now : m_FirstAt;
    m_LastAt          = now;
    double& of_router = m_RouterWeight[sample.m_Router];
    if (of_router + 1 > std::max(m_Config.m_RouterMin, m_Weight * m_Config.m_RouterShareMax))
        return;
    of_router += 1;
    m_Weight += 1;
    const unsigned level = std::min(sample.m_InFlight, kLevelsMax - 1) + 1;
    Level&         l     = m_Levels[level];
    l.m_Weight += 1;
    l.m_Late += sample.m_Late ? 1 : 0;
    l.m_LastAt = now;
    if (sample.m_EventInterval > Duration::zero())
    {
        l.m_Timed += 1;
        l.m_LogMs += std::log(ToMsReal(sample.m_EventInterval));
    }
    if (sample.m_TimeToFirst > Duration::zero() && sample.m_PredictedFirst > Duration::zero())
    {
        const double ratio  = ToSeconds(sample.m_TimeToFirst) / ToSeconds(sample.m_PredictedFirst);
        const double logged = std::log(std::clamp(ratio, 1 / kSlowdownMax, kSlowdownMax));
        l.m_LogRatio += logged;
        m_LogSlowdown += kSlowdownStep * (logged - m_LogSlowdown);
    }
    l.m_Known = l.m_Weight;
    Adjust(now);
}

// Sums that have decayed are as good for means as before, so a yield stays known until m_RetryHigher after the last outcome.
double ServerCapacity::YieldOf(unsigned bound, TimePoint now) const
{
    const Level sum = Recent(bound, now);
    if (sum.m_Known < m_Config.m_EvidenceMin || sum.m_Timed <= 0)
        return 0;
    const double value = 1 - (1 - m_Config.m_LateValue) * sum.m_Late / sum.m_Weight;
    return bound * value / std::exp(sum.m_LogMs / sum.m_Timed);
}

bool ServerCapacity::IsSlow(unsigned bound, TimePoint now) const
{
    const Level sum = Recent(bound, now);
    return sum.m_Known >= m_Config.m_SlowEvidenceMin && sum.m_LogRatio > std::log(m_Config.m_SlowdownMin) * sum.m_Weight;
}

bool ServerCapacity::WasInForce(unsigned bound, TimePoint now) const
{
    return m_Levels[bound].m_InForceAt != TimePoint{} && now - m_Levels[bound].m_InForceAt < m_Config.m_RetryLower;
}

ServerCapacity::Level ServerCapacity::Recent(unsigned bound, TimePoint now) const
{
    Level sum;
    for (unsigned n = FirstLevel(bound); n <= bound; n++)
    {
        const Level& l = m_Levels[n];
        if (l.m_LastAt == TimePoint{} || now - l.m_LastAt > m_Config.m_RetryHigher)
            continue;
        sum.m_Weight += l.m_Weight;
        sum.m_Late += l.m_Late;
        sum.m_LogRatio += l.m_LogRatio;
        sum.m_Timed += l.m_Timed;
        sum.m_LogMs += l.m_LogMs;
        sum.m_Known += l.m_Known;
    }
    return sum;
}

unsigned ServerCapacity::Least() const
{
    return std::max(1u, static_cast<unsigned>(std::ceil(m_Slots * m_Config.m_LateValue)));
}

unsigned ServerCapacity::FirstLevel(unsigned bound)
{
    return bound + 1 - std::max(1u, static_cast<unsigned>(bound * kLevelsShare));
}

// Answers that were chosen at these levels while more requests were allowed ran among those, so they don't show what a lower bound yields.
void ServerCapacity::Change(unsigned bound, TimePoint now)
{
    const bool known = WasInForce(bound, now);
    for (unsigned n = FirstLevel(bound); n <= bound && !known; n++)
    {
        const TimePoint in_force = m_Levels[n].m_InForceAt;
        m_Levels[n]              = {};
        m_Levels[n].m_InForceAt  = in_force;
    }
    m_RisesInARow = m_Bound > 0 && bound > m_Bound ? m_RisesInARow + 1 : 0;
    m_Bound       = bound >= m_Slots ? 0 : bound;
    m_ChangedAt   = now;
}

unsigned ServerCapacity::BestKnown(unsigned bound, TimePoint now) const
{
    unsigned best       = bound;
    double   best_yield = YieldOf(bound, now);
    for (unsigned n = Least(); n <= m_Slots; n++)
    {
        const double yield = WasInForce(n, now) ? YieldOf(n, now) : 0;
        if (yield > best_yield * (best == bound ? 1 + m_Config.m_GainMin : 1))
        {
            best       = n;
            best_yield = yield;
        }
    }
    return best;
}

void ServerCapacity::Adjust(TimePoint now)
{
    if (m_Slots == 0 || now - m_FirstAt < m_Config.m_FirstAfter || m_Weight < 2 * m_Config.m_EvidenceMin)
        return;
    const unsigned bound        = m_Bound > 0 ? m_Bound : m_Slots;
    m_Levels[bound].m_InForceAt = now;
    if (now - m_ChangedAt < m_Config.m_ChangeInterval || YieldOf(bound, now) <= 0)
        return;
    const unsigned best   = BestKnown(bound, now);
    const unsigned half   = std::max(Least(), (bound + 1) / 2);
    const unsigned higher = std::min(bound + (1U << std::min(m_RisesInARow, kRiseDoublings)), m_Slots);
    if (best != bound)
        Change(best, now);
    else if (half < bound && IsSlow(bound, now) && !WasInForce(half, now))
        Change(half, now);
    else if (m_Bound > 0 && (!WasInForce(higher, now) || YieldOf(higher, now) <= 0))
        Change(higher, now);
}

unsigned ServerCapacity::Capacity(TimePoint now) const
{
    if (!IsKnown(now))
        return 0;
    return m_Bound > 0 ? m_Bound : m_Weight >= m_Config.m_EvidenceMin ? m_Slots : 0;
}

double ServerCapacity::Slowdown(TimePoint now) const
{
    return IsKnown(now) ? std::exp(m_LogSlowdown) : 1;
}

} // namespace aldervale
