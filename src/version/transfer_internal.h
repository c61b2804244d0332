// Internal to agent_weights.cpp and transfer.cpp: the download of one version's weights to this box, and its upload to other boxes.
//
// Terms:
//   - Placement: the operators' declaration of which model's weights are held by how many replicas in each data centre.
//   - Replica: one copy of a model, spread over one or several boxes. A box's position in its replica decides which part it holds.
//   - Slice: the part of a version that one box of a replica holds (the whole version for a replica of one box). Its digest names it.
//   - Manifest: the list of a version's shards (files) and of the SHA-256 of each chunk; see manifest.h.
//   - Neighbour: another box whose agent is linked to this one and that holds, or fetches, the same slice.
//   - Scope: the boxes that are expected to exchange this slice with each other; boxes outside it are a fallback.
//   - Origin: the weight store that has every version.
//   - Staging: the bounded memory that holds verified chunks until the engine (the local model server) reads them; see staging.h.
//   - HaveUpdate, ChunkGet, ChunkData, ChunkRefused: frames on the links between agents; see schema/.
#pragma once
#include "version/agent_weights.h"
#include "version/token_bucket.h"
#include <set>

namespace aldervale
{

struct LinkRateLimiter // rate limit of the box's network link: downloads and uploads of weights together; thread-safe
{
    LinkRateLimiter(double bytes_s, double burst) : m_Bucket(bytes_s, burst, Now()) {}

    TimePoint Reserve(double bytes)
    {
        std::lock_guard lock(m_Mutex);
        return m_Bucket.Reserve(bytes, Now());
    }

    std::mutex  m_Mutex;  // guards m_Bucket
    TokenBucket m_Bucket; // in bytes
};

struct TransferShared // used by all transfers of an agent; outlives them
{
    Daemon&         m_Daemon;   // name, data centre and event loop of this process
    Node&           m_Node;     // links to other boxes and the declared configuration
    WeightStore&    m_Store;    // reads from the origin
    Staging         m_Staging;  // chunks of all versions
    LinkRateLimiter m_Link;     // all transfers and the answers to live requests take tokens from it
    ExchangeConfig  m_Config;   // for the Exchange of each transfer
    WeightsSettings m_Settings; //
};

// Thread-safe. Runs the coroutines around one Exchange, which decides which chunk to fetch from which source.
class Transfer : public std::enable_shared_from_this<Transfer>
{
public:
    Transfer(std::shared_ptr<TransferShared> shared, std::string placement, std::string slice, size_t replica_position, size_t boxes_per_replica);

    void Start(std::function<void(Status)> done); // calls `done` once: all chunks are verified, or the transfer failed for good
    void Stop();                                  // starts no new fetches and drops `done`
    void OnLinkUp(const LinkPtr& link);           // a link between agents was opened
    void OnLinkDown(const LinkPtr& link);
    void OnHave(const LinkPtr& link, const wire::HaveUpdate& msg);                      // a neighbour lists the chunks that it has
    void OnChunkGet(const LinkPtr& link, uint64_t exchange, const wire::ChunkGet& msg); // `exchange`: the link's id of request and answer

    ManifestPtr GetManifest() const;                       // of the slice; null until it has been obtained
    std::string WholeManifestText() const;                 // JSON text of the whole version's manifest; empty until it has been obtained
    void        Describe(wire::VersionStatusT& out) const; // sets the counts of chunks and bytes, and the seconds
    void        Release();                                 // releases the staging memory that this slice has reserved

private:
    awaitable<void>          Run();
    awaitable<ManifestPtr>   ObtainManifest();                   // of the whole version; null after Stop()
    awaitable<ManifestPtr>   RequestManifestFromNeighbours();    // of the whole version; null if none has it
    awaitable<void>          FetchChunk(Fetch f, ManifestPtr m); // fetches one chunk and reports the outcome to m_Exchange
    awaitable<ChunkOutcome>  FetchFromPeer(const Fetch& f, const Manifest& m);
    awaitable<ChunkOutcome>  FetchFromOrigin(const Fetch& f, const Manifest& m);
    awaitable<void>          SendChunk(LinkPtr link, uint64_t exchange, uint32_t index, ChunkBytes bytes);
    awaitable<void>          AnnounceLoop(); // sends newly verified chunks to the neighbours
    awaitable<void>          ProgressLoop(); // starts fetches that become due; dials boxes outside the scope when the transfer stalls
    bool                     VerifyAndStage(const Fetch& f, const Manifest& m, std::vector<uint8_t> bytes); // false: corrupt
    void                     StartFetches();                                                                // those that m_Exchange chooses now
    void                     DialNeighbours(bool outside_scope);        // keeps links to some boxes of the slice; outside_scope: of the whole fleet
    void                     AddNeighbour(const LinkPtr& link);         // ignores boxes that don't hold this slice
    void                     SendHave(const LinkPtr& link, bool reply); // sends all chunks that this box has; `reply`: asks for the same in return
    std::vector<std::string> SliceMembers(bool whole_fleet) const;      // boxes of the slice, in the scope or in the whole fleet; includes this box
    void                     Finish(Status s);                          // calls m_Done if it wasn't called yet

    std::shared_ptr<TransferShared> m_Shared;          //
    const std::string               m_Placement;       // name of the placement that this slice belongs to
    const std::string               m_Slice;           // digest of the slice
    const size_t                    m_ReplicaPosition; // index of this box among the boxes of its replica
    const size_t                    m_BoxesPerReplica; //
    const TimePoint                 m_StartedAt;       //

    mutable std::mutex          m_Mutex;             // guards the members below
    std::unique_ptr<Exchange>   m_Exchange;          // null until the manifest has been obtained and staging is reserved
    ManifestPtr                 m_Manifest;          // of the slice
    std::string                 m_WholeManifestText; // JSON of the whole version's manifest
    std::set<std::string>       m_ScopeMembers;      // boxes in the scope that hold or fetch the same slice
    std::set<std::string>       m_OutsideMembers;    // the same for the whole fleet; empty until the transfer stalls
    std::vector<uint32_t>       m_UnannouncedChunks; // chunks verified since the last HaveUpdate was sent
    std::function<void(Status)> m_Done;              // empty once it was called, or after Stop()
    bool                        m_Stopped      = false;
    bool                        m_Reserved     = false; // staging memory is reserved for the slice
    bool                        m_Verified     = false; // all chunks are verified
    double                      m_FetchSeconds = 0;     // from m_StartedAt until all chunks were verified
    TimePoint                   m_LastChunkAt;          // when the last chunk was verified; m_StartedAt before
};
using TransferPtr = std::shared_ptr<Transfer>;

} // namespace aldervale
