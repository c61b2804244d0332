// aldervale stand-ins: small fakes of the platform and of backend servers, for tests, the demo and benches only
//
// Each serves HTTP on loopback and takes faults over POST /admin/faults, with a JSON body of any of the Faults members; GET /admin/stats
// tells what it saw. Nothing here is used by the product.
//
// Usage:
//   FaultSwitch faults;
//   auto server = MakeTableStandin(ioc, {.m_WritesPerSecond = 300});
//   server->Listen(endpoint);
//
// Index of this file:
// [SECTION] Faults
// [SECTION] Stand-ins

#pragma once
#include "common/hash.h"
#include "connection/http.h"
#include "version/token_bucket.h"
#include <boost/json.hpp>

namespace aldervale
{

namespace json = boost::json;

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

struct Faults
{
    bool    m_Down        = false; // connections end without an answer [down]
    bool    m_Stall       = false; // requests are taken and never answered, until cleared [stall]
    int64_t m_SlowMs      = 0;     // added to every answer [slow_ms]
    double  m_LoseAnswers = 0;     // share of answers lost after the work took effect [lose_answers]
    double  m_LoseBefore  = 0;     // share of requests whose connection ends before the work [lose_before]
    double  m_Corrupt     = 0;     // share of weight reads with a flipped byte [corrupt]
    double  m_CutStreams  = 0;     // share of streams that end in the middle [cut_streams]
};

using StatsFunction = std::function<json::object()>;

class FaultSwitch // thread-safe
{
public:
    explicit FaultSwitch(uint64_t seed) : m_Random(seed) {}

    Faults          Get() const;
    bool            Hit(double share);          // true with that probability
    Status          Set(std::string_view body); // JSON; unknown members are refused
    awaitable<bool> Before(HttpReply& reply);   // slow, stall, down, lose_before; false: don't serve, the connection ends
    awaitable<bool> Admin(HttpRequest& req, HttpReply& reply, const StatsFunction& stats); // true: it was an /admin/ request

private:
    mutable std::mutex m_Mutex;  // guards the members below
    Faults             m_Faults; //
    Random             m_Random; //
};

//-----------------------------------------------------------------------------
// [SECTION] Stand-ins
//-----------------------------------------------------------------------------

struct TableConfig
{
    double   m_WritesPerSecond = 300;  // more are answered 429
    double   m_ReadsPerSecond  = 2000; //
    int64_t  m_LatencyMs       = 2;    //
    uint64_t m_Seed            = 1;    //
};

struct OriginConfig
{
    std::string m_Root;     // folder with DIGEST/manifest.json and DIGEST/SHARD
    double      m_MibS = 0; // link rate over all readers; 0: no limit
    uint64_t    m_Seed = 1; //
};

struct BoxListConfig
{
    int64_t  m_LagMs = 1000; // a change shows this much later
    uint64_t m_Seed  = 1;    //
};

struct EngineConfig
{
    bool     m_CheckFencing = true; // some engines don't
    int64_t  m_MaxBatch     = 16;   // requests decoded together
    int64_t  m_PrefillUs    = 40;   // per prompt token that is not cached
    int64_t  m_StepUs       = 5000; // one decoding step of an empty batch
    int64_t  m_StepPerSeqUs = 250;  // added per request in the batch
    int64_t  m_PrefixSlots  = 64;   // cached prefixes
    int64_t  m_LoadLagMs    = 300;  // age of load reports
    double   m_EventGap     = 0.2;  // share of cache events lost
    int64_t  m_LoadMs       = 50;   // time to load besides reading
    uint64_t m_Seed         = 1;    //
};

struct PlainConfig
{
    int64_t  m_WorkMs = 3; // time of one call
    uint64_t m_Seed   = 1; //
};

std::unique_ptr<HttpServer> MakeTableStandin(asio::io_context& ioc, const TableConfig& cfg);
std::unique_ptr<HttpServer> MakeOriginStandin(asio::io_context& ioc, const OriginConfig& cfg);
std::unique_ptr<HttpServer> MakeBoxListStandin(asio::io_context& ioc, const BoxListConfig& cfg);
std::unique_ptr<HttpServer> MakeEngineStandin(asio::io_context& ioc, const EngineConfig& cfg);
std::unique_ptr<HttpServer> MakePlainStandin(asio::io_context& ioc, const PlainConfig& cfg);

} // namespace aldervale
