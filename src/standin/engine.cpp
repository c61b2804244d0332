// Stand-in for a model engine: continuous batching, streams, priorities, cancel, prefix cache, fenced orders. See standin.h.
// It checks every byte it loads and every version it is asked to serve; /admin/stats counts what was mixed or partial.
#include "process/daemon.h"
#include "request/prefix.h"
#include "standin/standin.h"
#include "version/manifest.h"
#include <list>
#include <set>

namespace aldervale
{

namespace
{

constexpr uint64_t kReadSize = 1024 * 1024; // bytes of weights asked for at a time, rounded to chunks

struct Waiting // a request that waits for its place in the batch
{
    int64_t  m_Priority = 0; // higher first
    uint64_t m_Order    = 0; // then in order of arrival
    bool     operator<(const Waiting& o) const { return m_Priority != o.m_Priority ? m_Priority > o.m_Priority : m_Order < o.m_Order; }
};

struct CacheEvent
{
    TimePoint m_At;     //
    uint64_t  m_Prefix; //
};

struct EngineState
{
    EngineState(asio::io_context& ioc, const EngineConfig& cfg) : m_Ioc(ioc), m_Config(cfg), m_Faults(cfg.m_Seed), m_Boot(RandomSeed() >> 12) {}

    asio::io_context& m_Ioc;    //
    EngineConfig      m_Config; //
    FaultSwitch       m_Faults; //
    HttpClient        m_Client; //
    uint64_t          m_Boot;   // differs at every start

    std::mutex                                                    m_Mutex;         // guards the members below
    std::string                                                   m_Loaded;        // slice digest; empty: none, or loading
    std::set<std::string>                                         m_Adapters;      //
    uint64_t                                                      m_Fencing = 0;   //
    std::set<Waiting>                                             m_Queue;         //
    int64_t                                                       m_Running   = 0; // in the batch
    uint64_t                                                      m_NextOrder = 1; //
    std::list<uint64_t>                                           m_Cache;         // prefixes, most recently used first
    std::deque<CacheEvent>                                        m_Events;        // with gaps
    std::deque<std::pair<TimePoint, std::pair<int64_t, int64_t>>> m_LoadHistory;   // running, queued
    uint64_t                                                      m_Served = 0, m_Tokens = 0, m_Cancelled = 0, m_CacheHits = 0, m_CacheAsked = 0;
    uint64_t m_MixedOrPartial = 0, m_StaleObeyed = 0, m_StaleRefused = 0, m_Loads = 0, m_WrongVersion = 0;

    void NoteLoadLocked()
    {
        m_LoadHistory.push_back({Now(), {m_Running, static_cast<int64_t>(m_Queue.size())}});
        while (m_LoadHistory.size() > 4096)
            m_LoadHistory.pop_front();
    }

