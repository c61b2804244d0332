// For how long a process has known of declarations that it doesn't hold, and when that is told.
#include "process/declarations_lag.h"
#include "support.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100);

TimePoint At(int ms)
{
    return kStart + milliseconds(ms);
}

} // namespace

BOOST_AUTO_TEST_CASE(the_oldest_missing_version_counts)
{
    DeclarationsLag lag;
    lag.Note(5, 5, At(0));
    BOOST_TEST((lag.Behind(At(5000)) == Duration::zero()));
    lag.Note(5, 6, At(100));
    lag.Note(5, 7, At(300));
    lag.Note(5, 7, At(400)); // told again: heard of before
    BOOST_TEST((lag.Behind(At(500)) == milliseconds(400)));
    lag.Note(6, 7, At(600));
    BOOST_TEST((lag.Behind(At(600)) == milliseconds(300)));
    lag.Note(7, 7, At(700));
    BOOST_TEST((lag.Behind(At(700)) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(being_behind_is_told_once_and_so_is_its_end)
{
    DeclarationsLag lag;
    lag.Note(5, 6, At(0));
    BOOST_TEST(lag.Look(At(1000)) == LagTurn_None);
    BOOST_TEST(lag.Look(At(1100)) == LagTurn_Behind);
    BOOST_TEST(lag.Look(At(1200)) == LagTurn_None);
    lag.Note(6, 8, At(1250)); // a newer one is missing, but has been so for a short while only
    BOOST_TEST(lag.Look(At(1300)) == LagTurn_CaughtUp);
    BOOST_TEST((lag.Worst() == milliseconds(1200)));
    BOOST_TEST(lag.Look(At(1400)) == LagTurn_None);
    BOOST_TEST(lag.Look(At(2300)) == LagTurn_Behind);
    BOOST_TEST((lag.Worst() == milliseconds(1050)));
}

BOOST_AUTO_TEST_CASE(a_long_series_of_missing_versions_takes_bounded_memory_and_keeps_its_oldest)
{
    DeclarationsLag lag;
    for (int i = 0; i < 10'000; i++)
        lag.Note(1, 2 + i, At(i));
    BOOST_TEST((lag.Behind(At(10'000)) == milliseconds(10'000)));
    lag.Note(10'000, 10'001, At(10'000));
    BOOST_TEST((lag.Behind(At(10'000)) > Duration::zero())); // the newest isn't forgotten
    lag.Note(10'001, 10'001, At(10'000));
    BOOST_TEST((lag.Behind(At(10'000)) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(an_age_of_what_never_was_is_told_apart)
{
    BOOST_TEST(AgeOrNever(TimePoint{}, kStart) == -1);
    BOOST_TEST(AgeOrNever(kStart, At(250)) == 250);
}
