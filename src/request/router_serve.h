// aldervale: callers' requests on a router: who asks, may they, where to, try again or not, stream back
//
// The way of a request: token -> client account; path -> service; limit; fair queue; choice of a replica (or the key's home); one
// exchange on the link to that box's agent; answer. Every answer carries Aldervale-Verdict, as a field, or for streams as a trailer; a
// stream without its end mark is broken, never short.
//
// For keyed calls "not run" must hold for the key, not only for this attempt. So a refusal that comes before the home was asked becomes
// a probe: the home looks the key up and says replay, not run, or may have run. Where the home can't be asked the verdict is MayHaveRun.
//
// Usage (src/programs/router.cpp):
//   RouterServe serve(daemon, settings, node, usage);
//   co_await serve.Handle(req, reply);
//
// Index of this file:
// [SECTION] Settings
// [SECTION] RouterServe

#pragma once
#include "process/node.h"
#include "request/replica_table.h"
#include "request/usage.h"

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct RouterServeSettings
{
    std::string m_Policy             = "cost"; // [route.policy]
    int64_t     m_Choices            = 2;      // [route.choices]
    double      m_WarmBonus          = 6.0;    // [route.warm_bonus]
    int64_t     m_RequestsPerReplica = 16;     // requests at one replica over all routers [route.per_replica]
    int64_t     m_MaxWaiting         = 2000;   // [queue.max_waiting]
    int64_t     m_MaxAttempts        = 3;      // [retry.max_attempts]
    int64_t     m_WindowKib          = 256;    // answer bytes under way per request [serve.window_kib]
};

std::vector<SettingSpec> DescribeRouterServe(RouterServeSettings& s);

//-----------------------------------------------------------------------------
// [SECTION] RouterServe
//-----------------------------------------------------------------------------

class RouterServe
{
public:
    RouterServe(Daemon& daemon, const RouterServeSettings& s, Node& node, Usage& usage);
    ~RouterServe();

    void            Start();
    awaitable<void> Handle(HttpRequest& req, HttpReply& reply);
    bool            OnFrame(const LinkPtr& link, const FrameBuf& frame); // false: not about requests
    void            OnLinkUp(const LinkPtr& link);
    void            OnLinkDown(const LinkPtr& link);
    void            OnHeartbeat(const LinkPtr& link, const wire::Heartbeat& hb);
    void            SetReady(std::function<bool()> ready);
    uint64_t        InFlight() const;
    ReplicaTable&   Replicas();

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
