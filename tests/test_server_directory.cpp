// The directory of backend servers: rows, reads of the whole list, outages of the store.
#include "support_servers.h"

using namespace aldervale;

BOOST_AUTO_TEST_CASE(a_draining_or_unlisted_server_gets_no_new_work)
{
    ServerDirectory d;
    d.OnRow(Entry("a", "plain", "dc-1", 5));
    d.OnRow(Entry("b", "plain", "dc-1", 6));
    ServerEntry leaving = Entry("a", "plain", "dc-1", 7);
    leaving.m_Draining  = true;
    d.OnRow(leaving);
    d.OnRowGone("b", 8, kStart);
    BOOST_TEST(d.Usable("plain").empty());
    BOOST_TEST(d.All("plain").size() == 1u);
    BOOST_TEST(d.Find("b") == nullptr);
}

BOOST_AUTO_TEST_CASE(late_rows_and_late_reads_change_nothing)
{
    ServerDirectory d;
    ServerEntry     leaving = Entry("a", "plain", "dc-1", 9);
    leaving.m_Draining      = true;
    d.OnRow(leaving);
    d.OnRow(Entry("a", "plain", "dc-1", 4));
    BOOST_TEST(d.Usable("plain").empty());
    d.OnReadAll({Entry("a", "plain", "dc-1", 4), Entry("old", "plain", "dc-1", 3)}, 5, kStart);
    BOOST_TEST(d.Usable("plain").empty());
    d.OnRowGone("a", 10, kStart);
    d.OnRow(Entry("a", "plain", "dc-1", 4)); // a row from before it went
    BOOST_TEST(d.Find("a") == nullptr);
}

BOOST_AUTO_TEST_CASE(entries_that_lapse_in_an_outage_stay_until_the_grace_after_it)
{
    ServerDirectory d;
    d.OnRow(Entry("lives", "plain", "dc-1", 1));
    d.OnRow(Entry("dead", "plain", "dc-1", 2));
    d.OnStoreLost();
    d.OnStoreReached(kStart + seconds(4));
    d.OnReadAll({}, 20, kStart + seconds(4));
    BOOST_TEST(d.Usable("plain").size() == 2u);
    d.OnRow(Entry("lives", "plain", "dc-1", 21));
    d.Expire(kStart + seconds(5));
    BOOST_TEST(d.Usable("plain").size() == 2u);
    d.Expire(kStart + seconds(4) + kLapseGrace);
    BOOST_TEST(d.Usable("plain").size() == 1u);
    BOOST_TEST(d.Usable("plain").front()->m_Id == "lives");
    d.OnRowGone("lives", 30, kStart + seconds(8)); // no outage: believed at once
    BOOST_TEST(d.Usable("plain").empty());
}

BOOST_AUTO_TEST_CASE(a_read_of_the_whole_table_drops_what_it_does_not_hold)
{
    ServerDirectory d;
    d.OnRow(Entry("a", "plain", "dc-1", 1));
    d.OnReadAll({Entry("b", "plain", "dc-1", 2)}, 3, kStart);
    BOOST_TEST(d.Find("a") == nullptr);
    BOOST_TEST(d.Find("b") != nullptr);
    BOOST_TEST(d.StoreVersion() == 3u);
}
