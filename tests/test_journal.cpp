// Journal of keyed calls: a call runs at most once despite repeats, restarts, evictions and changes of home.
#include "request/homes.h"
#include "request/key_journal.h"
#include "support.h"
#include <set>

using namespace aldervale;

namespace
{

constexpr int64_t kStart = 1'800'000'000'000; // wall clock, ms

std::string Key(int64_t minted_ms, uint64_t n)
{
    return MakeUuid7(minted_ms, n, n);
}

StoredResult Ran(const std::string& body)
{
    return {Verdict_Ran, 201, {}, body};
}

} // namespace

BOOST_AUTO_TEST_CASE(uuid7_round_trip)
{
    ALDERVALE_PROPERTY("MintedAtMs() returns the time passed to MakeUuid7()",
                       [](uint64_t a, uint64_t b)
                       {
                           const int64_t ms = *rc::gen::inRange<int64_t>(0, int64_t{1} << 47);
                           RC_ASSERT(MintedAtMs(MakeUuid7(ms, a, b)) == std::optional<int64_t>(ms));
                       });
    std::set<std::string> distinct; // guards against the version and variant bits overwriting low bits of both random numbers
    for (uint64_t n = 0; n < 1000; n++)
        distinct.insert(MakeUuid7(kStart, 0, n));
    for (uint64_t n = 1; n < 1000; n++)
        distinct.insert(MakeUuid7(kStart, n, 0));
    BOOST_CHECK_EQUAL(distinct.size(), 1999u);
    BOOST_CHECK(!MintedAtMs("not a key"));
    BOOST_CHECK(!MintedAtMs("018f0000-0000-4000-8000-000000000000")); // version 4
    BOOST_CHECK(!MintedAtMs("018f0000-0000-7000-c000-000000000000")); // wrong variant
}

BOOST_AUTO_TEST_CASE(repeat_is_answered_from_the_journal)
{
    KeyJournal        j({}, kStart);
    const int64_t     now = kStart + 10'000;
    const std::string key = Key(now, 1);
    BOOST_CHECK(j.Begin("s/a", key, 7, now, true).m_Type == JournalDecision_Run);
    BOOST_CHECK(j.Begin("s/a", key, 7, now, true).m_Type == JournalDecision_Running);
    j.Finish("s/a", key, Ran("answer"));
    const JournalAnswer again = j.Begin("s/a", key, 7, now + 1000, true);
    BOOST_REQUIRE(again.m_Type == JournalDecision_Replay);
    BOOST_CHECK_EQUAL(again.m_Result->m_Body, "answer");
    BOOST_CHECK(j.Begin("s/a", key, 8, now, true).m_Type == JournalDecision_Mismatch);
    BOOST_CHECK(j.Begin("s/b", key, 8, now, true).m_Type == JournalDecision_Run); // the same key of another account is a different key
}

BOOST_AUTO_TEST_CASE(restarted_journal_refuses_keys_minted_before_its_horizon)
{
    const std::string key = Key(kStart + 5000, 1);
    KeyJournal        restarted({}, kStart + 6000);
    BOOST_CHECK(restarted.Begin("s", key, 7, kStart + 7000, true).m_Type == JournalDecision_TooOld);
    BOOST_CHECK(restarted.Begin("s", Key(kStart + 9000, 2), 7, kStart + 9000, true).m_Type == JournalDecision_Run);
}

