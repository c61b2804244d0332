// Exchanges records of requests that crash servers. See crash_share.h.
#include "crash_share.h"
#include "common/log.h"
#include "common/metrics.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr auto   kResendPerReceiver = milliseconds(500); // mean interval at which a router receives each record
constexpr auto   kResendIntervalMin = seconds(1);        // of one sender
constexpr size_t kDatagramBytesMax  = 1000;              // of records in one datagram
constexpr size_t kRecordBaseBytes   = 48;                // encoded record without its crashes
constexpr size_t kCrashBytes        = 24;                // encoded crash

uint64_t AgeMs(TimePoint now, TimePoint at)
{
    return static_cast<uint64_t>(std::max<int64_t>(0, ToMs(now - at)));
}

std::unique_ptr<wire::CrashRecordT> ToWire(const CrashRecord& r, TimePoint now)
{
    auto out      = std::make_unique<wire::CrashRecordT>();
    out->request  = r.m_Request;
    out->answered = r.m_Answered;
    out->part     = r.m_Kind == SuspectKind_PromptPart;
    for (const ObservedCrash& c : r.m_Crashes)
        out->crashes.emplace_back(c.m_IncarnationHash, AgeMs(now, c.m_At), c.m_Cleared);
    out->trial_age_ms = r.m_TrialAt == TimePoint{} ? -1 : static_cast<int64_t>(AgeMs(now, r.m_TrialAt));
    return out;
}

CrashRecord FromWire(const wire::CrashRecord& r, TimePoint now)
{
    const auto  time_of = [&](uint64_t ms) { return now - milliseconds(std::min<uint64_t>(ms, ToMs(kBlockedRetention))); };
    CrashRecord out;
    out.m_Request  = r.request();
    out.m_Answered = r.answered();
    out.m_Kind     = r.part() ? SuspectKind_PromptPart : SuspectKind_Content;
    if (r.crashes() != nullptr)
        for (const wire::CrashSeen* c : *r.crashes())
            out.m_Crashes.push_back({c->life(), time_of(c->age_ms()), c->cleared()});
    std::sort(out.m_Crashes.begin(), out.m_Crashes.end(), [](const ObservedCrash& a, const ObservedCrash& b) { return a.m_At < b.m_At; });
    if (r.trial_age_ms() >= 0)
        out.m_TrialAt = time_of(static_cast<uint64_t>(r.trial_age_ms()));
    return out;
}

bool Contains(std::span<const Endpoint> all, const Endpoint& one)
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

} // namespace

CrashShare::CrashShare(LoadListener& loads, DeclarationsPeers& peers, CrashHistory& history) : m_Loads(loads), m_Peers(peers), m_History(history)
{
    m_Loads.SetOnCrashes([this](const wire::CrashNews& news, const Endpoint& from) { OnNews(news, from); });
}

// Every router of the region resends, so the interval is proportional to their number.
Duration CrashShare::ResendInterval() const
{
    return std::max<Duration>(kResendIntervalMin, kResendPerReceiver * m_Peers.Spread().Near().size());
}

void CrashShare::Look(TimePoint now)
{
    static Gauge& blocked = Metrics().GetGauge("aldervale_requests_blocked");
    m_History.Expire(now);
    blocked.Set(static_cast<double>(m_History.BlockedCount(now)));
    if (m_History.Empty())
        return;
    const std::vector<Endpoint> peers = m_Peers.Spread().AllPeers();
    if (peers.empty()) // not known yet: keep the changes
        return;
    Send(m_History.TakeChanged(now), peers);
    if (now - m_ResentAt < ResendInterval())
        return;
    m_ResentAt = now;
    Send(m_History.RecordsToResend(), peers);
}

void CrashShare::Send(std::span<const CrashRecord> records, std::span<const Endpoint> to)
{
    const TimePoint  now   = Now();
    size_t           bytes = 0;
    wire::CrashNewsT news;
    const auto       flush = [&]
    {
        if (!news.records.empty())
            m_Loads.TellCrashes(to, std::exchange(news, {}));
        bytes = 0;
    };
    for (const CrashRecord& r : records)
    {
        const size_t more = kRecordBaseBytes + r.m_Crashes.size() * kCrashBytes;
        if (bytes + more > kDatagramBytesMax)
            flush();
        bytes += more;
        news.records.push_back(ToWire(r, now));
    }
    flush();
}

void CrashShare::OnNews(const wire::CrashNews& news, const Endpoint& from)
{
    if (news.records() == nullptr)
        return;
    const TimePoint             now  = Now();
    const std::vector<Endpoint> near = m_Peers.Spread().Near();
    std::vector<CrashRecord>    to_near;
    std::vector<CrashRecord>    to_sender;
    for (const wire::CrashRecord* r : *news.records())
    {
        const MergeResult result = m_History.Merge(FromWire(*r, now), now);
        if (result == MergeResult_Changed && !Contains(near, from))
            to_near.push_back(*m_History.FindRecord(r->request()));
        if (result == MergeResult_SenderOutdated)
            to_sender.push_back(*m_History.FindRecord(r->request()));
    }
    Send(to_near, near);
    Send(to_sender, std::span(&from, 1));
}

} // namespace aldervale
