// State from which a router routes requests. See routing_world.h.
#include "request/routing_world.h"
#include "common/log.h"

namespace aldervale
{

namespace
{

constexpr uint64_t kFirstVersion            = 1;                  // served from the start, without a declaration
constexpr size_t   kVersionsKept            = 8;                  // number of versions of a model's weights whose deadlines are kept
constexpr auto     kUnknownDeclarationGrace = milliseconds(2500); // time for which older weights may be used if the declaration time is unknown

// A bound is of one write of the row: if the version was known before that write, an earlier one declared it.
bool BoundsRewrite(const DeclarationTime& bound, const DeclarationTime& known)
{
    return bound.m_IsBound && known.m_LearnedAt != TimePoint{} && bound.m_At > known.m_LearnedAt;
}

bool IsBetterEstimate(const DeclarationTime& a, const DeclarationTime& than)
{
    if (than.m_IsBound || !a.m_Observed || BoundsRewrite(a, than))
        return false;
    return !than.m_Observed || a.m_At < than.m_At;
}

// Returns false if there is no room because all recorded versions are newer.
bool EvictOldestFor(DeclaredVersions& versions, uint64_t version)
{
    if (versions.size() < kVersionsKept)
        return true;
    if (version < versions.begin()->first)
        return false;
    versions.erase(versions.begin());
    return true;
}

} // namespace

DeclarationTime AssumeDeclarationTime(TimePoint now, Duration deadline)
{
    return {now - deadline + std::min<Duration>(deadline, kUnknownDeclarationGrace), false};
}

DeclarationTime EstimateDeclarationTime(TimePoint not_before, TimePoint learned, TimePoint now, Duration deadline)
{
    DeclarationTime time = AssumeDeclarationTime(now, deadline);
    time.m_LearnedAt     = learned;
    if (not_before != TimePoint{} && not_before > time.m_At)
        time = {not_before, true, true, learned};
    return time;
}

bool RecordTargetVersion(RoutingState& state, const std::string& model, uint64_t version, DeclarationTime declared, TimePoint now)
{
    DeclaredVersions& versions = state.m_TargetVersions[model];
    const uint64_t    newest   = versions.empty() ? kFirstVersion : versions.rbegin()->first;
    const auto        known    = versions.find(version);
    if (known != versions.end())
    {
        DeclarationTime& time    = known->second;
        const bool       renamed = time.m_RowVersion != 0 && declared.m_RowVersion > time.m_RowVersion; // an earlier row declared it
        const bool       better  = !renamed && IsBetterEstimate(declared, time);
        if (better)
            time = declared;
        else if (!time.m_Observed && time.m_RowVersion == 0 && !BoundsRewrite(declared, time)) // a bound of its row may come
            time.m_RowVersion = declared.m_RowVersion;
        if (!time.m_Observed && declared.m_LearnedAt != TimePoint{})
            time.m_LearnedAt = time.m_LearnedAt == TimePoint{} ? declared.m_LearnedAt : std::min(time.m_LearnedAt, declared.m_LearnedAt);
        return better;
    }
    const bool uninformative = version < newest && !declared.m_Observed; // an assumed time of an older version gives no information
    if (version <= kFirstVersion || uninformative || !EvictOldestFor(versions, version))
        return false;
    versions[version] = declared;
    LogEvent(Event_WeightsNamed,
             {{"model", model}, {"version", version}, {"before", newest}, {"sure", declared.m_Observed}, {"age_ms", ToMs(now - declared.m_At)}});
    return version > newest;
}

bool RefineDeclarationTime(RoutingState& state, uint64_t row_version, TimePoint not_before)
{
    bool changed = false;
    for (auto& [model, versions] : state.m_TargetVersions)
        for (auto& [version, time] : versions)
        {
            const bool replaceable = time.m_IsBound || !time.m_Observed;
            if (!replaceable || time.m_RowVersion != row_version || time.m_At >= not_before || not_before > time.m_LearnedAt)
                continue;
            time.m_At       = not_before;
            time.m_Observed = true;
            time.m_IsBound  = true;
            changed         = true;
        }
    return changed;
}

void RecordReportedVersions(RoutingState& state, const std::string& model, std::span<const NamedAge> reported, Duration deadline, TimePoint now)
{
    for (const NamedAge& n : reported)
    {
        DeclarationTime declared = AssumeDeclarationTime(now, deadline);
        declared.m_LearnedAt     = now;
        if (n.m_AgeMs >= 0)
            declared = {now - milliseconds(n.m_AgeMs), true};
        RecordTargetVersion(state, model, n.m_Version, declared, now);
    }
}

bool DeclarationsMayBeStale(const DeclarationsFreshness& freshness, TimePoint now)
{
    if (freshness.m_HeldRow == 0)
        return false;
    return freshness.m_NewestRow > freshness.m_HeldRow || now - freshness.m_ConfirmedAt > kConfirmationMaxAge;
}

} // namespace aldervale
