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

BOOST_AUTO_TEST_CASE(an_entry_of_an_earlier_lifetime_never_undoes_a_later_one)
{
    ServerDirectory d;
    ServerEntry     second = Entry("a", "plain", "dc-1", 5);
    second.m_BornMs        = 2000;
    d.OnRow(second);
    ServerEntry first = Entry("a", "plain", "dc-1", 9); // written late, by whoever: a newer row of an older lifetime
    first.m_BornMs    = 1000;
    first.m_Draining  = true;
    d.OnRow(first);
    BOOST_REQUIRE(d.Usable("plain").size() == 1u);
    BOOST_TEST(d.Usable("plain").front()->m_BornMs == 2000);
    ServerEntry untold = Entry("a", "plain", "dc-1", 10); // without a time the newest row holds
    untold.m_Draining  = true;
    d.OnRow(untold);
    BOOST_TEST(d.Usable("plain").empty());
}

BOOST_AUTO_TEST_CASE(a_row_that_cannot_be_decoded_names_no_server_until_it_can)
{
    ServerDirectory d;
    d.OnRow(Entry("a", "plain", "dc-1", 5));
    d.OnRow(Entry("b", "plain", "dc-1", 6));
    d.OnStoreLost();
    d.OnStoreReached(kStart); // also within the grace after an outage
    d.OnRowRefused("a", 7);
    BOOST_REQUIRE(d.Usable("plain").size() == 1u);
    BOOST_TEST(d.Usable("plain").front()->m_Id == "b");
    d.OnRow(Entry("a", "plain", "dc-1", 5)); // a read that lags behind
    BOOST_TEST(d.Find("a") == nullptr);
    d.OnRow(Entry("a", "plain", "dc-1", 8));
    BOOST_TEST(d.Usable("plain").size() == 2u);
    d.OnRowRefused("a", 8); // the same version read twice can't differ: what was taken of it stays
    BOOST_TEST(d.Usable("plain").size() == 2u);
}
