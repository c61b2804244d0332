// aldervale: the model engine or plain service on the agent's own box, over loopback HTTP
//
// Orders to an engine: POST /v1/load and /v1/unload with a fencing number, which some engines check and some don't. Reports:
// GET /v1/report (load with its age, recent cache events with gaps). Requests go to the path that the caller named.

#pragma once
#include "connection/http.h"
#include "version/manifest.h"

namespace aldervale
{

struct EngineReport
{
    uint64_t              m_Boot = 0;     // differs after a restart of the engine: nothing is loaded any more
    std::string           m_Loaded;       // digest it serves; empty: none
    unsigned              m_Running = 0;  // requests in the batch
    unsigned              m_Queued  = 0;  // requests waiting
    double                m_KvFree  = 1;  // share of KV cache memory free
    unsigned              m_AgeMs   = 0;  // how old these figures are
    std::vector<uint64_t> m_WarmPrefixes; // hashes of prefixes that were cached lately; late and gappy
};

struct EngineLoad
{
    std::string m_Digest;      // slice digest
    std::string m_Base;        // adapters: digest of the version they go on
    uint64_t    m_Fencing = 0; //
    std::string m_Source;      // http://IP:PORT/staging/DIGEST: /manifest, and /SHARD with ranges
};

class Engine
{
public:
    virtual ~Engine()                                                                  = default;
    virtual awaitable<Result<std::string>>   Load(EngineLoad load, TimePoint deadline) = 0; // digest that the engine confirms
    virtual awaitable<Result<EngineReport>>  Report(TimePoint deadline)                = 0;
    virtual awaitable<Result<HttpStreamPtr>> Open(HttpRequest req, TimePoint deadline) = 0; // a caller's request
};

std::unique_ptr<Engine> MakeHttpEngine(Endpoint at);

} // namespace aldervale
