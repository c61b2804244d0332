// Tests the request path in one process over real sockets: routers, an agent and a stand-in of a plain service. Covers lost answers, closed
// connections, simultaneous calls with one key, agents that restart without their journal, and draining boxes.
#include "external/engine.h"
#include "request/agent_serve.h"
#include "request/router_serve.h"
#include "standin/standin.h"
#include "support_io.h"

using namespace aldervale;

namespace
{

const std::string kToken  = "secret";
constexpr int64_t kSkewMs = 20; // keys are minted with the same clock here

struct Agent
{
    Agent(const std::string& name, const Endpoint& link, const Endpoint& backend) : m_Running(name), m_Engine(MakeHttpEngine(backend))
    {
        NodeHandlers h;
        h.m_OnFrame    = [this](const LinkPtr& l, const FrameBuf& f) { m_Serve->OnFrame(l, f); };
        h.m_OnLinkDown = [this](const LinkPtr& l) { m_Serve->OnLinkDown(l); };
        h.m_OnConfig   = [this](const ConfigPtr& c) { m_Serve->OnConfig(c); };
        h.m_AgentState = [this](bool)
        {
            auto s = std::make_unique<wire::AgentStateT>();
            if (m_Serve)
                m_Serve->Describe(*s);
            return s;
        };
        NodeConfig cfg;
        cfg.m_Listen = link;
        m_Node       = std::make_unique<Node>(m_Running.m_Daemon, cfg, h);
        ServeSettings s;
        s.m_SkewMs = kSkewMs;
        m_Serve    = std::make_unique<AgentServe>(m_Running.m_Daemon, s, *m_Node, nullptr, *m_Engine);
        BOOST_REQUIRE(m_Node->Listen());
        m_Running.Run();
    }

    ~Agent() { m_Running.Stop(); }

    RunningDaemon               m_Running;
    std::unique_ptr<Engine>     m_Engine;
    std::unique_ptr<Node>       m_Node;
    std::unique_ptr<AgentServe> m_Serve;
};

struct Router
{
    explicit Router(const std::string& name) : m_Running(name), m_At(FreeEndpoint())
    {
        NodeHandlers h;
        h.m_OnFrame     = [this](const LinkPtr& l, const FrameBuf& f) { m_Serve->OnFrame(l, f); };
        h.m_OnLinkUp    = [this](const LinkPtr& l) { m_Serve->OnLinkUp(l); };
        h.m_OnLinkDown  = [this](const LinkPtr& l) { m_Serve->OnLinkDown(l); };
        h.m_OnHeartbeat = [this](const LinkPtr& l, const wire::Heartbeat& hb) { m_Serve->OnHeartbeat(l, hb); };
        NodeConfig cfg;
        cfg.m_Role = wire::PeerRole::Router;
        m_Node     = std::make_unique<Node>(m_Running.m_Daemon, cfg, h);
        m_Serve    = std::make_unique<RouterServe>(m_Running.m_Daemon, RouterServeSettings{}, *m_Node, m_Usage);
        m_Serve->SetReady([] { return true; });
        m_Http =
            std::make_unique<HttpServer>(m_Running.m_Daemon.Ioc(), HttpServerConfig{},
                                         [this](HttpRequest& req, HttpReply& reply) -> awaitable<void> { co_await m_Serve->Handle(req, reply); });
        BOOST_REQUIRE(m_Http->Listen(m_At));
        m_Running.Run();
    }

    ~Router() { m_Running.Stop(); }

