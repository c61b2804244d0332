// When the store was at which version. See store_times.h.
#include "process/store_times.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr size_t  kMomentsKept    = 64;              // newest ones: more than come between a row's writing and its being learned
constexpr int64_t kMomentsOverlap = 20;              // ms by which a higher version may seem to be older: the clock is read after the rows
constexpr auto    kClockStep      = milliseconds(1); // the store's clock is told in whole ms, rounded down

TimePoint FromMsSinceEpoch(int64_t ms)
{
    return TimePoint{} + milliseconds(ms);
}

} // namespace

void StoreTimes::Reset()
{
    m_Moments.clear();
    m_Difference.reset();
}

bool StoreTimes::Add(const StoreMoment& moment)
{
    const auto newer = m_Moments.upper_bound(moment.m_Version);
    if (newer != m_Moments.end() && newer->second + kMomentsOverlap < moment.m_StoreMs)
        return false;
    if (newer != m_Moments.begin() && std::prev(newer)->first < moment.m_Version && std::prev(newer)->second > moment.m_StoreMs + kMomentsOverlap)
        return false;
    const auto [known, added] = m_Moments.emplace(moment.m_Version, moment.m_StoreMs);
    if (!added)
        known->second = std::max(known->second, moment.m_StoreMs);
    if (m_Moments.size() > kMomentsKept)
        m_Moments.erase(m_Moments.begin());
    return true;
}

TimePoint StoreTimes::ToOwnClock(int64_t store_ms, TimePoint now) const
{
    return FromMsSinceEpoch(store_ms) - m_Difference->MostAt(now);
}

TimePoint StoreTimes::OnAnswer(const StoreMoment& answered, TimePoint asked, Duration wait, TimePoint received)
{
    if (answered.m_StoreMs < 0 || answered.m_Version == 0)
        return asked;
    if (m_Difference && ToOwnClock(answered.m_StoreMs, received) > received)
        Reset();
    const ClockDifference measured{FromMsSinceEpoch(answered.m_StoreMs) + kClockStep - asked, received};
    if (!m_Difference || measured.m_Most <= m_Difference->MostAt(received))
        m_Difference = measured;
    const TimePoint made = ToOwnClock(answered.m_StoreMs, received) - kAnswerMade;
    if (received - asked > wait + kPromptMax)
        return asked;
    if (!Add(answered))
    {
        Reset();
        m_Difference = measured;
        Add(answered);
        return asked;
    }
    return std::max(asked, made);
}

void StoreTimes::OnTold(const StoreMoment& told)
{
    if (told.m_StoreMs >= 0 && told.m_Version > 0 && !Add(told))
        Reset();
}

TimePoint StoreTimes::NotBefore(uint64_t row_version, TimePoint now) const
{
    const auto at_or_after = m_Moments.lower_bound(row_version);
    if (!m_Difference || at_or_after == m_Moments.begin())
        return {};
    const TimePoint bound = ToOwnClock(std::prev(at_or_after)->second, now) - kAnswerMade;
    return bound <= now ? bound : TimePoint{}; // from the future: a clock was reset
}

StoreMoment StoreTimes::Newest() const
{
    return m_Moments.empty() ? StoreMoment{} : StoreMoment{m_Moments.rbegin()->first, m_Moments.rbegin()->second};
}

} // namespace aldervale
