// The list of servers as readers tell it: what is sent, what fits, who reads for itself.
#include "process/server_news.h"
#include "support.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100);

RowRead Changes(uint64_t since, uint64_t version, std::vector<uint64_t> rows, size_t bytes = 200)
{
    RowRead out;
    out.m_Since        = since;
    out.m_StoreVersion = version;
    for (const uint64_t v : rows)
        out.m_Rows.push_back({"i-" + std::to_string(v), std::string(bytes, 'x'), v, false, false});
    return out;
}

ServersTold Alive(uint64_t version)
{
    ServersTold told;
    told.m_Since               = version;
    told.m_Rows.m_StoreVersion = version;
    return told;
}

// One that has heard of a reader.
ServerNewsListener Listening(uint64_t version, TimePoint now)
{
    ServerNewsListener l(kStart, {});
    l.OnNews(Alive(version), version, now);
    return l;
}

} // namespace

BOOST_AUTO_TEST_CASE(long_changes_are_told_in_datagrams_that_follow_on_each_other)
{
    const std::vector<ServersTold> told = SplitServerNews(10, Changes(10, 60, {55, 11, 20, 30, 41, 42, 50}, 1200));
    BOOST_REQUIRE(told.size() > 1u);
    uint64_t at   = 10;
    size_t   rows = 0;
    for (const ServersTold& t : told)
    {
        BOOST_TEST(t.m_Since == at);
        for (const Row& r : t.m_Rows.m_Rows)
            BOOST_TEST((r.m_Version > t.m_Since && r.m_Version <= t.m_Rows.m_StoreVersion));
        at = t.m_Rows.m_StoreVersion;
        rows += t.m_Rows.m_Rows.size();
    }
    BOOST_TEST(at == 60u);
    BOOST_TEST(rows == 7u);
    BOOST_TEST(SplitServerNews(10, Changes(10, 12, {})).size() == 1u); // nothing changed: the version is news all the same
}

BOOST_AUTO_TEST_CASE(rows_of_one_version_stay_together)
{
    const std::vector<ServersTold> told = SplitServerNews(10, Changes(10, 20, {12, 20, 20, 20, 20, 20, 20, 20}));
    for (const ServersTold& t : told)
    {
        const auto of_20 = std::count_if(t.m_Rows.m_Rows.begin(), t.m_Rows.m_Rows.end(), [](const Row& r) { return r.m_Version == 20; });
        BOOST_TEST((of_20 == 0 || of_20 == 7));
    }
}

BOOST_AUTO_TEST_CASE(news_that_follow_on_what_is_held_fit_and_others_are_a_gap)
{
    ServerNewsListener l = Listening(10, kStart);
    ServersTold        next;
    next.m_Since               = 10;
    next.m_Rows.m_StoreVersion = 15;
    BOOST_TEST(l.OnNews(next, 10, kStart));
    next.m_Since               = 5; // of the other reader: it overlaps
    next.m_Rows.m_StoreVersion = 18;
    BOOST_TEST(l.OnNews(next, 15, kStart));
    next.m_Since               = 20; // one was lost
    next.m_Rows.m_StoreVersion = 25;
    BOOST_TEST(!l.OnNews(next, 18, kStart));
    BOOST_TEST(!l.Reads(18, 0, kStart + milliseconds(500))); // the other reader may fill it
    BOOST_TEST(l.Reads(18, 0, kStart + milliseconds(700)));
    BOOST_TEST(!l.Reads(25, 0, kStart + milliseconds(700)));
    BOOST_TEST(!l.OnNews(next, 0, kStart)); // nothing is held: rows that changed are not the list
}

BOOST_AUTO_TEST_CASE(a_lost_datagram_shows_at_the_next_sign_of_life)
{
    ServerNewsListener l = Listening(10, kStart);
    BOOST_TEST(!l.OnNews(Alive(12), 10, kStart + kServersNewsEvery));
    BOOST_TEST(l.Behind(10, kStart + kServersNewsEvery + milliseconds(601)));
}

BOOST_AUTO_TEST_CASE(who_hears_nothing_reads_the_better_its_rank_the_sooner)
{
    const ServerNewsListener l = Listening(10, kStart);
    BOOST_TEST(!l.Reads(10, 2, kStart + milliseconds(1200)));
    BOOST_TEST(l.Reads(10, 0, kStart + milliseconds(1201)));
    BOOST_TEST(!l.Reads(10, 3, kStart + milliseconds(1320)));
    BOOST_TEST(l.Reads(10, 3, kStart + milliseconds(1321)));
    BOOST_TEST(l.Reads(10, 100, kStart + milliseconds(1401))); // however many there are
    BOOST_TEST(l.Reads(0, 100, kStart));                       // who holds nothing reads at once
}

// Both leads of a region were cut off from the store, and the third router waited for them: it sent to a server that had left.
BOOST_AUTO_TEST_CASE(while_readers_say_that_they_cannot_reach_the_store_others_read_for_themselves)
{
    ServerNewsListener l    = Listening(10, kStart);
    ServersTold        lost = Alive(10);
    lost.m_Lost             = true;
    for (int ms = 0; ms <= 1500; ms += 250)
        BOOST_TEST(!l.OnNews(lost, 10, kStart + milliseconds(ms)));
    BOOST_TEST(l.Stale(kStart + milliseconds(1500)));
    BOOST_TEST(l.Reads(10, 2, kStart + milliseconds(1500)));
    l.OnNews(Alive(10), 10, kStart + milliseconds(1600)); // one of them reaches it again
    BOOST_TEST(!l.Stale(kStart + milliseconds(1600)));
    BOOST_TEST(!l.Reads(10, 2, kStart + milliseconds(1600)));
}

