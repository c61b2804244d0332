// aldervale: the chunk exchange, which decides for one version on one box what to fetch from whom
//
// Pure: events and times in, fetches out. The shells (agent_weights.cpp, piece_transfer.h) own links, HTTP, staging and token buckets.
//
// How it decides:
//   - Each chunk has its fetchers from the origin in an order that every box computes alike: the members of the scope, permuted by
//     hash, take the chunks in turn, so that each member fetches the same number; only the first m_PrimaryFetchers of them do, for the origin
//     takes few connections, and the others stand behind these. The next in order steps in m_TakeOverDelay after its own share is done, if the chunk
//     is still nowhere among the neighbours, but never beyond m_OriginFetchersPerChunk members a chunk: that is the hard cap on copies.
//   - All else comes from neighbours, rarest chunk first, ties by a hash of box and chunk so that neighbours ask for different ones;
//     a neighbour in the own data centre goes before one elsewhere, then the one whose queue is shortest, by the
//     wait that it told lately and our requests there.
//   - A neighbour that refuses as busy is left alone for m_BusyPause; one that doesn't answer within m_ChunkTimeout for m_StallPause.
//     One that sent m_ExcludeCorruptMin corrupt chunks, and more than a fifth of all it sent, is set aside for good.
//   - With m_ForgetStalled, a neighbour that doesn't answer no longer holds anything until OnHave() tells it again, so that the next in
//     order fetches what only it had. Without it, a frozen box whose connections live could hold up everybody.
//   - Uploads: at most m_UploadSlots at once, and no more than m_UploadBudgetCopies copies, but for a request marked urgent: every holder
//     that the asker knows is over its budget.
//
// Usage:
//   Exchange x(manifest, cfg, scope_members, self, present_chunks);
//   x.OnHave(peer, chunks); for (const Fetch& f : x.Next(now)) Start(f);
//   x.OnChunk(index, source, ChunkOutcome_Good, now);
//
// Index of this file:
// [SECTION] Configuration
// [SECTION] Exchange

#pragma once
#include "common/clock.h"
#include "version/manifest.h"
#include <map>
#include <optional>
#include <set>

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

enum ExchangeMode
{
    ExchangeMode_Spread,     // the real thing
    ExchangeMode_OriginOnly, // baseline: every box reads everything from the origin
    ExchangeMode_Chain,      // baseline: box i reads from box i-1 in the scope's order, the first from the origin
};

struct ExchangeConfig
{
    ExchangeMode m_Mode                   = ExchangeMode_Spread; //
    unsigned     m_DownloadSlots          = 3;                   // requests to neighbours in flight
    unsigned     m_OriginSlots            = 1;                   // requests to the origin in flight
    unsigned     m_UploadSlots            = 3;                   // uploads in flight, more are refused as busy
    unsigned     m_RequestsPerPeer        = 1;                   // requests in flight to one neighbour
    double       m_UploadBudgetCopies     = 1.05;                // copies of the version this box uploads unless asked urgently
    size_t       m_PrimaryFetchers        = SIZE_MAX;            // members that share out the chunks among them; the others only step in
    Duration     m_PrimaryFetchTime       = milliseconds(2500);  // that the sharers have before the wait of the others is counted
    unsigned     m_OriginFetchersPerChunk = 3;                   // members that may fetch one chunk from the origin: hard cap on copies
    Duration     m_TakeOverDelay          = milliseconds(1500);  // wait per rank before the next in order steps in, from when its own share is done
    Duration     m_BusyPause              = milliseconds(30);    // after a busy answer
    Duration     m_StallPause             = milliseconds(3000);  // after a request without an answer
    Duration     m_ChunkTimeout           = milliseconds(4000);  // of one request
    unsigned     m_ExcludeCorruptMin      = 3;                   // corrupt chunks before a neighbour may be set aside
    double       m_ExcludeCorruptShare    = 0.2;                 // share of corrupt chunks above which it is
    Duration     m_OriginPause            = milliseconds(500);   // after a failed read from the origin
    bool         m_ForgetStalled          = false;               // what a neighbour that doesn't answer has counts for nothing until it tells again
    Duration     m_ImportRankDelay        = milliseconds(700);   // with importers: wait per rank before the next one fetches from another data centre
};

