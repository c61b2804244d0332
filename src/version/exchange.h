// aldervale: the chunk exchange, which decides for one version on one box which chunk to fetch from which source
//
// Pure: events and times go in, fetches come out. Its users (transfer.cpp, piece_transfer.h) own links, HTTP, staging and token buckets.
//
// Terms:
//   - Origin: the weight store that has every chunk. Neighbour: a linked box that exchanges chunks of the same version.
//   - Scope, members: the boxes that exchange chunks with each other, listed in the same order on every box. Not every member is a neighbour.
//   - Holder of a chunk: a neighbour that has announced it.
//   - Primary fetcher: a member that is assigned an equal share of the chunks to fetch from the origin. These are the first members in hash order.
//   - Rank of a member for a chunk: its place in the order of members that may fetch the chunk from the origin; 0 for its primary fetcher.
//   - Taking over: fetching a chunk from the origin that is in another member's share.
//   - Over budget: a neighbour that has uploaded its budget of copies and serves only urgent requests.
//   - Import: fetching a chunk from another data centre.
//
// How it decides:
//   - Every box computes the same order of fetchers from the origin for each chunk: the members of the scope are permuted by a hash and take
//     the chunks in turn, so that each fetches the same number. Only the first m_PrimaryFetchers members have such a share, because the origin
//     takes few connections; the other members rank behind them. m_TakeOverDelay after its own share is done, the member of the next rank takes
//     a chunk over if no neighbour holds it. At most m_OriginFetchersPerChunk members fetch the same chunk: the hard cap on copies.
//   - All other chunks come from neighbours, the rarest chunk first; ties are broken by a hash of box and chunk so that neighbours request
//     different ones. Neighbours in the same data centre go first, then the one whose upload queue is shortest, by the wait that it reported
//     last and our requests in flight to it.
//   - A neighbour that refuses as busy gets no request for m_BusyPause; one that doesn't answer within m_ChunkTimeout, none for m_StallPause.
//     A neighbour is excluded for good after m_ExcludeCorruptMin corrupt chunks, if these are more than a fifth of all that it sent.
//   - With m_ForgetStalled, a neighbour that doesn't answer no longer counts as a holder until OnHave() announces its chunks again, so that
//     the member of the next rank fetches what only that neighbour had. Without it, a frozen box whose connections stay open could stall all.
//   - Uploads: at most m_UploadSlots at once, and no more than m_UploadBudgetCopies copies in all. Urgent requests are served beyond the
//     budget: a box marks its request as urgent when all holders of the chunk are over budget.
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
    ExchangeMode_Spread,     // as described above; the other modes are baselines for measurements
    ExchangeMode_OriginOnly, // every box reads everything from the origin
    ExchangeMode_Chain,      // box i reads from box i-1 in the scope's order, the first from the origin
};

struct ExchangeConfig
{
    ExchangeMode m_Mode                   = ExchangeMode_Spread; //
    unsigned     m_DownloadSlots          = 3;                   // requests to neighbours in flight
    unsigned     m_OriginSlots            = 1;                   // requests to the origin in flight
    unsigned     m_UploadSlots            = 3;                   // uploads in flight; further requests are refused as busy
    unsigned     m_RequestsPerPeer        = 1;                   // requests in flight to one neighbour
    double       m_UploadBudgetCopies     = 1.05;                // copies of the version uploaded before requests that aren't urgent are refused
    size_t       m_PrimaryFetchers        = SIZE_MAX;            // members with a share of the origin's chunks; the others only take over
    Duration     m_PrimaryFetchTime       = milliseconds(2500);  // for the primary fetchers' shares; others count m_TakeOverDelay from its end
    unsigned     m_OriginFetchersPerChunk = 3;                   // members that may fetch the same chunk from the origin: hard cap on copies
    Duration     m_TakeOverDelay          = milliseconds(1500);  // per rank, from the end of a member's own share until it takes a chunk over
    Duration     m_BusyPause              = milliseconds(30);    // without requests to a neighbour that refused as busy
    Duration     m_StallPause             = milliseconds(3000);  // without requests to a neighbour that didn't answer
    Duration     m_ChunkTimeout           = milliseconds(4000);  // for the answer to one request
    unsigned     m_ExcludeCorruptMin      = 3;                   // corrupt chunks before a neighbour may be excluded
    double       m_ExcludeCorruptShare    = 0.2;                 // corrupt chunks, as a share of all it sent, above which it is excluded
    Duration     m_OriginPause            = milliseconds(500);   // without reads from the origin after a failed one
    bool         m_ForgetStalled          = false;               // a neighbour that doesn't answer is no holder until its next announcement
    Duration     m_ImportRankDelay        = milliseconds(700);   // per rank, before a box imports a chunk in another's place; see SetImporters()
};

