// What an agent does about its server's weights: which version to fetch, which to start, and when its turn is.
#include "support.h"
#include "version/start_plan.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100);

PlanInput Reachable(uint64_t held)
{
    PlanInput in;
    in.m_Reachable = true;
    in.m_Held      = held;
    return in;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_empty_server_gets_version_one_and_starts_it_at_once)
{
    StartPlan p({}, 7);
    PlanInput in = Reachable(0);
    BOOST_TEST(p.NextFetch(in) == 1u);
    BOOST_TEST(p.NextStart(in, kStart) == 0u);
    in.m_Fetching   = 1;
    in.m_FetchWhole = true;
    in.m_Whole      = 1;
    BOOST_TEST(p.NextFetch(in) == 0u);
    BOOST_TEST(p.NextStart(in, kStart) == 1u);
    in.m_Held = 1;
    BOOST_TEST(p.NextStart(in, kStart) == 0u);
}

BOOST_AUTO_TEST_CASE(a_server_that_serves_waits_for_its_turn)
{
    StartPlan p({}, 7);
    p.OnNamed(2, kStart);
    PlanInput in    = Reachable(1);
    in.m_Fetching   = 2;
    in.m_FetchWhole = true;
    in.m_Whole      = 2;
    BOOST_TEST(p.NextStart(in, p.TurnOf(2) - milliseconds(1)) == 0u);
    BOOST_TEST(p.NextStart(in, p.TurnOf(2)) == 2u);
    in.m_Busy = true;
    BOOST_TEST(p.NextStart(in, p.TurnOf(2)) == 0u);
}

BOOST_AUTO_TEST_CASE(a_newer_version_ends_a_fetch_that_began_shortly_before_it)
{
    StartPlan p({}, 7);
    p.OnNamed(2, kStart);
    PlanInput in  = Reachable(1);
    in.m_Fetching = 2;
    p.OnNamed(3, kStart + seconds(1));
    BOOST_TEST(p.NextFetch(in) == 3u);
}

BOOST_AUTO_TEST_CASE(a_fetch_that_is_nearly_whole_is_ended_before_the_newer_version_is_fetched)
{
    StartPlan p({}, 7);
    p.OnNamed(2, kStart);
    PlanInput in  = Reachable(1);
    in.m_Fetching = 2;
    p.OnNamed(3, kStart + seconds(4));
    BOOST_TEST(p.NextFetch(in) == 2u);
    in.m_FetchWhole = true;
    in.m_Whole      = 2;
    BOOST_TEST(p.NextFetch(in) == 3u);
    BOOST_TEST(p.NextStart(in, p.TurnOf(2)) == 2u); // meanwhile the older one serves
}

BOOST_AUTO_TEST_CASE(versions_never_go_back)
{
    StartPlan p({}, 7);
    p.OnNamed(5, kStart);
    p.OnNamed(4, kStart);
    BOOST_TEST(p.Target() == 5u);
    PlanInput in = Reachable(5);
    in.m_Whole   = 4;
    BOOST_TEST(p.NextFetch(in) == 0u);
    BOOST_TEST(p.NextStart(in, kStart + seconds(60)) == 0u);
}

BOOST_AUTO_TEST_CASE(after_a_refused_order_the_next_one_waits)
{
    const StartPlanConfig cfg;
    StartPlan             p(cfg, 7);
    PlanInput             in = Reachable(0);
    in.m_Whole               = 1;
    p.OnOrderFailed(kStart);
    BOOST_TEST(p.NextStart(in, kStart) == 0u);
    BOOST_TEST(p.NextStart(in, kStart + cfg.m_OrderPause) == 1u);
}

BOOST_AUTO_TEST_CASE(turns_lie_within_the_deadline_and_spread_over_boxes)
{
    ALDERVALE_PROPERTY("every box's turn lies between the first and the last wave", [](uint64_t box, uint32_t version) {
        const StartPlanConfig cfg;
        StartPlan             p(cfg, box);
        p.OnNamed(version + 2ull, kStart);
        const double share = ToSeconds(p.TurnOf(version + 2ull) - kStart) / ToSeconds(cfg.m_Deadline);
        RC_ASSERT(share >= cfg.m_FirstWave - 1e-6);
        RC_ASSERT(share <= cfg.m_LastWave + 1e-6);
    });
    std::map<TimePoint, int> waves;
    for (int i = 0; i < 400; i++)
    {
        StartPlan p({}, Hash64("box-" + std::to_string(i)));
        p.OnNamed(2, kStart);
        waves[p.TurnOf(2)]++;
    }
    BOOST_TEST(waves.size() == StartPlanConfig{}.m_Waves);
    for (const auto& [at, n] : waves)
        BOOST_TEST(n > 60);
}
