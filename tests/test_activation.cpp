// Activation: stale orders, version changes while requests run, failures, random interleavings.
#include "support.h"
#include "version/activation.h"

using namespace aldervale;

namespace
{

Order MakeOrder(uint64_t fencing, uint64_t id, OrderKind kind, const std::string& digest, const std::string& base = {})
{
    return {fencing, id, kind, digest, base};
}

bool Has(const std::vector<ActivationAction>& actions, ActivationActionType type, const std::string& digest)
{
    return std::any_of(actions.begin(), actions.end(), [&](const ActivationAction& a) { return a.m_Type == type && a.m_Digest == digest; });
}

Activation Serving(const std::string& digest)
{
    Activation a;
    a.OnOrder(MakeOrder(1, 1, OrderKind_Commit, digest));
    a.OnVerified(digest);
    a.TakeActions();
    a.OnLoaded(digest, digest);
    return a;
}

} // namespace

BOOST_AUTO_TEST_CASE(serves_only_after_verified_and_confirmed)
{
    Activation a;
    BOOST_CHECK(a.OnOrder(MakeOrder(1, 1, OrderKind_Commit, "v1")) == OrderOutcome_Started);
    BOOST_CHECK(Has(a.TakeActions(), ActivationAction_Fetch, "v1"));
    BOOST_CHECK(!a.MayServe("v1"));
    a.OnVerified("v1");
    BOOST_CHECK(Has(a.TakeActions(), ActivationAction_EngineLoad, "v1"));
    BOOST_CHECK(!a.MayServe("v1"));
    a.OnLoaded("v1", "v1");
    BOOST_CHECK(a.MayServe("v1"));
}

BOOST_AUTO_TEST_CASE(engine_that_confirms_another_digest_serves_nothing)
{
    Activation a;
    a.OnOrder(MakeOrder(1, 1, OrderKind_Commit, "v1"));
    a.OnVerified("v1");
    a.OnLoaded("v1", "v0");
    BOOST_CHECK(!a.MayServe("v1"));
    BOOST_CHECK_EQUAL(a.Versions().at("v1").m_State, VersionState_Failed);
}

BOOST_AUTO_TEST_CASE(version_change_waits_for_running_requests_and_refuses_new_ones)
{
    Activation a = Serving("v1");
    a.OnOrder(MakeOrder(1, 2, OrderKind_Prepare, "v2"));
    a.OnVerified("v2");
    BOOST_REQUIRE(a.RequestBegin("v1", ""));
    a.TakeActions();
    a.OnOrder(MakeOrder(1, 3, OrderKind_Commit, "v2"));
    BOOST_CHECK(a.TakeActions().empty()); // one request is still running
    BOOST_CHECK(!a.RequestBegin("v1", ""));
    a.RequestEnd();
    BOOST_CHECK(Has(a.TakeActions(), ActivationAction_EngineLoad, "v2"));
    a.OnLoaded("v2", "v2");
    BOOST_CHECK(a.MayServe("v2"));
    BOOST_CHECK(!a.MayServe("v1"));
}

BOOST_AUTO_TEST_CASE(rollback_to_a_staged_version_needs_no_fetch)
{
    Activation a = Serving("v1");
    a.OnOrder(MakeOrder(1, 2, OrderKind_Commit, "v2"));
    a.OnVerified("v2");
    a.OnLoaded("v2", "v2");
    a.TakeActions();
    a.OnOrder(MakeOrder(1, 3, OrderKind_Commit, "v1"));
    const auto actions = a.TakeActions();
    BOOST_CHECK(Has(actions, ActivationAction_EngineLoad, "v1"));
    BOOST_CHECK(!Has(actions, ActivationAction_Fetch, "v1"));
}

BOOST_AUTO_TEST_CASE(stale_order_changes_nothing)
{
    Activation a = Serving("v1");
    a.OnFencing(9);
    BOOST_CHECK(a.OnOrder(MakeOrder(8, 100, OrderKind_Commit, "v2")) == OrderOutcome_Stale);
    BOOST_CHECK(a.TakeActions().empty());
    BOOST_CHECK(a.MayServe("v1"));
    BOOST_CHECK_EQUAL(a.Versions().size(), 1u);
}

BOOST_AUTO_TEST_CASE(repeated_or_overtaken_order_is_not_carried_out_again)
{
    Activation a;
    a.OnOrder(MakeOrder(1, 5, OrderKind_Prepare, "v1"));
    a.TakeActions();
    BOOST_CHECK(a.OnOrder(MakeOrder(1, 5, OrderKind_Prepare, "v1")) == OrderOutcome_Done);
    BOOST_CHECK(a.OnOrder(MakeOrder(1, 4, OrderKind_Unload, "v1")) == OrderOutcome_Done);
    BOOST_CHECK(a.TakeActions().empty());
}