//-----------------------------------------------------------------------------
// [SECTION] Exchange
//-----------------------------------------------------------------------------

struct Fetch
{
    uint32_t    m_Chunk = 0;      // number of the chunk
    std::string m_Peer;           // box name; empty: the origin
    bool        m_Urgent = false; // all holders are over budget: asks for an upload beyond it
};

enum ChunkOutcome
{
    ChunkOutcome_Good,
    ChunkOutcome_Corrupt,
    ChunkOutcome_Busy,       // the neighbour's upload slots are in use
    ChunkOutcome_OverBudget, // the neighbour is over its upload budget and serves only urgent requests from now on
    ChunkOutcome_Missing,    // the neighbour doesn't have the chunk
    ChunkOutcome_Failed,     // no answer, or the connection broke
};

class Exchange
{
public:
    Exchange(ManifestPtr manifest, const ExchangeConfig& cfg, std::vector<std::string> members, std::string self, std::vector<uint32_t> present);

    void SetMembers(std::vector<std::string> members, const std::string& self); // of the scope; only before the first fetch from the origin

    // Neighbours
    void OnPeerUp(const std::string& peer, bool same_data_centre);
    void OnPeerDown(const std::string& peer);                                          // it no longer counts as a holder
    void OnHave(const std::string& peer, std::span<const uint32_t> added, bool whole); // unknown peers and chunks are ignored
    bool PeerHas(const std::string& peer, uint32_t chunk) const;                       // as announced; false for an unknown neighbour
    void OnMemberDead(const std::string& member, bool dead);                           // a member of the scope was found dead, or is back

    // Traffic between data centres is expensive. `members` are the boxes of this data centre, this one included: only one of them imports
    // each chunk; the next one in order does so m_ImportRankDelay later if no box of this data centre has the chunk by then.
    void SetImporters(std::vector<std::string> members);
    void SetDownloadSlots(unsigned n) { m_Config.m_DownloadSlots = n; }
    void SetOriginSlots(unsigned n) { m_Config.m_OriginSlots = n; }
    void SuspendOrigin(bool suspended) { m_OriginSuspended = suspended; } // while true, nothing is fetched from the origin

    // Fetching
    std::vector<Fetch> Next(TimePoint now); // fetches to start now; each counts as in flight until OnChunk()
    void               OnChunk(uint32_t chunk, const std::string& peer, ChunkOutcome outcome, TimePoint now);
    void               OnUploadQueueWait(const std::string& peer, Duration wait, TimePoint now); // a chunk's time in the neighbour's upload queue
    bool               Complete() const { return m_HaveCount == m_Manifest->m_ChunkCount; }
    bool               Has(uint32_t chunk) const { return m_Have[chunk]; }
    bool               HasOwnShareLeft() const; // chunks of this box's share remain that no neighbour has and that aren't in flight
    uint32_t           HaveCount() const { return m_HaveCount; }
    std::optional<TimePoint> NextWake() const { return m_NextWake; } // when Next() may return more without an event; empty: never

    // Serving
    ChunkOutcome AdmitUpload(uint64_t bytes, bool urgent); // Good: counts as in flight until OnUploadDone(); else Busy or OverBudget
    void         OnUploadDone(uint64_t bytes, bool sent);  // not sent: the bytes don't count against the budget

    // Statistics
    uint64_t              BytesFromOrigin() const { return m_BytesFromOrigin; }
    uint64_t              BytesFromPeers() const { return m_BytesFromPeers; }
    uint64_t              BytesUploaded() const { return m_BytesUploaded; }
    unsigned              ExcludedPeers() const; // neighbours excluded for corrupt chunks
    const Manifest&       GetManifest() const { return *m_Manifest; }
    std::vector<uint32_t> HaveList() const;

private:
    struct Peer
    {
        std::vector<bool> m_Have;                   // by chunk: announced
        unsigned          m_InFlight       = 0;     // requests to it
        unsigned          m_Corrupt        = 0;     // corrupt chunks received from it
        unsigned          m_Good           = 0;     // good chunks received from it
        bool              m_Excluded       = false; // for good; m_Have is empty then
        bool              m_OverBudget     = false; // refused as over its upload budget
        bool              m_SameDataCentre = true;
        bool              m_Up             = false; // linked; a neighbour that is down keeps its counts, and its m_Have is empty
        TimePoint         m_PausedUntil{};          // no requests before
        Duration          m_QueueWait{};            // time in its upload queue, as reported with its last answer
        TimePoint         m_QueueWaitAt{};          // when m_QueueWait was reported; {}: never
    };

