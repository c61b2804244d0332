// HTTP edges, links and the table service over real sockets: bounds, broken answers, late frames, lost write answers, operators' races.
#include "external/table_service.h"
#include "process/node.h"
#include "process/store_sync.h"
#include "standin/standin.h"
#include "support_io.h"

using namespace aldervale;

namespace
{

// A table service whose answers can be lost after the write took effect, or refused, by a script.
class FakeTable : public TableService
{
public:
    enum Fault
    {
        Fault_None,
        Fault_LoseAnswer, // the write takes effect
        Fault_LoseWrite,  // it doesn't
        Fault_Down,
    };

    awaitable<Result<TableScan>> Scan(std::string prefix, uint64_t after, TimePoint) override
    {
        std::lock_guard lock(m_Mutex);
        if (m_Down)
            co_return MakeError(ErrorCode_Unavailable, "down");
        TableScan scan;
        scan.m_Latest = m_Latest;
        for (const auto& [key, row] : m_Rows)
            if (key.starts_with(prefix) && row.m_Version > after)
                scan.m_Rows.push_back(row);
        co_return scan;
    }

    awaitable<TxnResult> Commit(TableTxn txn, TimePoint) override
    {
        std::lock_guard lock(m_Mutex);
        const Fault     fault = m_Faults.empty() ? Fault_None : m_Faults.front();
        if (!m_Faults.empty())
            m_Faults.pop_front();
        if (m_Down || fault == Fault_Down)
            co_return TxnResult{TxnOutcome_Refused, 0};
        if (fault == Fault_LoseWrite)
            co_return TxnResult{TxnOutcome_Unknown, 0};
        for (const TableCondition& c : txn.m_If)
            if ((m_Rows.contains(c.m_Key) ? m_Rows[c.m_Key].m_Version : 0) != c.m_Version)
                co_return TxnResult{fault == Fault_LoseAnswer ? TxnOutcome_Unknown : TxnOutcome_Conflict, 0};
        m_Latest++;
        m_Commits++;
        for (const TablePut& p : txn.m_Put)
            m_Rows[p.m_Key] = {p.m_Key, p.m_Value, m_Latest};
        co_return fault == Fault_LoseAnswer ? TxnResult{TxnOutcome_Unknown, 0} : TxnResult{TxnOutcome_Committed, m_Latest};
    }

    std::mutex                      m_Mutex; // guards the members below
    std::map<std::string, TableRow> m_Rows;
    std::deque<Fault>               m_Faults; // for the next writes
    uint64_t                        m_Latest  = 0;
    uint64_t                        m_Commits = 0;
    bool                            m_Down    = false;
};

class NoBoxList : public BoxListSource
{
public:
    awaitable<Result<BoxList>> Read(TimePoint) override { co_return BoxList{}; }
};

struct SyncFixture
{
    SyncFixture() : m_Running("router")
    {
        m_Node = std::make_unique<Node>(m_Running.m_Daemon, NodeConfig{}, NodeHandlers{});
        m_Sync = std::make_unique<StoreSync>(m_Running.m_Daemon, *m_Node, m_Table, m_List, StoreSyncConfig{},
                                             [](std::string) -> awaitable<Status> { co_return Ok(); });
        m_Running.Run();
    }

    ~SyncFixture() { m_Running.Stop(); }

    Result<CommitDone> Write(const std::string& model, std::optional<uint64_t> if_revision = {})
    {
        ChangeRequest change;
        Resource      r;
        r.m_Key                  = {Kind_Model, model};
        r.m_Spec["origin_scope"] = ++m_Writes % 2 == 0 ? "fleet" : "region"; // a write without a change would be none
        if (if_revision)
            change.m_IfRevision[r.m_Key] = *if_revision;
        change.m_Write.push_back(r);
        change.m_By = "op";
        struct Out
        {
            std::optional<Result<CommitDone>> m_Result;
        };
        Out out = Await<Out>(m_Running.m_Daemon.Ioc(),
                             [&]() -> awaitable<Out>
                             {
                                 auto r2 = co_await m_Sync->Commit(change, Now() + seconds(2));
                                 co_return Out{std::move(r2)};
                             });
        return std::move(*out.m_Result);
    }

