// What a box knows of requests on their way to its server, and which boxes a router follows.
#include "request/followed_boxes.h"
#include "request/place_promise.h"
#include "support.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100);

} // namespace

BOOST_AUTO_TEST_CASE(who_asks_next_is_told_of_the_place_that_was_taken)
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

BOOST_AUTO_TEST_CASE(a_place_counts_until_a_report_shows_its_request_and_lapses_by_itself)
{
    PlaceReservations p;
    p.Take(100, kStart);
    p.OnReport(0, 0, kStart + milliseconds(5), kStart + milliseconds(6)); // asked for before the request can have come
    BOOST_TEST(p.State(kStart + milliseconds(6)).m_Promised == 1u);
    p.OnReport(1, 0, kStart + milliseconds(10), kStart + milliseconds(11));
    BOOST_TEST(p.State(kStart + milliseconds(11)).m_Promised == 0u);
    p.Take(100, kStart + milliseconds(30));
    BOOST_TEST(p.State(kStart + milliseconds(81)).m_Promised == 0u); // no report came since
}

BOOST_AUTO_TEST_CASE(an_empty_server_has_nothing_to_read_whatever_was_counted)
{
    PlaceReservations p;
    for (int i = 0; i < 5; i++)
        p.Take(1000, kStart); // requests that never came
    p.OnReport(0, 0, kStart + milliseconds(60), kStart + milliseconds(60));
    BOOST_TEST(p.State(kStart + milliseconds(60)).m_UnreadMs == 0);
    p.Take(1000, kStart + milliseconds(60));
    p.Clear();
    BOOST_TEST(p.State(kStart + milliseconds(60)).m_Promised == 0u);
    BOOST_TEST(p.State(kStart + milliseconds(60)).m_UnreadMs == 0);
}

BOOST_AUTO_TEST_CASE(properties_of_places)
{
    ALDERVALE_PROPERTY("whatever the order, counts stay within what was taken, and all of it lapses",
                       []
                       {
                           PlaceReservations p;
                           TimePoint         now   = kStart;
                           double            read  = 0; // ms taken in all
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
    std::map<std::string, double> followers; // far ones, by box
    for (unsigned r = 0; r < 150; r++)
    {
        const auto   followed = FollowedBoxes("router-" + std::to_string(r), "dc-" + std::to_string(r % 5), boxes);
        const size_t near     = static_cast<size_t>(std::count_if(followed.begin(), followed.end(), [](const FollowedBox& b) { return b.m_Near; }));
        BOOST_TEST(near == 40u);
        BOOST_TEST(followed.size() == 64u);
        double stands = 0;
        for (const FollowedBox& b : followed)
        {
            stands += b.m_Near ? 0 : 1 / b.m_Share;
            if (!b.m_Near)
                followers[b.m_At.ToString()] += 1 / b.m_Share;
        }
        BOOST_TEST(stands == 160, boost::test_tools::tolerance(0.01));
    }
    BOOST_TEST(followers.size() == 200u);
    for (const auto& [at, routers] : followers) // what a box takes for the number of other data centres' routers
        BOOST_TEST((routers > 30 && routers < 260), at << ": " << routers);
    BOOST_TEST(FollowedBoxes("r", "dc-0", std::span(boxes).first(10)).size() == 10u); // small deployments: all
}
