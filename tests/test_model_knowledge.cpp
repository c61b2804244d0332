// What an agent knows of its server's model: whose word counts, when a version was named, and when the whole table is read.
#include "support.h"
#include "version/model_knowledge.h"

using namespace aldervale;

namespace
{

const TimePoint kStart = TimePoint{} + seconds(100);

Endpoint At(unsigned last)
{
    return Endpoint{asio::ip::make_address("10.0.0." + std::to_string(last)), 8000};
}

// What a router with declarations of that version tells; the origin is At(declared).
ModelNaming Told(uint64_t declared, uint64_t version, TimePoint named_at = {})
{
    ModelNaming n;
    n.m_Service           = "books";
    n.m_Model             = "m";
    n.m_Version           = version;
    n.m_At                = named_at;
    n.m_Origin            = At(static_cast<unsigned>(declared));
    n.m_OriginMbps        = 9.5;
    n.m_OriginConnections = 48;
    n.m_Declared          = declared;
    return n;
}

RouteTableSpec Declarations(uint64_t version, const std::string& service)
{
    Service s;
    s.m_Name             = service;
    s.m_Engine           = EngineCosts{};
    s.m_Engine->m_Model  = "m";
    s.m_Engine->m_Pieces = 40;
    RouteTableSpec spec;
    spec.m_Version  = version;
    spec.m_Services = {s};
    spec.m_Origin   = WeightOrigin{At(static_cast<unsigned>(version)), 9.5, 48};
    return spec;
}

ModelKnowledge Fresh()
{
    return ModelKnowledge("books", "10.0.9.1:7000", kStart);
}

} // namespace

// Agents read the operators' table whole at their start, and again when a fetch took over 8 s and there were newer declarations. After a loss of
// all power, or with the origin away, all 15 to 30 agents of a region did so at once: 1.1 MB each over a link of 3 MB/s, 5 to 11 s in which routers'
// own reads of new declarations waited behind them. What an agent needs of it is some 60 bytes, and every router tells them each second.
BOOST_AUTO_TEST_CASE(agents_that_routers_tell_never_read_the_whole_table)
{
    for (int box = 1; box <= 30; box++)
    {
        ModelKnowledge k("books", "10.0.9." + std::to_string(box) + ":7000", kStart);
        BOOST_TEST(!k.ReadsAll(kStart));
        BOOST_TEST(!k.ReadsAll(kStart + seconds(4))); // routers start, too, and have to learn it themselves
        k.OnTold(Told(7, 1), kStart + seconds(4));
        for (int s = 4; s < 600; s++) // nobody tells any more, or a fetch gets nothing from an origin that is away
            BOOST_TEST(!k.ReadsAll(kStart + seconds(s)));
    }
}

BOOST_AUTO_TEST_CASE(an_origin_that_moves_is_known_from_the_next_word_of_a_router)
{
    ModelKnowledge k = Fresh();
    BOOST_TEST(k.OnTold(Told(7, 1), kStart));
    BOOST_TEST((k.Origin()->m_Address == At(7)));
    BOOST_TEST(k.OnTold(Told(8, 1), kStart + seconds(1)));
    BOOST_TEST((k.Origin()->m_Address == At(8)));
    BOOST_TEST(k.Origin()->m_Mbps == 9.5);
    BOOST_TEST(k.Origin()->m_MaxConnections == 48u);
    BOOST_TEST(k.Declared() == 8u);
}

BOOST_AUTO_TEST_CASE(who_has_older_or_the_same_declarations_changes_nothing)
{
    ModelKnowledge k = Fresh();
    k.OnTold(Told(8, 1), kStart);
    BOOST_TEST(!k.OnTold(Told(7, 1), kStart)); // a router that is late
    BOOST_TEST((k.Origin()->m_Address == At(8)));
    ModelNaming same = Told(8, 1);
    same.m_Origin    = At(99);
    BOOST_TEST(!k.OnTold(same, kStart));
    BOOST_TEST((k.Origin()->m_Address == At(8)));
    BOOST_TEST(!k.OnDeclared(Declarations(7, "books"))); // a read of the store that lags
    BOOST_TEST((k.Origin()->m_Address == At(8)));
    BOOST_TEST(k.Declared() == 8u);
}

