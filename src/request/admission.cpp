// Taking and refusing requests. See admission.h.
#include "request/admission.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

namespace
{

constexpr double kWindowS    = 2.5;        // over which the share of refused first attempts is a mean
constexpr double kFewFirsts  = 30;         // first attempts below which that share says little: one refusal is no overload
constexpr auto   kPauseLeast = seconds(2); // callers' rule for giving up a stream: the longest of this,
constexpr int    kPauseGoals = 4;          // so many objectives,
constexpr int    kPauseGaps  = 8;          // and so many of the pauses that are still in time
constexpr double kSpreadFrom = 2.0 / 3;    // of a long wait: the rest is by chance, so that callers don't return together

} // namespace

Duration LongestPause(Duration goal, Duration max_gap)
{
    return std::max({Duration(kPauseLeast), kPauseGoals * goal, kPauseGaps * max_gap});
}

double Admission::RefusedShare() const
{
    return m_Refused / (m_First + kFewFirsts);
}

Duration Admission::Allowed(const AdmissionNeed& need) const
{
    if (need.m_Bears > Duration::zero())
        return std::min(need.m_Bears, need.m_Left);
    if (!need.m_CameBack)
        return FromSeconds(ToSeconds(need.m_Goal) * m_Config.m_GoalShare);
    const double strict  = ToSeconds(need.m_Goal) * m_Config.m_BackShare;
    const double late    = ToSeconds(std::max(need.m_Goal, m_Config.m_LateMax));
    const double lenient = std::max(0.0, 1 - RefusedShare() / m_Config.m_StrictAt);
    return FromSeconds(strict + lenient * (late - strict));
}

bool Admission::Takes(const AdmissionNeed& need, Duration predicted) const
{
    return predicted <= Allowed(need);
}

void Admission::OnFirst(bool refused, TimePoint now)
{
    const double keep = m_At == TimePoint{} ? 0 : std::exp(-ToSeconds(now - m_At) / kWindowS);
    m_First           = m_First * keep + 1;
    m_Refused         = m_Refused * keep + (refused ? 1 : 0);
    m_At              = now;
}

Duration Admission::RetryAfter(const AdmissionNeed& need, Duration predicted, double random) const
{
    const double shorter = ToSeconds(predicted) - ToSeconds(need.m_Goal) / 2; // until the queue is shorter
    const double longest = ToSeconds(need.m_Left) * m_Config.m_RetryShare;
    const double spread  = kSpreadFrom + (1 - kSpreadFrom) * random;
    const double lasting = std::min(1.0, RefusedShare() / m_Config.m_LastingAt);
    const double wait    = std::max(std::min(shorter, longest), lasting * spread * longest);
    return FromSeconds(std::clamp(wait, ToSeconds(m_Config.m_RetryMin), ToSeconds(m_Config.m_RetryMax)));
}

} // namespace aldervale
