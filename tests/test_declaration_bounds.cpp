// Tests of the bounds of rows' declaration times: a bound that is later than the declaration lets servers start requests on older weights too late.
#include "process/declarations_peers.h"
#include "support_io.h"

using namespace aldervale;

namespace
{

constexpr std::string_view kKey = "version/m";

struct Reader // a router that reads the store; nothing is sent or received
{
    asio::io_context  m_Ioc;                                                                                 //
    LoadListener      m_Datagrams{m_Ioc, {"r", "dc"}, [](const asio::ip::address&, const LoadReport&) {}};   //
    StoreTimes        m_Times;                                                                               //
    DeclarationsPeers m_Peers{m_Ioc, {"r", {}, "region"}, m_Datagrams, m_Times, [](const DeclaredRows&) {}}; //
    const TimePoint   m_Now = Now();                                                                         //

    Reader()
    {
        m_Peers.OnStoreRead(Read(0, 4, {MakeRow(3, "1")}), TableRead_Whole);
        for (const uint64_t version : {4, 5, 6, 7, 8, 9})
            m_Times.OnAnswer({version, ToMs(MomentOf(version).time_since_epoch())}, MomentOf(version), {}, MomentOf(version));
    }

    TimePoint MomentOf(uint64_t version) const { return m_Now - seconds(10) + seconds(version); } // the store was at that version then

    static Row MakeRow(uint64_t version, std::string value, std::string key = std::string(kKey))
    {
        Row row;
        row.m_Key     = std::move(key);
        row.m_Value   = std::move(value);
        row.m_Version = version;
        return row;
    }

    static RowRead Read(uint64_t since, uint64_t version, std::vector<Row> rows)
    {
        RowRead read;
        read.m_Rows         = std::move(rows);
        read.m_StoreVersion = version;
        read.m_Since        = since;
        return read;
    }

    TimePoint Bound(uint64_t row_version) const { return m_Peers.WrittenSince(row_version).value_or(TimePoint{}); }
};

} // namespace

// Guards against older weights that stop at once because a row was written twice: its bound was unknown then.
BOOST_AUTO_TEST_CASE(a_row_that_is_written_again_in_the_same_changes_keeps_its_bound)
{
    Reader r;
    r.m_Peers.OnStoreRead(r.Read(4, 9, {r.MakeRow(5, "2"), r.MakeRow(9, "2")}), TableRead_Changes);
    BOOST_TEST((r.Bound(5) >= r.MomentOf(4) - milliseconds(50)));
    BOOST_TEST((r.Bound(9) == r.Bound(5)));
}

// Guards against servers that keep weights 1 for a deadline after weights 3, though 2 were declared before. Only the newest row is used.
BOOST_AUTO_TEST_CASE(the_bound_of_a_row_holds_for_all_its_values_since_the_read_before)
{
    Reader r;
    r.m_Peers.OnStoreRead(r.Read(4, 9, {r.MakeRow(5, "2"), r.MakeRow(9, "3")}), TableRead_Changes);
    BOOST_TEST((r.Bound(9) >= r.MomentOf(4) - milliseconds(50)));
    BOOST_TEST((r.Bound(9) < r.MomentOf(5)));
}

BOOST_AUTO_TEST_CASE(a_row_that_is_declared_after_it_was_written_again_counts_from_its_change)
{
    Reader r;
    r.m_Peers.OnStoreRead(r.Read(4, 9, {r.MakeRow(7, "1"), r.MakeRow(9, "2")}), TableRead_Changes);
    BOOST_TEST((r.Bound(7) == TimePoint{}));
    BOOST_TEST((r.Bound(9) >= r.MomentOf(8) - milliseconds(50)));
    BOOST_TEST((r.Bound(9) < r.MomentOf(9)));
}

// Guards against a bound of one row that is used for another one: both have the version of their transaction.
BOOST_AUTO_TEST_CASE(rows_of_one_transaction_have_the_earliest_of_their_bounds)
{
    for (const bool first : {true, false})
    {
        Reader  r;
        RowRead read = r.Read(4, 9, {r.MakeRow(5, "2"), r.MakeRow(9, "2")});
        read.m_Rows.insert(first ? read.m_Rows.begin() + 1 : read.m_Rows.end(), r.MakeRow(9, "5", "version/n"));
        r.m_Peers.OnStoreRead(read, TableRead_Changes);
        BOOST_TEST((r.Bound(9) == r.Bound(5)));
    }
}