//-----------------------------------------------------------------------------
// [SECTION] Exchange
//-----------------------------------------------------------------------------

struct Fetch
{
    uint32_t    m_Chunk = 0;      //
    std::string m_Peer;           // box name; empty: the origin
    bool        m_Urgent = false; // no other source is known
};

enum ChunkOutcome
{
    ChunkOutcome_Good,
    ChunkOutcome_Corrupt,
    ChunkOutcome_Busy,       // the neighbour has too many uploads now
    ChunkOutcome_OverBudget, // the neighbour is over its upload budget: only urgent requests from here on
    ChunkOutcome_Missing,    // the neighbour doesn't have it
    ChunkOutcome_Failed,     // no answer, or the connection broke
};

class Exchange
{
public:
    Exchange(ManifestPtr manifest, const ExchangeConfig& cfg, std::vector<std::string> members, std::string self, std::vector<uint32_t> present);

    // Neighbours
    void OnPeerUp(const std::string& peer, bool same_data_centre);
    void OnPeerDown(const std::string& peer);                                          // its chunks no longer count
    void OnHave(const std::string& peer, std::span<const uint32_t> added, bool whole); // unknown peers and chunks are ignored
    bool PeerHas(const std::string& peer, uint32_t chunk) const;                       // as it told; false for unknown ones
    void OnMemberDead(const std::string& member, bool dead);                           // a member of the scope is known dead, or back

    // Bytes between data centres are dear: with importers set (the boxes of the own data centre, this one included), each chunk is taken
    // from another data centre by one of them only, and by the next in order if it is still nowhere here m_ImportRankDelay later.
    void SetImporters(std::vector<std::string> members);
    void SetDownloadSlots(unsigned n) { m_Config.m_DownloadSlots = n; }
    void SuspendOrigin(bool suspended) { m_OriginSuspended = suspended; } // nothing is fetched from the origin meanwhile

    // Fetching
    std::vector<Fetch> Next(TimePoint now); // what to start now; each stays in flight until OnChunk()
    void               OnChunk(uint32_t chunk, const std::string& peer, ChunkOutcome outcome, TimePoint now);
    void               OnUploadQueueWait(const std::string& peer, Duration wait, TimePoint now); // a chunk's time in the neighbour's queue of uploads
    bool               Complete() const { return m_HaveCount == m_Manifest->m_ChunkCount; }
    bool               Has(uint32_t chunk) const { return m_Have[chunk]; }
    bool               HasOwnShareLeft() const; // chunks of the own share are left that are neither here nor in flight
    uint32_t           HaveCount() const { return m_HaveCount; }
    std::optional<TimePoint> NextWake() const { return m_NextWake; } // when Next() may have more to say without an event

    // Serving
    ChunkOutcome AdmitUpload(uint64_t bytes, bool urgent); // Good: counts as in flight until OnUploadDone(); else Busy or Spent
    void         OnUploadDone(uint64_t bytes, bool sent);

    // Figures
    uint64_t              BytesFromOrigin() const { return m_BytesFromOrigin; }
    uint64_t              BytesFromPeers() const { return m_BytesFromPeers; }
    uint64_t              BytesUploaded() const { return m_BytesUploaded; }
    unsigned              ExcludedPeers() const;
    const Manifest&       GetManifest() const { return *m_Manifest; }
    std::vector<uint32_t> HaveList() const;

private:
    struct Peer
    {
        std::vector<bool> m_Have;                   // by chunk
        unsigned          m_InFlight       = 0;     // requests of ours
        unsigned          m_Corrupt        = 0;     // corrupt chunks so far
        unsigned          m_Good           = 0;     // good ones
        bool              m_Excluded       = false; // set aside for good; its m_Have is empty
        bool              m_OverBudget     = false; // over its upload budget
        bool              m_SameDataCentre = true;
        bool              m_Up             = false; // one that went down keeps its counts, and its m_Have is empty
        TimePoint         m_PausedUntil{};          //
        Duration          m_QueueWait{};            // in its queue of uploads, by its last answers
        TimePoint         m_QueueWaitAt{};          // of m_QueueWait
    };