BOOST_AUTO_TEST_CASE(version_changed_twice_while_fetching_ends_at_the_last)
{
    Activation a;
    a.OnOrder(MakeOrder(1, 1, OrderKind_Commit, "v1"));
    a.OnOrder(MakeOrder(1, 2, OrderKind_Commit, "v2"));
    a.OnOrder(MakeOrder(1, 3, OrderKind_Commit, "v3"));
    a.OnVerified("v1");
    a.OnVerified("v2");
    a.TakeActions();
    BOOST_CHECK(!a.MayServe("v1"));
    a.OnVerified("v3");
    BOOST_CHECK(Has(a.TakeActions(), ActivationAction_EngineLoad, "v3"));
    a.OnLoaded("v3", "v3");
    BOOST_CHECK(a.MayServe("v3"));
}

BOOST_AUTO_TEST_CASE(adapter_is_loaded_only_on_its_base)
{
    Activation a = Serving("v1");
    a.OnOrder(MakeOrder(1, 2, OrderKind_Commit, "ad", "v0"));
    a.OnVerified("ad");
    BOOST_CHECK(!Has(a.TakeActions(), ActivationAction_EngineLoad, "ad"));
    a.OnOrder(MakeOrder(1, 3, OrderKind_Commit, "ad2", "v1"));
    a.OnVerified("ad2");
    BOOST_CHECK(Has(a.TakeActions(), ActivationAction_EngineLoad, "ad2"));
    a.OnLoaded("ad2", "ad2");
    BOOST_CHECK(a.MayServe("v1", "ad2"));
    BOOST_CHECK(!a.MayServe("v1", "ad"));
    a.OnOrder(MakeOrder(1, 4, OrderKind_Commit, "v2")); // a new base unloads the adapters of the old one
    a.OnVerified("v2");
    a.OnLoaded("v2", "v2");
    BOOST_CHECK(!a.MayServe("v2", "ad2"));
}

BOOST_AUTO_TEST_CASE(engine_restart_stops_serving_until_the_version_is_loaded_again)
{
    Activation a = Serving("v1");
    a.OnEngineRestart();
    BOOST_CHECK(!a.MayServe("v1"));
    BOOST_CHECK(Has(a.TakeActions(), ActivationAction_EngineLoad, "v1"));
    a.OnLoaded("v1", "v1");
    BOOST_CHECK(a.MayServe("v1"));
}

BOOST_AUTO_TEST_CASE(random_interleavings)
{
    ALDERVALE_PROPERTY("a version serves only when verified and confirmed by the engine; a load starts only when nothing runs; fencing never falls",
                       []
                       {
                           Activation                    a;
                           std::set<std::string>         verified;
                           std::string                   engine; // what the fake engine has loaded
                           std::vector<ActivationAction> loads;
                           uint64_t                      highest = 0;
                           uint64_t                      id      = 0;
                           const auto                    steps   = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
                           for (const int step : steps)
                           {
                               const std::string digest = "v" + std::to_string(*rc::gen::inRange(0, 4));
                               const uint64_t    before = a.Fencing();
                               switch (step)
                               {
                               case 0:
                               case 1:
                               case 2:
                               {
                                   const uint64_t fencing = *rc::gen::inRange<uint64_t>(1, 6);
                                   const auto     outcome = a.OnOrder(MakeOrder(fencing, ++id, static_cast<OrderKind>(step), digest));
                                   RC_ASSERT((outcome == OrderOutcome_Stale) == (fencing < highest));
                                   highest = std::max(highest, fencing);
                                   break;
                               }
                               case 3:
                                   if (a.Versions().contains(digest) && a.Versions().at(digest).m_State == VersionState_Fetching)
                                       verified.insert(digest);
                                   a.OnVerified(digest);
                                   break;
                               case 4:
                                   a.OnFetchFailed(digest, "x");
                                   break;
                               case 5:
                                   if (!loads.empty())
                                   {
                                       engine = loads.back().m_Digest;
                                       loads.pop_back();
                                       a.OnLoaded(engine, engine);
                                   }
                                   break;
                               case 6:
                                   engine.clear();
                                   loads.clear();
                                   a.OnEngineRestart();
                                   break;
                               case 7:
                                   a.RequestBegin(a.Active(), "");
                                   break;
                               case 8:
                                   if (a.Running() > 0)
                                       a.RequestEnd();
                                   break;
                               }
                               for (const ActivationAction& action : a.TakeActions())
                               {
                                   if (action.m_Type == ActivationAction_Drop)
                                       verified.erase(action.m_Digest);
                                   if (action.m_Type != ActivationAction_EngineLoad)
                                       continue;
                                   RC_ASSERT(verified.contains(action.m_Digest));
                                   RC_ASSERT(a.Running() == 0u);
                                   engine.clear(); // a real engine serves nothing while it loads
                                   loads = {action};
                               }
                               RC_ASSERT(a.Fencing() >= before);
                               for (int v = 0; v < 4; v++)
                               {
                                   const std::string name = "v" + std::to_string(v);
                                   RC_ASSERT(!a.MayServe(name) || (verified.contains(name) && engine == name));
                               }
                           }
                       });
}
