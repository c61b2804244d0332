// aldervale: requests on one box: refuses or hands over to the backend server, streams the answer back, journals keyed calls
//
// The only place that may say "not run" after a call has left the router: every refusal here comes before the hand-over. Once a byte
// has gone to the backend server the verdict is Ran (it answered) or MayHaveRun.
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
    int64_t m_MaxInFlight = 256;     // calls at the backend server at once; more are refused as not run [serve.max_in_flight]
    int64_t m_SkewMs      = 2000;    // [journal.skew_ms]
    int64_t m_JournalMax  = 200'000; // entries [journal.max_entries]
    int64_t m_JournalMib  = 16;      // bodies, MiB [journal.max_mib]
};

std::vector<SettingSpec> DescribeServe(ServeSettings& s);

class AgentServe
{
public:
    AgentServe(Daemon& daemon, const ServeSettings& s, Node& node, AgentWeights* weights, Engine& engine);
    ~AgentServe();

    bool     OnFrame(const LinkPtr& link, const FrameBuf& frame); // false: not about requests
    void     OnLinkDown(const LinkPtr& link);
    void     OnConfig(const ConfigPtr& c);
    void     BeginDrain(); // refuse new work from now on
    bool     IsLeaving() const;
    uint64_t InFlight() const; // calls accepted and not ended
    void     Describe(wire::AgentStateT& out) const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
