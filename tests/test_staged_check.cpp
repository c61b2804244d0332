// Tests of how long a check of staged pieces holds.
#include "support.h"
#include "version/staged_check.h"

using namespace aldervale;

namespace
{

constexpr TimePoint kStart = TimePoint{} + seconds(100);
constexpr auto      kTick  = milliseconds(1);

} // namespace

BOOST_AUTO_TEST_CASE(pieces_that_were_never_checked_allow_no_order)
{
    StagedCheck check(2);
    BOOST_TEST(check.IsStale(0, kStart));
    check.OnChecked(0, kStart);
    BOOST_TEST(!check.IsStale(0, kStart));
    BOOST_TEST(!check.AllowsOrder(kStart));
    BOOST_TEST(!check.Covers(kStart));
    check.OnChecked(1, kStart);
    BOOST_TEST(check.AllowsOrder(kStart));
    BOOST_TEST(check.Covers(kStart));
}

// Guards against a check that took long and counts from its end.
BOOST_AUTO_TEST_CASE(the_oldest_check_decides_and_only_stale_pieces_are_read_again)
{
    StagedCheck     check(2);
    const TimePoint last = kStart + milliseconds(1000);
    check.OnChecked(0, kStart);
    check.OnChecked(1, last);
    const TimePoint end = kStart + kStagedCheckMax - kStartOrderTimeout; // the answer to an order sent now may come kStartOrderTimeout later
    BOOST_TEST(check.AllowsOrder(end));
    BOOST_TEST(!check.AllowsOrder(end + kTick));
    BOOST_TEST(check.IsStale(0, end + kTick));
    BOOST_TEST(!check.IsStale(1, end + kTick));
    check.OnChecked(0, end);
    BOOST_TEST(check.AllowsOrder(end + kTick));
    BOOST_TEST((check.Age(end) == end - last));
}

BOOST_AUTO_TEST_CASE(an_order_that_was_taken_after_the_checks_had_expired_is_not_covered)
{
    StagedCheck check(1);
    check.OnChecked(0, kStart);
    BOOST_TEST(check.Covers(kStart + kStagedCheckMax));
    BOOST_TEST(!check.Covers(kStart + kStagedCheckMax + kTick));
}

// An order that is allowed and answered in time is always covered, whenever the pieces were read.
BOOST_AUTO_TEST_CASE(orders_that_are_allowed_and_answered_in_time_are_covered)
{
    ALDERVALE_PROPERTY("covered",
                       []
                       {
                           const auto  ages = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5000)));
                           StagedCheck check(ages.size());
                           for (size_t n = 0; n < ages.size(); n++)
                               check.OnChecked(n, kStart - milliseconds(ages[n]));
                           const auto answered = kStart + milliseconds(*rc::gen::inRange(0, 801));
                           const bool holds    = !check.AllowsOrder(kStart) || check.Covers(answered);
                           RC_ASSERT(holds);
                       });
}
