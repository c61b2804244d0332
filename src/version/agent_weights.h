// aldervale: weights on one box: carries out orders, fetches and serves chunks, hands verified versions to the engine
//
// The shell around Activation (what to hold and serve), Exchange (what to fetch from whom) and Staging (where bytes wait). It owns the
// coroutines, the links' frames about weights, and the token bucket on the box's link. Live answers take tokens from the same bucket
// without waiting, so that weights yield to them.
//
// Usage (src/programs/agent.cpp):
//   AgentWeights weights(daemon, settings, node, store, engine);
//   node handlers: weights.OnFrame(link, frame) returns false for frames of other parts
//   std::optional<ServeTicket> t = weights.BeginRequest(digest, adapter);  // gate for traffic
//
// Index of this file:
// [SECTION] Settings
// [SECTION] AgentWeights

#pragma once
#include "external/engine.h"
#include "external/weight_store.h"
#include "process/node.h"
#include "version/activation.h"
#include "version/exchange.h"
#include "version/staging.h"

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct WeightsSettings
{
    int64_t     m_StagingMib    = 4096;     // bound of staging memory, MiB [weights.staging_mib]
    double      m_LinkMibS      = 0;        // weights in and out together, MiB/s; 0: no limit [weights.link_mib_s]
    int64_t     m_Neighbours    = 8;        // boxes dialled per version [weights.neighbours]
    std::string m_Mode          = "spread"; // or a baseline [weights.mode]
    int64_t     m_DownloadSlots = 3;        // [weights.download_slots]
    int64_t     m_UploadSlots   = 3;        // [weights.upload_slots]
    int64_t     m_TakeOverMs    = 1500;     // [weights.take_over_ms]
    std::string m_StagingListen;            // where the engine reads from, loopback [weights.staging_listen]
};

std::vector<SettingSpec> DescribeWeights(WeightsSettings& s);

//-----------------------------------------------------------------------------
// [SECTION] AgentWeights
//-----------------------------------------------------------------------------

class AgentWeights
{
public:
    AgentWeights(Daemon& daemon, const WeightsSettings& s, Node& node, WeightStore& store, Engine& engine);
    ~AgentWeights();

    Status Start();
    bool   OnFrame(const LinkPtr& link, const FrameBuf& frame); // false: not about weights
    void   OnLinkUp(const LinkPtr& link);
    void   OnLinkDown(const LinkPtr& link);
    void   OnHeartbeat(const LinkPtr& link, const wire::Heartbeat& hb);
    void   OnFencing(uint64_t fencing);

    bool         BeginRequest(const std::string& digest, const std::string& adapter); // digests of whole manifests; false: not servable here
    void         EndRequest();
    bool         HoldsSlice() const; // serves or fetches a part of a replica over several boxes
    uint64_t     RunningRequests() const;
    void         ChargeAnswerBytes(size_t bytes);                    // bytes of live answers on the box's link
    void         Describe(wire::AgentStateT& out, bool brief) const; // brief: without versions
    bool         Fetching() const;                                   // some version is on its way
    json::object DescribeJson() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
