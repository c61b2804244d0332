// Which requests a draining router still passes on. See src/request/drain_admission.h.
#include "request/drain_admission.h"
#include "support.h"

using namespace aldervale;

namespace
{

constexpr Duration kTimeLimit = seconds(12);

bool Admits(const AnswerTimes& times, double tokens, Duration until_end)
{
    return CanAnswerInTime(times.Expected(tokens), kTimeLimit, until_end);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_refused_once_an_answer_takes_longer_than_the_router_has_left)
{
    AnswerTimes times;
    for (int i = 0; i < 20; i++)
        times.OnAnswered(0, seconds(2), seconds(2));
    BOOST_TEST(Admits(times, 0, milliseconds(2200)));
    BOOST_TEST(!Admits(times, 0, milliseconds(2000)));
    BOOST_TEST(!Admits(times, 0, seconds(-1)));
}

BOOST_AUTO_TEST_CASE(a_longer_answer_is_expected_to_take_longer)
{
    AnswerTimes times;
    times.OnAnswered(100, milliseconds(200), milliseconds(1200));
    BOOST_TEST(Admits(times, 100, milliseconds(1400)));
    BOOST_TEST(!Admits(times, 300, milliseconds(1400)));
    BOOST_TEST(Admits(times, 300, milliseconds(3400)));
}

BOOST_AUTO_TEST_CASE(without_answers_so_far_only_the_time_limit_counts)
{
    const AnswerTimes none;
    BOOST_TEST(!Admits(none, 0, seconds(6)));
    BOOST_TEST(Admits(none, 0, kTimeLimit));
}

BOOST_AUTO_TEST_CASE(a_request_whose_time_ends_before_the_router_is_admitted)
{
    AnswerTimes times;
    times.OnAnswered(0, seconds(20), seconds(20));
    BOOST_TEST(CanAnswerInTime(times.Expected(0), seconds(2), seconds(3)));
}

BOOST_AUTO_TEST_CASE(a_rare_slow_answer_does_not_decide_and_old_answers_are_forgotten)
{
    AnswerTimes times;
    for (int i = 0; i < 39; i++)
        times.OnAnswered(0, milliseconds(50), milliseconds(50));
    times.OnAnswered(0, seconds(9), seconds(9));
    BOOST_TEST(Admits(times, 0, seconds(1)));
    for (size_t i = 0; i < kAnswersKept; i++)
        times.OnAnswered(0, seconds(3), seconds(3));
    BOOST_TEST(!Admits(times, 0, seconds(3)));
}
