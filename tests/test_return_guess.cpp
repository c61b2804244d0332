// Who is taken for a caller that was refused before. A replay of callers with limits of their own, and of callers that all have the route's.
#include "request/return_guess.h"
#include "support.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100);
const Duration  kLimit = seconds(6);

// `count` first attempts, 20 ms apart, whose limits are spread evenly over `spread` below the route's; how many were taken for returned ones.
unsigned FirstAttempts(RetryEstimate& g, TimePoint& now, unsigned count, Duration spread)
{
    unsigned taken_for_returned = 0;
    for (unsigned i = 0; i < count; i++)
    {
        now += milliseconds(20);
        const Duration limit = kLimit - spread * (i * 37 % count) / count;
        taken_for_returned += g.OnAttempt(kLimit, limit - milliseconds(3), now) ? 1 : 0;
    }
    return taken_for_returned;
}

} // namespace

// 93 of 100 first attempts were taken for returned ones where callers' limits lie below the route's, each a little different, and none of them
// counted. Here they lie up to 15 in 100 below it.
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

BOOST_AUTO_TEST_CASE(where_all_callers_have_the_routes_limit_one_with_less_was_here_before)
{
    RetryEstimate g;
    TimePoint     now = kStart;
    BOOST_TEST(FirstAttempts(g, now, 200, Duration::zero()) == 0u);
    BOOST_TEST(g.Trusted());
    g.OnRefused(now);
    BOOST_TEST(g.OnAttempt(kLimit, kLimit - milliseconds(900), now + milliseconds(900)));
    BOOST_TEST(!g.OnAttempt(kLimit, kLimit - milliseconds(3), now + milliseconds(901)));
}

// What comes back during an overload says nothing about first attempts.
BOOST_AUTO_TEST_CASE(callers_that_come_back_in_an_overload_do_not_spoil_the_guess)
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

// A router that started into an overload knows nothing of its callers.
BOOST_AUTO_TEST_CASE(without_a_calm_time_nobody_is_taken_for_a_returned_caller)
{
    RetryEstimate g;
    g.OnRefused(kStart);
    for (int i = 1; i < 300; i++)
        BOOST_TEST(!g.OnAttempt(kLimit, seconds(4), kStart + milliseconds(20) * i));
}

BOOST_AUTO_TEST_CASE(properties_of_the_guess)
{
    ALDERVALE_PROPERTY("only a caller with less than the route's limit is ever taken for a returned one",
                       []
                       {
                           RetryEstimate g;
                           TimePoint     now = kStart;
                           FirstAttempts(g, now, 200, Duration::zero());
                           const Duration left = milliseconds(*rc::gen::inRange(0, 8000));
                           const bool     back = g.OnAttempt(kLimit, left, now);
                           RC_ASSERT(!back || left < kLimit);
                       });
}
