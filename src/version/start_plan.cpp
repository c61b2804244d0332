// Decides which version of the weights to fetch and to start. See start_plan.h.
#include "version/start_plan.h"

namespace aldervale
{

namespace
{

constexpr size_t kDeclaredVersionsKept = 8; // newest versions whose time of declaration is kept

}

void StartPlan::OnTargetVersion(uint64_t version, TimePoint declared_at, bool told, TimePoint now)
{
    const auto known = m_DeclaredAt.find(version);
    const bool newer = m_DeclaredAt.empty() || version > m_DeclaredAt.rbegin()->first;
    if (known == m_DeclaredAt.end() && !newer)
        return;
    if (newer)
    {
        m_DeclaredAt[version] = declared_at;
        m_HeardAt[version]    = now;
    }
    else if (known->second == TimePoint{} || (told && !m_Told.contains(version)))
        known->second = declared_at;
    if (told && m_Told.insert(version).second) // bounds after it are of rows that were written again
        std::erase_if(m_NotBefore, [&](const auto& bound) { return bound.first <= version && bound.second > declared_at; });
    if (m_DeclaredAt.size() <= kDeclaredVersionsKept)
        return;
    m_Told.erase(m_DeclaredAt.begin()->first);
    m_DeclaredAt.erase(m_DeclaredAt.begin());
    m_HeardAt.erase(m_HeardAt.begin());
}

void StartPlan::OnDeclaredNotBefore(uint64_t version, TimePoint bound)
{
    const auto learned = m_DeclaredAt.lower_bound(version); // of the version itself or, if it was missed, of the next one
    if (learned != m_DeclaredAt.end() && learned->second != TimePoint{} && bound > learned->second)
        return;
    TimePoint& held = m_NotBefore[version];
    held            = std::max(held, bound);
    if (m_NotBefore.size() > kDeclaredVersionsKept)
        m_NotBefore.erase(m_NotBefore.begin());
}

std::vector<NamedAge> StartPlan::DeclaredAges(uint64_t loaded_version, TimePoint now) const
{
    std::map<uint64_t, TimePoint> declared; // default: unknown
    for (const auto& [version, declared_at] : m_DeclaredAt)
        declared[version] = m_Told.contains(version) ? declared_at : TimePoint{};
    for (const auto& [version, bound] : m_NotBefore)
        if (version <= Target())
            declared[version] = bound;
    std::vector<NamedAge> out;
    for (const auto& [version, at] : declared)
        if (version > loaded_version || version == Target())
            out.push_back({version, at == TimePoint{} ? -1 : ToMs(now - at)});
    return out;
}

// Fetching an older version is worthwhile while its pieces keep arriving and it could still serve for longer than a start takes.
uint64_t StartPlan::NextFallback(const PlanInput& in, TimePoint now) const
{
    const bool     stalled   = in.m_SinceLastPiece > m_Config.m_StallTimeout;
    const uint64_t candidate = stalled ? (in.m_FetchVersion == Target() ? in.m_NewestPartial : 0) : m_FallbackVersion;
    const auto     newer     = m_DeclaredAt.upper_bound(candidate);
    if (candidate <= in.m_LoadedVersion || newer == m_DeclaredAt.end())
        return 0;
    const TimePoint until = newer->second + FromSeconds(ToSeconds(m_Config.m_WeightsDeadline) * m_Config.m_KeepFetchShare);
    return now < until ? candidate : 0;
}

uint64_t StartPlan::NextFetch(const PlanInput& in, TimePoint now)
{
    const uint64_t target = Target();
    if (in.m_Reachable && in.m_LoadedUnknown && in.m_LoadedVersion == target && in.m_NewestComplete < target)
        return target; // its list, and pieces in place of wrong ones
    if (!in.m_Reachable || in.m_LoadedVersion >= target || in.m_NewestComplete >= target)
        return 0;
    m_FallbackVersion = in.m_FetchComplete ? 0 : NextFallback(in, now);
    if (m_FallbackVersion > 0)
        return m_FallbackVersion;
    const bool fetching = in.m_FetchVersion > 0 && !in.m_FetchComplete && in.m_FetchVersion > in.m_LoadedVersion;
    if (!fetching || in.m_FetchVersion >= target)
        return target;
    const auto older         = m_DeclaredAt.find(in.m_FetchVersion);
    const auto newer         = m_DeclaredAt.upper_bound(in.m_FetchVersion);
    const bool both_declared = older != m_DeclaredAt.end() && newer != m_DeclaredAt.end();
    if (!both_declared)
        return target;
    const bool old_enough = newer->second - older->second >= m_Config.m_KeepFetchMinLead;
    const bool in_time    = now < older->second + FromSeconds(ToSeconds(m_Config.m_WeightsDeadline) * m_Config.m_KeepFetchShare);
    return old_enough && in_time ? in.m_FetchVersion : target;
}

TimePoint StartPlan::ScheduledStart(const PlanInput& in) const
{
    const auto declared = m_DeclaredAt.find(in.m_NewestComplete);
    if (declared == m_DeclaredAt.end())
        return {};
    return declared->second + FromSeconds(ToSeconds(m_Config.m_WeightsDeadline) * m_Config.m_FirstStartShare) + StartTurn(in);
}

Duration StartPlan::StartTurn(const PlanInput& in) const
{
    const double position = in.m_BoxCount > 1 ? static_cast<double>(in.m_StartRank) / static_cast<double>(in.m_BoxCount - 1) : 0;
    return FromSeconds(ToSeconds(m_Config.m_WeightsDeadline) * position * (m_Config.m_LastStartShare - m_Config.m_FirstStartShare));
}

uint64_t StartPlan::NextStart(const PlanInput& in, TimePoint now) const
{
    if (!in.m_Reachable || in.m_Busy || in.m_NewestComplete <= in.m_LoadedVersion || now < m_NextOrderAt)
        return 0;
    const bool due = MayStart(in.m_NewestComplete, now) && (in.m_LoadedVersion == 0 || now >= ScheduledStart(in));
    return due ? in.m_NewestComplete : 0;
}

bool StartPlan::MayStart(uint64_t version, TimePoint now) const
{
    const StopTimeInfo stop = Stop(version);
    return now < stop.m_At && stop.m_Basis != StopBasis_Heard; // a version of unknown time may be past its deadline
}

StopTimeInfo StartPlan::Stop(uint64_t version) const
{
    const auto newer   = m_DeclaredAt.upper_bound(version);
    const auto bounded = m_NotBefore.upper_bound(version);
    const auto stop    = [&](TimePoint declared) { return declared + m_Config.m_WeightsDeadline - m_Config.m_StopLead; };
    if (bounded != m_NotBefore.end() && (newer == m_DeclaredAt.end() || bounded->first <= newer->first))
        return {stop(bounded->second), StopBasis_Bound};
    if (newer == m_DeclaredAt.end())
        return {};
    if (!m_Told.contains(newer->first))
        return {m_HeardAt.at(newer->first) + m_Config.m_UnknownTimeGrace, StopBasis_Heard};
    return {stop(newer->second - m_Config.m_LearnLagMax), StopBasis_Learned};
}

bool StartPlan::MustStop(const PlanInput& in, TimePoint now) const
{
    const bool due = in.m_LoadedCorrupt || MustReload(in, now) || now >= StopTime(in.m_LoadedVersion);
    return !in.m_Busy && in.m_LoadedVersion > 0 && due && now >= m_NextStopAt;
}

// With a newer target the next start is near, and pieces of it may already be staged. Without all pieces the server couldn't be started again, and
// one that doesn't answer can't be drained.
bool StartPlan::MustReload(const PlanInput& in, TimePoint now) const
{
    const bool wrong = in.m_StagedWrongAt != TimePoint{} && in.m_LoadedVersion == Target() && in.m_NewestComplete == in.m_LoadedVersion;
    return wrong && in.m_Reachable && now >= in.m_StagedWrongAt + StartTurn(in);
}

} // namespace aldervale