    std::optional<uint32_t> BestFromOrigin(TimePoint now); // also moves m_NextWake
    std::optional<uint32_t> BestOfStride(size_t first, size_t stride) const;
    std::optional<uint32_t> BestOfOwnShare() const;
    std::optional<uint32_t> BestOfTakeOvers(TimePoint now); // whose turn to step in has come; also moves m_NextWake
    TimePoint               OwnShareDoneAt(TimePoint now);  // sets m_OwnShareDoneAt when asked first
    void                    OnOriginFailed(ChunkOutcome outcome, TimePoint now);
    size_t                  PrimaryFetcherCount() const; // members that share out the origin's chunks; at least 1
    bool                    WantedFromOrigin(uint32_t chunk) const;
    bool                    MayRequestFrom(const Peer& p, TimePoint now) const;
    void                    AddHave(Peer& p, uint32_t chunk);
    void                    RemoveHave(Peer& p, uint32_t chunk);
    void                    RemoveAllHave(Peer& p);
    void                    MarkOverBudget(Peer& p);
    bool                    MayAsk(const Peer& p, uint32_t chunk) const; // has it, and is willing or everybody's budget is spent
    bool                    HeldInDataCentre(uint32_t chunk) const;
    bool                    MayImport(uint32_t chunk, TimePoint now); // from another data centre; also moves m_NextWake
    uint64_t                TieBreak(uint32_t chunk) const;
    size_t                  UploadQueueLength(const Peer& p, TimePoint now) const;
    void                    PickFromPeers(std::vector<Fetch>& out, TimePoint now);
    void                    PickFromOrigin(std::vector<Fetch>& out, TimePoint now);
    void                    WakeAt(TimePoint t);

    ManifestPtr                 m_Manifest;        //
    ExchangeConfig              m_Config;          //
    std::vector<std::string>    m_Members;         // scope members, permuted by hash; the same in every box
    size_t                      m_Self = SIZE_MAX; // own index in m_Members
    std::set<size_t>            m_DeadMembers;     // indices known dead
    uint64_t                    m_SelfHash;        // hash of the own name
    std::optional<TimePoint>    m_OwnShareDoneAt;  // when the own share of the origin's chunks was fetched
    std::vector<std::string>    m_ImportMembers;   // boxes of the own data centre, permuted by hash; empty: everybody fetches from everywhere
    size_t                      m_ImportSelf = 0;  // own index in m_ImportMembers
    std::vector<TimePoint>      m_RemoteSince;     // by chunk: when it was first seen elsewhere and nowhere here
    bool                        m_OriginSuspended = false;
    std::map<std::string, Peer> m_Peers;           //
    std::vector<bool>           m_Have;            // verified chunks
    uint32_t                    m_HaveCount = 0;   // invariant: number of true in m_Have
    std::vector<uint8_t>        m_ChunkRequests;   // requests in flight by chunk
    std::vector<uint16_t>       m_Holders;         // neighbours that have the chunk
    std::vector<uint16_t>       m_HoldersInBudget; // those of them within their upload budget; invariant: <= m_Holders
    std::vector<uint64_t>       m_TieBreaks;       // TieBreak() by chunk
    unsigned                    m_DownloadsInFlight = 0;
    unsigned                    m_OriginInFlight    = 0;
    unsigned                    m_UploadsInFlight   = 0;
    TimePoint                   m_OriginPausedUntil{};
    std::optional<TimePoint>    m_NextWake;            //
    uint64_t                    m_BytesFromOrigin = 0; // verified
    uint64_t                    m_BytesFromPeers  = 0; // verified
    uint64_t                    m_BytesUploaded   = 0;
};

} // namespace aldervale
