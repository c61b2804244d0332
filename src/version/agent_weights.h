// aldervale: weights on one box: carries out orders, fetches and uploads chunks, loads verified versions into the engine
//
// Does the I/O for Activation (which versions to hold and serve), Exchange (which chunk to fetch from which source) and Staging (the memory
// that holds chunks). It owns the coroutines, handles the frames about weights, and limits the rate on the box's network link with a token
// bucket. Answers to callers' requests take tokens from the same bucket without waiting, so that transfers of weights yield to them.
//
// The engine is the local model server. A slice is the part of a version that one box of a replica holds; see manifest.h.
//
// Usage (src/programs/agent.cpp):
//   AgentWeights weights(daemon, settings, node, store, engine);
//   in the node's handlers: weights.OnFrame(link, frame) returns false for frames that aren't about weights
//   if (weights.BeginRequest(digest, adapter)) { ...; weights.EndRequest(); } // false: refuse the request
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
    int64_t     m_StagingMib    = 4096;     // limit of the staging memory, MiB [weights.staging_mib]
    double      m_LinkMibS      = 0;        // downloads and uploads of weights together, MiB/s; 0: no limit [weights.link_mib_s]
    int64_t     m_Neighbours    = 8;        // boxes of this data centre dialled per version [weights.neighbours]
    std::string m_Mode          = "spread"; // or one of the baselines "origin-only" and "chain" [weights.mode]
    int64_t     m_DownloadSlots = 3;        // chunk requests to neighbours in flight [weights.download_slots]
    int64_t     m_UploadSlots   = 3;        // chunk uploads in flight [weights.upload_slots]
    int64_t     m_TakeOverMs    = 1500;     // ExchangeConfig::m_TakeOverDelay, ms [weights.take_over_ms]
    std::string m_StagingListen;            // loopback address that the engine reads weights from [weights.staging_listen]
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

    bool         BeginRequest(const std::string& digest, const std::string& adapter); // of whole manifests; true: call EndRequest() later
    void         EndRequest();
    bool         HoldsSlice() const; // holds or fetches a slice of a replica that spans several boxes
    uint64_t     RunningRequests() const;
    void         ChargeAnswerBytes(size_t bytes);                    // takes bytes of an answer to a caller from the link's token bucket
    void         Describe(wire::AgentStateT& out, bool brief) const; // brief: without the versions
    bool         Fetching() const;                                   // some version is being fetched
    json::object DescribeJson() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
