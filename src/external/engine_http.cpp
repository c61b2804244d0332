// Engine over loopback HTTP. See engine.h.
#include "external/engine.h"
#include <boost/json.hpp>

namespace aldervale
{

namespace json = boost::json;

namespace
{

uint64_t CountOf(const json::object& o, std::string_view key)
{
    const json::value* v = o.if_contains(key);
    return v != nullptr && v->is_number() ? v->to_number<uint64_t>() : 0;
}

EngineReport ParseReport(const json::object& o)
{
    EngineReport r;
    r.m_Boot    = CountOf(o, "boot");
    r.m_Running = static_cast<unsigned>(CountOf(o, "running"));
    r.m_Queued  = static_cast<unsigned>(CountOf(o, "queued"));
    r.m_AgeMs   = static_cast<unsigned>(CountOf(o, "age_ms"));
    if (const json::value* v = o.if_contains("loaded"); v != nullptr && v->is_string())
        r.m_Loaded = std::string(v->as_string());
    if (const json::value* v = o.if_contains("kv_free"); v != nullptr && v->is_number())
        r.m_KvFree = v->to_number<double>();
    if (const json::value* v = o.if_contains("warm"); v != nullptr && v->is_array())
        for (const json::value& p : v->as_array())
            if (p.is_number())
                r.m_WarmPrefixes.push_back(p.to_number<uint64_t>());
    return r;
}

class HttpEngine : public Engine
{
public:
    explicit HttpEngine(Endpoint at) : m_At(at) {}

    awaitable<Result<std::string>> Load(EngineLoad load, TimePoint deadline) override
    {
        HttpRequest  req;
        json::object body{{"digest", load.m_Digest}, {"fencing", load.m_Fencing}, {"source", load.m_Source}};
        if (!load.m_Base.empty())
            body["base"] = load.m_Base;
        req.m_Method = "POST";
        req.m_Target = "/v1/load";
        req.m_Body   = json::serialize(body);
        auto res     = co_await m_Client.Call(m_At, req, deadline);
        if (!res)
            co_return res.error();
        if (res.value().m_Status == 409)
            co_return MakeError(ErrorCode_Stale, "engine refused the order: " + res.value().m_Body);
        if (res.value().m_Status != 200)
            co_return MakeError(ErrorCode_Unavailable, "engine answered " + std::to_string(res.value().m_Status) + ": " + res.value().m_Body);
        json::error_code  ec;
        const json::value v = json::parse(res.value().m_Body, ec);
        if (ec || !v.is_object() || !v.as_object().contains("digest") || !v.at("digest").is_string())
            co_return MakeError(ErrorCode_Corrupt, "engine confirmed nothing");
        co_return std::string(v.at("digest").as_string());
    }

    awaitable<Result<EngineReport>> Report(TimePoint deadline) override
    {
        HttpRequest req;
        req.m_Target = "/v1/report";
        auto res     = co_await m_Client.Call(m_At, req, deadline);
        if (!res)
            co_return res.error();
        json::error_code  ec;
        const json::value v = json::parse(res.value().m_Body, ec);
        if (res.value().m_Status != 200 || ec || !v.is_object())
            co_return MakeError(ErrorCode_Unavailable, "engine gave no report");
        co_return ParseReport(v.as_object());
    }

    awaitable<Result<HttpStreamPtr>> Open(HttpRequest req, TimePoint deadline) override { co_return co_await m_Client.Open(m_At, req, deadline); }

private:
    Endpoint   m_At;     //
    HttpClient m_Client; //
};

} // namespace

std::unique_ptr<Engine> MakeHttpEngine(Endpoint at)
{
    return std::make_unique<HttpEngine>(at);
}

} // namespace aldervale
