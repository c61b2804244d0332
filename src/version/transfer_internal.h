// Internal to agent_weights*.cpp: one version on its way to, and out of, this box.
#pragma once
#include "version/agent_weights.h"
#include "version/token_bucket.h"
#include <set>

namespace aldervale
{

struct LinkRateLimiter // the box's link for weights, in and out together; thread-safe
{
    LinkRateLimiter(double bytes_s, double burst) : m_Bucket(bytes_s, burst, Now()) {}

    TimePoint Reserve(double bytes)
    {
        std::lock_guard lock(m_Mutex);
        return m_Bucket.Reserve(bytes, Now());
    }

    std::mutex  m_Mutex;  // guards m_Bucket
    TokenBucket m_Bucket; //
};

struct TransferShared // what all transfers of an agent use; outlives them
{
    Daemon&         m_Daemon;   //
    Node&           m_Node;     //
    WeightStore&    m_Store;    //
    Staging         m_Staging;  //
    LinkRateLimiter m_Link;     //
    ExchangeConfig  m_Config;   //
    WeightsSettings m_Settings; //
};

class Transfer : public std::enable_shared_from_this<Transfer>
{
public:
    Transfer(std::shared_ptr<TransferShared> shared, std::string placement, std::string slice, size_t position, size_t count);

    void Start(std::function<void(Status)> done); // `done` once: verified, or failed for good
    void Stop();                                  // no new fetches; chunks that arrive are dropped
    void OnLinkUp(const LinkPtr& link);
    void OnLinkDown(const LinkPtr& link);
    void OnHave(const LinkPtr& link, const wire::HaveUpdate& msg);
    void OnChunkGet(const LinkPtr& link, uint64_t exchange, const wire::ChunkGet& msg);

    ManifestPtr GetManifest() const;       // of the slice; null until known
    std::string WholeManifestText() const; // text of the whole manifest; empty until known
    void        Describe(wire::VersionStatusT& out) const;
    void        Release(); // gives the staging reservation back

private:
    awaitable<void>          Run();
    awaitable<ManifestPtr>   ObtainManifest();
    awaitable<ManifestPtr>   RequestManifestFromNeighbours();
    awaitable<void>          FetchChunk(Fetch f, ManifestPtr m);
    awaitable<ChunkOutcome>  FetchFromPeer(const Fetch& f, const Manifest& m);
    awaitable<ChunkOutcome>  FetchFromOrigin(const Fetch& f, const Manifest& m);
    awaitable<void>          SendChunk(LinkPtr link, uint64_t exchange, uint32_t index, ChunkBytes bytes);
    awaitable<void>          AnnounceLoop();
    awaitable<void>          ProgressLoop();
    bool                     VerifyAndStage(const Fetch& f, const Manifest& m, std::vector<uint8_t> bytes);
    void                     StartFetches();
    void                     DialNeighbours(bool outside_scope);
    void                     AddNeighbour(const LinkPtr& link);
    void                     SendHave(const LinkPtr& link, bool reply);
    std::vector<std::string> SliceMembers(bool whole_fleet) const;
    void                     Finish(Status s);

    std::shared_ptr<TransferShared> m_Shared;          //
    const std::string               m_Placement;       // name of the placement that asks for it
    const std::string               m_Slice;           // slice digest
    const size_t                    m_ReplicaPosition; // of this box in its replica
    const size_t                    m_BoxesPerReplica; // boxes of a replica
    const TimePoint                 m_StartedAt;       //

    mutable std::mutex          m_Mutex;             // guards the members below
    std::unique_ptr<Exchange>   m_Exchange;          // null until the manifest is known
    ManifestPtr                 m_Manifest;          // of the slice
    std::string                 m_WholeManifestText; //
    std::set<std::string>       m_ScopeMembers;      // boxes that hold or want the same slice, in scope
    std::set<std::string>       m_OutsideMembers;    // boxes beyond the scope, used only when nothing moves
    std::vector<uint32_t>       m_UnannouncedChunks; // verified since the last HaveUpdate
    std::function<void(Status)> m_Done;              // empty once called
    bool                        m_Stopped      = false;
    bool                        m_Reserved     = false;
    bool                        m_Verified     = false;
    double                      m_FetchSeconds = 0; // from start to verified
    TimePoint                   m_LastChunkAt;      //
};
using TransferPtr = std::shared_ptr<Transfer>;

} // namespace aldervale