    std::optional<uint32_t> BestFromOrigin(TimePoint now); // the chunk to fetch next; also updates m_NextWake
    std::optional<uint32_t> BestOfStride(size_t first, size_t stride) const;
    std::optional<uint32_t> BestOfOwnShare() const;
    std::optional<uint32_t> BestOfTakeOvers(TimePoint now); // of the shares of others that are due to be taken over; also updates m_NextWake
    TimePoint               OwnShareDoneAt(TimePoint now);  // the first call sets m_OwnShareDoneAt
    void                    OnOriginFailed(ChunkOutcome outcome, TimePoint now);
    size_t                  PrimaryFetcherCount() const;                     // members with a share of the origin's chunks; at least 1
    bool                    WantedFromOrigin(uint32_t chunk) const;          // missing, not in flight, and held by no neighbour
    bool                    IsAvailable(const Peer& p, TimePoint now) const; // up, neither excluded nor paused, and below m_RequestsPerPeer
    void                    AddHave(Peer& p, uint32_t chunk);
    void                    RemoveHave(Peer& p, uint32_t chunk);
    void                    RemoveAllHave(Peer& p);
    void                    MarkOverBudget(Peer& p);
    bool                    MayRequestChunk(const Peer& p, uint32_t chunk) const; // holds it, and is within its budget or all holders are over theirs
    bool                    HeldInDataCentre(uint32_t chunk) const;               // by a neighbour in this box's data centre
    bool                    MayImport(uint32_t chunk, TimePoint now);             // from another data centre; also updates m_NextWake
    uint64_t                TieBreak(uint32_t chunk) const;                       // differs between boxes; lower goes first
    size_t                  UploadQueueLength(const Peer& p, TimePoint now) const;
    void                    PickFromPeers(std::vector<Fetch>& out, TimePoint now);
    void                    PickFromOrigin(std::vector<Fetch>& out, TimePoint now);
    void                    WakeAt(TimePoint t); // sets m_NextWake to t if that is earlier

    ManifestPtr                 m_Manifest;        //
    ExchangeConfig              m_Config;          //
    std::vector<std::string>    m_Members;         // of the scope, permuted by hash; the same order on every box
    size_t                      m_Self = SIZE_MAX; // index of this box in m_Members; SIZE_MAX: not in the scope
    std::set<size_t>            m_DeadMembers;     // indices into m_Members
    uint64_t                    m_SelfHash;        // hash of this box's name; salt of TieBreak()
    std::optional<TimePoint>    m_OwnShareDoneAt;  // when this box had fetched its share of the origin's chunks
    std::vector<std::string>    m_ImportMembers;   // boxes of this data centre, permuted by hash; empty: imports are unlimited
    size_t                      m_ImportSelf = 0;  // index of this box in m_ImportMembers
    std::vector<TimePoint>      m_RemoteSince;     // by chunk: when an import was first considered; {}: never
    bool                        m_OriginSuspended = false;
    std::map<std::string, Peer> m_Peers;           //
    std::vector<bool>           m_Have;            // by chunk: verified here
    uint32_t                    m_HaveCount = 0;   // invariant: number of true in m_Have
    std::vector<uint8_t>        m_ChunkRequests;   // by chunk: requests in flight
    std::vector<uint16_t>       m_Holders;         // by chunk: number of neighbours that hold it
    std::vector<uint16_t>       m_HoldersInBudget; // by chunk: those of them within their upload budget; invariant: <= m_Holders
    std::vector<uint64_t>       m_TieBreaks;       // by chunk: TieBreak()
    unsigned                    m_DownloadsInFlight = 0;
    unsigned                    m_OriginInFlight    = 0;
    unsigned                    m_UploadsInFlight   = 0;
    TimePoint                   m_OriginPausedUntil{};
    std::optional<TimePoint>    m_NextWake;            // see NextWake()
    uint64_t                    m_BytesFromOrigin = 0; // of verified chunks
    uint64_t                    m_BytesFromPeers  = 0; // of verified chunks
    uint64_t                    m_BytesUploaded   = 0;
};

} // namespace aldervale
