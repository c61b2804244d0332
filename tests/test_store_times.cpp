// Tests of bounds of the time at which a row of the store was written: a bound is never after it, and close to it while several processes read.
#include "process/store_times.h"
#include "support.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(1000);

// A store whose clock differs from the processes' by a fixed time, and its versions.
struct FakeStore
{
    Duration m_Ahead{};       // its clock, compared with that of the processes
    uint64_t m_Version = 100; //

    StoreMoment At(TimePoint t) const { return {m_Version, ToMs(t.time_since_epoch() + m_Ahead)}; }
};

// A process that asks the store in turn: each answer comes `way` after it was made, which is `way` and `wait` after it was asked for.
struct Reader
{
    StoreTimes m_Times;

    TimePoint Read(const FakeStore& store, TimePoint made, Duration way, Duration wait = {})
    {
        return m_Times.OnAnswer(store.At(made), made - wait - way, wait, made + way);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_row_was_written_after_the_last_answer_with_an_older_version)
{
    FakeStore store{seconds(77)};
    Reader    r;
    r.Read(store, kStart, milliseconds(3));
    r.Read(store, kStart + seconds(1), milliseconds(3), milliseconds(350));
    const TimePoint written = kStart + milliseconds(1200);
    store.m_Version         = 101;
    r.Read(store, kStart + milliseconds(1600), milliseconds(3));
    const TimePoint bound = r.m_Times.NotBefore(101, kStart + seconds(2));
    BOOST_TEST((bound <= kStart + seconds(1)));
    BOOST_TEST((bound > kStart + milliseconds(960)));
    BOOST_TEST((bound < written));
    BOOST_TEST((r.m_Times.NotBefore(100, kStart + seconds(2)) == TimePoint{}));
}

BOOST_AUTO_TEST_CASE(moments_of_other_processes_count_whenever_they_arrive)
{
    FakeStore store{-seconds(5)};
    Reader    r;
    r.Read(store, kStart, milliseconds(3));
    const StoreMoment told = store.At(kStart + milliseconds(900));
    store.m_Version        = 101;
    r.Read(store, kStart + seconds(1), milliseconds(3));
    BOOST_TEST((r.m_Times.NotBefore(101, kStart + seconds(1)) <= kStart));
    r.m_Times.OnTold(told); // seconds late
    const TimePoint bound = r.m_Times.NotBefore(101, kStart + seconds(4));
    BOOST_TEST((bound <= kStart + milliseconds(900)));
    BOOST_TEST((bound > kStart + milliseconds(860)));
}

BOOST_AUTO_TEST_CASE(without_an_own_exchange_nothing_is_known)
{
    StoreTimes t;
    t.OnTold({100, 5000});
    BOOST_TEST((t.NotBefore(101, kStart) == TimePoint{}));
    BOOST_TEST(t.Newest().m_Version == 100u);
}

BOOST_AUTO_TEST_CASE(an_answer_that_the_store_held_back_bounds_nothing)
{
    FakeStore store{};
    Reader    r;
    r.Read(store, kStart, milliseconds(3));
    const TimePoint asked = kStart + seconds(1);
    const TimePoint sent  = asked + seconds(2); // made at once, and its clock was read as it was sent
    BOOST_TEST((r.m_Times.OnAnswer(store.At(sent), asked, {}, sent + milliseconds(3)) == asked));
    BOOST_TEST((r.m_Times.NotBefore(101, sent) <= kStart));
}

BOOST_AUTO_TEST_CASE(a_clock_that_was_reset_or_stood_still_makes_what_was_known_void)
{
    FakeStore store{};
    Reader    r;
    r.Read(store, kStart, milliseconds(3));
    store.m_Ahead   = -seconds(500); // the store was started anew
    store.m_Version = 101;
    r.Read(store, kStart + seconds(1), milliseconds(3));
    BOOST_TEST((r.m_Times.NotBefore(101, kStart + seconds(1)) == TimePoint{}));
    store.m_Version       = 102;
    const TimePoint bound = r.m_Times.NotBefore(102, kStart + seconds(2));
    BOOST_TEST((bound <= kStart + seconds(1)));
    BOOST_TEST((bound > kStart + milliseconds(960)));
    store.m_Ahead = seconds(10); // this process's clock stood still for as long
    r.Read(store, kStart + seconds(3), milliseconds(3));
    BOOST_TEST((r.m_Times.NotBefore(103, kStart + seconds(3)) <= kStart + seconds(3)));
    BOOST_TEST((r.m_Times.NotBefore(103, kStart + seconds(3)) > kStart + milliseconds(2960)));
}

BOOST_AUTO_TEST_CASE(a_bound_is_never_after_the_write_and_close_to_it)
{
    ALDERVALE_PROPERTY("bounds of random histories of several readers hold",
                       []
                       {
                           constexpr int    kReaders = 6;
                           constexpr auto   kPeriod  = milliseconds(950); // between two answers to a reader
                           const auto       ahead    = milliseconds(*rc::gen::inRange(-100'000, 100'000));
                           const auto       way_max  = *rc::gen::inRange(1, 40);
                           FakeStore        store{ahead};
                           Reader           own;
                           std::vector<int> phases;
                           for (int i = 0; i < kReaders; i++)
                               phases.push_back(*rc::gen::inRange(0, 950));
                           const TimePoint written = kStart + seconds(3) + milliseconds(*rc::gen::inRange(0, 950));
                           TimePoint       last{}; // answer to any reader before the write
                           own.Read(store, kStart, milliseconds(1));
                           for (int round = 0; round < 4; round++)
                               for (int i = 0; i < kReaders; i++)
                               {
                                   const TimePoint made = kStart + kPeriod * round + milliseconds(phases[static_cast<size_t>(i)]);
                                   const auto      way  = milliseconds(*rc::gen::inRange(1, way_max + 1));
                                   if (made >= written)
                                       continue;
                                   last = std::max(last, made);
                                   if (i == 0)
                                       own.Read(store, made, way, milliseconds(*rc::gen::inRange(0, 350)));
                                   else
                                       own.m_Times.OnTold(store.At(made));
                               }
                           store.m_Version++;
                           const TimePoint bound = own.m_Times.NotBefore(store.m_Version, written + seconds(1));
                           RC_ASSERT(bound <= written);
                           RC_ASSERT(bound <= last);
                           RC_ASSERT(last - bound < milliseconds(50));
                       });
}
