// What a router believes: when each version of weights was named, from its own reads and from agents, and how sure its declarations are.
#include "request/routing_world.h"
#include "support.h"

using namespace aldervale;

namespace
{

const TimePoint   kStart    = TimePoint{} + seconds(100);
constexpr auto    kDeadline = milliseconds(8000); // from naming until no older version may begin
const std::string kModel    = "model";

TimePoint DeclaredAt(RoutingState& world, uint64_t version)
{
    return world.m_TargetVersions[kModel].at(version).m_At;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_router_that_started_after_a_naming_takes_its_time_from_an_agent_that_was_there)
{
    RoutingState world;
    BOOST_TEST(RecordTargetVersion(world, kModel, 2, AssumeDeclarationTime(kStart, kDeadline)));
    BOOST_TEST((DeclaredAt(world, 2) + kDeadline < kStart + seconds(3))); // nobody told: older weights get a short while only
    const NamedAge observed[] = {{2, 1500}};
    RecordReportedVersions(world, kModel, observed, kDeadline, kStart);
    BOOST_TEST((DeclaredAt(world, 2) == kStart - milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(the_earliest_sure_time_counts)
{
    RoutingState   world;
    const NamedAge later_estimate[]   = {{2, 300}};
    const NamedAge earlier_estimate[] = {{2, 900}};
    const NamedAge unobserved[]       = {{2, -1}};
    RecordReportedVersions(world, kModel, later_estimate, kDeadline, kStart);
    RecordReportedVersions(world, kModel, earlier_estimate, kDeadline, kStart);
    RecordReportedVersions(world, kModel, later_estimate, kDeadline, kStart);
    RecordReportedVersions(world, kModel, unobserved, kDeadline, kStart);
    BOOST_TEST((DeclaredAt(world, 2) == kStart - milliseconds(900)));
}

// The store keeps the newest naming only; the deadline of the one before still binds.
BOOST_AUTO_TEST_CASE(a_version_named_between_two_others_is_learned_from_agents)
{
    RoutingState world;
    RecordTargetVersion(world, kModel, 3, {kStart - seconds(1), true});
    const NamedAge observed[] = {{2, 4000}, {3, 1000}};
    RecordReportedVersions(world, kModel, observed, kDeadline, kStart);
    BOOST_REQUIRE(world.m_TargetVersions[kModel].contains(2));
    BOOST_TEST((DeclaredAt(world, 2) == kStart - seconds(4)));
    BOOST_TEST((DeclaredAt(world, 3) == kStart - seconds(1)));
}

BOOST_AUTO_TEST_CASE(an_assumed_time_of_an_older_version_says_nothing)
{
    RoutingState world;
    RecordTargetVersion(world, kModel, 3, {kStart, true});
    BOOST_TEST(!RecordTargetVersion(world, kModel, 2, AssumeDeclarationTime(kStart, kDeadline)));
    BOOST_TEST(!world.m_TargetVersions[kModel].contains(2));
}

BOOST_AUTO_TEST_CASE(only_the_newest_versions_are_remembered_and_old_ones_do_not_come_back)
{
    RoutingState world;
    for (uint64_t v = 2; v < 30; v++)
        RecordTargetVersion(world, kModel, v, {kStart, true});
    const size_t kept = world.m_TargetVersions[kModel].size();
    BOOST_TEST(kept < 28u);
    BOOST_TEST(!RecordTargetVersion(world, kModel, 2, {kStart, true}));
    BOOST_TEST(world.m_TargetVersions[kModel].size() == kept);
    BOOST_TEST(!world.m_TargetVersions[kModel].contains(2));
}

BOOST_AUTO_TEST_CASE(declarations_are_doubted_while_a_newer_row_is_known_or_nobody_has_confirmed_them_for_long)
{
    const auto may_be_stale = [](uint64_t held, uint64_t newest, Duration checked_age) {
        return DeclarationsMayBeStale({held, newest, kStart - checked_age, "store"}, kStart);
    };
    BOOST_TEST(!may_be_stale(7, 7, milliseconds(0)));
    BOOST_TEST(!may_be_stale(7, 7, milliseconds(1250))); // as old as a confirmation gets while all goes well
    BOOST_TEST(!may_be_stale(7, 7, milliseconds(1500)));
    BOOST_TEST(may_be_stale(7, 7, milliseconds(1501)));
    BOOST_TEST(may_be_stale(7, 8, milliseconds(0)));
    BOOST_TEST(may_be_stale(7, 8, seconds(60)));
    BOOST_TEST(DeclarationsMayBeStale({7, 7, TimePoint{}, "store"}, kStart)); // never confirmed
}

BOOST_AUTO_TEST_CASE(declarations_that_nobody_follows_are_not_doubted)
{
    BOOST_TEST(!DeclarationsMayBeStale({}, kStart));
    BOOST_TEST(!DeclarationsMayBeStale({0, 8, TimePoint{}, {}}, kStart));
}
