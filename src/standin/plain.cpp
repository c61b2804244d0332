// Stand-in for a plain service: counts what it ran, by key. GET reads, anything else runs. GET /admin/stats lists runs by key.
#include "process/daemon.h"
#include "standin/standin.h"

namespace aldervale
{

namespace
{

struct Plain
{
    explicit Plain(const PlainConfig& cfg) : m_Config(cfg), m_Faults(cfg.m_Seed) {}

    PlainConfig                     m_Config;    //
    FaultSwitch                     m_Faults;    //
    std::mutex                      m_Mutex;     // guards the members below
    std::map<std::string, uint64_t> m_Runs;      // by key
    uint64_t                        m_Reads = 0; //
    uint64_t                        m_Done  = 0; // runs, keyed or not

    json::object Stats()
    {
        std::lock_guard lock(m_Mutex);
        json::object    runs;
        uint64_t        twice = 0;
        for (const auto& [key, n] : m_Runs)
        {
            runs[key] = n;
            twice += n > 1 ? 1 : 0;
        }
        return {{"runs", runs}, {"reads", m_Reads}, {"done", m_Done}, {"run_twice", twice}};
    }
};

awaitable<void> Serve(std::shared_ptr<Plain> p, HttpRequest& req, HttpReply& reply)
{
    const StatsFunction stats = [p] { return p->Stats(); };
    const bool          admin = co_await p->m_Faults.Admin(req, reply, stats);
    if (admin)
        co_return;
    const bool go = co_await p->m_Faults.Before(reply);
    if (!go)
        co_return;
    const std::string key(FindField(req.m_Fields, "Idempotency-Key"));
    const bool        reads = req.m_Method == "GET";
    co_await SleepFor(milliseconds(p->m_Config.m_WorkMs));
    {
        std::lock_guard lock(p->m_Mutex);
        (reads ? p->m_Reads : p->m_Done)++;
        if (!reads && !key.empty())
            p->m_Runs[key]++;
    }
    if (p->m_Faults.Hit(p->m_Faults.Get().m_LoseAnswers))
    {
        reply.Abort();
        co_return;
    }
    const HttpResponse res = JsonResponse(reads ? 200 : 201, json::object{{"key", key}, {"echo", req.m_Body}, {"target", req.m_Target}});
    co_await reply.Send(res);
}

} // namespace

std::unique_ptr<HttpServer> MakePlainStandin(asio::io_context& ioc, const PlainConfig& cfg)
{
    auto plain = std::make_shared<Plain>(cfg);
    return std::make_unique<HttpServer>(ioc, HttpServerConfig{},
                                        [plain](HttpRequest& req, HttpReply& reply) -> awaitable<void> { co_await Serve(plain, req, reply); });
}

} // namespace aldervale
