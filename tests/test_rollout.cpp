// Rollouts on fake boxes that each run a real Activation: waves, the limit of unavailable boxes, halts, replicas that span several boxes.
#include "support.h"
#include "version/manifest.h"
#include "version/rollout.h"

using namespace aldervale;

namespace
{

struct FakeBox
{
    std::string                   m_Name;
    Activation                    m_Activation;
    std::string                   m_FailingVersion; // manifest digest that this box's engine fails to load
    bool                          m_Alive = true;
    std::vector<ActivationAction> m_PendingActions; // taken from m_Activation, not yet completed
};

struct FakeDataCentre
{
    FakeDataCentre(size_t boxes, size_t per_replica)
    {
        m_Input.m_BoxesPerReplica = per_replica;
        for (size_t i = 0; i < boxes; i++)
            m_Boxes.push_back({"box-" + std::to_string(i), {}, {}, true, {}});
    }

    RolloutPlan Plan()
    {
        m_Input.m_Boxes.clear();
        for (const FakeBox& b : m_Boxes)
            m_Input.m_Boxes.push_back({b.m_Name, b.m_Alive, b.m_Activation.Active(), b.m_Activation.Versions()});
        RolloutPlan plan = PlanRollout(m_Input);
        m_Input.m_Halted = plan.m_Halt;
        return plan;
    }

    void Deliver(const RolloutPlan& plan)
    {
        for (const PlannedOrder& o : plan.m_Orders)
            for (FakeBox& b : m_Boxes)
                if (b.m_Name == o.m_Box && b.m_Alive)
                    b.m_Activation.OnOrder({1, ++m_OrderId, o.m_Kind, o.m_Digest, o.m_Base});
    }

    void Advance(FakeBox& b) // takes new actions and completes the oldest one
    {
        for (const ActivationAction& a : b.m_Activation.TakeActions())
            b.m_PendingActions.push_back(a);
        if (b.m_PendingActions.empty())
            return;
        const ActivationAction a = b.m_PendingActions.front();
        b.m_PendingActions.erase(b.m_PendingActions.begin());
        if (a.m_Type == ActivationAction_Fetch)
            b.m_Activation.OnVerified(a.m_Digest);
        if (a.m_Type == ActivationAction_EngineLoad && WholeDigest(a.m_Digest) == b.m_FailingVersion)
            b.m_Activation.OnLoadFailed(a.m_Digest, "broken");
        else if (a.m_Type == ActivationAction_EngineLoad)
            b.m_Activation.OnLoaded(a.m_Digest, a.m_Digest);
    }

    size_t Serving(const std::string& digest) const
    {
        return static_cast<size_t>(std::count_if(m_Boxes.begin(), m_Boxes.end(),
                                                 [&](const FakeBox& b)
                                                 { return !b.m_Activation.Active().empty() && WholeDigest(b.m_Activation.Active()) == digest; }));
    }

    size_t OutOfService() const
    {
        return static_cast<size_t>(std::count_if(m_Boxes.begin(), m_Boxes.end(), [](const FakeBox& b) { return b.m_Activation.Active().empty(); }));
    }

    void RunRounds(int rounds)
    {
        for (int t = 0; t < rounds; t++)
        {
            Deliver(Plan());
            for (FakeBox& b : m_Boxes)
                Advance(b);
        }
    }

