// aldervale: serves callers' requests on a router that reaches backend servers through agents
//
// Steps of a request: authentication (token to client account), route lookup (path to service), rate limit, fair queue, choice of a replica (or of
// the key's home), one exchange on the link to that box's agent, answer. Every answer carries Aldervale-Verdict, as a header field or, for streams,
// as a trailer; a stream without its end mark is reported as broken, never as a short answer.
//
// For keyed calls (with an Idempotency-Key) "not run" must hold for the key, not only for this attempt. The home of a key is the one box that may run
// it. So a call that is refused here is sent to the home as a probe: the home looks up the key and answers replay, not run, or may have run. If the
// home can't be asked the verdict is MayHaveRun.
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
    std::string m_Policy             = "cost"; // how replicas are chosen [route.policy]
    int64_t     m_Choices            = 2;      // random candidates compared per request [route.choices]
    double      m_WarmBonus          = 6.0;    // value of a cached prompt prefix, in requests [route.warm_bonus]
    int64_t     m_RequestsPerReplica = 16;     // concurrent requests at one replica over all routers [route.per_replica]
    int64_t     m_MaxWaiting         = 2000;   // requests in the queues of this router [queue.max_waiting]
    int64_t     m_MaxAttempts        = 3;      // per request, the first one included [retry.max_attempts]
    int64_t     m_WindowKib          = 256;    // flow-control window of an answer, KiB [serve.window_kib]
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
    bool            OnFrame(const LinkPtr& link, const FrameBuf& frame); // false: not a frame of this part
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
