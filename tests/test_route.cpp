// Choice of a replica: cost, lag, warmth, baselines.
#include "request/route_choice.h"
#include "support.h"

using namespace aldervale;

BOOST_AUTO_TEST_CASE(nothing_to_choose_from)
{
    Random random(1);
    BOOST_CHECK(!ChooseReplica({}, {}, random, 0));
}

BOOST_AUTO_TEST_CASE(choice_is_always_one_of_the_given)
{
    ALDERVALE_PROPERTY("every policy, any views",
                       [](uint64_t seed)
                       {
                           Random                   random(seed);
                           std::vector<ReplicaView> views(*rc::gen::inRange<size_t>(1, 20));
                           for (ReplicaView& v : views)
                           {
                               v.m_InFlight = *rc::gen::inRange(0u, 50u);
                               v.m_Reported = *rc::gen::inRange(0, 50);
                               v.m_Warm     = *rc::gen::arbitrary<bool>();
                           }
                           for (const RoutePolicy p : {RoutePolicy_Cost, RoutePolicy_Random, RoutePolicy_RoundRobin, RoutePolicy_LeastRequests})
                           {
                               RouteConfig cfg;
                               cfg.m_Policy = p;
                               const auto i = ChooseReplica(views, cfg, random, seed);
                               RC_ASSERT(i.has_value() && *i < views.size());
                           }
                       });
}

BOOST_AUTO_TEST_CASE(rank_is_the_place_in_the_rendezvous_order)
{
    ALDERVALE_PROPERTY("RendezvousRank agrees with RendezvousOrder, so the first k ranks cover every box k times",
                       [](const std::string& key)
                       {
                           std::vector<std::string> names;
                           const int                n = *rc::gen::inRange(1, 30);
                           for (int i = 0; i < n; i++)
                               names.push_back("entry-" + std::to_string(i));
                           const std::vector<size_t> order = RendezvousOrder(key, names);
                           for (size_t place = 0; place < order.size(); place++)
                               RC_ASSERT(RendezvousRank(key, names, names[order[place]]) == place);
                       });
}

BOOST_AUTO_TEST_CASE(old_reports_count_less)
{
    ReplicaView fresh;
    fresh.m_Reported = 20;
    ReplicaView old  = fresh;
    old.m_ReportAge  = seconds(5);
    BOOST_CHECK_GT(RouteCost(fresh, {}), 10);
    BOOST_CHECK_LT(RouteCost(old, {}), 0.1);
}

BOOST_AUTO_TEST_CASE(warm_replica_is_taken_unless_it_is_overloaded)
{
    Random                   random(3);
    std::vector<ReplicaView> views(8);
    views[5].m_Warm = true;
    for (int k = 0; k < 50; k++)
        BOOST_CHECK_EQUAL(*ChooseReplica(views, {}, random, 0), 5u);
    views[5].m_InFlight = 30;
    for (int k = 0; k < 50; k++)
        BOOST_CHECK_NE(*ChooseReplica(views, {}, random, 0), 5u);
}

BOOST_AUTO_TEST_CASE(failures_distance_and_slow_start_cost)
{
    ReplicaView  v;
    const double base = RouteCost(v, {});
    ReplicaView  far  = v;
    far.m_Distance    = 2;
    ReplicaView bad   = v;
    bad.m_Failures    = 1;
    ReplicaView young = v;
    young.m_UsableFor = seconds(0);
    BOOST_CHECK_GT(RouteCost(far, {}), base);
    BOOST_CHECK_GT(RouteCost(bad, {}), base);
    BOOST_CHECK_GT(RouteCost(young, {}), base);
}
