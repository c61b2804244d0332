// History of what crashes servers. See crash_history.h.
#include "request/crash_history.h"
#include <algorithm>
#include <utility>

namespace aldervale
{

namespace
{

// Start times of one trial differ between routers by less than this; different trials are further apart.
constexpr auto kSameTrialWindow = seconds(5);
static_assert(kSameTrialWindow < kSecondOutageBlock && kSameTrialWindow < kPartFirstBlock);

TimePoint LastChange(const CrashRecord& r)
{
    const TimePoint crash = r.m_Crashes.empty() ? TimePoint{} : r.m_Crashes.back().m_At;
    return std::max(crash, r.m_TrialAt);
}

bool IsExpired(const CrashRecord& r, TimePoint now)
{
    const Duration kept = r.MeetsThreshold() ? Duration(kBlockedRetention) : Duration(kUnblockedRetention);
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
        const bool earlier = crash.m_At < known->m_At;
        const bool changed = earlier || (crash.m_Cleared && !known->m_Cleared);
        known->m_Cleared   = known->m_Cleared || crash.m_Cleared;
        known->m_At        = std::min(known->m_At, crash.m_At);
        if (earlier)
            std::stable_sort(r.m_Crashes.begin(), r.m_Crashes.end(), [](const ObservedCrash& a, const ObservedCrash& b) { return a.m_At < b.m_At; });
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

struct Outages // of a content
{
    size_t m_Count   = 0; //
    size_t m_Blocked = 0; // how many of them met the threshold; further ones are outcomes of trials
};

Outages CountOutages(const CrashRecord& r)
{
    Outages   out;
    size_t    crashes = 0;
    TimePoint first{}; // crash of the current outage
    for (const ObservedCrash& c : r.m_Crashes)
    {
        if (c.m_Cleared)
            continue;
        if (crashes == 0 || c.m_At - first >= kOutage)
        {
            first = c.m_At;
            out.m_Count++;
        }
        crashes++;
        if (crashes == kCrashesToBlock)
            out.m_Blocked = out.m_Count;
    }
    return out;
}

// Crashes of a part after which requests that were on their way can't be the reason any more. Each is the outcome of a trial.
size_t CrashesOfTrials(const CrashRecord& r, size_t threshold)
{
    size_t    count = 0;
    size_t    seen  = 0;
    TimePoint blocked_at{};
    for (const ObservedCrash& c : r.m_Crashes)
    {
        if (c.m_Cleared)
            continue;
        seen++;
        if (seen == threshold)
            blocked_at = c.m_At;
        count += seen > threshold && c.m_At > blocked_at + kInFlightMax ? 1 : 0;
    }
    return count;
}

size_t ThresholdOf(SuspectKind kind)
{
    return kind == SuspectKind_PromptPart ? kPartCrashesToBlock : kCrashesToBlock;
}

bool Crashed(const CrashRecord& r, uint64_t incarnation)
{
    return std::any_of(r.m_Crashes.begin(), r.m_Crashes.end(),
                       [&](const ObservedCrash& c) { return !c.m_Cleared && c.m_IncarnationHash == incarnation; });
}

size_t CommonCrashes(const CrashRecord& a, const CrashRecord& b)
{
    return static_cast<size_t>(std::count_if(a.m_Crashes.begin(), a.m_Crashes.end(),
                                             [&](const ObservedCrash& c) { return !c.m_Cleared && Crashed(b, c.m_IncarnationHash); }));
}

bool Contains(CrashHistory::Suspects suspects, uint64_t hash)
{
    return std::any_of(suspects.begin(), suspects.end(), [&](const Suspect& s) { return s.m_Hash == hash; });
}

} // namespace

void RecentHashes::Add(uint64_t hash)
{
    if (!m_New.insert(hash).second || m_New.size() < kAnsweredMax / 2)
        return;
    m_Old = std::move(m_New);
    m_New.clear();
}

size_t CrashRecord::UnclearedCount() const
{
    return static_cast<size_t>(std::count_if(m_Crashes.begin(), m_Crashes.end(), [](const ObservedCrash& c) { return !c.m_Cleared; }));
}

bool CrashRecord::MeetsThreshold() const
{
    return UnclearedCount() >= ThresholdOf(m_Kind);
}

CrashHistory::Entry& CrashHistory::FindOrAdd(const Suspect& suspect)
{
    if (m_Records.size() >= kRecordsMax && !m_Records.contains(suspect.m_Hash))
        EvictOldest();
    const auto [it, added] = m_Records.try_emplace(suspect.m_Hash);
    Entry& entry           = it->second;
    if (added) // an older router forwards records without their kind
    {
        entry.m_Record.m_Request = suspect.m_Hash;
        entry.m_Record.m_Kind    = suspect.m_Kind;
    }
    return entry;
}

// A record that meets its threshold is kept through the gaps between its blocks, too: it holds how many trials there were.
void CrashHistory::EvictOldest()
{
    const auto before = [](const auto& a, const auto& b)
    {
        const bool a_guilty = a.second.m_Record.MeetsThreshold();
        const bool b_guilty = b.second.m_Record.MeetsThreshold();
        return a_guilty != b_guilty ? b_guilty : LastChange(a.second.m_Record) < LastChange(b.second.m_Record);
    };
    m_Records.erase(std::min_element(m_Records.begin(), m_Records.end(), before));
}

void CrashHistory::RecordCrash(const Suspect& suspect, uint64_t incarnation, TimePoint now, Duration send_delay)
{
    Entry& entry = FindOrAdd(suspect);
    if (!MergeCrash(entry.m_Record, {incarnation, now, false}))
        return;
    entry.m_Record.m_Answered = entry.m_Record.m_Answered || WasAnswered(suspect);
    entry.m_SendAfter         = entry.m_SendsLeft == 0 ? now + send_delay : std::min<TimePoint>(entry.m_SendAfter, now + send_delay);
    entry.m_SendsLeft         = kSendCount;
    entry.m_CrashLearnedAt    = now;
}

void CrashHistory::OnCrash(Suspects suspects, uint64_t incarnation, TimePoint now)
{
    for (const Suspect& s : suspects)
    {
        const bool delayed = s.m_Kind == SuspectKind_PromptPart && WasAnswered(s);
        RecordCrash(s, incarnation, now, delayed ? Duration(kWeakSendDelay) : Duration::zero());
    }
}

void CrashHistory::Clear(uint64_t hash)
{
    const auto it = m_Records.find(hash);
    if (it == m_Records.end() || it->second.m_Record.UnclearedCount() == 0)
        return;
    Entry& entry = it->second;
    if (!entry.m_Shared && entry.m_Record.m_Kind == SuspectKind_PromptPart)
    {
        m_Records.erase(it); // nobody else knows of it, and most are of parts of sound requests
        return;
    }
    for (ObservedCrash& c : entry.m_Record.m_Crashes)
        c.m_Cleared = true;
    entry.m_SendsLeft = kSendCount;
    entry.m_SendAfter = {};
}

void CrashHistory::OnAnswerBegun(Suspects suspects)
{
    for (const Suspect& s : suspects)
    {
        if (s.m_Kind != SuspectKind_PromptPart)
            continue;
        m_AnsweredParts.Add(s.m_Hash);
        Clear(s.m_Hash);
    }
}

void CrashHistory::OnAnswered(Suspects suspects)
{
    OnAnswerBegun(suspects);
    for (const Suspect& s : suspects)
    {
        if (s.m_Kind == SuspectKind_Content)
            m_AnsweredContents.Add(s.m_Hash);
        Clear(s.m_Hash);
    }
}

TimePoint CrashHistory::LastTrial(const CrashRecord& r) const
{
    const auto entry = m_Records.find(r.m_Request);
    return entry == m_Records.end() ? r.m_TrialAt : std::max(r.m_TrialAt, entry->second.m_UnsentTrialAt);
}

TimePoint CrashHistory::BlockEnd(const CrashRecord& r) const
{
    const TimePoint last_crash = r.m_Crashes.back().m_At;
    if (r.m_Kind == SuspectKind_PromptPart)
    {
        const size_t trials = CrashesOfTrials(r, kPartCrashesToBlock);
        if (trials >= kTrialsMax)
            return TimePoint::max();
        return last_crash + (trials == 0 ? kPartFirstBlock + m_TrialStagger : Duration(kInitialBlock) * (1u << (trials - 1)));
    }
    const Outages outages = CountOutages(r);
    if (outages.m_Count - outages.m_Blocked >= kTrialsMax)
        return TimePoint::max();
    if (outages.m_Count == 1)
        return last_crash + kOutageBlock + m_TrialStagger;
    if (outages.m_Count == 2)
        return last_crash + kSecondOutageBlock + m_TrialStagger;
    return last_crash + Duration(kInitialBlock) * (1u << (outages.m_Count - kCrashesToBlock));
}

TimePoint CrashHistory::BlockedUntil(const CrashRecord& r) const
{
    if (!r.MeetsThreshold())
        return {};
    const TimePoint trial     = LastTrial(r);
    const bool      pending   = trial != TimePoint{} && r.m_Crashes.back().m_At <= trial;
    const TimePoint trial_end = pending ? trial + kTrialTimeout : TimePoint{};
    return std::max<TimePoint>(BlockEnd(r), trial_end);
}

Duration CrashHistory::RetryAfter(const CrashRecord& r, TimePoint now) const
{
    const TimePoint end = r.MeetsThreshold() ? BlockEnd(r) : TimePoint{};
    return end == TimePoint::max() ? Duration(kBlockedRetryMax) : std::clamp<Duration>(end - now, kBlockedRetryMin, kBlockedRetryMax);
}

bool CrashHistory::IsStronger(const CrashRecord& a, const CrashRecord& than) const
{
    if (a.m_Answered != than.m_Answered)
        return than.m_Answered;
    if (than.m_Kind == SuspectKind_Content)
        return than.m_Answered;
    return a.UnclearedCount() > than.UnclearedCount();
}

bool CrashHistory::Explained(const CrashRecord& r, uint64_t incarnation) const
{
    const auto explains = [&](const auto& item)
    {
        const CrashRecord& other = item.second.m_Record;
        return other.m_Kind == SuspectKind_PromptPart && other.m_Request != r.m_Request && other.MeetsThreshold() && Crashed(other, incarnation) &&
               IsStronger(other, r);
    };
    return std::any_of(m_Records.begin(), m_Records.end(), explains);
}

bool CrashHistory::IsGuilty(const CrashRecord& r) const
{
    if (!r.MeetsThreshold())
        return false;
    Duration apart{}; // of contents all crashes count: times differ by the transit time between routers, which have to agree on a block of 600 s
    if (r.m_Kind == SuspectKind_PromptPart)
        apart = r.m_Answered ? kWeakEpisode : kEpisode;
    TimePoint last{};
    size_t    count = 0;
    for (const ObservedCrash& c : r.m_Crashes)
    {
        const bool same_episode = count > 0 && c.m_At - last < apart;
        if (c.m_Cleared || same_episode || Explained(r, c.m_IncarnationHash))
            continue;
        last = c.m_At;
        count++;
    }
    return count >= ThresholdOf(r.m_Kind);
}

const CrashRecord* CrashHistory::FindBlocked(Suspects suspects, TimePoint now) const
{
    for (const Suspect& s : suspects)
    {
        const CrashRecord* r = FindRecord(s.m_Hash);
        if (r != nullptr && IsBlocked(*r, now))
            return r;
    }
    return nullptr;
}

bool CrashHistory::IsBlocked(Suspects suspects, TimePoint now) const
{
    return FindBlocked(suspects, now) != nullptr;
}

// A request that CheckBlocked() has let through as a trial is not held back by that trial.
bool CrashHistory::IsBlockedSince(Suspects suspects, TimePoint checked, TimePoint now) const
{
    const auto is_newly_blocked = [&](const Suspect& s)
    {
        const auto it = m_Records.find(s.m_Hash);
        return it != m_Records.end() && it->second.m_CrashLearnedAt > checked && IsBlocked(it->second.m_Record, now);
    };
    return std::any_of(suspects.begin(), suspects.end(), is_newly_blocked);
}

bool CrashHistory::OneCrashFromBlock(Suspects suspects) const
{
    const auto near = [&](const Suspect& s)
    {
        const CrashRecord* r = FindRecord(s.m_Hash);
        return r != nullptr && r->UnclearedCount() + 1 >= ThresholdOf(s.m_Kind);
    };
    return std::any_of(suspects.begin(), suspects.end(), near);
}

bool CrashHistory::IsDeciding(const CrashRecord& blocked, Suspects suspects, TimePoint now) const
{
    const Entry&    entry      = m_Records.at(blocked.m_Request);
    const TimePoint last_crash = blocked.m_Crashes.back().m_At;
    const TimePoint trial      = LastTrial(blocked);
    const bool      tried      = trial != TimePoint{};
    if (blocked.m_Kind != SuspectKind_PromptPart || entry.m_DecidingTrials >= kDecidingTrialsMax || now < last_crash + m_TrialStagger / 2)
        return false;
    if (tried && (now - trial < kDecidingTrialInterval || last_crash > trial))
        return false;
    const auto is_other_cause = [&](const auto& item)
    {
        const CrashRecord& other = item.second.m_Record;
        return other.m_Kind == SuspectKind_PromptPart && !Contains(suspects, other.m_Request) && other.MeetsThreshold() &&
               CommonCrashes(other, blocked) >= kPartCrashesToBlock;
    };
    return std::any_of(m_Records.begin(), m_Records.end(), is_other_cause);
}

bool CrashHistory::CheckBlocked(Suspects suspects, TimePoint now)
{
    const auto is_blocked = [&](const Suspect& s)
    {
        const CrashRecord* r = FindRecord(s.m_Hash);
        return r != nullptr && IsBlocked(*r, now) && !IsDeciding(*r, suspects, now);
    };
    if (std::any_of(suspects.begin(), suspects.end(), is_blocked))
        return true;
    for (const Suspect& s : suspects)
    {
        const auto it = m_Records.find(s.m_Hash);
        if (it == m_Records.end() || !IsGuilty(it->second.m_Record))
            continue;
        it->second.m_TrialDecides = IsBlocked(it->second.m_Record, now);
        it->second.m_DecidingTrials += it->second.m_TrialDecides ? 1 : 0;
        it->second.m_UnsentTrialAt = now;
    }
    return false;
}

bool CrashHistory::OnTrialSent(Suspects suspects, TimePoint checked)
{
    bool is_trial = false;
    for (const Suspect& s : suspects)
    {
        const auto it = m_Records.find(s.m_Hash);
        if (it == m_Records.end() || it->second.m_UnsentTrialAt == TimePoint{} || it->second.m_UnsentTrialAt != checked)
            continue;
        it->second.m_UnsentTrialAt    = {};
        it->second.m_Record.m_TrialAt = checked;
        it->second.m_SendsLeft        = kSendCount;
        is_trial                      = true;
    }
    return is_trial;
}

void CrashHistory::WithdrawTrial(Suspects suspects, TimePoint checked, bool refused)
{
    for (const Suspect& s : suspects)
    {
        const auto it = m_Records.find(s.m_Hash);
        if (it == m_Records.end() || checked == TimePoint{})
            continue;
        Entry&     entry    = it->second;
        const bool unsent   = entry.m_UnsentTrialAt == checked;
        const bool was_sent = entry.m_Record.m_TrialAt == checked;
        if (!unsent && !(was_sent && refused))
            continue;
        (unsent ? entry.m_UnsentTrialAt : entry.m_Record.m_TrialAt) = {};
        entry.m_DecidingTrials -= std::exchange(entry.m_TrialDecides, false) ? 1 : 0;
    }
}

void CrashHistory::OnCrash(uint64_t request, uint64_t incarnation, TimePoint now)
{
    const Suspect s{request, SuspectKind_Content};
    OnCrash(Suspects(&s, 1), incarnation, now);
}

void CrashHistory::OnAnswered(uint64_t request)
{
    const Suspect s{request, SuspectKind_Content};
    OnAnswered(Suspects(&s, 1));
}

bool CrashHistory::CheckBlocked(uint64_t request, TimePoint now)
{
    const Suspect s{request, SuspectKind_Content};
    return CheckBlocked(Suspects(&s, 1), now);
}

bool CrashHistory::OnTrialSent(uint64_t request, TimePoint checked)
{
    const Suspect s{request, SuspectKind_Content};
    return OnTrialSent(Suspects(&s, 1), checked);
}

void CrashHistory::WithdrawTrial(uint64_t request, TimePoint checked, bool refused)
{
    const Suspect s{request, SuspectKind_Content};
    WithdrawTrial(Suspects(&s, 1), checked, refused);
}

bool CrashHistory::IsBlocked(uint64_t request, TimePoint now) const
{
    const Suspect s{request, SuspectKind_Content};
    return IsBlocked(Suspects(&s, 1), now);
}

size_t CrashHistory::BlockedCount(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_Records.begin(), m_Records.end(), [&](const auto& r) { return IsBlocked(r.second.m_Record, now); }));
}