BOOST_AUTO_TEST_CASE(newer_declarations_that_say_the_same_are_no_news)
{
    ModelKnowledge k     = Fresh();
    ModelNaming    first = Told(7, 1);
    k.OnTold(first, kStart);
    first.m_Declared = 9;
    BOOST_TEST(!k.OnTold(first, kStart));
    BOOST_TEST(k.Declared() == 9u); // but who has 8 is older now
    BOOST_TEST(!k.OnTold(Told(8, 1), kStart));
    BOOST_TEST((k.Origin()->m_Address == At(7)));
    first.m_Declared = 10;
    first.m_Origin.reset();
    BOOST_TEST(!k.OnTold(first, kStart));
    BOOST_TEST((k.Origin()->m_Address == At(7))); // one that went away may still answer
}

BOOST_AUTO_TEST_CASE(words_of_other_services_count_for_nothing)
{
    ModelKnowledge k     = Fresh();
    ModelNaming    other = Told(9, 5, kStart);
    other.m_Service      = "loans";
    BOOST_TEST(!k.OnTold(other, kStart));
    BOOST_TEST(k.Model().empty());
    BOOST_TEST(k.Newest().m_Version == 0u);
    BOOST_TEST(k.OnTold(Told(7, 1), kStart)); // of the own service, with lower declarations than that one
    BOOST_TEST(k.Model() == "m");
}

// Whatever routers with any declarations say in any order: the one with the newest is believed, and knowledge never goes back.
BOOST_AUTO_TEST_CASE(the_origin_is_always_that_of_the_newest_declarations_told)
{
    ALDERVALE_PROPERTY("newest teller wins",
                       [](const std::vector<uint8_t>& tellers)
                       {
                           ModelKnowledge k      = Fresh();
                           unsigned       newest = 0;
                           for (const uint8_t declared : tellers)
                           {
                               newest = std::max<unsigned>(newest, declared);
                               k.OnTold(Told(declared, 1), kStart);
                               RC_ASSERT(k.Declared() == newest);
                               RC_ASSERT(k.Origin().has_value() == (newest > 0));
                               if (newest > 0)
                                   RC_ASSERT(k.Origin()->m_Address == At(newest));
                           }
                       });
}

