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
    StartPlan p({});
    PlanInput in = Reachable(0);
    BOOST_TEST(p.NextFetch(in, kStart) == 1u);
    BOOST_TEST(p.NextStart(in, kStart) == 0u);
    in.m_Fetching   = 1;
    in.m_FetchWhole = true;
    in.m_Whole      = 1;
    BOOST_TEST(p.NextFetch(in, kStart) == 0u);
    BOOST_TEST(p.NextStart(in, kStart) == 1u);
    in.m_Held = 1;
    BOOST_TEST(p.NextStart(in, kStart) == 0u);
}

BOOST_AUTO_TEST_CASE(a_server_that_serves_waits_for_its_turn)
{
    StartPlan p({});
    p.OnNamed(2, kStart);
    PlanInput in    = Reachable(1);
    in.m_Fetching   = 2;
    in.m_FetchWhole = true;
    in.m_Whole      = 2;
    BOOST_TEST(p.NextStart(in, p.TurnOf(in) - milliseconds(1)) == 0u);
    BOOST_TEST(p.NextStart(in, p.TurnOf(in)) == 2u);
    in.m_Busy = true;
    BOOST_TEST(p.NextStart(in, p.TurnOf(in)) == 0u);
}

BOOST_AUTO_TEST_CASE(a_newer_version_ends_a_fetch_that_began_shortly_before_it)
{
    StartPlan p({});
    p.OnNamed(2, kStart);
    PlanInput in  = Reachable(1);
    in.m_Fetching = 2;
    p.OnNamed(3, kStart + seconds(1));
    BOOST_TEST(p.NextFetch(in, kStart + seconds(1)) == 3u);
}

BOOST_AUTO_TEST_CASE(a_fetch_that_is_nearly_whole_is_ended_before_the_newer_version_is_fetched)
{
    StartPlan p({});
    p.OnNamed(2, kStart);
    PlanInput in  = Reachable(1);
    in.m_Fetching = 2;
    p.OnNamed(3, kStart + seconds(4));
    BOOST_TEST(p.NextFetch(in, kStart + seconds(4)) == 2u);
    in.m_FetchWhole = true;
    in.m_Whole      = 2;
    BOOST_TEST(p.NextFetch(in, kStart + seconds(4)) == 3u);
    BOOST_TEST(p.NextStart(in, p.TurnOf(in)) == 2u); // meanwhile the older one serves
}

BOOST_AUTO_TEST_CASE(a_fetch_that_hangs_gives_way_to_the_newer_version_before_its_time_is_up)
{
    const StartPlanConfig cfg;
    StartPlan             p(cfg);
    p.OnNamed(2, kStart);
    p.OnNamed(3, kStart + seconds(3));
    PlanInput in  = Reachable(1);
    in.m_Fetching = 2;
    BOOST_TEST(p.NextFetch(in, kStart + seconds(4)) == 2u);
    BOOST_TEST(p.NextFetch(in, kStart + cfg.m_Deadline) == 3u);
}

// The load: version 3 is named 2 s after version 2, and the origin falls silent 0.5 s later for 6 s.
BOOST_AUTO_TEST_CASE(while_the_newest_version_stalls_the_one_before_is_fetched_on_and_serves_meanwhile)
{
    StartPlan p({});
    p.OnNamed(2, kStart);
    p.OnNamed(3, kStart + seconds(2));
    PlanInput in  = Reachable(1);
    in.m_Fetching = 2;
    in.m_Partial  = 2;
    TimePoint now = kStart + seconds(2);
    BOOST_TEST(p.NextFetch(in, now) == 3u); // pieces of the newest one come
    in.m_Fetching   = 3;
    in.m_FetchQuiet = milliseconds(500);
    BOOST_TEST(p.NextFetch(in, now) == 3u);
    in.m_FetchQuiet = milliseconds(1000); // and then none any more
    now += milliseconds(1500);
    BOOST_TEST(p.NextFetch(in, now) == 2u);
    in.m_Fetching   = 2;
    in.m_FetchQuiet = milliseconds(100);
    BOOST_TEST(p.NextFetch(in, now) == 2u); // goes on while pieces come
    in.m_FetchQuiet = milliseconds(1000);
    BOOST_TEST(p.NextFetch(in, now) == 3u); // neighbours have no more of it
    in.m_Fetching = 3;
    BOOST_TEST(p.NextFetch(in, now) == 2u); // by turns
    in.m_Fetching   = 2;
    in.m_FetchQuiet = milliseconds(100);
    in.m_FetchWhole = true;
    in.m_Whole      = 2;
    in.m_Partial    = 0;
    BOOST_TEST(p.NextFetch(in, now) == 3u);
    BOOST_TEST(p.NextStart(in, p.TurnOf(in)) == 2u);
}