    RunningDaemon              m_Running;
    FakeTable                  m_Table;
    NoBoxList                  m_List;
    std::unique_ptr<Node>      m_Node;
    std::unique_ptr<StoreSync> m_Sync;
    int                        m_Writes = 0;
};

struct HttpFixture
{
    explicit HttpFixture(HttpServerConfig cfg = {}) : m_Running("http"), m_At(FreeEndpoint())
    {
        m_Server = std::make_unique<HttpServer>(
            m_Running.m_Daemon.Ioc(), cfg,
            [](HttpRequest& req, HttpReply& reply) -> awaitable<void>
            {
                if (req.Path() == "/cut")
                {
                    const HttpFields fields;
                    co_await reply.Start(200, fields);
                    co_await reply.Write("half");
                    reply.Abort();
                    co_return;
                }
                const HttpResponse res{200, {}, req.m_Body + "|" + req.Query("q") + std::string(FindField(req.m_Fields, "X-Field"))};
                co_await reply.Send(res);
            });
        BOOST_REQUIRE(m_Server->Listen(m_At));
        m_Running.Run();
    }

    ~HttpFixture() { m_Running.Stop(); }

    struct Out
    {
        unsigned    m_Status = 0;
        std::string m_Body;
        Verdict     m_Verdict = Verdict_Ran;
    };

    Out Call(HttpRequest req)
    {
        return Await<Out>(
            m_Running.m_Daemon.Ioc(),
            [&]() -> awaitable<Out>
            {
                auto res = co_await m_Client.Call(m_At, req, Now() + seconds(20));
                co_return res ? Out{res.value().m_Status, res.value().m_Body, Verdict_Ran} : Out{0, res.error().m_Message, res.error().m_Verdict};
            });
    }

    // Sends raw bytes and returns what comes back until the server closes.
    std::string Raw(const std::string& bytes)
    {
        asio::io_context          ioc;
        tcp::socket               s(ioc);
        boost::system::error_code ec;
        s.connect({m_At.m_Address, m_At.m_Port});
        asio::write(s, asio::buffer(bytes), ec);
        s.shutdown(tcp::socket::shutdown_send, ec);
        std::string out;
        asio::read(s, asio::dynamic_buffer(out), ec);
        return out;
    }

    RunningDaemon               m_Running;
    Endpoint                    m_At;
    HttpClient                  m_Client;
    std::unique_ptr<HttpServer> m_Server;
};

} // namespace

BOOST_AUTO_TEST_CASE(http_round_trip_on_kept_connections)
{
    HttpFixture f;
    for (int i = 0; i < 20; i++)
    {
        HttpRequest req;
        req.m_Method = "POST";
        req.m_Target = "/x?q=a%20b";
        req.m_Body   = std::to_string(i);
        BOOST_CHECK_EQUAL(f.Call(req).m_Body, std::to_string(i) + "|a b");
    }
}

