// Stand-in for the platform's list of boxes: POST /admin/box {"name", "state", "boot"} changes it, GET /v1/boxes shows it late.
#include "process/daemon.h"
#include "process/membership.h"
#include "standin/standin.h"

namespace aldervale
{

namespace
{

struct ListStandin
{
    explicit ListStandin(const BoxListConfig& cfg) : m_Config(cfg), m_Faults(cfg.m_Seed) { m_History.push_back({Now() - hours(1), BoxList{1, {}}}); }

    using hours = std::chrono::hours;

    struct Version
    {
        TimePoint m_At;   // when it became true
        BoxList   m_List; //
    };

    BoxListConfig        m_Config;    //
    FaultSwitch          m_Faults;    //
    std::mutex           m_Mutex;     // guards the members below
    std::vector<Version> m_History;   // oldest first, never empty
    uint64_t             m_Reads = 0; //

    std::string Visible()
    {
        std::lock_guard lock(m_Mutex);
        m_Reads++;
        const TimePoint seen = Now() - milliseconds(m_Config.m_LagMs);
        const Version*  best = &m_History.front();
        for (const Version& v : m_History)
            if (v.m_At <= seen)
                best = &v;
        return SerializeBoxList(best->m_List);
    }

    Status Change(std::string_view body)
    {
        const std::string one    = "{\"version\": 1, \"boxes\": [" + std::string(body) + "]}";
        auto              parsed = ParseBoxList(one);
        if (!parsed)
            return parsed.error();
        std::lock_guard lock(m_Mutex);
        BoxList         next = m_History.back().m_List;
        next.m_Version++;
        for (const auto& [name, e] : parsed.value().m_Entries)
            next.m_Entries[name] = e;
        m_History.push_back({Now(), std::move(next)});
        return Ok();
    }
};

awaitable<void> Serve(std::shared_ptr<ListStandin> s, HttpRequest& req, HttpReply& reply)
{
    if (req.Path() == "/admin/box")
    {
        const Status       changed = s->Change(req.m_Body);
        const HttpResponse res     = changed ? JsonResponse(200, json::object{{"ok", true}}) : ErrorResponse(changed.error());
        co_await reply.Send(res);
        co_return;
    }
    const StatsFunction stats = [s] { return json::object{{"reads", s->m_Reads}}; };
    const bool          admin = co_await s->m_Faults.Admin(req, reply, stats);
    if (admin)
        co_return;
    const bool go = co_await s->m_Faults.Before(reply);
    if (!go)
        co_return;
    const HttpResponse res{200, {{"Content-Type", "application/json"}}, s->Visible()};
    co_await reply.Send(res);
}

} // namespace

std::unique_ptr<HttpServer> MakeBoxListStandin(asio::io_context& ioc, const BoxListConfig& cfg)
{
    auto list = std::make_shared<ListStandin>(cfg);
    return std::make_unique<HttpServer>(ioc, HttpServerConfig{},
                                        [list](HttpRequest& req, HttpReply& reply) -> awaitable<void> { co_await Serve(list, req, reply); });
}

} // namespace aldervale