    RolloutInput         m_Input;
    std::vector<FakeBox> m_Boxes;
    uint64_t             m_OrderId = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(first_version_goes_everywhere_at_once)
{
    FakeDataCentre dc(6, 1);
    dc.m_Input.m_Wanted = "v1";
    dc.RunRounds(6);
    BOOST_CHECK_EQUAL(dc.Serving("v1"), 6u);
}

BOOST_AUTO_TEST_CASE(max_unavailable_is_never_exceeded)
{
    ALDERVALE_PROPERTY("in any order of the boxes' steps, no more boxes than the limit are out of service, and all end on the new version",
                       []
                       {
                           const size_t   per   = *rc::gen::inRange<size_t>(1, 4);
                           const size_t   boxes = per * *rc::gen::inRange<size_t>(2, 6);
                           FakeDataCentre dc(boxes, per);
                           dc.m_Input.m_Wanted = "v1";
                           dc.RunRounds(10);
                           RC_ASSERT(dc.Serving("v1") == boxes);
                           dc.m_Input.m_Previous       = "v1";
                           dc.m_Input.m_Wanted         = "v2";
                           dc.m_Input.m_MaxUnavailable = *rc::gen::inRange<size_t>(1, boxes + 1);
                           const size_t bound          = std::max(dc.m_Input.m_MaxUnavailable, per);
                           for (int t = 0; t < 400; t++)
                           {
                               dc.Deliver(dc.Plan());
                               dc.Advance(dc.m_Boxes[*rc::gen::inRange<size_t>(0, boxes)]);
                               RC_ASSERT(dc.OutOfService() <= bound);
                           }
                           dc.RunRounds(60);
                           RC_ASSERT(dc.Serving("v2") == boxes);
                       });
}

BOOST_AUTO_TEST_CASE(failing_version_halts_and_rolls_back)
{
    FakeDataCentre dc(6, 1);
    dc.m_Input.m_Wanted = "v1";
    dc.RunRounds(6);
    dc.m_Input.m_Previous = "v1";
    dc.m_Input.m_Wanted   = "v2";
    for (FakeBox& b : dc.m_Boxes)
        b.m_FailingVersion = "v2";
    dc.RunRounds(60);
    BOOST_CHECK(dc.m_Input.m_Halted);
    BOOST_CHECK_EQUAL(dc.Serving("v1"), 6u);
    dc.m_Input.m_Previous = "v1"; // a fixed version is declared
    dc.m_Input.m_Wanted   = "v3";
    dc.m_Input.m_Halted   = false;
    dc.RunRounds(60);
    BOOST_CHECK_EQUAL(dc.Serving("v3"), 6u);
    for (const FakeBox& b : dc.m_Boxes)
        BOOST_CHECK(!b.m_Activation.Versions().contains("v2")); // dropped
}

BOOST_AUTO_TEST_CASE(paused_rollout_fetches_but_swaps_nothing)
{
    FakeDataCentre dc(4, 1);
    dc.m_Input.m_Wanted = "v1";
    dc.RunRounds(6);
    dc.m_Input.m_Previous = "v1";
    dc.m_Input.m_Wanted   = "v2";
    dc.m_Input.m_Paused   = true;
    dc.RunRounds(20);
    BOOST_CHECK_EQUAL(dc.Serving("v1"), 4u);
    for (const FakeBox& b : dc.m_Boxes)
        BOOST_CHECK_EQUAL(b.m_Activation.Versions().at("v2").m_State, VersionState_Verified);
}

BOOST_AUTO_TEST_CASE(replica_over_boxes_commits_only_when_all_have_verified)
{
    FakeDataCentre dc(4, 2);
    dc.m_Input.m_Wanted = "v1";
    dc.Deliver(dc.Plan());
    dc.Advance(dc.m_Boxes[0]); // only one box of the first replica verifies
    const RolloutPlan plan = dc.Plan();
    BOOST_CHECK(std::none_of(plan.m_Orders.begin(), plan.m_Orders.end(), [](const PlannedOrder& o) { return o.m_Kind == OrderKind_Commit; }));
    dc.RunRounds(10);
    BOOST_CHECK_EQUAL(dc.Serving("v1"), 4u);
    BOOST_CHECK_EQUAL(dc.m_Boxes[1].m_Activation.Active(), SliceDigest("v1", 1, 2));
}

BOOST_AUTO_TEST_CASE(dead_boxes_take_no_orders_and_count_as_unavailable)
{
    FakeDataCentre dc(4, 1);
    dc.m_Input.m_Wanted = "v1";
    dc.RunRounds(6);
    dc.m_Boxes[0].m_Alive = false;
    dc.m_Input.m_Previous = "v1";
    dc.m_Input.m_Wanted   = "v2";
    dc.RunRounds(30);
    BOOST_CHECK_EQUAL(dc.Serving("v2"), 0u); // the dead box uses up the limit of one
    dc.m_Boxes[0].m_Alive = true;
    dc.RunRounds(60);
    BOOST_CHECK_EQUAL(dc.Serving("v2"), 4u);
}
