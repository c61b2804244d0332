// aldervale-agent: runs in the slot of every backend server box. Moves and verifies weights, gates traffic, gives the engine its
// orders, journals keyed calls. Wires AgentWeights and AgentServe to one Node.
#include "common/log.h"
#include "request/agent_serve.h"
#include "version/agent_weights.h"

using namespace aldervale;

namespace
{

struct AgentSettings
{
    std::string     m_Listen;                 // links of peers [listen]
    std::string     m_Backend;                // backend server on this box [backend]
    std::string     m_BackendType = "engine"; // [backend_type]
    std::string     m_WeightStore;            // [weight_store]
    WeightsSettings m_Weights;                //
    ServeSettings   m_Serve;                  //
};

struct Agent // lives as long as the process
{
    AgentSettings                 m_Settings; //
    std::unique_ptr<WeightStore>  m_Store;    // null for plain services
    std::unique_ptr<Engine>       m_Engine;   //
    std::unique_ptr<Node>         m_Node;     //
    std::unique_ptr<AgentWeights> m_Weights;  // null for plain services
    std::unique_ptr<AgentServe>   m_Serve;    //
};

std::vector<SettingSpec> DescribeAgent(AgentSettings& s)
{
    std::vector<SettingSpec> specs = {
        {"listen", SettingAddress{&s.m_Listen, true, true}, "address of links, the same as the declared Box"},
        {"backend", SettingAddress{&s.m_Backend, false, true}, "backend server on this box"},
        {"backend_type", SettingText{&s.m_BackendType, {"engine", "plain"}, false}, "model engine or plain service"},
        {"weight_store", SettingAddress{&s.m_WeightStore, false, false}, "weight store; engines need it"},
    };
    for (const SettingSpec& spec : DescribeWeights(s.m_Weights))
        specs.push_back(spec);
    for (const SettingSpec& spec : DescribeServe(s.m_Serve))
        specs.push_back(spec);
    return specs;
}

NodeHandlers MakeHandlers(Agent& agent)
{
    NodeHandlers h;
    h.m_OnFrame = [&agent](const LinkPtr& link, const FrameBuf& frame)
    {
        if (agent.m_Weights && agent.m_Weights->OnFrame(link, frame))
            return;
        agent.m_Serve->OnFrame(link, frame);
    };
    h.m_OnLinkUp = [&agent](const LinkPtr& link)
    {
        if (agent.m_Weights)
            agent.m_Weights->OnLinkUp(link);
    };
    h.m_OnLinkDown = [&agent](const LinkPtr& link)
    {
        if (agent.m_Weights)
            agent.m_Weights->OnLinkDown(link);
        agent.m_Serve->OnLinkDown(link);
    };
    h.m_OnHeartbeat = [&agent](const LinkPtr& link, const wire::Heartbeat& hb)
    {
        if (agent.m_Weights)
            agent.m_Weights->OnHeartbeat(link, hb);
    };
    h.m_OnConfig   = [&agent](const ConfigPtr& c) { agent.m_Serve->OnConfig(c); };
    h.m_AgentState = [&agent](bool brief)
    {
        auto state = std::make_unique<wire::AgentStateT>();
        if (agent.m_Weights)
            agent.m_Weights->Describe(*state, brief);
        if (agent.m_Serve)
            agent.m_Serve->Describe(*state);
        return state;
    };
    h.m_StateMoves  = [&agent] { return agent.m_Weights && agent.m_Weights->Fetching(); };
    h.m_GroupMember = [&agent] { return agent.m_Weights && agent.m_Weights->HoldsSlice(); };
    return h;
}

Status StartAgent(Daemon& daemon, Agent& agent)
{
    const AgentSettings& s      = agent.m_Settings;
    const bool           engine = s.m_BackendType == "engine";
    if (engine && s.m_WeightStore.empty())
        return MakeError(ErrorCode_Invalid, "an engine needs a weight store", "weight_store");
    agent.m_Engine = MakeHttpEngine(ParseEndpoint(s.m_Backend).value());
    NodeConfig cfg;
    cfg.m_Role   = wire::PeerRole::Agent;
    cfg.m_Listen = ParseEndpoint(s.m_Listen).value();
    agent.m_Node = std::make_unique<Node>(daemon, cfg, MakeHandlers(agent));
    if (engine)
    {
        agent.m_Store        = MakeHttpWeightStore(ParseEndpoint(s.m_WeightStore).value());
        agent.m_Weights      = std::make_unique<AgentWeights>(daemon, s.m_Weights, *agent.m_Node, *agent.m_Store, *agent.m_Engine);
        const Status started = agent.m_Weights->Start();
        if (!started)
            return started;
    }
    agent.m_Serve = std::make_unique<AgentServe>(daemon, s.m_Serve, *agent.m_Node, agent.m_Weights.get(), *agent.m_Engine);

    DaemonHooks hooks;
    hooks.m_Ready = [&agent] { return agent.m_Node->Config()->m_Revision > 0; };
    hooks.m_Drain = [&agent](TimePoint)
    {
        agent.m_Serve->BeginDrain();
        agent.m_Node->AnnounceNow();
    };
    hooks.m_Drained  = [&agent] { return agent.m_Serve->InFlight() == 0; };
    hooks.m_Describe = [&agent]
    {
        json::object o  = agent.m_Weights ? agent.m_Weights->DescribeJson() : json::object();
        o["in_flight"]  = agent.m_Serve->InFlight();
        o["leaving"]    = agent.m_Serve->IsLeaving();
        o["revision"]   = agent.m_Node->Config()->m_Revision;
        o["link_bytes"] = agent.m_Node->ControlBytes();
        o["links"]      = agent.m_Node->AllLinks().size();
        return o;
    };
    daemon.SetHooks(std::move(hooks));
    return agent.m_Node->Listen();
}

} // namespace

int main(int argc, char** argv)
{
    Agent          agent;
    DaemonSettings daemon;
    return RunDaemon(argc, argv, "aldervale-agent", "Moves weights, gates traffic and journals keyed calls on one backend server box",
                     DescribeAgent(agent.m_Settings), daemon, [&](Daemon& d) { return StartAgent(d, agent); });
}