    RunningDaemon                m_Running;
    Endpoint                     m_At;
    Usage                        m_Usage;
    std::unique_ptr<Node>        m_Node;
    std::unique_ptr<RouterServe> m_Serve;
    std::unique_ptr<HttpServer>  m_Http;
};

struct Answer
{
    unsigned    m_Status = 0;
    std::string m_Verdict;
    std::string m_Body;
    bool        m_Replayed = false;
};

struct PathFixture
{
    PathFixture() : m_Service("service"), m_Backend(FreeEndpoint()), m_Link(FreeEndpoint()), m_Client("client")
    {
        m_Plain = MakePlainStandin(m_Service.m_Daemon.Ioc(), {1, 7});
        BOOST_REQUIRE(m_Plain->Listen(m_Backend));
        m_Service.Run();
        m_Client.Run();
        m_Agent = std::make_unique<Agent>("loan-0", m_Link, m_Backend);
        for (const char* name : {"r0", "r1"})
            m_Routers.push_back(std::make_unique<Router>(name));
        Resource dc{{Kind_DataCentre, "dc"}, json::object{{"region", "r"}}, 1, false, {}, {}, 0};
        Resource box{{Kind_Box, "loan-0"},
                     json::object{{"data_centre", "dc"}, {"address", m_Link.ToString()}, {"role", "backend"}, {"backend", "plain"}},
                     1,
                     false,
                     {},
                     {},
                     0};
        Resource service{{Kind_Service, "loans"},
                         json::object{{"path", "/v1/loans"},
                                      {"type", "plain"},
                                      {"boxes", json::array{"loan-0"}},
                                      {"non_repeatable", json::array{"POST"}},
                                      {"deadline_ms", 5000}},
                         1,
                         false,
                         {},
                         {},
                         0};
        Resource account{
            {Kind_ClientAccount, "desk"}, json::object{{"token_sha256", ToHex(Sha256(kToken))}, {"limit_rps", 100000}}, 1, false, {}, {}, 0};
        m_Config = {0, 1, {dc, box, service, account}};
        for (auto& r : m_Routers)
        {
            r->m_Node->OfferConfig(m_Config, Duration(0));
            r->m_Node->KeepLink(m_Link);
        }
        WaitUsable();
    }

    ~PathFixture()
    {
        m_Client.Stop();
        m_Routers.clear();
        m_Agent.reset();
        m_Service.Stop();
    }

    void WaitUsable()
    {
        for (auto& r : m_Routers)
            BOOST_REQUIRE(Eventually([&] { return r->m_Node->Usable("loan-0"); }));
        BOOST_REQUIRE(Eventually([&] { return m_Agent->m_Node->Config()->m_Revision == 1; }));
        std::this_thread::sleep_for(milliseconds(2 * kSkewMs)); // keys minted from here on are newer than the journal's horizon
    }

    void RestartAgent()
    {
        const uint64_t old = m_Agent->m_Running.m_Daemon.Incarnation();
        m_Agent.reset();
        m_Agent = std::make_unique<Agent>("loan-0", m_Link, m_Backend);
        for (auto& r : m_Routers)
            BOOST_REQUIRE(Eventually(
                [&]
                {
                    const LinkPtr l = r->m_Node->FindLink("loan-0");
                    return l && l->Peer().m_Incarnation != old;
                }));
        WaitUsable();
    }

    Answer Call(size_t router, const std::string& method, const std::string& key, const std::string& body = "x", const std::string& token = kToken)
    {
        return Await<Answer>(m_Client.m_Daemon.Ioc(),
                             [&, router]() -> awaitable<Answer>
                             {
                                 HttpRequest req;
                                 req.m_Method = method;
                                 req.m_Target = "/v1/loans/7";
                                 req.m_Body   = body;
                                 req.m_Fields = {{"Authorization", "Bearer " + token}};
                                 if (!key.empty())
                                     req.m_Fields.push_back({"Idempotency-Key", key});
                                 auto res = co_await m_Http.Call(m_Routers[router]->m_At, req, Now() + seconds(30));
                                 if (!res)
                                     co_return Answer{0, "broken", res.error().m_Message, false};
                                 const HttpResponse& r = res.value();
                                 co_return Answer{r.m_Status, std::string(FindField(r.m_Fields, "Aldervale-Verdict")), r.m_Body,
                                                  FindField(r.m_Fields, "Aldervale-Replayed") == "true"};
                             });
    }

    json::object Service(const std::string& faults = {})
    {
        return Await<json::object>(m_Client.m_Daemon.Ioc(),
                                   [&]() -> awaitable<json::object>
                                   {
                                       HttpRequest req;
                                       req.m_Method = faults.empty() ? "GET" : "POST";
                                       req.m_Target = faults.empty() ? "/admin/stats" : "/admin/faults";
                                       req.m_Body   = faults;
                                       auto res     = co_await m_Http.Call(m_Backend, req, Now() + seconds(30));
                                       BOOST_REQUIRE(res.has_value());
                                       co_return json::parse(res.value().m_Body).as_object();
                                   });
    }