MergeResult CrashHistory::Merge(const CrashRecord& received, TimePoint now)
{
    if (IsExpired(received, now))
        return MergeResult_Unchanged;
    Entry& entry           = FindOrAdd({received.m_Request, received.m_Kind});
    entry.m_Shared         = true;
    CrashRecord& r         = entry.m_Record;
    const bool   answered  = r.m_Answered || received.m_Answered || WasAnswered({r.m_Request, r.m_Kind});
    const bool   was_known = r.m_Answered;
    r.m_Answered           = answered;
    bool changed           = answered != was_known;
    changed                = MergeTrial(r, received.m_TrialAt) || changed;
    for (const ObservedCrash& c : received.m_Crashes)
    {
        const size_t before = r.UnclearedCount();
        changed             = MergeCrash(r, c) || changed;
        if (r.UnclearedCount() > before)
            entry.m_CrashLearnedAt = now;
    }
    if (changed)
        return MergeResult_Changed;
    const bool lacks_answer = r.m_Answered && !received.m_Answered;
    return lacks_answer || received.UnclearedCount() > r.UnclearedCount() ? MergeResult_SenderOutdated : MergeResult_Unchanged;
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

std::vector<CrashRecord> CrashHistory::TakeChanged(TimePoint now)
{
    std::vector<CrashRecord> out;
    for (auto& [request, entry] : m_Records)
    {
        if (entry.m_SendsLeft == 0 || now < entry.m_SendAfter)
            continue;
        entry.m_SendsLeft--;
        entry.m_Shared = true;
        out.push_back(entry.m_Record);
    }
    return out;
}

std::vector<CrashRecord> CrashHistory::RecordsToResend() const
{
    std::vector<CrashRecord> out;
    for (const auto& [request, entry] : m_Records)
        if (entry.m_Record.MeetsThreshold())
            out.push_back(entry.m_Record);
    return out;
}

} // namespace aldervale