BOOST_AUTO_TEST_CASE(key_from_the_future_is_refused)
{
    KeyJournal j({}, kStart);
    BOOST_CHECK(j.Begin("s", Key(kStart + 60'000, 1), 7, kStart + 5000, true).m_Type == JournalDecision_FromFuture);
}

BOOST_AUTO_TEST_CASE(lookup_without_accept_does_not_run_new_keys)
{
    KeyJournal        j({}, kStart);
    const std::string key = Key(kStart + 5000, 1);
    BOOST_CHECK(j.Begin("s", key, 7, kStart + 5000, false).m_Type == JournalDecision_Refused);
    BOOST_CHECK(j.Begin("s", key, 7, kStart + 5000, true).m_Type == JournalDecision_Run);
    BOOST_CHECK(j.Begin("s", key, 7, kStart + 5000, false).m_Type == JournalDecision_Running);
}

BOOST_AUTO_TEST_CASE(evicted_key_is_too_old_and_never_runs_again)
{
    JournalConfig cfg;
    cfg.m_MaxEntries = 16;
    KeyJournal               j(cfg, kStart);
    std::vector<std::string> keys;
    for (uint64_t n = 0; n < 200; n++)
    {
        keys.push_back(Key(kStart + 3000 + static_cast<int64_t>(n), n));
        const auto a = j.Begin("s", keys.back(), 7, kStart + 4000, true);
        BOOST_REQUIRE(a.m_Type == JournalDecision_Run || a.m_Type == JournalDecision_TooOld);
        if (a.m_Type == JournalDecision_Run)
            j.Finish("s", keys.back(), Ran("x"));
    }
    for (const std::string& key : keys)
    {
        const auto type = j.Begin("s", key, 7, kStart + 4000, true).m_Type;
        BOOST_CHECK(type == JournalDecision_Replay || type == JournalDecision_TooOld);
    }
}

BOOST_AUTO_TEST_CASE(any_interleaving_runs_a_key_at_most_once_and_every_not_run_is_true)
{
    ALDERVALE_PROPERTY("a key runs at most once despite repeats, restarts, lost answers and evictions",
                       []
                       {
                           JournalConfig cfg;
                           cfg.m_MaxEntries                 = 32;
                           int64_t                     now  = kStart + 10'000;
                           auto                        home = std::make_unique<KeyJournal>(cfg, kStart);
                           std::map<std::string, int>  runs;
                           std::set<std::string>       reported_not_run;
                           std::map<std::string, bool> running; // forwarded, not yet finished
                           std::vector<std::string>    keys;
                           const auto                  steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
                           uint64_t                    n     = 0;
                           for (const int step : steps)
                           {
                               now += *rc::gen::inRange<int64_t>(0, 1500);
                               if (step <= 1 || keys.empty())
                                   keys.push_back(Key(now + *rc::gen::inRange<int64_t>(-1500, 1500), ++n)); // the clocks of caller and home differ
                               const std::string key =
                                   step <= 1 ? keys.back() : keys[static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(keys.size())))];
                               if (step == 7)
                               {
                                   home = std::make_unique<KeyJournal>(cfg, now); // the agent restarts; running calls may still finish at the server
                                   running.clear();
                                   continue;
                               }
                               if (step == 6 && running[key])
                               {
                                   home->Finish("s", key, Ran("x"));
                                   running[key] = false;
                                   continue;
                               }
                               const JournalAnswer a = home->Begin("s", key, 7, now, step != 5);
                               if (a.m_Type == JournalDecision_Run)
                               {
                                   runs[key]++;
                                   running[key] = true;
                               }
                               if (a.m_Type == JournalDecision_FromFuture || a.m_Type == JournalDecision_Refused)
                                   RC_ASSERT(runs[key] == 0); // reported "not run"
                           }
                           for (const auto& [key, count] : runs)
                               RC_ASSERT(count <= 1);
                       });
}

BOOST_AUTO_TEST_CASE(replacing_one_home_moves_only_its_keys)
{
    ServiceSpec before;
    before.m_Boxes    = {"a", "b", "c"};
    ServiceSpec after = before;
    after.m_Boxes[1]  = "d";
    BOOST_CHECK_NE(HomesEpoch(before), HomesEpoch(after));
    for (uint64_t n = 0; n < 300; n++)
    {
        const std::string key = Key(kStart, n);
        const std::string old = HomeOf(before, key);
        BOOST_CHECK_EQUAL(HomeOf(after, key), old == "b" ? "d" : old);
    }
}
