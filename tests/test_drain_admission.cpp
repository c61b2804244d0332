// Which requests a draining router still passes on. See src/request/drain_admission.h.
#include "request/drain_admission.h"
#include "support.h"

using namespace aldervale;

namespace
{

constexpr Duration kTimeLimit = seconds(12);

constexpr Duration kDrain = seconds(10);

// A whole answer that may be repeated.
DrainedRequest Repeatable(Duration expected, Duration time_left = kTimeLimit)
{
    return {expected, time_left, false, true};
}

bool Admits(const AnswerTimes& times, double tokens, Duration until_end)
{
    return CanAnswerInTime(Repeatable(times.Expected(tokens, kTimeLimit)), until_end, kDrain);
}

void Add(AnswerTimes& times, int count, double tokens, Duration whole)
{
    for (int i = 0; i < count; i++)
        times.OnAnswered(tokens, whole);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_refused_once_an_answer_takes_longer_than_the_router_has_left)
{
    AnswerTimes times;
    Add(times, 40, 0, seconds(2));
    BOOST_TEST(Admits(times, 0, milliseconds(2200)));
    BOOST_TEST(!Admits(times, 0, milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(answers_with_about_as_many_tokens_decide)
{
    AnswerTimes times;
    Add(times, 20, 100, seconds(1));
    Add(times, 20, 400, seconds(4));
    BOOST_TEST(Admits(times, 120, milliseconds(1200)));
    BOOST_TEST(!Admits(times, 300, milliseconds(1200)));
    BOOST_TEST(Admits(times, 300, milliseconds(4200)));
}

// Guards against times of short answers, or of those whose tokens are unknown, that are multiplied up to those of long ones.
BOOST_AUTO_TEST_CASE(a_few_answers_with_other_tokens_make_no_answer_seem_longer_than_the_longest)
{
    AnswerTimes times;
    Add(times, 60, 200, milliseconds(2200));
    Add(times, 2, 0, milliseconds(2200));
    Add(times, 2, 4, milliseconds(400));
    BOOST_TEST((times.Expected(200, kTimeLimit) == Duration(milliseconds(2200))));
    BOOST_TEST((times.Expected(5000, kTimeLimit) == Duration(milliseconds(2200))));
}

// Guards against a router that has seen one short answer and passes on long ones at its end.
BOOST_AUTO_TEST_CASE(a_few_answers_do_not_say_how_long_others_may_take)
{
    AnswerTimes times;
    BOOST_TEST((times.Expected(100, seconds(5)) == Duration(seconds(5))));
    Add(times, 1, 0, seconds(2));
    BOOST_TEST((times.Expected(0, seconds(5)) == Duration(seconds(5))));
    BOOST_TEST((times.Expected(0, seconds(1)) == Duration(seconds(2))));
    Add(times, static_cast<int>(kAnswersMin) - 1, 0, seconds(2));
    BOOST_TEST((times.Expected(0, seconds(5)) == Duration(seconds(2))));
}

BOOST_AUTO_TEST_CASE(a_request_whose_time_ends_before_the_router_is_admitted)
{
    for (const bool is_stream : {false, true})
        for (const bool may_repeat : {false, true})
        {
            BOOST_TEST(CanAnswerInTime({seconds(20), seconds(2), is_stream, may_repeat}, seconds(3), kDrain));
            BOOST_TEST(CanAnswerInTime({seconds(20), milliseconds(100), is_stream, may_repeat}, milliseconds(100), kDrain));
        }
}

// Guards against answers that are cut off because they take longer than all that were seen: 11 of 40 streams, and as many requests that may not be
// repeated, where answers had taken 60 ms and then took 2.5 s.
BOOST_AUTO_TEST_CASE(short_answers_of_others_admit_no_stream_and_no_request_that_may_not_be_repeated_late_in_the_drain)
{
    const Duration                    usual   = milliseconds(60);
    const std::vector<DrainedRequest> losable = {
        {usual, kTimeLimit, true, true}, {usual, kTimeLimit, true, false}, {usual, kTimeLimit, false, false}};
    for (const DrainedRequest& r : losable)
    {
        BOOST_TEST(CanAnswerInTime(r, kDrain, kDrain));
        BOOST_TEST(CanAnswerInTime(r, seconds(6), kDrain));
        BOOST_TEST(!CanAnswerInTime(r, milliseconds(5999), kDrain));
        BOOST_TEST(!CanAnswerInTime(r, seconds(1), kDrain));
    }
    BOOST_TEST(CanAnswerInTime(Repeatable(usual), seconds(1), kDrain)); // its caller is told, and sends it again
}

BOOST_AUTO_TEST_CASE(what_may_not_be_repeated_needs_twice_the_time)
{
    BOOST_TEST(CanAnswerInTime({seconds(4), kTimeLimit, false, false}, milliseconds(8100), kDrain));
    BOOST_TEST(!CanAnswerInTime({seconds(4), kTimeLimit, false, false}, milliseconds(8000), kDrain));
    BOOST_TEST(CanAnswerInTime({seconds(4), kTimeLimit, true, true}, milliseconds(6100), kDrain));
}

BOOST_AUTO_TEST_CASE(nothing_is_admitted_at_the_end)
{
    BOOST_TEST(!CanAnswerInTime(Repeatable({}, seconds(-1)), {}, kDrain));
    BOOST_TEST(!CanAnswerInTime(Repeatable({}, seconds(2)), seconds(-1), kDrain));
}

BOOST_AUTO_TEST_CASE(the_longest_of_the_last_answers_decides_and_old_ones_are_forgotten)
{
    AnswerTimes times;
    Add(times, 39, 0, milliseconds(50));
    Add(times, 1, 0, seconds(9));
    BOOST_TEST(!Admits(times, 0, seconds(9)));
    Add(times, kAnswersKept, 0, seconds(3));
    BOOST_TEST(Admits(times, 0, seconds(4)));
    BOOST_TEST(!Admits(times, 0, seconds(3)));
}
