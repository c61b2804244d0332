// Admission of requests. See admission.h.
#include "request/admission.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

namespace
{

constexpr double kWindowS          = 2.5;        // time constant with which counts of first attempts decay
constexpr double kFewFirstAttempts = 30;         // added to the count of first attempts: a single refusal is no overload
constexpr auto   kPauseMin         = seconds(2); // callers' rule for giving up a stream: the longest of this,
constexpr int    kPauseObjectives  = 4;          // this many latency objectives,
constexpr int    kPauseGaps        = 8;          // and this many times the longest pause that is still in time
constexpr double kRandomFromShare  = 2.0 / 3;    // of a long delay; the rest is random, so that callers don't retry together

} // namespace

Duration MaxToleratedPause(Duration objective, Duration max_gap)
{
    return std::max({Duration(kPauseMin), kPauseObjectives * objective, kPauseGaps * max_gap});
}

double Admission::RefusedShare() const
{
    return m_RefusedFirstAttempts / (m_FirstAttempts + kFewFirstAttempts);
}

Duration Admission::MaxWait(const AdmissionNeed& need) const
{
    if (need.m_ToleratedWait > Duration::zero())
        return std::min(need.m_ToleratedWait, need.m_TimeToDeadline);
    if (!need.m_IsRetry)
        return FromSeconds(ToSeconds(need.m_StrictestObjective) * m_Config.m_FirstAttemptShare);
    const double strict  = ToSeconds(need.m_StrictestObjective) * m_Config.m_StrictRetryShare;
    const double late    = ToSeconds(std::max(need.m_StrictestObjective, m_Config.m_LenientRetryMax));
    const double lenient = std::max(0.0, 1 - RefusedShare() / m_Config.m_StrictAboveRefusedShare);
    return FromSeconds(strict + lenient * (late - strict));
}

bool Admission::Admits(const AdmissionNeed& need, Duration predicted) const
{
    return predicted <= MaxWait(need);
}

void Admission::OnFirstAttempt(bool refused, TimePoint now)
{
    const double keep      = m_At == TimePoint{} ? 0 : std::exp(-ToSeconds(now - m_At) / kWindowS);
    m_FirstAttempts        = m_FirstAttempts * keep + 1;
    m_RefusedFirstAttempts = m_RefusedFirstAttempts * keep + (refused ? 1 : 0);
    m_At                   = now;
}

Duration Admission::RetryAfter(const AdmissionNeed& need, Duration predicted, double random) const
{
    const double shorter = ToSeconds(predicted) - ToSeconds(need.m_StrictestObjective) / 2; // time until the queue is shorter
    const double longest = ToSeconds(need.m_TimeToDeadline) * m_Config.m_RetryShare;
    const double spread  = kRandomFromShare + (1 - kRandomFromShare) * random;
    const double lasting = std::min(1.0, RefusedShare() / m_Config.m_LongDelayAboveRefusedShare);
    const double wait    = std::max(std::min(shorter, longest), lasting * spread * longest);
    return FromSeconds(std::clamp(wait, ToSeconds(m_Config.m_RetryMin), ToSeconds(m_Config.m_RetryMax)));
}

} // namespace aldervale
