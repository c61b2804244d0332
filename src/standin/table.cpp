// Stand-in for the platform's transactional table service. See standin.h; the protocol is in src/platform/table_service_http.cpp.
#include "process/daemon.h"
#include "standin/standin.h"

namespace aldervale
{

namespace
{

struct Row
{
    std::string m_Value;       //
    uint64_t    m_Version = 0; //
};

struct Table
{
    explicit Table(const TableConfig& cfg)
        : m_Config(cfg), m_Faults(cfg.m_Seed), m_Writes(cfg.m_WritesPerSecond, cfg.m_WritesPerSecond, Now()),
          m_Reads(cfg.m_ReadsPerSecond, cfg.m_ReadsPerSecond, Now())
    {
    }

    TableConfig                m_Config;         //
    FaultSwitch                m_Faults;         //
    std::mutex                 m_Mutex;          // guards the members below
    std::map<std::string, Row> m_Rows;           //
    uint64_t                   m_Latest = 0;     // newest commit number
    TokenBucket                m_Writes;         //
    TokenBucket                m_Reads;          //
    uint64_t                   m_ReadCount  = 0; //
    uint64_t                   m_WriteCount = 0; //

    HttpResponse Scan(const std::string& prefix, uint64_t after)
    {
        std::lock_guard lock(m_Mutex);
        m_ReadCount++;
        if (!m_Reads.TryTake(1, Now()))
            return JsonResponse(429, json::object{{"error", "rate"}});
        json::array rows;
        for (auto it = m_Rows.lower_bound(prefix); it != m_Rows.end() && it->first.starts_with(prefix); ++it)
            if (it->second.m_Version > after)
                rows.push_back(json::object{{"key", it->first}, {"value", it->second.m_Value}, {"version", it->second.m_Version}});
        return JsonResponse(200, json::object{{"rows", rows}, {"latest", m_Latest}});
    }

    HttpResponse Commit(const json::value& txn)
    {
        std::lock_guard lock(m_Mutex);
        m_WriteCount++;
        if (!m_Writes.TryTake(1, Now()))
            return JsonResponse(429, json::object{{"error", "rate"}});
        for (const json::value& c : txn.at("if").as_array())
        {
            const auto     it      = m_Rows.find(std::string(c.at("key").as_string()));
            const uint64_t current = it == m_Rows.end() ? 0 : it->second.m_Version;
            if (current != c.at("version").to_number<uint64_t>())
                return JsonResponse(409, json::object{{"key", c.at("key")}, {"version", current}});
        }
        m_Latest++;
        for (const json::value& p : txn.at("put").as_array())
            m_Rows[std::string(p.at("key").as_string())] = {std::string(p.at("value").as_string()), m_Latest};
        return JsonResponse(200, json::object{{"version", m_Latest}});
    }

    json::object Stats()
    {
        std::lock_guard lock(m_Mutex);
        return {{"reads", m_ReadCount}, {"writes", m_WriteCount}, {"rows", m_Rows.size()}, {"latest", m_Latest}};
    }
};

awaitable<void> Serve(std::shared_ptr<Table> t, HttpRequest& req, HttpReply& reply)
{
    const StatsFunction stats = [t] { return t->Stats(); };
    const bool          admin = co_await t->m_Faults.Admin(req, reply, stats);
    if (admin)
        co_return;
    const bool go = co_await t->m_Faults.Before(reply);
    if (!go)
        co_return;
    co_await SleepFor(milliseconds(t->m_Config.m_LatencyMs));
    HttpResponse res = ErrorResponse(MakeError(ErrorCode_NotFound, "no such path"));
    if (req.Path() == "/v1/scan")
        res = t->Scan(req.Query("prefix"), std::strtoull(req.Query("after").c_str(), nullptr, 10));
    json::error_code ec;
    if (req.Path() == "/v1/txn")
    {
        const json::value txn = json::parse(req.m_Body, ec);
        res                   = ec ? ErrorResponse(MakeError(ErrorCode_Invalid, "not JSON", "body")) : t->Commit(txn);
        if (t->m_Faults.Hit(t->m_Faults.Get().m_LoseAnswers))
        {
            reply.Abort();
            co_return;
        }
    }
    co_await reply.Send(res);
}

} // namespace

std::unique_ptr<HttpServer> MakeTableStandin(asio::io_context& ioc, const TableConfig& cfg)
{
    auto table = std::make_shared<Table>(cfg);
    return std::make_unique<HttpServer>(ioc, HttpServerConfig{},
                                        [table](HttpRequest& req, HttpReply& reply) -> awaitable<void> { co_await Serve(table, req, reply); });
}

} // namespace aldervale
