// aldervale: requests on one box: refuses them or sends them to the backend server, streams the answer back, keeps a journal of keyed calls
//
// After a call has left the router, only this part may give the verdict "not run": every refusal here comes before the call is sent to the backend
// server. Once a byte was sent to it the verdict is Ran (it answered) or MayHaveRun, unless the server itself reports that it didn't run the call.
//
// Usage (src/programs/agent.cpp):
//   AgentServe serve(daemon, settings, node, weights_or_null, engine);
//   node handlers: serve.OnFrame(link, frame) returns false for frames of other parts

#pragma once
#include "external/engine.h"
#include "process/node.h"
#include "request/key_journal.h"
#include "version/agent_weights.h"

namespace aldervale
{

struct ServeSettings
{
    int64_t m_MaxInFlight = 256;     // concurrent calls at the backend server; more are refused as not run [serve.max_in_flight]
    int64_t m_SkewMs      = 2000;    // largest clock difference between any two boxes, ms [journal.skew_ms]
    int64_t m_JournalMax  = 200'000; // keys kept [journal.max_entries]
    int64_t m_JournalMib  = 16;      // stored answer bodies, MiB [journal.max_mib]
};

std::vector<SettingSpec> DescribeServe(ServeSettings& s);

class AgentServe
{
public:
    AgentServe(Daemon& daemon, const ServeSettings& s, Node& node, AgentWeights* weights, Engine& engine);
    ~AgentServe();

    bool     OnFrame(const LinkPtr& link, const FrameBuf& frame); // false: not a frame of this part
    void     OnLinkDown(const LinkPtr& link);
    void     OnConfig(const ConfigPtr& c);
    void     BeginDrain();      // refuses new calls from now on
    bool     IsLeaving() const; // draining, or declared as drained
    uint64_t InFlight() const;  // calls received and not ended
    void     Describe(wire::AgentStateT& out) const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
