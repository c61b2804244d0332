// Tests of reserved places at a box's server, and of the selection of boxes that a router follows.
#include "request/followed_boxes.h"
#include "request/place_promise.h"
#include "support.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100);

} // namespace

BOOST_AUTO_TEST_CASE(a_reserved_place_is_in_the_next_answer)
{
    PlaceReservations p;
    p.OnReport(3, 1, kStart, kStart);
    const PlaceState first = p.State(kStart);
    p.Take(100, kStart);
    const PlaceState second = p.State(kStart + milliseconds(1));
    BOOST_TEST(first.m_Running == 3u);
    BOOST_TEST(first.m_Waiting == 1u);
    BOOST_TEST(first.m_Promised == 0u);
    BOOST_TEST(first.m_UnreadMs == 0);
    BOOST_TEST(second.m_Promised == 1u);
    BOOST_TEST(second.m_UnreadMs == 99, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(asking_alone_takes_nothing)
{
    PlaceReservations p;
    for (int i = 0; i < 20; i++)
        BOOST_TEST(p.State(kStart).m_Promised == 0u);
}

BOOST_AUTO_TEST_CASE(a_reservation_counts_until_a_report_shows_its_request_and_expires_without_one)
{
    PlaceReservations p;
    p.Take(100, kStart);
    p.OnReport(0, 0, kStart + milliseconds(5), kStart + milliseconds(6)); // requested before the request can have arrived
    BOOST_TEST(p.State(kStart + milliseconds(6)).m_Promised == 1u);
    p.OnReport(1, 0, kStart + milliseconds(10), kStart + milliseconds(11));
    BOOST_TEST(p.State(kStart + milliseconds(11)).m_Promised == 0u);
    p.Take(100, kStart + milliseconds(30));
    BOOST_TEST(p.State(kStart + milliseconds(81)).m_Promised == 0u); // expired without a report
}

BOOST_AUTO_TEST_CASE(an_empty_server_has_no_prompts_to_read)
{
    PlaceReservations p;
    for (int i = 0; i < 5; i++)
        p.Take(1000, kStart); // requests that never arrive
    p.OnReport(0, 0, kStart + milliseconds(60), kStart + milliseconds(60));
    BOOST_TEST(p.State(kStart + milliseconds(60)).m_UnreadMs == 0);
    p.Take(1000, kStart + milliseconds(60));
    p.Clear();
    BOOST_TEST(p.State(kStart + milliseconds(60)).m_Promised == 0u);
    BOOST_TEST(p.State(kStart + milliseconds(60)).m_UnreadMs == 0);
}

BOOST_AUTO_TEST_CASE(properties_of_places)
{
    ALDERVALE_PROPERTY("in any order of events, counts stay within what was reserved, and all reservations expire",
                       []
                       {
                           PlaceReservations p;
                           TimePoint         now   = kStart;
                           double            read  = 0; // total reading time of all reservations, ms
                           uint64_t          taken = 0;
                           for (int i = *rc::gen::inRange(0, 60); i > 0; i--)
                           {
                               now += milliseconds(*rc::gen::inRange(0, 30));
                               const double reading = *rc::gen::inRange(0, 500);
                               if (*rc::gen::arbitrary<bool>())
                               {
                                   p.Take(reading, now);
                                   read += reading;
                                   taken++;
                               }
                               else
                                   p.OnReport(*rc::gen::inRange(0u, 9u), *rc::gen::inRange(0u, 9u), now, now);
                               const PlaceState s = p.State(now);
                               RC_ASSERT(s.m_Promised <= taken);
                               RC_ASSERT(s.m_UnreadMs >= 0);
                               RC_ASSERT(s.m_UnreadMs <= read + 0.001);
                           }
                           RC_ASSERT(p.State(now + milliseconds(51)).m_Promised == 0u);
                       });
}

BOOST_AUTO_TEST_CASE(a_router_follows_its_data_centre_and_a_few_others_and_every_box_is_followed)
{
    std::vector<KnownBox> boxes;
    for (unsigned i = 0; i < 200; i++)
        boxes.push_back({Endpoint{asio::ip::make_address("10.0.0." + std::to_string(i)), 7000}, "dc-" + std::to_string(i % 5)});
    std::map<std::string, double> followers; // estimated remote followers, by box
    for (unsigned r = 0; r < 150; r++)
    {
        const auto   followed = FollowedBoxes("router-" + std::to_string(r), "dc-" + std::to_string(r % 5), boxes);
        const size_t near     = static_cast<size_t>(std::count_if(followed.begin(), followed.end(), [](const FollowedBox& b) { return b.m_Near; }));
        BOOST_TEST(near == 40u);
        BOOST_TEST(followed.size() == 64u);
        double represented = 0;
        for (const FollowedBox& b : followed)
        {
            represented += b.m_Near ? 0 : 1 / b.m_Share;
            if (!b.m_Near)
                followers[b.m_At.ToString()] += 1 / b.m_Share;
        }
        BOOST_TEST(represented == 160, boost::test_tools::tolerance(0.01));
    }
    BOOST_TEST(followers.size() == 200u);
    for (const auto& [at, routers] : followers) // a box's estimate of the number of routers in other data centres
        BOOST_TEST((routers > 30 && routers < 260), at << ": " << routers);
    BOOST_TEST(FollowedBoxes("r", "dc-0", std::span(boxes).first(10)).size() == 10u); // a small deployment: all boxes are followed
}
