// Blocking of requests that crash servers, and convergence of the records of different routers.
#include "request/crash_history.h"
#include "support.h"
#include <set>

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100'000);

// Merges the changed records of `from` into `to`. Times shift by `transit`, as they do when they are sent as ages.
void SendChanges(CrashHistory& from, CrashHistory& to, TimePoint now, Duration transit = milliseconds(3))
{
    for (CrashRecord r : from.TakeChanged())
    {
        for (ObservedCrash& c : r.m_Crashes)
            c.m_At += transit;
        if (r.m_TrialAt != TimePoint{})
            r.m_TrialAt += transit;
        to.Merge(r, now);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_blocked_after_crashing_three_different_servers)
{
    CrashHistory h;
    for (uint64_t incarnation : {1, 1, 2, 2, 2})
        h.OnCrash(7, incarnation, kStart);
    BOOST_TEST(!h.CheckBlocked(7, kStart));
    h.OnCrash(7, 3, kStart);
    BOOST_TEST(h.CheckBlocked(7, kStart));
    BOOST_TEST(!h.CheckBlocked(8, kStart));
}

// Guards against blocking a frequent request that merely runs at every server that crashes.
BOOST_AUTO_TEST_CASE(a_complete_answer_at_any_router_clears_a_request)
{
    CrashHistory a;
    CrashHistory b;
    for (uint64_t incarnation = 1; incarnation <= 20; incarnation++)
    {
        const TimePoint now = kStart + milliseconds(100) * incarnation;
        a.OnCrash(7, incarnation, now);
        SendChanges(a, b, now);
        if (incarnation % 2 == 0)
            b.OnAnswered(7);
        SendChanges(b, a, now);
        BOOST_TEST(!a.CheckBlocked(7, now));
        BOOST_TEST(!b.CheckBlocked(7, now));
    }
}

BOOST_AUTO_TEST_CASE(crashes_detected_by_different_routers_are_counted_together)
{
    std::vector<CrashHistory> routers(3);
    for (size_t i = 0; i < 3; i++)
        routers[i].OnCrash(7, i + 1, kStart);
    for (CrashHistory& from : routers)
        for (CrashHistory& to : routers)
            SendChanges(from, to, kStart);
    for (const CrashHistory& r : routers)
        BOOST_TEST(r.IsBlocked(7, kStart));
}

// Guards against crashing more than three further servers; each trial crashes one.
BOOST_AUTO_TEST_CASE(at_most_three_trials_run_after_a_block_and_one_at_a_time)
{
    CrashHistory h;
    for (uint64_t incarnation : {1, 2, 3})
        h.OnCrash(7, incarnation, kStart);
    unsigned  trials = 0;
    TimePoint last{};
    for (TimePoint now = kStart; !h.Empty(); now += seconds(5))
    {
        if (!h.CheckBlocked(7, now))
        {
            trials++;
            BOOST_TEST((now - last >= kInitialBlock));
            BOOST_TEST(h.CheckBlocked(7, now + seconds(1)));
            h.OnCrash(7, 100 + trials, now + milliseconds(500));
            last = now;
        }
        h.Expire(now);
    }
    BOOST_TEST(trials == kTrialsMax);
}

BOOST_AUTO_TEST_CASE(a_successful_trial_unblocks_the_request)
{
    CrashHistory h;
    for (uint64_t incarnation : {1, 2, 3})
        h.OnCrash(7, incarnation, kStart);
    const TimePoint later = kStart + kInitialBlock + seconds(1);
    BOOST_TEST(!h.CheckBlocked(7, later));
    BOOST_TEST(h.CheckBlocked(7, later + seconds(1)));
    h.OnAnswered(7);
    BOOST_TEST(!h.CheckBlocked(7, later + seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_trial_at_one_router_prevents_trials_at_others)
{
    CrashHistory a;
    CrashHistory b;
    for (uint64_t incarnation : {1, 2, 3})
        a.OnCrash(7, incarnation, kStart);
    SendChanges(a, b, kStart);
    const TimePoint later = kStart + kInitialBlock + seconds(1);
    BOOST_TEST(!a.CheckBlocked(7, later));
    SendChanges(a, b, later);
    BOOST_TEST(b.CheckBlocked(7, later + milliseconds(10)));
}

// Guards against unbounded growth when many different requests lose their servers.
BOOST_AUTO_TEST_CASE(records_are_limited_and_unblocked_ones_are_evicted_first)
{
    CrashHistory h;
    for (uint64_t incarnation : {1, 2, 3})
        h.OnCrash(7, incarnation, kStart);
    for (uint64_t request = 100; request < 100 + 3 * kRecordsMax; request++)
        h.OnCrash(request, 4, kStart + milliseconds(request));
    BOOST_TEST(h.IsBlocked(7, kStart + seconds(10)));
    BOOST_TEST(h.TakeChanged().size() == kRecordsMax);
}

BOOST_AUTO_TEST_CASE(unblocked_records_expire)
{
    CrashHistory h;
    h.OnCrash(7, 1, kStart);
    h.Expire(kStart + kUnblockedRetention);
    BOOST_TEST(!h.Empty());
    h.Expire(kStart + kUnblockedRetention + seconds(1));
    BOOST_TEST(h.Empty());
}

BOOST_AUTO_TEST_CASE(merges_converge_for_any_order_and_loss_of_records)
{
    ALDERVALE_PROPERTY("merges of crashes and answers converge",
                       []
                       {
                           constexpr size_t          kRouters = 4;
                           std::vector<CrashHistory> routers(kRouters);
                           TimePoint                 now   = kStart;
                           const auto                steps = *rc::gen::inRange(1, 40);
                           for (int i = 0; i < steps; i++)
                           {
                               now += milliseconds(*rc::gen::inRange(0, 400));
                               CrashHistory& r           = routers[*rc::gen::inRange<size_t>(0, kRouters)];
                               const auto    request     = *rc::gen::inRange<uint64_t>(1, 4);
                               const auto    incarnation = *rc::gen::inRange<uint64_t>(1, 9);
                               const auto    action      = *rc::gen::inRange(0, 4);
                               if (action == 0)
                                   r.OnAnswered(request);
                               else if (action == 1)
                                   SendChanges(r, routers[*rc::gen::inRange<size_t>(0, kRouters)], now);
                               else
                                   r.OnCrash(request, incarnation, now);
                           }
                           for (int round = 0; round < 3; round++)
                               for (CrashHistory& from : routers)
                                   for (CrashHistory& to : routers)
                                       for (const CrashRecord& record : from.RecordsToResend())
                                           if (to.Merge(record, now) == MergeResult_SenderOutdated)
                                               from.Merge(*to.FindRecord(record.m_Request), now);
                           for (uint64_t request = 1; request < 4; request++)
                               for (const CrashHistory& r : routers)
                                   RC_ASSERT(r.IsBlocked(request, now) == routers[0].IsBlocked(request, now));
                       });
}

// Guards against routers forwarding a record to each other endlessly because its times shift with each transfer.
BOOST_AUTO_TEST_CASE(merging_an_echoed_record_changes_nothing)
{
    CrashHistory h;
    for (uint64_t incarnation : {1, 2, 3})
        h.OnCrash(7, incarnation, kStart);
    BOOST_TEST(!h.CheckBlocked(7, kStart + kInitialBlock));
    CrashRecord echoed = *h.FindRecord(7);
    for (ObservedCrash& c : echoed.m_Crashes)
        c.m_At += seconds(2);
    echoed.m_TrialAt += seconds(2);
    BOOST_TEST(h.Merge(echoed, kStart + kInitialBlock + seconds(2)) == MergeResult_Unchanged);
}

// Guards against blocking requests that only share servers with one that crashes them: 12 servers run 16 requests each, one request crashes three
// servers, and each other request runs at a random server for each crash.
BOOST_AUTO_TEST_CASE(other_requests_at_crashed_servers_are_rarely_blocked)
{
    constexpr unsigned kRuns     = 2000;
    constexpr unsigned kServers  = 12;
    constexpr unsigned kAtServer = 16;
    uint64_t           random    = 20261203;
    const auto         next      = [&] { return random = random * 6364136223846793005ULL + 1442695040888963407ULL; };
    uint64_t           blocked   = 0;
    for (unsigned run = 0; run < kRuns; run++)
    {
        CrashHistory h;
        for (uint64_t crash = 0; crash < kCrashesToBlock; crash++)
            for (uint64_t request = 1; request < kServers * kAtServer; request++)
                if ((next() >> 33) % kServers == 0)
                    h.OnCrash(request, crash, kStart + seconds(crash));
        blocked += h.BlockedCount(kStart + seconds(10));
    }
    const double per_run = static_cast<double>(blocked) / kRuns;
    BOOST_TEST(per_run < 0.2); // 191 x (1 / 12)^3 = 0.11
}
