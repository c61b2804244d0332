// History of requests that crash servers. See crash_history.h.
#include "request/crash_history.h"
#include <algorithm>

namespace aldervale
{

namespace
{

// Start times of one trial differ between routers by less than this; different trials are further apart.
constexpr auto kSameTrialWindow = kTrialTimeout / 2;

TimePoint LastChange(const CrashRecord& r)
{
    const TimePoint crash = r.m_Crashes.empty() ? TimePoint{} : r.m_Crashes.back().m_At;
    return std::max(crash, r.m_TrialAt);
}

bool IsExpired(const CrashRecord& r, TimePoint now)
{
    const Duration kept = r.UnclearedCount() >= kCrashesToBlock ? Duration(kBlockedRetention) : Duration(kUnblockedRetention);
    return now - LastChange(r) > kept;
}

void EvictCrash(std::vector<ObservedCrash>& crashes)
{
    const auto cleared = std::find_if(crashes.begin(), crashes.end(), [](const ObservedCrash& c) { return c.m_Cleared; });
    crashes.erase(cleared == crashes.end() ? crashes.begin() : cleared);
}

bool MergeCrash(CrashRecord& r, const ObservedCrash& crash)
{
    const auto known =
        std::find_if(r.m_Crashes.begin(), r.m_Crashes.end(), [&](const ObservedCrash& c) { return c.m_IncarnationHash == crash.m_IncarnationHash; });
    if (known != r.m_Crashes.end())
    {
        const bool changed = crash.m_Cleared && !known->m_Cleared;
        known->m_Cleared   = known->m_Cleared || crash.m_Cleared;
        return changed;
    }
    const bool full = r.m_Crashes.size() >= kCrashesPerRecordMax;
    if (full && crash.m_At <= r.m_Crashes.front().m_At)
        return false;
    if (full)
        EvictCrash(r.m_Crashes);
    const auto later = [](TimePoint at, const ObservedCrash& c) { return at < c.m_At; };
    r.m_Crashes.insert(std::upper_bound(r.m_Crashes.begin(), r.m_Crashes.end(), crash.m_At, later), crash);
    return true;
}

bool MergeTrial(CrashRecord& r, TimePoint at)
{
    const bool changed = at != TimePoint{} && (r.m_TrialAt == TimePoint{} || at > r.m_TrialAt + kSameTrialWindow);
    if (changed)
        r.m_TrialAt = at;
    return changed;
}

} // namespace

size_t CrashRecord::UnclearedCount() const
{
    return static_cast<size_t>(std::count_if(m_Crashes.begin(), m_Crashes.end(), [](const ObservedCrash& c) { return !c.m_Cleared; }));
}

CrashHistory::Entry& CrashHistory::FindOrAdd(uint64_t request, TimePoint now)
{
    if (m_Records.size() >= kRecordsMax && !m_Records.contains(request))
        EvictOldest(now);
    Entry& entry             = m_Records[request];
    entry.m_Record.m_Request = request;
    return entry;
}

void CrashHistory::EvictOldest(TimePoint now)
{
    const auto before = [&](const auto& a, const auto& b)
    {
        const bool a_blocked = IsBlocked(a.first, now);
        const bool b_blocked = IsBlocked(b.first, now);
        return a_blocked != b_blocked ? b_blocked : LastChange(a.second.m_Record) < LastChange(b.second.m_Record);
    };
    m_Records.erase(std::min_element(m_Records.begin(), m_Records.end(), before));
}

void CrashHistory::OnCrash(uint64_t request, uint64_t incarnation, TimePoint now)
{
    Entry& entry = FindOrAdd(request, now);
    if (MergeCrash(entry.m_Record, {incarnation, now, false}))
        entry.m_SendsLeft = kSendCount;
}

void CrashHistory::OnAnswered(uint64_t request)
{
    const auto it = m_Records.find(request);
    if (it == m_Records.end() || it->second.m_Record.UnclearedCount() == 0)
        return;
    for (ObservedCrash& c : it->second.m_Record.m_Crashes)
        c.m_Cleared = true;
    it->second.m_SendsLeft = kSendCount;
}

TimePoint CrashHistory::BlockedUntil(const CrashRecord& r)
{
    const size_t crashes = r.UnclearedCount();
    if (crashes < kCrashesToBlock)
        return {};
    if (crashes >= kCrashesToBlock + kTrialsMax)
        return TimePoint::max();
    const TimePoint block_end = r.m_Crashes.back().m_At + kInitialBlock * (1u << (crashes - kCrashesToBlock));
    const TimePoint trial_end = r.m_TrialAt == TimePoint{} ? TimePoint{} : r.m_TrialAt + kTrialTimeout;
    return std::max<TimePoint>(block_end, trial_end);
}

bool CrashHistory::IsBlocked(uint64_t request, TimePoint now) const
{
    const auto it = m_Records.find(request);
    return it != m_Records.end() && now < BlockedUntil(it->second.m_Record);
}

bool CrashHistory::CheckBlocked(uint64_t request, TimePoint now)
{
    if (IsBlocked(request, now))
        return true;
    const auto it = m_Records.find(request);
    if (it == m_Records.end() || it->second.m_Record.UnclearedCount() < kCrashesToBlock)
        return false;
    it->second.m_Record.m_TrialAt = now;
    it->second.m_SendsLeft        = kSendCount;
    return false;
}

size_t CrashHistory::BlockedCount(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_Records.begin(), m_Records.end(), [&](const auto& r) { return IsBlocked(r.first, now); }));
}

MergeResult CrashHistory::Merge(const CrashRecord& received, TimePoint now)
{
    if (IsExpired(received, now))
        return MergeResult_Unchanged;
    CrashRecord& r       = FindOrAdd(received.m_Request, now).m_Record;
    bool         changed = MergeTrial(r, received.m_TrialAt);
    for (const ObservedCrash& c : received.m_Crashes)
        changed = MergeCrash(r, c) || changed;
    if (changed)
        return MergeResult_Changed;
    return received.UnclearedCount() > r.UnclearedCount() ? MergeResult_SenderOutdated : MergeResult_Unchanged;
}

const CrashRecord* CrashHistory::FindRecord(uint64_t request) const
{
    const auto it = m_Records.find(request);
    return it == m_Records.end() ? nullptr : &it->second.m_Record;
}

void CrashHistory::Expire(TimePoint now)
{
    std::erase_if(m_Records, [&](const auto& item) { return IsExpired(item.second.m_Record, now); });
}

std::vector<CrashRecord> CrashHistory::TakeChanged()
{
    std::vector<CrashRecord> out;
    for (auto& [request, entry] : m_Records)
    {
        if (entry.m_SendsLeft == 0)
            continue;
        entry.m_SendsLeft--;
        out.push_back(entry.m_Record);
    }
    return out;
}

std::vector<CrashRecord> CrashHistory::RecordsToResend() const
{
    std::vector<CrashRecord> out;
    for (const auto& [request, entry] : m_Records)
        if (entry.m_Record.UnclearedCount() >= kCrashesToBlock)
            out.push_back(entry.m_Record);
    return out;
}

} // namespace aldervale
