// Tests of the detection of retries, for callers with time limits of their own and for callers that all have the route's limit.
#include "request/return_guess.h"
#include "support.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100);
const Duration  kLimit = seconds(6);

// `count` first attempts, 20 ms apart, whose limits are spread evenly over `spread` below the route's. Returns how many were mistaken for retries.
unsigned FirstAttempts(RetryEstimate& g, TimePoint& now, unsigned count, Duration spread)
{
    unsigned mistaken = 0;
    for (unsigned i = 0; i < count; i++)
    {
        now += milliseconds(20);
        const Duration limit = kLimit - spread * (i * 37 % count) / count;
        mistaken += g.OnAttempt(kLimit, limit - milliseconds(3), now) ? 1 : 0;
    }
    return mistaken;
}

} // namespace

// Guards against first attempts that are mistaken for retries: 93 in 100 were, and weren't counted, where callers' limits were below the route's
// and slightly different. In this test they are up to 15 in 100 below it.
BOOST_AUTO_TEST_CASE(callers_with_limits_of_their_own_are_not_taken_for_returned_ones)
{
    RetryEstimate g;
    TimePoint     now = kStart;
    BOOST_TEST(FirstAttempts(g, now, 1000, milliseconds(900)) == 0u);
    g.OnRefused(now);
    BOOST_TEST(FirstAttempts(g, now, 1000, milliseconds(900)) == 0u);
    BOOST_TEST(!g.Trusted());
    BOOST_TEST(g.WrongShare() > 0.9);
}

BOOST_AUTO_TEST_CASE(where_all_callers_have_the_routes_limit_one_with_less_is_a_retry)
{
    RetryEstimate g;
    TimePoint     now = kStart;
    BOOST_TEST(FirstAttempts(g, now, 200, Duration::zero()) == 0u);
    BOOST_TEST(g.Trusted());
    g.OnRefused(now);
    BOOST_TEST(g.OnAttempt(kLimit, kLimit - milliseconds(900), now + milliseconds(900)));
    BOOST_TEST(!g.OnAttempt(kLimit, kLimit - milliseconds(3), now + milliseconds(901)));
}

// Retries during an overload must not count against the estimate, which is about first attempts.
BOOST_AUTO_TEST_CASE(retries_in_an_overload_do_not_invalidate_the_estimate)
{
    RetryEstimate g;
    TimePoint     now = kStart;
    FirstAttempts(g, now, 200, Duration::zero());
    for (int i = 0; i < 1000; i++)
    {
        now += milliseconds(20);
        g.OnRefused(now);
        BOOST_TEST(g.OnAttempt(kLimit, seconds(4), now));
    }
    BOOST_TEST(g.Trusted());
}

// A router that starts during an overload has no calm attempts to judge the estimate by.
BOOST_AUTO_TEST_CASE(without_a_calm_time_no_attempt_counts_as_a_retry)
{
    RetryEstimate g;
    g.OnRefused(kStart);
    for (int i = 1; i < 300; i++)
        BOOST_TEST(!g.OnAttempt(kLimit, seconds(4), kStart + milliseconds(20) * i));
}

BOOST_AUTO_TEST_CASE(properties_of_the_estimate)
{
    ALDERVALE_PROPERTY("only an attempt with less time than the route's limit counts as a retry",
                       []
                       {
                           RetryEstimate g;
                           TimePoint     now = kStart;
                           FirstAttempts(g, now, 200, Duration::zero());
                           const Duration left     = milliseconds(*rc::gen::inRange(0, 8000));
                           const bool     is_retry = g.OnAttempt(kLimit, left, now);
                           RC_ASSERT(!is_retry || left < kLimit);
                       });
}
