// Lists of routers: all near ones, few far ones by rank, without the asker, within one datagram.
#include "connection/load_channel.h"
#include "connection/router_list.h"
#include "support.h"
#include <algorithm>
#include <set>

using namespace aldervale;

namespace
{

constexpr uint16_t kPort    = 7700;
constexpr size_t   kBoxesIn = 300; // of a large deployment; at most that many routers

asio::ip::address Address(uint32_t i)
{
    return asio::ip::address_v4(0x0a010000u + i);
}

// Spread evenly over the regions.
std::vector<KnownRouter> Routers(size_t count, size_t regions)
{
    std::vector<KnownRouter> out;
    for (size_t i = 0; i < count; i++)
        out.push_back({Address(static_cast<uint32_t>(i + 1)), "region-" + std::to_string(i % regions)});
    return out;
}

// As it arrives: through a frame.
std::vector<RouterPeer> Arrived(const wire::RouterListT& list)
{
    const FrameBytes bytes = EncodeFrame(0, list);
    FrameDecoder     decoder;
    FrameBuf         frame;
    decoder.Feed(*bytes);
    BOOST_REQUIRE_EQUAL(decoder.Next(frame), FrameStatus_Ok);
    const auto* body = frame.Get()->body_as_RouterList();
    BOOST_REQUIRE(body != nullptr);
    return FromWire(*body, kPort);
}

size_t DatagramBytes(const wire::RouterListT& list)
{
    return EncodeFrame(0, list)->size() - kFramePrefixLen;
}

std::vector<uint64_t> RanksOf(std::span<const KnownRouter> routers, std::string_view region, const KnownRouter& asker)
{
    std::vector<uint64_t> out;
    for (const KnownRouter& r : routers)
        if (r.m_Region == region && r.m_Address != asker.m_Address)
            out.push_back(RouterRank(r.m_Address));
    std::sort(out.begin(), out.end());
    return out;
}

std::multiset<uint64_t> ListedRanks(std::span<const RouterPeer> peers, std::span<const KnownRouter> routers, std::string_view region)
{
    std::multiset<uint64_t> out;
    for (const RouterPeer& p : peers)
        for (const KnownRouter& r : routers)
            if (r.m_Address == p.m_Address.m_Address && r.m_Region == region)
                out.insert(RouterRank(r.m_Address));
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(all_near_routers_and_three_of_each_other_region_are_listed)
{
    ALDERVALE_PROPERTY("near routers all, far ones by best ranks, the asker not, each one once",
                       []
                       {
                           const size_t             count   = *rc::gen::inRange<size_t>(1, 120);
                           const size_t             regions = *rc::gen::inRange<size_t>(1, 6);
                           std::vector<KnownRouter> routers = Routers(count, regions);
                           const KnownRouter        asker   = routers[*rc::gen::inRange<size_t>(0, count)];
                           std::reverse(routers.begin(), routers.begin() + static_cast<long>(count / 2)); // the order doesn't matter
                           const std::vector<RouterPeer> got      = Arrived(ListRouters(routers, asker));
                           size_t                        expected = 0;
                           for (size_t i = 0; i < regions; i++)
                           {
                               const std::string     region = "region-" + std::to_string(i);
                               std::vector<uint64_t> ranks  = RanksOf(routers, region, asker);
                               const bool            near   = region == asker.m_Region;
                               ranks.resize(std::min(ranks.size(), near ? kRoutersListedNear : kRoutersListedFar));
                               expected += ranks.size();
                               const bool same = ListedRanks(got, routers, region) == std::multiset<uint64_t>(ranks.begin(), ranks.end());
                               RC_ASSERT(same);
                           }
                           RC_ASSERT(got.size() == expected);
                           for (const RouterPeer& p : got)
                           {
                               const auto known = std::find_if(routers.begin(), routers.end(),
                                                               [&](const KnownRouter& r) { return r.m_Address == p.m_Address.m_Address; });
                               RC_ASSERT(known != routers.end());
                               RC_ASSERT(p.m_SameRegion == (known->m_Region == asker.m_Region));
                               RC_ASSERT(p.m_Address.m_Port == kPort);
                               RC_ASSERT(p.m_Address.m_Address != asker.m_Address);
                           }
                       });
}

BOOST_AUTO_TEST_CASE(an_asker_that_the_agent_does_not_know_yet_gets_all_the_same)
{
    const std::vector<KnownRouter> routers = Routers(6, 2);
    const std::vector<RouterPeer>  got     = Arrived(ListRouters(routers, {Address(99), "region-1"}));
    BOOST_TEST(got.size() == 6u);
    BOOST_TEST(Arrived(ListRouters({}, {Address(99), "region-1"})).empty());
    BOOST_TEST(Arrived(ListRouters(std::vector<KnownRouter>{{Address(99), "region-1"}}, {Address(99), "region-1"})).empty());
}

BOOST_AUTO_TEST_CASE(a_router_known_twice_is_listed_once)
{
    std::vector<KnownRouter> routers = Routers(4, 1);
    routers.push_back(routers[1]); // it asked from another port before it was started anew
    const std::vector<RouterPeer> got = Arrived(ListRouters(routers, routers[0]));
    BOOST_TEST(got.size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_list_of_a_large_deployment_fits_a_datagram)
{
    for (const size_t regions : {size_t{1}, size_t{2}, size_t{3}, size_t{5}, size_t{12}})
    {
        const std::vector<KnownRouter> routers = Routers(kBoxesIn, regions);
        const wire::RouterListT        list    = ListRouters(routers, routers[0]);
        const std::vector<RouterPeer>  got     = Arrived(list);
        const auto                     near    = std::count_if(got.begin(), got.end(), [](const RouterPeer& p) { return p.m_SameRegion; });
        std::cout << kBoxesIn << " routers in " << regions << " regions: " << got.size() << " listed, " << near << " of them near, "
                  << DatagramBytes(list) << " bytes\n";
        BOOST_TEST(DatagramBytes(list) <= kDatagramMax);
        BOOST_TEST(static_cast<size_t>(near) == std::min(kRoutersListedNear, kBoxesIn / regions - 1));
        BOOST_TEST(got.size() - static_cast<size_t>(near) == kRoutersListedFar * (regions - 1));
    }
}

BOOST_AUTO_TEST_CASE(all_routers_of_a_region_see_the_same_first_ranks)
{
    const std::vector<KnownRouter> routers = Routers(kBoxesIn, 2); // 150 near ones: not all of them fit
    const std::vector<uint64_t>    ranks   = RanksOf(routers, "region-0", {});
    for (const KnownRouter& r : routers)
    {
        const std::vector<RouterPeer> got = Arrived(ListRouters(routers, r));
        const uint64_t                own = RouterRank(r.m_Address);
        const auto                    before =
            std::count_if(got.begin(), got.end(), [&](const RouterPeer& p) { return p.m_SameRegion && RouterRank(p.m_Address.m_Address) < own; });
        if (r.m_Region != "region-0")
            continue;
        const auto place = std::lower_bound(ranks.begin(), ranks.end(), own) - ranks.begin();
        BOOST_TEST(before == std::min<long>(place, static_cast<long>(kRoutersListedNear)));
    }
}

//-----------------------------------------------------------------------------
// More routers than a datagram lists, and meeting points
//-----------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(all_routers_of_a_region_are_listed_in_as_many_datagrams_as_it_takes)
{
    for (const size_t count : {size_t{1}, size_t{100}, size_t{101}, size_t{117}, size_t{202}, size_t{600}})
    {
        std::vector<KnownRouter> routers = Routers(count, 1);
        routers.push_back({Address(5000), "region-1"});
        std::multiset<uint64_t> listed;
        size_t                  far = 0;
        for (const wire::RouterListT& list : ListAllRouters(routers, routers[0]))
        {
            BOOST_TEST(DatagramBytes(list) <= kDatagramMax);
            for (const RouterPeer& p : Arrived(list))
                if (p.m_SameRegion)
                    listed.insert(RouterRank(p.m_Address.m_Address));
                else
                    far++;
        }
        const std::vector<uint64_t> ranks = RanksOf(routers, "region-0", routers[0]);
        BOOST_TEST((listed == std::multiset<uint64_t>(ranks.begin(), ranks.end())));
        BOOST_TEST(far == 1u);
    }
}

BOOST_AUTO_TEST_CASE(a_meeting_point_lists_the_best_ranks_of_those_that_ask)
{
    const TimePoint                start   = TimePoint{} + seconds(1000);
    const std::vector<KnownRouter> routers = Routers(600, 5);
    RouterRegistry                 registry;
    for (const KnownRouter& r : routers)
        registry.Note(r, start);
    BOOST_TEST(registry.Size() == routers.size());
    for (const KnownRouter& asker : routers)
    {
        const wire::RouterListT       list = registry.List(asker, start);
        const std::vector<RouterPeer> got  = Arrived(list);
        BOOST_TEST(DatagramBytes(list) <= kDatagramMax);
        std::vector<uint64_t> near = RanksOf(routers, asker.m_Region, asker);
        near.resize(kRoutersMetNear);
        BOOST_TEST((ListedRanks(got, routers, asker.m_Region) == std::multiset<uint64_t>(near.begin(), near.end())));
        BOOST_TEST(got.size() == kRoutersMetNear + 4 * kRoutersListedFar);
    }
}

BOOST_AUTO_TEST_CASE(a_meeting_point_forgets_who_asks_no_more)
{
    const TimePoint                start   = TimePoint{} + seconds(1000);
    const std::vector<KnownRouter> routers = Routers(40, 1);
    RouterRegistry                 registry;
    for (const KnownRouter& r : routers)
        registry.Note(r, start);
    const TimePoint later = start + kRouterMetKept + milliseconds(1);
    registry.Note(routers[7], later);
    registry.Note(routers[8], later);
    const std::vector<RouterPeer> got = Arrived(registry.List(routers[7], later));
    BOOST_REQUIRE(got.size() == 1u);
    BOOST_TEST(got[0].m_Address.m_Address == routers[8].m_Address);
    BOOST_TEST(registry.Size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_meeting_point_is_bounded)
{
    const TimePoint start = TimePoint{} + seconds(1000);
    RouterRegistry  registry;
    for (const KnownRouter& r : Routers(kRoutersMetMax + 100, 3))
        registry.Note(r, start);
    BOOST_TEST(registry.Size() == kRoutersMetMax);
}