BOOST_AUTO_TEST_CASE(a_version_that_could_not_serve_for_long_any_more_is_not_fetched_on)
{
    const StartPlanConfig cfg;
    StartPlan             p(cfg);
    p.OnNamed(2, kStart);
    p.OnNamed(3, kStart + seconds(1));
    PlanInput in    = Reachable(1);
    in.m_Fetching   = 3;
    in.m_Partial    = 2;
    in.m_FetchQuiet = seconds(2);
    BOOST_TEST(p.NextFetch(in, kStart + seconds(3)) == 2u);
    in.m_Fetching = 3;
    BOOST_TEST(p.NextFetch(in, kStart + seconds(1) + cfg.m_Deadline) == 3u);
}

BOOST_AUTO_TEST_CASE(versions_never_go_back)
{
    StartPlan p({});
    p.OnNamed(5, kStart);
    p.OnNamed(4, kStart);
    BOOST_TEST(p.Target() == 5u);
    PlanInput in = Reachable(5);
    in.m_Whole   = 4;
    BOOST_TEST(p.NextFetch(in, kStart) == 0u);
    BOOST_TEST(p.NextStart(in, kStart + seconds(60)) == 0u);
}

BOOST_AUTO_TEST_CASE(after_a_refused_order_the_next_one_waits)
{
    const StartPlanConfig cfg;
    StartPlan             p(cfg);
    PlanInput             in = Reachable(0);
    in.m_Whole               = 1;
    p.OnOrderFailed(kStart);
    BOOST_TEST(p.NextStart(in, kStart) == 0u);
    BOOST_TEST(p.NextStart(in, kStart + cfg.m_OrderPause) == 1u);
}

BOOST_AUTO_TEST_CASE(turns_lie_within_the_deadline_and_are_spread_evenly)
{
    ALDERVALE_PROPERTY("every box's turn lies between the first and the last one, later for a higher rank",
                       []
                       {
                           const StartPlanConfig cfg;
                           StartPlan             p(cfg);
                           p.OnNamed(2, kStart);
                           PlanInput in = Reachable(1);
                           in.m_Whole   = 2;
                           in.m_Boxes   = *rc::gen::inRange<size_t>(1, 60);
                           TimePoint before{};
                           for (in.m_Rank = 0; in.m_Rank < in.m_Boxes; in.m_Rank++)
                           {
                               const double share = ToSeconds(p.TurnOf(in) - kStart) / ToSeconds(cfg.m_Deadline);
                               RC_ASSERT(share >= cfg.m_FirstTurn - 1e-6);
                               RC_ASSERT(share <= cfg.m_LastTurn + 1e-6);
                               RC_ASSERT(p.TurnOf(in) > before);
                               before = p.TurnOf(in);
                           }
                       });
}

BOOST_AUTO_TEST_CASE(a_plan_tells_since_when_newer_versions_than_the_held_one_are_named)
{
    StartPlan p({});
    BOOST_TEST(p.NamedAfter(1, kStart).empty());
    p.OnNamed(2, TimePoint{}); // before this process started
    p.OnNamed(3, kStart);
    const std::vector<NamedAge> want = {{2, -1}, {3, 500}};
    BOOST_TEST((p.NamedAfter(1, kStart + milliseconds(500)) == want));
    const std::vector<NamedAge> newest = {{3, 500}}; // told also by who holds it
    BOOST_TEST((p.NamedAfter(3, kStart + milliseconds(500)) == newest));
}