BOOST_AUTO_TEST_CASE(what_is_held_is_as_old_as_the_answer_that_confirmed_it_not_as_the_word_of_it)
{
    ServerNewsListener l   = Listening(10, kStart);
    ServersTold        old = Alive(10);
    for (int ms = 0; ms <= 1500; ms += 250)
    {
        old.m_CheckedAge = milliseconds(ms); // the reader lives, and its question isn't answered
        l.OnNews(old, 10, kStart + milliseconds(ms));
    }
    BOOST_TEST(l.Reads(10, 100, kStart + milliseconds(1500)));
    l.OnOwnRead(kStart + milliseconds(1450));
    BOOST_TEST(!l.Reads(10, 0, kStart + milliseconds(2650)));
    BOOST_TEST(l.Reads(10, 0, kStart + milliseconds(2651)));
    old.m_CheckedAge = milliseconds(100);
    l.OnNews(old, 9, kStart + milliseconds(2651)); // of what isn't held whole
    BOOST_TEST(l.Stale(kStart + milliseconds(2651)));
}

BOOST_AUTO_TEST_CASE(only_the_last_datagram_of_a_change_confirms_what_is_held)
{
    ServerNewsListener             l    = Listening(10, kStart);
    const std::vector<ServersTold> told = SplitServerNews(10, Changes(10, 60, {55, 11, 20, 30, 41, 42, 50}, 4000));
    BOOST_REQUIRE(told.size() > 1u);
    for (const ServersTold& t : told)
        BOOST_TEST(t.m_More == (&t != &told.back()));
    l.OnNews(told.front(), 10, kStart + milliseconds(1300));
    BOOST_TEST(l.Stale(kStart + milliseconds(1300)));
}

BOOST_AUTO_TEST_CASE(properties_of_server_news)
{
    ALDERVALE_PROPERTY("a listener that loses some datagrams holds what the readers hold, or knows that it doesn't",
                       []
                       {
                           ServerNewsListener                    l(kStart, {});
                           std::map<std::string, uint64_t>       truth;
                           std::map<std::string, uint64_t>       held_rows;
                           uint64_t                              version = 5;
                           uint64_t                              held    = 5;
                           uint64_t                              read[2] = {5, 5}; // of each reader
                           std::vector<std::pair<Row, uint64_t>> log;
                           TimePoint                             now = kStart;
                           for (int i = 0; i < 40; i++)
                           {
                               now += milliseconds(100);
                               Row row;
                               row.m_Key        = "i" + std::to_string(*rc::gen::inRange(0, 6));
                               row.m_Version    = ++version;
                               row.m_Value      = std::string(static_cast<size_t>(*rc::gen::inRange(0, 500)), 'x');
                               truth[row.m_Key] = version;
                               log.emplace_back(row, version);
                               const size_t reader = *rc::gen::inRange<size_t>(0, 2);
                               RowRead      changes;
                               changes.m_StoreVersion = version;
                               for (const auto& [r, v] : log)
                                   if (v > read[reader])
                                       changes.m_Rows.push_back(r);
                               const uint64_t since = read[reader];
                               read[reader]         = version;
                               for (const ServersTold& t : SplitServerNews(since, changes))
                               {
                                   if (*rc::gen::inRange(0, 4) == 0)
                                       continue; // lost
                                   if (!l.OnNews(t, held, now))
                                       continue;
                                   for (const Row& r : t.m_Rows.m_Rows)
                                       held_rows[r.m_Key] = std::max(held_rows[r.m_Key], r.m_Version);
                                   held = std::max(held, t.m_Rows.m_StoreVersion);
                               }
                           }
                           l.OnNews(Alive(version), held, now);
                           const bool whole = held == version;
                           RC_ASSERT(whole == (held_rows == truth) || !whole);
                           if (!whole)
                               RC_ASSERT(l.Behind(held, now + seconds(1)));
                           else
                               RC_ASSERT(held_rows == truth);
                       });
}

// 205 processes of a region read the list in the same second, and none of them got it.
BOOST_AUTO_TEST_CASE(who_holds_nothing_reads_the_list_only_if_nobody_gives_it)
{
    const ServerNewsListener l(kStart, {});
    const Duration           first = ServerNewsPatience{}.m_First;
    BOOST_TEST(!l.ReadsFirst(0, kStart + first));
    Duration before = first;
    for (size_t place = 0; place <= kServersFirstPlaces; place++)
    {
        Duration at = before;
        while (!l.ReadsFirst(place, kStart + at))
            at += milliseconds(1);
        BOOST_TEST((at - before >= kServersFirstStagger * (1 << place) / 2));
        BOOST_TEST((at < seconds(40)));
        before = at;
    }
    BOOST_TEST(l.ReadsFirst(kServersFirstPlaces + 100, kStart + seconds(40)));
}

BOOST_AUTO_TEST_CASE(what_was_told_while_the_whole_list_came_is_a_gap_as_old_as_the_list)
{
    ServerNewsListener l(kStart, {});
    l.OnNews(Alive(50), 0, kStart);
    const TimePoint got = kStart + seconds(2);
    l.OnWholeList(got - milliseconds(100), got);
    BOOST_TEST(!l.Behind(48, got));
    BOOST_TEST(l.Asks(48, got)); // the difference is asked for
    BOOST_TEST(!l.Reads(48, 0, got));
    BOOST_TEST(l.Behind(48, got + ServerNewsPatience{}.m_Behind + milliseconds(1)));
    BOOST_TEST((l.CheckedAt() == got - milliseconds(100)));
}