BOOST_AUTO_TEST_CASE(without_any_word_agents_read_the_whole_table_one_after_the_other)
{
    std::vector<Duration> waits;
    for (int box = 1; box <= 30; box++)
    {
        ModelKnowledge k("books", "10.0.9." + std::to_string(box) + ":7000", kStart);
        Duration       wait{};
        while (!k.ReadsAll(kStart + wait))
            wait += milliseconds(1);
        waits.push_back(wait);
    }
    std::sort(waits.begin(), waits.end());
    BOOST_TEST((waits.front() >= kUntoldMax));
    BOOST_TEST((waits.back() <= kUntoldMax + kUntoldSpread));
    BOOST_TEST((waits.back() - waits.front() >= seconds(3)));
    BOOST_TEST((waits[15] > waits[0] + seconds(1)));
    BOOST_TEST((waits[15] < waits[29] - seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_read_of_the_whole_table_ends_when_it_or_a_router_tells_the_model)
{
    const TimePoint late = kStart + kUntoldMax + kUntoldSpread;
    ModelKnowledge  read = Fresh();
    BOOST_TEST(read.ReadsAll(late));
    BOOST_TEST(read.OnDeclared(Declarations(7, "books")));
    BOOST_TEST(read.Model() == "m");
    BOOST_TEST((read.Origin()->m_Address == At(7)));
    read.OnReadAll(late);
    BOOST_TEST(!read.ReadsAll(late + seconds(600)));
    ModelKnowledge told = Fresh();
    BOOST_TEST(told.ReadsAll(late));
    told.OnTold(Told(7, 1), late);
    BOOST_TEST(!told.ReadsAll(late));
}

BOOST_AUTO_TEST_CASE(a_service_that_is_not_declared_is_looked_for_ever_less_often)
{
    ModelKnowledge k    = Fresh();
    TimePoint      now  = kStart;
    Duration       last = Duration::zero();
    for (int i = 0; i < 8; i++)
    {
        const TimePoint since = now;
        while (!k.ReadsAll(now))
            now += milliseconds(10);
        BOOST_TEST((now - since >= last));
        BOOST_TEST((now - since <= kUntoldLongest + milliseconds(10)));
        last = now - since;
        if (i > 0) // none at all at first: boxes start before anything is declared
            k.OnDeclared(Declarations(7, "loans"));
        k.OnReadAll(now);
        BOOST_TEST(!k.ReadsAll(now));
    }
    BOOST_TEST((last >= kUntoldLongest));
    BOOST_TEST(k.OnDeclared(Declarations(8, "books")));
    BOOST_TEST(k.Model() == "m");
}

BOOST_AUTO_TEST_CASE(what_the_first_read_tells_was_named_at_an_unknown_time)
{
    ModelKnowledge k = Fresh();
    k.OnTold(Told(7, 0), kStart);
    k.OnRow("m", 3, kStart);
    BOOST_TEST(k.Newest().m_Version == 3u);
    BOOST_TEST((k.Newest().m_At == TimePoint{}));
    k.OnRead();
    k.OnRow("m", 3, kStart + seconds(6)); // again, in the next read: it is no news
    BOOST_TEST((k.Newest().m_At == TimePoint{}));
    k.OnRow("m", 4, kStart + seconds(12));
    BOOST_TEST(k.Newest().m_Version == 4u);
    BOOST_TEST((k.Newest().m_At == kStart + seconds(12)));
}

// The few rows are read while no router has told the model yet: which of them tell of the own model comes out only later.
BOOST_AUTO_TEST_CASE(times_of_naming_stay_right_when_the_model_is_learned_after_the_first_read)
{
    ModelKnowledge k = Fresh();
    k.OnRow("m", 3, kStart);
    k.OnRow("n", 8, kStart);
    k.OnRead();
    BOOST_TEST(k.Newest().m_Version == 0u);    // of no model yet
    k.OnTold(Told(7, 3), kStart + seconds(1)); // by a router that doesn't know the time
    BOOST_TEST(k.Newest().m_Version == 3u);
    BOOST_TEST((k.Newest().m_At == TimePoint{})); // the first read told it
    k.OnTold(Told(7, 4), kStart + seconds(2));    // not in the first read: named after it
    BOOST_TEST((k.Newest().m_At == kStart + seconds(2)));

    ModelKnowledge between = Fresh(); // version 4 is named between two reads, and only then the model is known
    between.OnRow("m", 3, kStart);
    between.OnRead();
    between.OnRow("m", 4, kStart + seconds(6));
    between.OnRead();
    between.OnTold(Told(7, 4), kStart + seconds(7));
    BOOST_TEST(between.Newest().m_Version == 4u);
    BOOST_TEST((between.Newest().m_At == kStart + seconds(6)));
}

BOOST_AUTO_TEST_CASE(before_the_first_read_only_a_router_that_knows_the_time_makes_it_known)
{
    ModelKnowledge unsure = Fresh();
    unsure.OnTold(Told(7, 3), kStart);
    BOOST_TEST((unsure.Newest().m_At == TimePoint{}));
    unsure.OnHeard(4, kStart);
    BOOST_TEST(unsure.Newest().m_Version == 4u);
    BOOST_TEST((unsure.Newest().m_At == TimePoint{}));
    unsure.OnTold(Told(7, 4, kStart - seconds(2)), kStart + seconds(1));
    BOOST_TEST((unsure.Newest().m_At == kStart - seconds(2)));
    ModelKnowledge sure = Fresh(); // the own read was first and didn't say when
    sure.OnRow("m", 3, kStart);
    sure.OnRead();
    sure.OnTold(Told(7, 3, kStart - seconds(2)), kStart + seconds(1));
    BOOST_TEST((sure.Newest().m_At == kStart - seconds(2)));
    sure.OnTold(Told(7, 3, kStart - seconds(1)), kStart + seconds(1)); // others reckon a little differently
    BOOST_TEST((sure.Newest().m_At == kStart - seconds(2)));
}

BOOST_AUTO_TEST_CASE(versions_only_rise_whoever_tells_them)
{
    ModelKnowledge k = Fresh();
    k.OnTold(Told(8, 5, kStart), kStart);
    k.OnTold(Told(7, 6, kStart), kStart); // older declarations, but the newest version of weights
    BOOST_TEST(k.Newest().m_Version == 6u);
    k.OnRead();
    k.OnRow("m", 4, kStart);
    k.OnHeard(5, kStart);
    k.OnTold(Told(9, 5, kStart), kStart);
    BOOST_TEST(k.Newest().m_Version == 6u);
    ModelNaming other = Told(10, 9, kStart);
    other.m_Model     = "n"; // a model once known stays
    k.OnTold(other, kStart);
    BOOST_TEST(k.Model() == "m");
    BOOST_TEST(k.Newest().m_Version == 6u);
}