    uint64_t Runs(const std::string& key)
    {
        const json::object stats = Service();
        const json::value* n     = stats.at("runs").as_object().if_contains(key);
        return n == nullptr ? 0 : n->to_number<uint64_t>();
    }

    std::string NewKey() { return MakeUuid7(WallMs(), 0, ++m_Keys); }

    RunningDaemon                        m_Service;
    Endpoint                             m_Backend;
    Endpoint                             m_Link;
    RunningDaemon                        m_Client;
    HttpClient                           m_Http;
    std::unique_ptr<HttpServer>          m_Plain;
    std::unique_ptr<Agent>               m_Agent;
    std::vector<std::unique_ptr<Router>> m_Routers;
    ConfigDelta                          m_Config;
    std::atomic<uint64_t>                m_Keys{0};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(answers_reach_their_own_callers, PathFixture)
{
    std::vector<std::future<Answer>> all;
    for (int i = 0; i < 60; i++)
        all.push_back(
            std::async(std::launch::async, [this, i] { return Call(static_cast<size_t>(i) % 2, "POST", NewKey(), "body-" + std::to_string(i)); }));
    for (int i = 0; i < 60; i++)
    {
        const Answer a = all[static_cast<size_t>(i)].get();
        BOOST_REQUIRE_MESSAGE(a.m_Verdict == "ran", a.m_Body);
        BOOST_CHECK_EQUAL(std::string(json::parse(a.m_Body).at("echo").as_string()), "body-" + std::to_string(i));
    }
}

BOOST_FIXTURE_TEST_CASE(simultaneous_calls_with_one_key_at_two_routers_run_once, PathFixture)
{
    for (int round = 0; round < 10; round++)
    {
        const std::string key    = NewKey();
        auto              first  = std::async(std::launch::async, [&] { return Call(0, "POST", key); });
        auto              second = std::async(std::launch::async, [&] { return Call(1, "POST", key); });
        const Answer      a      = first.get();
        const Answer      b      = second.get();
        BOOST_CHECK_EQUAL(a.m_Verdict, "ran");
        BOOST_CHECK_EQUAL(b.m_Verdict, "ran");
        BOOST_CHECK_EQUAL(a.m_Body, b.m_Body);
        BOOST_CHECK_EQUAL(Runs(key), 1u);
    }
}

BOOST_FIXTURE_TEST_CASE(lost_answer_is_may_have_run_and_never_runs_again, PathFixture)
{
    Service(R"({"lose_answers": 1.0})");
    const std::string key = NewKey();
    BOOST_CHECK_EQUAL(Call(0, "POST", key).m_Verdict, "may-have-run");
    Service(R"({"lose_answers": 0.0})");
    BOOST_CHECK_EQUAL(Call(1, "POST", key).m_Verdict, "may-have-run");
    BOOST_CHECK_EQUAL(Runs(key), 1u);
}

BOOST_FIXTURE_TEST_CASE(connection_closed_before_the_work_is_reported_as_may_have_run, PathFixture)
{
    Service(R"({"lose_before": 1.0})");
    const std::string key = NewKey();
    BOOST_CHECK_EQUAL(Call(0, "POST", key).m_Verdict, "may-have-run");
    BOOST_CHECK_EQUAL(Runs(key), 0u);
    Service(R"({"lose_before": 0.0})");
    BOOST_CHECK_EQUAL(Call(0, "GET", "").m_Verdict, "ran"); // a repeatable call is retried if it fails
}

BOOST_FIXTURE_TEST_CASE(restarted_agent_never_runs_an_old_key, PathFixture)
{
    const std::string ran     = NewKey();
    const std::string waiting = NewKey();
    BOOST_CHECK_EQUAL(Call(0, "POST", ran).m_Verdict, "ran");
    RestartAgent();
    BOOST_CHECK_EQUAL(Call(1, "POST", ran).m_Verdict, "may-have-run");
    BOOST_CHECK_EQUAL(Call(1, "POST", waiting).m_Verdict, "may-have-run"); // it did not run, but a new journal has no record of that
    BOOST_CHECK_EQUAL(Runs(ran), 1u);
    BOOST_CHECK_EQUAL(Runs(waiting), 0u);
    BOOST_CHECK_EQUAL(Call(0, "POST", NewKey()).m_Verdict, "ran");
}

BOOST_FIXTURE_TEST_CASE(unreachable_home_is_not_reported_as_not_run, PathFixture)
{
    const std::string key = NewKey();
    BOOST_CHECK_EQUAL(Call(0, "POST", key).m_Verdict, "ran");
    m_Agent.reset();
    for (auto& r : m_Routers)
        BOOST_REQUIRE(Eventually([&] { return r->m_Node->FindLink("loan-0") == nullptr; }));
    BOOST_CHECK_EQUAL(Call(1, "POST", key).m_Verdict, "may-have-run");
    m_Agent = std::make_unique<Agent>("loan-0", m_Link, m_Backend);
}

BOOST_FIXTURE_TEST_CASE(refusals_before_sending_to_the_backend_are_not_run, PathFixture)
{
    BOOST_CHECK_EQUAL(Call(0, "POST", "").m_Verdict, "not-run");
    BOOST_CHECK_EQUAL(Call(0, "POST", "no-uuid").m_Verdict, "not-run");
    BOOST_CHECK_EQUAL(Call(0, "POST", NewKey(), "x", "wrong token").m_Status, 403u);
    BOOST_CHECK_EQUAL(Call(0, "POST", MakeUuid7(WallMs() + 3'600'000, 1, 1)).m_Verdict, "not-run");
    BOOST_CHECK_EQUAL(Service().at("done").to_number<uint64_t>(), 0u);
}

BOOST_FIXTURE_TEST_CASE(draining_box_refuses_new_keys_replays_old_ones_and_aborts_nothing, PathFixture)
{
    const std::string key = NewKey();
    BOOST_CHECK_EQUAL(Call(0, "POST", key).m_Verdict, "ran");
    Service(R"({"slow_ms": 300})");
    auto running = std::async(std::launch::async, [&] { return Call(0, "POST", NewKey()); });
    BOOST_REQUIRE(Eventually([&] { return m_Agent->m_Serve->InFlight() > 0; }));
    m_Agent->m_Serve->BeginDrain();
    m_Agent->m_Node->AnnounceNow();
    BOOST_CHECK_EQUAL(Call(1, "POST", NewKey()).m_Verdict, "not-run");
    const Answer again = Call(1, "POST", key);
    BOOST_CHECK_EQUAL(again.m_Verdict, "ran");
    BOOST_CHECK(again.m_Replayed);
    BOOST_CHECK_EQUAL(running.get().m_Verdict, "ran");
    BOOST_CHECK(Eventually([&] { return m_Agent->m_Serve->InFlight() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(concurrent_repeats_with_faults_never_run_a_key_twice, PathFixture)
{
    Service(R"({"lose_answers": 0.2, "lose_before": 0.1})");
    std::vector<std::string> keys;
    for (int i = 0; i < 40; i++)
        keys.push_back(NewKey());
    std::mutex                         mutex;
    std::map<std::string, std::string> last; // verdict by key; once "not-run", it stays
    std::vector<std::future<void>>     callers;
    for (size_t c = 0; c < 6; c++)
        callers.push_back(std::async(std::launch::async,
                                     [&, c]
                                     {
                                         for (size_t i = 0; i < keys.size(); i++)
                                         {
                                             const std::string& key = keys[(i * (2 * c + 1) + c) % keys.size()];
                                             const Answer       a   = Call(c % 2, "POST", key, "same");
                                             std::lock_guard    lock(mutex);
                                             last[key] = a.m_Verdict == "not-run" ? "not-run" : last[key] == "not-run" ? "not-run" : a.m_Verdict;
                                         }
                                     }));
    for (auto& c : callers)
        c.get();
    const json::object stats = Service();
    BOOST_CHECK_EQUAL(stats.at("run_twice").to_number<uint64_t>(), 0u);
    for (const std::string& key : keys)
        BOOST_CHECK(last[key] != "not-run" || Runs(key) == 0);
}
