// Who gets the next place at a model server: the load that many routers that ask at once are.
#include "request/place_line.h"
#include "support.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100);

PlaceClaim Wanted(const std::string& key, Duration wait, uint32_t most = 12)
{
    return {key, most, kStart + wait, 50};
}

PlaceReservations WithRunning(uint32_t running)
{
    PlaceReservations p;
    p.OnReport(running, 0, kStart, kStart);
    return p;
}

} // namespace

// Told that one place is free, several routers sent to it: 7 to 12 in 100 of these streams came too late behind each other.
BOOST_AUTO_TEST_CASE(one_free_place_is_given_to_one_of_many_that_claim_it)
{
    PlaceReservations places = WithRunning(11);
    PlaceQueue        queue;
    unsigned          granted = 0;
    for (int i = 0; i < 10; i++)
        granted += queue.Claim(Wanted("r" + std::to_string(i), Duration::zero()), places, kStart) == ClaimAnswer_Granted ? 1 : 0;
    BOOST_TEST(granted == 1u);
    BOOST_TEST(places.State(kStart).m_Promised == 1u);
}

BOOST_AUTO_TEST_CASE(who_can_wait_least_gets_the_next_place_and_who_is_late_is_told)
{
    PlaceReservations places = WithRunning(12);
    PlaceQueue        queue;
    BOOST_TEST(queue.Claim(Wanted("patient", milliseconds(80)), places, kStart) == ClaimAnswer_Queued);
    BOOST_TEST(queue.Claim(Wanted("urgent", milliseconds(40)), places, kStart) == ClaimAnswer_Queued);
    BOOST_TEST(queue.Claim(Wanted("third", milliseconds(80)), places, kStart) == ClaimAnswer_Denied); // the line is full
    BOOST_TEST(queue.Settle(places, kStart + milliseconds(10)).empty());
    const TimePoint at = kStart + milliseconds(20);
    places.OnReport(11, 0, at, at);
    const std::vector<SettledClaim> first = queue.Settle(places, at);
    BOOST_REQUIRE(first.size() == 1u);
    BOOST_TEST(first[0].m_Claim.m_Key == "urgent");
    BOOST_TEST(first[0].m_Granted);
    const std::vector<SettledClaim> late = queue.Settle(places, kStart + milliseconds(80));
    BOOST_REQUIRE(late.size() == 1u);
    BOOST_TEST(late[0].m_Claim.m_Key == "patient");
    BOOST_TEST(!late[0].m_Granted);
    BOOST_TEST(queue.Empty());
}

BOOST_AUTO_TEST_CASE(nobody_passes_those_in_line)
{
    PlaceReservations places = WithRunning(12);
    PlaceQueue        queue;
    BOOST_TEST(queue.Claim(Wanted("first", milliseconds(80)), places, kStart) == ClaimAnswer_Queued);
    places.OnReport(11, 0, kStart + milliseconds(1), kStart + milliseconds(1));
    BOOST_TEST(queue.Claim(Wanted("late", Duration::zero()), places, kStart + milliseconds(1)) == ClaimAnswer_Denied);
}

BOOST_AUTO_TEST_CASE(a_grant_that_is_given_back_is_free_again_with_its_reading_time)
{
    PlaceReservations places = WithRunning(11);
    PlaceQueue        queue;
    BOOST_TEST(queue.Claim(Wanted("a", Duration::zero()), places, kStart) == ClaimAnswer_Granted);
    BOOST_TEST(places.State(kStart).m_UnreadMs > 40);
    queue.Release("a", places, kStart + milliseconds(2));
    BOOST_TEST(places.State(kStart + milliseconds(2)).m_Promised == 0u);
    BOOST_TEST(places.State(kStart + milliseconds(2)).m_UnreadMs == 0);
    queue.Release("a", places, kStart + milliseconds(3)); // twice does nothing
    BOOST_TEST(queue.Claim(Wanted("b", Duration::zero()), places, kStart + milliseconds(3)) == ClaimAnswer_Granted);
}

// Long after, its request is at the server: giving it back would promise the place to two.
BOOST_AUTO_TEST_CASE(a_release_that_comes_late_frees_nothing)
{
    PlaceReservations places = WithRunning(11);
    PlaceQueue        queue;
    BOOST_TEST(queue.Claim(Wanted("a", Duration::zero()), places, kStart) == ClaimAnswer_Granted);
    const TimePoint later = kStart + milliseconds(60);
    places.OnReport(12, 0, later, later);
    queue.Release("a", places, later);
    BOOST_TEST(queue.Claim(Wanted("b", Duration::zero()), places, later) == ClaimAnswer_Denied);
}

BOOST_AUTO_TEST_CASE(a_server_that_takes_nothing_denies_its_whole_line)
{
    PlaceReservations places = WithRunning(12);
    PlaceQueue        queue;
    queue.Claim(Wanted("a", milliseconds(80)), places, kStart);
    queue.Claim(Wanted("b", milliseconds(80)), places, kStart);
    const std::vector<SettledClaim> all = queue.DenyAll();
    BOOST_TEST(all.size() == 2u);
    BOOST_TEST(!all[0].m_Granted);
    BOOST_TEST(queue.Empty());
}

BOOST_AUTO_TEST_CASE(properties_of_claims)
{
    ALDERVALE_PROPERTY("never more requests than the slots are granted, and each claim is settled once",
                       []
                       {
                           PlaceReservations places = WithRunning(0);
                           PlaceQueue        queue;
                           unsigned          here    = 0; // at the server, granted ones on their way included
                           unsigned          waiting = 0;
                           TimePoint         now     = kStart;
                           const int         steps   = *rc::gen::inRange(1, 200);
                           for (int i = 0; i < steps; i++)
                           {
                               now += milliseconds(*rc::gen::inRange(11, 30)); // every grant's request is seen by the next report
                               here -= std::min<unsigned>(here, static_cast<unsigned>(*rc::gen::inRange(0, 2)));
                               places.OnReport(here, 0, now, now);
                               for (const SettledClaim& s : queue.Settle(places, now))
                               {
                                   waiting--;
                                   here += s.m_Granted ? 1 : 0;
                               }
                               const PlaceClaim  claim{std::to_string(i), 3, now + milliseconds(*rc::gen::inRange(0, 100)), 10};
                               const ClaimAnswer answer = queue.Claim(claim, places, now);
                               here += answer == ClaimAnswer_Granted ? 1 : 0;
                               waiting += answer == ClaimAnswer_Queued ? 1 : 0;
                               RC_ASSERT(here <= 3u);
                               RC_ASSERT((waiting == 0) == queue.Empty());
                           }
                       });
}
