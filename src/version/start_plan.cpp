// What an agent does next about its server's weights. See start_plan.h.
#include "version/start_plan.h"

namespace aldervale
{

namespace
{

constexpr size_t kNamedKept = 8; // versions whose time of naming is remembered

}

void StartPlan::OnNamed(uint64_t version, TimePoint known_at)
{
    if (!m_Named.empty() && version <= m_Named.rbegin()->first)
        return;
    m_Named[version] = known_at;
    if (m_Named.size() > kNamedKept)
        m_Named.erase(m_Named.begin());
}

std::vector<NamedAge> StartPlan::NamedAfter(uint64_t held, TimePoint now) const
{
    std::vector<NamedAge> out;
    for (const auto& [version, known_at] : m_Named)
        if (version > held || version == Target())
            out.push_back({version, known_at == TimePoint{} ? -1 : ToMs(now - known_at)});
    return out;
}

// An older version is worth fetching on while it may still serve for longer than a start takes, and as long as its pieces come.
uint64_t StartPlan::NextBridge(const PlanInput& in, TimePoint now) const
{
    const bool     stalled = in.m_FetchQuiet > m_Config.m_StalledAfter;
    const uint64_t bridge  = stalled ? (in.m_Fetching == Target() ? in.m_Partial : 0) : m_Bridge;
    const auto     newer   = m_Named.upper_bound(bridge);
    if (bridge <= in.m_Held || newer == m_Named.end())
        return 0;
    const TimePoint until = newer->second + FromSeconds(ToSeconds(m_Config.m_Deadline) * m_Config.m_KeepUntil);
    return now < until ? bridge : 0;
}

uint64_t StartPlan::NextFetch(const PlanInput& in, TimePoint now)
{
    const uint64_t target = Target();
    if (!in.m_Reachable || in.m_Held >= target || in.m_Whole >= target)
        return 0;
    m_Bridge = in.m_FetchWhole ? 0 : NextBridge(in, now);
    if (m_Bridge > 0)
        return m_Bridge;
    const bool under_way = in.m_Fetching > 0 && !in.m_FetchWhole && in.m_Fetching > in.m_Held;
    if (!under_way || in.m_Fetching >= target)
        return target;
    const auto older = m_Named.find(in.m_Fetching);
    const auto newer = m_Named.upper_bound(in.m_Fetching);
    const bool known = older != m_Named.end() && newer != m_Named.end();
    if (!known)
        return target;
    const bool nearly  = newer->second - older->second >= m_Config.m_KeepFetching;
    const bool in_time = now < older->second + FromSeconds(ToSeconds(m_Config.m_Deadline) * m_Config.m_KeepUntil);
    return nearly && in_time ? in.m_Fetching : target;
}

TimePoint StartPlan::TurnOf(const PlanInput& in) const
{
    const auto named = m_Named.find(in.m_Whole);
    if (named == m_Named.end())
        return {};
    const double place = in.m_Boxes > 1 ? static_cast<double>(in.m_Rank) / static_cast<double>(in.m_Boxes - 1) : 0;
    const double share = m_Config.m_FirstTurn + place * (m_Config.m_LastTurn - m_Config.m_FirstTurn);
    return named->second + FromSeconds(ToSeconds(m_Config.m_Deadline) * share);
}

uint64_t StartPlan::NextStart(const PlanInput& in, TimePoint now) const
{
    if (!in.m_Reachable || in.m_Busy || in.m_Whole <= in.m_Held || now < m_OrderAfter)
        return 0;
    const bool turn = in.m_Held == 0 || now >= TurnOf(in);
    return turn ? in.m_Whole : 0;
}

} // namespace aldervale
