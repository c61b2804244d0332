// Tests of the choice of a replica: cost, age of reports, cached prefixes, other policies.
#include "request/replica_table.h"
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
    const double base   = RouteCost(v, {});
    ReplicaView  remote = v;
    remote.m_Distance   = 2;
    ReplicaView failing = v;
    failing.m_Failures  = 1;
    ReplicaView young   = v;
    young.m_UsableFor   = seconds(0);
    BOOST_CHECK_GT(RouteCost(remote, {}), base);
    BOOST_CHECK_GT(RouteCost(failing, {}), base);
    BOOST_CHECK_GT(RouteCost(young, {}), base);
}

// Guards against a rollout during which boxes that still serve the former version get no requests.
BOOST_AUTO_TEST_CASE(boxes_of_every_declared_version_are_used_while_a_rollout_goes_on)
{
    asio::io_context ioc;
    ReplicaTable     table({}, "dc", 1);
    ConfigSnapshot   c;
    c.m_Versions["v-1"] = {{"m", "one", ""}, 1};
    c.m_Versions["v-2"] = {{"m", "two", ""}, 1};
    c.m_Versions["x-1"] = {{"x", "other", ""}, 1};
    const auto beat     = [&](const std::string& box, const std::string& active)
    {
        const auto link = std::make_shared<Link>(tcp::socket(ioc), LinkSide_Dialled, LinkConfig{}, LinkHandlers{});
        link->SetPeer({box, "dc", "", wire::PeerRole::Agent, 1});
        table.OnLinkUp(link);
        wire::HeartbeatT hb;
        hb.state         = std::make_unique<wire::AgentStateT>();
        hb.state->active = active;
        flatbuffers::FlatBufferBuilder fbb;
        fbb.Finish(wire::Heartbeat::Pack(fbb, &hb));
        table.OnHeartbeat(link, *flatbuffers::GetRoot<wire::Heartbeat>(fbb.GetBufferPointer()), TimePoint() + seconds(100));
    };
    beat("a", "one");
    beat("b", "two");
    beat("c", "other");
    beat("d", "");
    ReplicaQuery q;
    q.m_Digests                               = DigestsOf(c, "m");
    const auto                         usable = [](const std::string&) { return true; };
    std::map<std::string, std::string> chosen;
    for (int i = 0; i < 50; i++)
    {
        const auto to = table.Choose(q, c, usable, TimePoint() + seconds(200));
        BOOST_REQUIRE(to.has_value());
        chosen[to->m_Box] = to->m_Digest;
        table.OnEnd(to->m_Box, false, TimePoint() + seconds(200));
    }
    BOOST_CHECK_EQUAL(chosen.size(), 2u);
    BOOST_CHECK_EQUAL(chosen["a"], "one");
    BOOST_CHECK_EQUAL(chosen["b"], "two");
}