// Of few rows and of a whole table earlier versions of a row aren't seen.
BOOST_AUTO_TEST_CASE(the_newest_version_of_a_row_counts_from_the_version_up_to_which_all_rows_are_held)
{
    for (const bool few : {true, false})
    {
        Reader        r;
        const RowRead read = r.Read(6, 9, {r.MakeRow(9, "2")});
        if (few)
            r.m_Peers.OnFewRows(read);
        else
            r.m_Peers.OnStoreRead(read, TableRead_Whole);
        BOOST_TEST((r.Bound(9) >= r.MomentOf(6) - milliseconds(50)));
        BOOST_TEST((r.Bound(9) < r.MomentOf(7)));
    }
}

// Guards against a bound after the declaration where a row is written again in another form that declares the same.
BOOST_AUTO_TEST_CASE(a_row_that_declares_the_same_in_another_form_keeps_its_bound)
{
    Reader r;
    r.m_Peers.SetDeclareSame([](const Row& a, const Row& b) { return a.m_Value[0] == b.m_Value[0]; });
    r.m_Peers.OnStoreRead(r.Read(4, 5, {r.MakeRow(5, "2")}), TableRead_Changes);
    r.m_Peers.OnStoreRead(r.Read(5, 9, {r.MakeRow(9, "2 ")}), TableRead_Changes);
    BOOST_TEST((r.Bound(5) != TimePoint{}));
    BOOST_TEST((r.Bound(9) == r.Bound(5)));
}

// Guards against a read outside of the texts of earlier versions: they lie in blocks, and what lay behind a block was told to other routers as a
// time.
BOOST_AUTO_TEST_CASE(who_lacks_one_version_is_told_the_bound_of_that_version)
{
    constexpr uint64_t kVersions = 40; // more than a block of the texts holds
    asio::io_context   ioc;
    LoadListener       datagrams(ioc, {"r", "dc"}, [](const asio::ip::address&, const LoadReport&) {});
    StoreTimes         times;
    const Endpoint     at = FreeEndpoint();
    DeclarationsPeers  peers(ioc, {"r", at, "region"}, datagrams, times, [](const DeclaredRows&) {});
    const TimePoint    begun = Now() - seconds(1000);
    BOOST_REQUIRE(peers.Listen().has_value());
    peers.OnStoreRead(Reader::Read(0, 1, {Reader::MakeRow(1, "1")}), TableRead_Whole);
    for (uint64_t version = 2; version <= kVersions; version++)
    {
        RowRead read     = Reader::Read(version - 1, version, {Reader::MakeRow(version, std::to_string(version))});
        read.m_NotBefore = begun + version * seconds(10);
        peers.OnStoreRead(read, TableRead_Changes);
        std::optional<int32_t> age_ms;
        const auto             ask = [&]() -> awaitable<void>
        {
            auto                   socket = co_await ConnectTcp(at, seconds(30));
            const auto             link   = std::make_shared<Link>(std::move(socket.value()), LinkSide_Dialled, LinkConfig{}, LinkHandlers{});
            const MailboxPtr       answer = link->OpenExchange(ioc.get_executor());
            wire::DeclarationsGetT get;
            get.have = version - 1;
            link->Start();
            link->Send(EncodeFrame(answer->Id(), get));
            const TimePoint               until = Now() + seconds(30);
            const std::optional<FrameBuf> frame = co_await answer->Pop(until);
            age_ms                              = frame ? frame->Get()->body_as_DeclarationsData()->not_before_age_ms() : -1;
            link->Close();
        };
        asio::co_spawn(ioc, ask, asio::detached);
        for (int i = 0; i < 6000 && !age_ms; i++)
            ioc.run_for(milliseconds(5));
        BOOST_REQUIRE(age_ms.has_value());
        const Duration off = Now() - milliseconds(*age_ms) - read.m_NotBefore;
        BOOST_TEST(std::abs(ToMs(off)) < 5000, "version " << version << " is told " << ToMs(off) << " ms off its bound");
    }
}