    bool TouchCacheLocked(uint64_t prefix) // true: it was cached
    {
        const auto it  = std::find(m_Cache.begin(), m_Cache.end(), prefix);
        const bool hit = it != m_Cache.end();
        if (hit)
            m_Cache.erase(it);
        m_Cache.push_front(prefix);
        if (m_Cache.size() > static_cast<size_t>(m_Config.m_PrefixSlots))
            m_Cache.pop_back();
        return hit;
    }
};
using EnginePtr = std::shared_ptr<EngineState>;

//-----------------------------------------------------------------------------
// Loading
//-----------------------------------------------------------------------------

struct Source
{
    Endpoint    m_At;     //
    std::string m_Prefix; // path
};

std::optional<Source> ParseSource(std::string_view url)
{
    constexpr std::string_view kScheme = "http://";
    if (!url.starts_with(kScheme))
        return std::nullopt;
    url.remove_prefix(kScheme.size());
    const size_t slash = url.find('/');
    auto         at    = ParseEndpoint(url.substr(0, slash));
    if (!at || slash == std::string_view::npos)
        return std::nullopt;
    return Source{at.value(), std::string(url.substr(slash))};
}

awaitable<bool> ReadShard(EnginePtr e, Source src, const Manifest& m, const ManifestShard& shard)
{
    const uint64_t step = std::max<uint64_t>(1, kReadSize / m.m_ChunkSize) * m.m_ChunkSize;
    for (uint64_t at = 0; at < shard.m_Size; at += step)
    {
        const uint64_t end = std::min(shard.m_Size, at + step);
        HttpRequest    req;
        req.m_Target = src.m_Prefix + "/" + shard.m_Name;
        req.m_Fields.push_back({"Range", "bytes=" + std::to_string(at) + "-" + std::to_string(end - 1)});
        auto res = co_await e->m_Client.Call(src.m_At, req, Now() + seconds(60));
        if (!res || res.value().m_Status != 206 || res.value().m_Body.size() != end - at)
            co_return false;
        const std::span<const uint8_t> bytes(reinterpret_cast<const uint8_t*>(res.value().m_Body.data()), res.value().m_Body.size());
        for (uint64_t off = 0; off < bytes.size(); off += m.m_ChunkSize)
        {
            const auto chunk = bytes.subspan(off, std::min<uint64_t>(m.m_ChunkSize, bytes.size() - off));
            if (Sha256(chunk) != shard.m_Chunks[(at + off) / m.m_ChunkSize])
                co_return false;
        }
    }
    co_return true;
}

awaitable<bool> ReadAll(EnginePtr e, Source src, std::string slice)
{
    HttpRequest req;
    req.m_Target = src.m_Prefix + "/manifest";
    auto res     = co_await e->m_Client.Call(src.m_At, req, Now() + seconds(60));
    if (!res || res.value().m_Status != 200)
        co_return false;
    auto whole = ParseManifest(res.value().m_Body, WholeDigest(slice));
    if (!whole)
        co_return false;
    size_t position = 0;
    size_t count    = 1;
    if (WholeDigest(slice) != slice && std::sscanf(slice.c_str() + WholeDigest(slice).size(), "~%zu-%zu", &position, &count) != 2)
        co_return false;
    const ManifestPtr m = SliceManifest(whole.value(), position, count);
    for (const ManifestShard& shard : m->m_Shards)
    {
        const bool good = co_await ReadShard(e, src, *m, shard);
        if (!good)
            co_return false;
    }
    co_return true;
}

awaitable<void> Load(EnginePtr e, HttpRequest& req, HttpReply& reply)
{
    json::error_code  ec;
    const json::value v      = json::parse(req.m_Body, ec);
    const auto        source = ec ? std::nullopt : ParseSource(std::string_view(v.at("source").as_string()));
    HttpResponse      res    = ErrorResponse(MakeError(ErrorCode_Invalid, "bad load order", "body"));
    if (!source)
    {
        co_await reply.Send(res);
        co_return;
    }
    const std::string digest(v.at("digest").as_string());
    const uint64_t    fencing = v.at("fencing").to_number<uint64_t>();
    const bool        adapter = v.as_object().contains("base");
    bool              stale   = false;
    {
        std::lock_guard lock(e->m_Mutex);
        stale = fencing < e->m_Fencing;
        e->m_StaleRefused += stale && e->m_Config.m_CheckFencing ? 1 : 0;
        e->m_StaleObeyed += stale && !e->m_Config.m_CheckFencing ? 1 : 0;
        stale        = stale && e->m_Config.m_CheckFencing;
        e->m_Fencing = std::max(e->m_Fencing, fencing);
        if (!stale && !adapter)
        {
            e->m_Loaded.clear();
            e->m_Adapters.clear();
            e->m_Cache.clear();
        }
    }
    if (stale)
    {
        res = ErrorResponse(MakeError(ErrorCode_Stale, "outdated fencing number", "fencing"));
        co_await reply.Send(res);
        co_return;
    }
    const bool whole = co_await ReadAll(e, *source, digest);
    co_await SleepFor(milliseconds(e->m_Config.m_LoadMs));
    {
        std::lock_guard lock(e->m_Mutex);
        e->m_Loads++;
        if (!whole)
            e->m_MixedOrPartial++;
        else if (adapter)
            e->m_Adapters.insert(digest);
        else
            e->m_Loaded = digest;
    }
    res = whole ? JsonResponse(200, json::object{{"digest", digest}})
                : ErrorResponse(MakeError(ErrorCode_Corrupt, "weights are not what the manifest says"));
    co_await reply.Send(res);
}

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

struct Completion
{
    std::string m_Prompt;         //
    int64_t     m_MaxTokens = 16; //
    bool        m_Stream    = true;
};

std::optional<Completion> ParseCompletion(std::string_view body)
{
    json::error_code  ec;
    const json::value v = json::parse(body, ec);
    if (ec || !v.is_object() || !v.as_object().contains("prompt") || !v.at("prompt").is_string())
        return std::nullopt;
    Completion c;
    c.m_Prompt = std::string(v.at("prompt").as_string());
    if (const json::value* n = v.as_object().if_contains("max_tokens"); n != nullptr && n->is_int64())
        c.m_MaxTokens = std::clamp<int64_t>(n->as_int64(), 1, 100'000);
    if (const json::value* s = v.as_object().if_contains("stream"); s != nullptr && s->is_bool())
        c.m_Stream = s->as_bool();
    return c;
}

// Joins the batch when there is room and nobody of higher priority waits. False: the caller left meanwhile.
awaitable<bool> JoinBatch(EnginePtr e, int64_t priority, HttpReply& reply)
{
    Waiting me{priority, 0};
    {
        std::lock_guard lock(e->m_Mutex);
        me.m_Order = e->m_NextOrder++;
        e->m_Queue.insert(me);
        e->NoteLoadLocked();
    }
    for (;;)
    {
        {
            std::lock_guard lock(e->m_Mutex);
            if (e->m_Running < e->m_Config.m_MaxBatch && !(*e->m_Queue.begin() < me))
            {
                e->m_Queue.erase(me);
                e->m_Running++;
                e->NoteLoadLocked();
                co_return true;
            }
        }
        if (reply.CallerGone())
        {
            std::lock_guard lock(e->m_Mutex);
            e->m_Queue.erase(me);
            e->m_Cancelled++;
            co_return false;
        }
        co_await SleepFor(milliseconds(1));
    }
}

void LeaveBatch(const EnginePtr& e)
{
    std::lock_guard lock(e->m_Mutex);
    e->m_Running--;
    e->NoteLoadLocked();
}

Duration StepTime(const EnginePtr& e)
{
    std::lock_guard lock(e->m_Mutex);
    return microseconds(e->m_Config.m_StepUs + e->m_Config.m_StepPerSeqUs * e->m_Running);
}

std::string TokenText(const Completion& c, int64_t i)
{
    return "t" + std::to_string(i) + "-" + std::to_string(Hash64(c.m_Prompt, static_cast<uint64_t>(i)) % 1000) + " ";
}

awaitable<void> Decode(EnginePtr e, const Completion& c, HttpReply& reply)
{
    const uint64_t prefix = PrefixHash(c.m_Prompt);
    int64_t        tokens = static_cast<int64_t>(c.m_Prompt.size() / 4 + 1);
    {
        std::lock_guard lock(e->m_Mutex);
        if (prefix != 0)
        {
            const bool hit = e->TouchCacheLocked(prefix);
            e->m_CacheAsked++;
            e->m_CacheHits += hit ? 1 : 0;
            if (hit)
                tokens = std::max<int64_t>(1, tokens / 8);
        }
    }
    if (prefix != 0 && !e->m_Faults.Hit(e->m_Config.m_EventGap))
    {
        std::lock_guard lock(e->m_Mutex);
        e->m_Events.push_back({Now(), prefix});
        while (e->m_Events.size() > 256)
            e->m_Events.pop_front();
    }
    co_await SleepFor(microseconds(tokens * e->m_Config.m_PrefillUs));
    std::string      whole;
    bool             open = true;
    const HttpFields fields{{"Content-Type", "text/event-stream"}};
    if (c.m_Stream)
        open = co_await reply.Start(200, fields);
    const bool cut = e->m_Faults.Hit(e->m_Faults.Get().m_CutStreams);
    for (int64_t i = 0; open && i < c.m_MaxTokens; i++)
    {
        co_await SleepFor(StepTime(e));
        while (e->m_Faults.Get().m_Stall)
            co_await SleepFor(milliseconds(20));
        if (e->m_Faults.Get().m_Down || (cut && i == c.m_MaxTokens / 2))
        {
            reply.Abort();
            co_return;
        }
        const std::string text = TokenText(c, i);
        if (!c.m_Stream)
            whole += text;
        else
            open = co_await reply.Write("data: " + text + "\n\n");
        std::lock_guard lock(e->m_Mutex);
        e->m_Tokens++;
    }
    if (open && c.m_Stream)
    {
        open = co_await reply.Write("data: [DONE]\n\n");
        const HttpFields none;
        if (open)
            co_await reply.Finish(none);
    }
    if (!c.m_Stream)
    {
        const HttpResponse res = JsonResponse(200, json::object{{"text", whole}, {"tokens", c.m_MaxTokens}});
        co_await reply.Send(res);
    }
    std::lock_guard lock(e->m_Mutex);
    (open ? e->m_Served : e->m_Cancelled)++;
}

awaitable<void> Complete(EnginePtr e, HttpRequest& req, HttpReply& reply)
{
    const auto        c = ParseCompletion(req.m_Body);
    const std::string version(FindField(req.m_Fields, "Aldervale-Version"));
    bool              right = false;
    {
        std::lock_guard lock(e->m_Mutex);
        right = !version.empty() && WholeDigest(e->m_Loaded) == version;
        e->m_WrongVersion += right ? 0 : 1;
    }
    if (!c || !right)
    {
        HttpResponse res = ErrorResponse(
            MakeError(c ? ErrorCode_Stale : ErrorCode_Invalid, c ? "another version is loaded" : "expected a prompt", c ? "" : "prompt"));
        co_await reply.Send(res);
        co_return;
    }
    const std::string priority(FindField(req.m_Fields, "Aldervale-Priority"));
    const bool        joined = co_await JoinBatch(e, std::strtoll(priority.c_str(), nullptr, 10), reply);
    if (!joined)
        co_return;
    co_await Decode(e, *c, reply);
    LeaveBatch(e);
}

//-----------------------------------------------------------------------------
// Reports
//-----------------------------------------------------------------------------

json::object Report(const EnginePtr& e)
{
    std::lock_guard             lock(e->m_Mutex);
    const TimePoint             seen = Now() - milliseconds(e->m_Config.m_LoadLagMs);
    std::pair<int64_t, int64_t> load{0, 0};
    for (const auto& [at, l] : e->m_LoadHistory)
        if (at <= seen)
            load = l;
    json::array warm;
    for (auto it = e->m_Events.rbegin(); it != e->m_Events.rend(); ++it)
        if (it->m_At <= seen)
            warm.push_back(it->m_Prefix);
    json::object o{
        {"boot", e->m_Boot}, {"loaded", e->m_Loaded}, {"running", load.first}, {"queued", load.second}, {"age_ms", e->m_Config.m_LoadLagMs}};
    o["kv_free"] = std::max(0.0, 1.0 - static_cast<double>(e->m_Running) / static_cast<double>(e->m_Config.m_MaxBatch));
    o["warm"]    = warm;
    return o;
}

json::object Stats(const EnginePtr& e)
{
    std::lock_guard lock(e->m_Mutex);
    return {{"loaded", e->m_Loaded},
            {"served", e->m_Served},
            {"tokens", e->m_Tokens},
            {"cancelled", e->m_Cancelled},
            {"cache_hits", e->m_CacheHits},
            {"cache_asked", e->m_CacheAsked},
            {"loads", e->m_Loads},
            {"mixed_or_partial", e->m_MixedOrPartial},
            {"stale_obeyed", e->m_StaleObeyed},
            {"stale_refused", e->m_StaleRefused},
            {"wrong_version", e->m_WrongVersion},
            {"running", e->m_Running},
            {"queued", e->m_Queue.size()}};
}

awaitable<void> Serve(EnginePtr e, HttpRequest& req, HttpReply& reply)
{
    const StatsFunction stats = [e] { return Stats(e); };
    const bool          admin = co_await e->m_Faults.Admin(req, reply, stats);
    if (admin)
        co_return;
    const bool go = co_await e->m_Faults.Before(reply);
    if (!go)
        co_return;
    if (req.Path() == "/v1/load")
        co_await Load(e, req, reply);
    else if (req.Path() == "/v1/report")
    {
        const HttpResponse res = JsonResponse(200, Report(e));
        co_await reply.Send(res);
    }
    else
        co_await Complete(e, req, reply);
}

} // namespace

std::unique_ptr<HttpServer> MakeEngineStandin(asio::io_context& ioc, const EngineConfig& cfg)
{
    auto engine = std::make_shared<EngineState>(ioc, cfg);
    return std::make_unique<HttpServer>(ioc, HttpServerConfig{},
                                        [engine](HttpRequest& req, HttpReply& reply) -> awaitable<void> { co_await Serve(engine, req, reply); });
}

} // namespace aldervale
