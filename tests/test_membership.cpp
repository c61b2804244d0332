// Membership: the lagging list, heartbeats and a box's own word together.
#include "process/membership.h"
#include "support.h"

using namespace aldervale;

namespace
{

BoxList List(uint64_t version, ListState state)
{
    BoxList list;
    list.m_Version          = version;
    list.m_Entries["box-1"] = {"box-1", state, 0};
    return list;
}

const TimePoint kNow = TimePoint() + seconds(1000);

} // namespace

BOOST_AUTO_TEST_CASE(own_word_silence_and_list_each_close_a_box)
{
    Membership m({});
    BOOST_CHECK(!m.Usable("box-1", kNow));
    m.OnHello("box-1", 11, kNow);
    BOOST_CHECK(m.Usable("box-1", kNow));
    m.OnHeartbeat("box-1", 11, true, kNow);
    BOOST_CHECK(!m.Usable("box-1", kNow)); // its own word
    m.OnHeartbeat("box-1", 11, false, kNow);
    BOOST_CHECK(m.Usable("box-1", kNow));
    BOOST_CHECK(!m.Usable("box-1", kNow + MembershipConfig{}.m_SuspectAfter + milliseconds(1))); // silence
    m.OnList(List(5, ListState_Leaving), kNow);
    BOOST_CHECK(!m.Usable("box-1", kNow)); // the list
    m.OnLinkLost("box-1", 11);
    BOOST_CHECK(!m.Usable("box-1", kNow));
}

BOOST_AUTO_TEST_CASE(box_back_under_its_old_address_is_not_judged_by_the_old_list)
{
    Membership m({});
    m.OnHello("box-1", 11, kNow);
    m.OnList(List(5, ListState_Gone), kNow);
    BOOST_CHECK(!m.Usable("box-1", kNow));
    m.OnLinkLost("box-1", 11);
    m.OnHello("box-1", 12, kNow); // a new incarnation; the list still speaks of the one before
    BOOST_CHECK(m.Usable("box-1", kNow));
    m.OnList(List(6, ListState_Leaving), kNow); // this one is about it
    BOOST_CHECK(!m.Usable("box-1", kNow));
}

BOOST_AUTO_TEST_CASE(heartbeat_of_a_former_incarnation_is_ignored)
{
    Membership m({});
    m.OnHello("box-1", 11, kNow);
    m.OnHello("box-1", 12, kNow);
    m.OnHeartbeat("box-1", 11, true, kNow);
    BOOST_CHECK(m.Usable("box-1", kNow));
}

BOOST_AUTO_TEST_CASE(older_list_changes_nothing)
{
    Membership m({});
    m.OnHello("box-1", 11, kNow);
    m.OnList(List(5, ListState_Live), kNow);
    m.OnList(List(4, ListState_Gone), kNow);
    BOOST_CHECK(m.Usable("box-1", kNow));
    BOOST_CHECK(!m.Gone("box-1"));
}

BOOST_AUTO_TEST_CASE(list_text_is_checked)
{
    BOOST_CHECK(!ParseBoxList("{}"));
    BOOST_CHECK(!ParseBoxList(R"({"version": 1, "boxes": [{"name": "a", "state": "asleep"}]})"));
    const auto list = ParseBoxList(SerializeBoxList(List(7, ListState_Leaving)));
    BOOST_REQUIRE(list.has_value());
    BOOST_CHECK_EQUAL(list.value().m_Version, 7u);
    BOOST_CHECK_EQUAL(list.value().m_Entries.at("box-1").m_State, ListState_Leaving);
}
