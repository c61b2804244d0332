// Follows one table of the platform's store. See table_follower.h.
#include "process/table_follower.h"
#include "common/hash.h"
#include "common/log.h"
#include <algorithm>

namespace aldervale
{

constexpr unsigned kFailuresCounted = 8;            // beyond which patience no longer grows
constexpr auto kPatienceMax   = milliseconds(2400); // for one answer: a store that was silent is found again well within three seconds of its return
constexpr uint64_t kCalmParts = 64;                 // lengths that a calm pause may have
constexpr auto     kCalmMean  = seconds(5);         // of calm pauses when nothing else is said
constexpr auto     kRestLook  = milliseconds(50);   // while resting, for changes that become urgent

TableFollower::TableFollower(asio::io_context& ioc, RowSource& source, std::string table, const TableFollowerConfig& cfg, TableHandlers handlers)
    : m_Ioc(ioc), m_Source(source), m_Table(std::move(table)), m_Config(cfg), m_Handlers(std::move(handlers)), m_Seed(RandomSeed())
{
}

void TableFollower::Start()
{
    // A strand: the store's connections end reads by timers, which may not run beside the read on another thread.
    asio::co_spawn(
        asio::make_strand(m_Ioc), [self = shared_from_this()] { return self->Run(); }, asio::detached);
}

awaitable<void> TableFollower::Run()
{
    if (m_Config.m_Known && !Urgent())
        co_await Rest(CalmPause()); // rows come from elsewhere
    for (;;)
    {
        const bool ok    = co_await ReadNext();
        Duration   pause = !Urgent() ? CalmPause() : m_Probed ? Duration::zero() : m_Changed ? m_Config.m_Gather : m_Config.m_Quiet;
        if (!ok)
        {
            const Duration most = m_Config.m_RetryMost ? m_Config.m_RetryMost() : m_Config.m_RetryMax;
            pause               = std::min(most, m_Config.m_RetryMin * (1u << std::min(m_Failures, 6u)));
            pause               = pause / 2 + pause * static_cast<int>(Hash64(m_Table, ++m_Seed) % 64) / 128; // spread over processes
        }
        co_await Rest(pause);
    }
}

awaitable<void> TableFollower::Rest(Duration pause)
{
    const bool      calm  = !Urgent();
    const TimePoint until = Now() + pause;
    for (Duration left = pause; left > Duration::zero(); left = until - Now())
    {
        co_await SleepFor(calm ? std::min<Duration>(left, kRestLook) : left);
        m_Missed = m_Missed || (calm && m_Config.m_Known);
        if (calm && Urgent())
            co_return;
    }
}

awaitable<bool> TableFollower::ReadNext()
{
    const bool calm = !Urgent();
    m_Probed        = m_Config.m_CalmKeys && (calm || m_Failures > 0);
    m_Missed        = m_Missed || m_Probed;
    if (m_Probed)
    {
        const KeyRange few = *m_Config.m_CalmKeys;
        co_return co_await ReadFew(few);
    }
    if (m_Missed)
        GoOn();
    if (m_Synced && !m_Series)
        co_return co_await ReadChanges();
    co_return co_await ReadAll();
}

// Urgent again: after what came from elsewhere, or with the whole table. What was held before a failure is no reason to ask for all changes since.
void TableFollower::GoOn()
{
    const auto known = m_Config.m_Known ? m_Config.m_Known() : std::nullopt;
    const bool newer = known && *known > m_Since;
    m_Missed         = false;
    m_Synced         = known.has_value();
    m_Series         = m_Series && !newer;
    m_Since          = std::max(m_Since, known.value_or(0));
}

awaitable<bool> TableFollower::ReadFew(KeyRange keys)
{
    const TimePoint asked = Now();
    auto            read  = co_await m_Source.ReadAll(m_Table, keys, asked + Patience(m_Config.m_ReadMax));
    if (!read)
    {
        OnFailure(read.error());
        co_return false;
    }
    OnAnswer();
    OnAnswered(read.value(), asked, Duration::zero());
    read.value().m_Since     = m_Since;
    read.value().m_NotBefore = m_CompleteAt;
    if (m_Handlers.m_OnFew)
        m_Handlers.m_OnFew(read.value());
    co_return true;
}

// Processes that were woken by the same change would else all look away together, and none of them would see the next one soon.
Duration TableFollower::CalmPause()
{
    const auto     part = static_cast<int>(Hash64(m_Table, ++m_Seed) % kCalmParts);
    const Duration mean = m_Config.m_Calm ? m_Config.m_Calm() : Duration(kCalmMean);
    return mean * (2 * part + 1) / static_cast<int>(kCalmParts); // evenly between nothing and twice the mean
}

awaitable<bool> TableFollower::ReadAll()
{
    const KeyRange  whole;
    const TimePoint asked = Now();
    auto            read  = co_await m_Source.ReadAll(m_Table, whole, asked + Patience(m_Config.m_ReadMax));
    if (!read)
    {
        OnFailure(read.error());
        co_return false;
    }
    OnAnswer();
    const TimePoint made = OnAnswered(read.value(), asked, Duration::zero());
    if (read.value().m_StoreVersion < m_Since)
    {
        LogEvent(Event_StoreReadStale, {{"table", m_Table}, {"version", read.value().m_StoreVersion}, {"known", m_Since}});
        co_return true;
    }
    read.value().m_Since = m_Since;
    m_Changed            = !m_Synced || HasNews(read.value());
    m_Series             = m_Series && m_Changed; // until a read of it brings no news
    m_Since              = read.value().m_StoreVersion;
    m_Synced             = true;

    OnUsed(read.value(), made);
    m_Handlers.m_OnAll(read.value());
    co_return true;
}

bool TableFollower::HasNews(const RowRead& whole) const
{
    return std::any_of(whole.m_Rows.begin(), whole.m_Rows.end(), [&](const Row& row) { return row.m_Version > m_Since; });
}

awaitable<bool> TableFollower::ReadChanges()
{
    // After a failure a short wait: the answer itself is the news that the store is back.
    const Duration  wait  = m_Failures > 0 ? milliseconds(1) : m_Config.m_Wait;
    const TimePoint asked = Now();
    auto            read  = co_await m_Source.ReadChanges(m_Table, m_Since, wait, asked + wait + Patience(m_Config.m_Margin));
    if (!read)
    {
        if (read.error().m_Code != ErrorCode_Stale)
        {
            OnFailure(read.error());
            co_return false;
        }
        LogEvent(Event_StoreHistoryGone, {{"table", m_Table}, {"known", m_Since}});
        m_Synced = false;
        co_return co_await ReadAll();
    }
    OnAnswer();
    const TimePoint made = OnAnswered(read.value(), asked, wait);
    if (read.value().m_StoreVersion < m_Since)
        co_return true;
    read.value().m_Since = m_Since;
    OnUsed(read.value(), made);

    m_Since   = read.value().m_StoreVersion;
    m_Changed = !read.value().m_Rows.empty();
    m_Series  = m_Config.m_WholeAfter > 0 && read.value().m_Rows.size() >= m_Config.m_WholeAfter;
    m_Handlers.m_OnChanges(read.value());
    co_return true;
}

// The store has what it acknowledged before it was asked; what it acknowledges while an answer is on its way may be missing.
TimePoint TableFollower::OnAnswered(RowRead& read, TimePoint asked, Duration wait)
{
    read.m_AskedAt = asked;
    read.m_Wait    = wait;
    return m_Handlers.m_OnAnswered ? m_Handlers.m_OnAnswered(read) : asked;
}

void TableFollower::OnUsed(RowRead& read, TimePoint made)
{
    read.m_NotBefore = m_CompleteAt;
    m_CompleteAt     = made;
}

// Where answers are long and the way is narrow, one that is given up has used the way for nothing; if all did so at the same timeout
// again and again, none would ever get its answer.
Duration TableFollower::Patience(Duration first) const
{
    return std::min<Duration>(first * (1u + std::min(m_Failures, kFailuresCounted)), std::max<Duration>(first, kPatienceMax));
}

void TableFollower::OnFailure(const Error& e)
{
    m_Failures++;
    m_Series   = m_Config.m_WholeAfter > 0;
    m_Answered = false;
    if (m_Failures > 1)
        return;
    LogEvent(Event_StoreUnreachable, {{"table", m_Table}, {"version", m_Since}, {"why", e.m_Message}});
    if (m_Handlers.m_OnLost)
        m_Handlers.m_OnLost();
}

void TableFollower::OnAnswer()
{
    m_Answered = true;
    if (m_Failures == 0)
        return;
    LogEvent(Event_StoreBack, {{"table", m_Table}, {"version", m_Since}, {"failures", m_Failures}});
    m_Failures = 0;
    if (m_Handlers.m_OnReached)
        m_Handlers.m_OnReached();
}

} // namespace aldervale