BOOST_AUTO_TEST_CASE(http_bounds_and_malformed_input)
{
    HttpServerConfig cfg;
    cfg.m_HeadMax = 1024;
    cfg.m_BodyMax = 100;
    HttpFixture f(cfg);
    BOOST_CHECK(f.Raw("GET / HTTP/1.1\r\nHost: x\r\nBig: " + std::string(5000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    BOOST_CHECK(f.Raw("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x')).starts_with("HTTP/1.1 413"));
    const std::string chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    BOOST_CHECK(f.Raw(chunked + "4;" + std::string(5000, 'x')).starts_with("HTTP/1.1 431"));
    BOOST_CHECK(f.Raw(chunked + "4\r\nbody\r\n0\r\nTrailer: " + std::string(5000, 'x')).starts_with("HTTP/1.1 431"));
    BOOST_CHECK(f.Raw(chunked + "4;" + std::string(500, 'x') + "\r\nbody\r\n0\r\nTrailer: x\r\n\r\n").ends_with("body|"));
    const std::string bad = f.Raw("NOT HTTP AT ALL\r\n\r\n");
    BOOST_CHECK(bad.starts_with("HTTP/1.1 400"));
    BOOST_CHECK(bad.find("not-run") != std::string::npos);
    BOOST_CHECK(f.Raw("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nshort").empty()); // never handed on
}

// Guards against trailers that pass for fields of the head: whoever checked the head didn't see them.
BOOST_AUTO_TEST_CASE(http_trailers_are_no_fields_of_the_request)
{
    HttpFixture       f;
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n";
    const std::string body = "\r\n4\r\nbody\r\n0\r\n";
    BOOST_CHECK(f.Raw(head + "X-Field: head\r\n" + body + "\r\n").ends_with("body|head"));
    BOOST_CHECK(f.Raw(head + body + "X-Field: trailer\r\n\r\n").ends_with("body|"));
}

BOOST_AUTO_TEST_CASE(http_answer_without_its_end_is_an_error)
{
    HttpFixture f;
    HttpRequest req;
    req.m_Target   = "/cut";
    const auto out = f.Call(req);
    BOOST_CHECK_EQUAL(out.m_Status, 0u);
    BOOST_CHECK_EQUAL(out.m_Verdict, Verdict_MayHaveRun);
}

BOOST_AUTO_TEST_CASE(http_connection_refused_is_not_run)
{
    HttpFixture f;
    f.m_At = FreeEndpoint();
    BOOST_CHECK_EQUAL(f.Call({}).m_Verdict, Verdict_NotRun);
}

BOOST_AUTO_TEST_CASE(late_and_crossed_answers_reach_only_their_exchange)
{
    RunningDaemon                             server("server");
    RunningDaemon                             client("client");
    const auto                                at = FreeEndpoint();
    std::mutex                                mutex;
    std::vector<std::pair<LinkPtr, uint64_t>> asked; // answered backwards, and some too late
    NodeHandlers                              h;
    h.m_OnFrame = [&](const LinkPtr& link, const FrameBuf& f)
    {
        std::lock_guard lock(mutex);
        asked.emplace_back(link, f.Get()->exchange());
    };
    NodeConfig cfg;
    cfg.m_Listen = at;
    Node server_node(server.m_Daemon, cfg, h);
    BOOST_REQUIRE(server_node.Listen());
    Node client_node(client.m_Daemon, NodeConfig{}, NodeHandlers{});
    client_node.KeepLink(at);
    server.Run();
    client.Run();
    BOOST_REQUIRE(Eventually([&] { return client_node.FindLink("server") != nullptr; }));
    const LinkPtr           link = client_node.FindLink("server");
    const auto              ex   = asio::any_io_executor(asio::make_strand(client.m_Daemon.Ioc()));
    std::vector<MailboxPtr> boxes;
    for (uint32_t i = 0; i < 10; i++)
    {
        boxes.push_back(link->OpenExchange(ex));
        wire::ChunkGetT get;
        get.index = i;
        link->Send(EncodeFrame(boxes.back()->Id(), get));
    }
    BOOST_REQUIRE(Eventually(
        [&]
        {
            std::lock_guard lock(mutex);
            return asked.size() == 10;
        }));
    link->CloseExchange(boxes[3]->Id()); // gave up; its answer comes late
    {
        std::lock_guard lock(mutex);
        for (auto it = asked.rbegin(); it != asked.rend(); ++it)
        {
            wire::ManifestDataT answer;
            answer.json = std::to_string(it->second);
            it->first->Send(EncodeFrame(it->second, answer));
        }
    }
    for (uint32_t i = 0; i < 10; i++)
    {
        if (i == 3)
            continue;
        const auto text = Await<std::string>(client.m_Daemon.Ioc(),
                                             [&]() -> awaitable<std::string>
                                             {
                                                 auto frame = co_await boxes[i]->Pop(Now() + seconds(20));
                                                 co_return frame ? frame->Get()->body_as_ManifestData()->json()->str() : std::string("none");
                                             });
        BOOST_CHECK_EQUAL(text, std::to_string(boxes[i]->Id()));
    }
    BOOST_CHECK(Eventually([&] { return link->Dropped() == 1; }));
    client.Stop();
    server.Stop();
}

BOOST_AUTO_TEST_CASE(configuration_spreads_over_links_and_never_falls)
{
    RunningDaemon a("a");
    RunningDaemon b("b");
    const auto    at = FreeEndpoint();
    NodeConfig    cfg;
    cfg.m_Listen = at;
    Node na(a.m_Daemon, cfg, {});
    BOOST_REQUIRE(na.Listen());
    Node nb(b.m_Daemon, NodeConfig{}, {});
    nb.KeepLink(at);
    a.Run();
    b.Run();
    Resource r;
    r.m_Key      = {Kind_Model, "m"};
    r.m_Revision = 1;
    BOOST_CHECK(na.OfferConfig({0, 1, {r}}, Duration(0)));
    BOOST_CHECK(Eventually([&] { return nb.Config()->m_Revision == 1; }));
    r.m_Revision = 2;
    BOOST_CHECK(nb.OfferConfig({1, 2, {r}}, Duration(0))); // the other way round
    BOOST_CHECK(Eventually([&] { return na.Config()->m_Revision == 2; }));
    BOOST_CHECK(!na.OfferConfig({0, 1, {r}}, Duration(0)));
    BOOST_CHECK_EQUAL(na.Config()->m_Revision, 2u);
    a.Stop();
    b.Stop();
}

BOOST_AUTO_TEST_CASE(lost_write_answers_are_settled_neither_twice_nor_wrongly)
{
    SyncFixture f;
    f.m_Table.m_Faults = {FakeTable::Fault_LoseAnswer, FakeTable::Fault_LoseWrite, FakeTable::Fault_None, FakeTable::Fault_LoseWrite,
                          FakeTable::Fault_LoseAnswer};
    for (uint64_t r = 1; r <= 3; r++)
    {
        const auto done = f.Write("m");
        BOOST_REQUIRE(done.has_value());
        BOOST_CHECK_EQUAL(done.value().m_Revision, r);
    }
    BOOST_CHECK_EQUAL(f.m_Table.m_Commits, 3u);
    BOOST_CHECK_EQUAL(f.m_Node->Config()->m_Revision, 3u);
}

BOOST_AUTO_TEST_CASE(store_down_refuses_changes_and_keeps_what_is_in_force)
{
    SyncFixture f;
    BOOST_REQUIRE(f.Write("m").has_value());
    {
        std::lock_guard lock(f.m_Table.m_Mutex);
        f.m_Table.m_Down = true;
    }
    const auto refused = f.Write("m");
    BOOST_REQUIRE(!refused);
    BOOST_CHECK_EQUAL(refused.error().m_Code, ErrorCode_Unavailable);
    BOOST_CHECK_EQUAL(refused.error().m_Verdict, Verdict_NotRun);
    BOOST_CHECK_EQUAL(f.m_Node->Config()->m_Revision, 1u);
}

BOOST_AUTO_TEST_CASE(outdated_revision_is_refused_with_both_sides)
{
    SyncFixture f;
    BOOST_REQUIRE(f.Write("m").has_value());
    BOOST_REQUIRE(f.Write("m", 1).has_value());
    const auto refused = f.Write("m", 1);
    BOOST_REQUIRE(!refused);
    BOOST_CHECK_EQUAL(refused.error().m_Code, ErrorCode_Conflict);
    BOOST_CHECK(refused.error().m_Message.find("theirs") != std::string::npos);
    BOOST_CHECK(refused.error().m_Message.find("yours") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(racing_operators_end_in_a_serial_order)
{
    // Two routers on one store; each accepts ten changes at the same time. All are kept, each at its own revision.
    SyncFixture   a;
    RunningDaemon other("router-2");
    Node          node(other.m_Daemon, NodeConfig{}, NodeHandlers{});
    StoreSync     sync(other.m_Daemon, node, a.m_Table, a.m_List, StoreSyncConfig{}, [](std::string) -> awaitable<Status> { co_return Ok(); });
    other.Run();
    const auto writes = [](StoreSync& s, asio::io_context& ioc, const std::string& prefix)
    {
        return Await<int>(ioc,
                          [&]() -> awaitable<int>
                          {
                              int done = 0;
                              for (int i = 0; i < 10; i++)
                              {
                                  ChangeRequest change;
                                  Resource      r;
                                  r.m_Key = {Kind_Model, prefix + std::to_string(i)};
                                  change.m_Write.push_back(r);
                                  auto result = co_await s.Commit(change, Now() + seconds(20));
                                  done += result ? 1 : 0;
                              }
                              co_return done;
                          });
    };
    auto first  = std::async(std::launch::async, [&] { return writes(*a.m_Sync, a.m_Running.m_Daemon.Ioc(), "a"); });
    auto second = std::async(std::launch::async, [&] { return writes(sync, other.m_Daemon.Ioc(), "b"); });
    BOOST_CHECK_EQUAL(first.get() + second.get(), 20);
    BOOST_CHECK_EQUAL(a.m_Table.m_Commits, 20u);
    std::lock_guard lock(a.m_Table.m_Mutex);
    BOOST_CHECK_EQUAL(a.m_Table.m_Rows.size(), 21u); // twenty resources and the head
    other.Stop();
}
