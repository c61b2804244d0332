// Stand-in for the weight store: a folder served with ranges over one shared link. See standin.h.
#include "process/daemon.h"
#include "standin/standin.h"
#include <fstream>

namespace aldervale
{

namespace
{

constexpr size_t kPiece = 32 * 1024; // bytes sent at a time, so that readers share the link

struct Origin
{
    explicit Origin(const OriginConfig& cfg) : m_Config(cfg), m_Faults(cfg.m_Seed), m_Link(cfg.m_MibS * 1024 * 1024, 64 * 1024, Now()) {}

    using File = std::shared_ptr<const std::string>;

    OriginConfig                    m_Config;            //
    FaultSwitch                     m_Faults;            //
    std::mutex                      m_Mutex;             // guards the members below
    std::map<std::string, File>     m_Files;             // by path; read once
    TokenBucket                     m_Link;              //
    std::map<std::string, uint64_t> m_Bytes;             // sent, by digest
    uint64_t                        m_Reads         = 0; // chunk reads
    uint64_t                        m_ManifestReads = 0;

    File Load(const std::string& path)
    {
        std::lock_guard lock(m_Mutex);
        File&           f = m_Files[path];
        if (f)
            return f;
        std::ifstream in(m_Config.m_Root + "/" + path, std::ios::binary);
        if (!in)
        {
            m_Files.erase(path);
            return nullptr;
        }
        f = std::make_shared<const std::string>(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
        return f;
    }

    TimePoint Reserve(const std::string& digest, size_t bytes)
    {
        std::lock_guard lock(m_Mutex);
        m_Bytes[digest] += bytes;
        return m_Link.Reserve(static_cast<double>(bytes), Now());
    }

    json::object Stats()
    {
        std::lock_guard lock(m_Mutex);
        json::object    bytes;
        for (const auto& [digest, n] : m_Bytes)
            bytes[digest] = n;
        return {{"bytes", bytes}, {"reads", m_Reads}, {"manifest_reads", m_ManifestReads}};
    }
};

awaitable<void> SendShaped(std::shared_ptr<Origin> o, std::string digest, unsigned status, std::string body, HttpReply& reply)
{
    const HttpFields fields{{"Content-Type", "application/octet-stream"}};
    bool             open = co_await reply.Start(status, fields);
    for (size_t at = 0; open && at < body.size(); at += kPiece)
    {
        const std::string_view piece = std::string_view(body).substr(at, kPiece);
        const TimePoint        go    = o->Reserve(digest, piece.size());
        if (go > Now())
            co_await SleepFor(go - Now());
        while (o->m_Faults.Get().m_Stall)
            co_await SleepFor(milliseconds(20));
        if (o->m_Faults.Get().m_Down)
        {
            reply.Abort();
            co_return;
        }
        open = co_await reply.Write(piece);
    }
    const HttpFields none;
    if (open)
        co_await reply.Finish(none);
}

awaitable<void> Serve(std::shared_ptr<Origin> o, HttpRequest& req, HttpReply& reply)
{
    const StatsFunction stats = [o] { return o->Stats(); };
    const bool          admin = co_await o->m_Faults.Admin(req, reply, stats);
    if (admin)
        co_return;
    const bool go = co_await o->m_Faults.Before(reply);
    if (!go)
        co_return;
    constexpr std::string_view kPrefix = "/v1/weights/";
    const std::string          path(req.Path());
    const size_t               slash = path.rfind('/');
    if (!path.starts_with(kPrefix) || slash <= kPrefix.size() || path.find("..") != std::string::npos)
    {
        const HttpResponse res = ErrorResponse(MakeError(ErrorCode_NotFound, "no such path"));
        co_await reply.Send(res);
        co_return;
    }
    const std::string digest   = path.substr(kPrefix.size(), slash - kPrefix.size());
    const std::string name     = path.substr(slash + 1);
    const bool        manifest = name == "manifest";
    const auto        file     = o->Load(digest + "/" + (manifest ? "manifest.json" : name));
    if (!file)
    {
        const HttpResponse res = ErrorResponse(MakeError(ErrorCode_NotFound, "no such weights"));
        co_await reply.Send(res);
        co_return;
    }
    unsigned long long begin = 0;
    unsigned long long end   = file->size() - 1;
    const std::string  range(FindField(req.m_Fields, "Range"));
    const bool         ranged = std::sscanf(range.c_str(), "bytes=%llu-%llu", &begin, &end) == 2 && begin <= end && end < file->size();
    std::string        body   = file->substr(begin, end - begin + 1);
    {
        std::lock_guard lock(o->m_Mutex);
        (manifest ? o->m_ManifestReads : o->m_Reads)++;
    }
    if (o->m_Faults.Hit(o->m_Faults.Get().m_Corrupt))
        body[body.size() / 2] ^= 1;
    co_await SendShaped(o, digest, ranged ? 206 : 200, std::move(body), reply);
}

} // namespace

std::unique_ptr<HttpServer> MakeOriginStandin(asio::io_context& ioc, const OriginConfig& cfg)
{
    auto origin = std::make_shared<Origin>(cfg);
    return std::make_unique<HttpServer>(ioc, HttpServerConfig{},
                                        [origin](HttpRequest& req, HttpReply& reply) -> awaitable<void> { co_await Serve(origin, req, reply); });
}

} // namespace aldervale
