// aldervale: fetches the pieces of one version of a model's weights to a box, and uploads them to neighbours
//
// A version's weights come as numbered pieces (parts of equal size) with a SHA-256 digest each. A neighbour is an agent of the same service on
// another box. PieceTransfer connects Exchange, which decides what to fetch from where, to the links and to the origin (the server that weights come
// from first). The list of digests comes from a neighbour that has it, or from the origin, which only few boxes ask. Each piece is read from the
// origin once, sent into each data centre once, and distributed inside it. Pieces stay in memory while their version or the one before is in use on
// this box. Used on one thread only.
//
// The version that the local server has loaded may be fetched, too: its staged pieces are compared with its list, and wrong ones are fetched. Nothing
// waits for that, so the origin is asked later and less often, and the fetch is given up if there is nothing to compare.
//
// Usage:
//   PieceTransfer t(ioc, origin, server, self, link_bytes_s);
//   t.SetModel("model"); t.StartFetch(7);      // gives up the fetch of another version
//   if (t.IsComplete()) ... t.Find(7)->m_Pieces[n]

#pragma once
#include "external/model_server.h"
#include "version/exchange.h"
#include "version/piece_links.h"
#include "version/route_table.h"
#include "version/token_bucket.h"
#include <deque>

namespace aldervale
{

using PieceBytes = std::shared_ptr<const std::vector<uint8_t>>;

struct PieceSet // the pieces of one version that are on this box
{
    std::shared_ptr<const PieceList> m_List;      // list of digests; null until it is known
    std::vector<PieceBytes>          m_Pieces;    // by number; null: not here
    uint32_t                         m_Count = 0; // pieces that are here
    bool                             IsComplete() const { return m_List && m_Count == m_Pieces.size(); }
};

constexpr unsigned kPieceSlotsFirst = 2; // pieces in flight from neighbours when a fetch begins: the link may be narrower than declared
constexpr unsigned kPieceSlotsMax   = 5; // upper bound of pieces in flight from neighbours

// Returns the number of pieces to request at a time, given how long the last one took. Traffic of live requests queues behind all pieces that are in
// flight to this box, so a link that proves narrow gets half as many.
unsigned NextPieceSlots(unsigned slots, Duration took);

// Estimates how much slower a box's link is than declared, from the time that pieces take on it. Traffic of live requests waits on the same link.
class LinkSlowdown
{
public:
    void   OnPiece(Duration took, Duration expected, TimePoint now); // `expected`: on the declared link, behind the other requested pieces
    double Value(TimePoint now) const;                               // 1: as fast as declared, or no recent piece

private:
    double    m_Mean = 1; // moving mean of took / expected
    TimePoint m_At{};     // when the last piece arrived; default: none yet
};

// Pieces that neighbours were asked for and that may still be on their way to this box. The link to the box is one queue for all of them and for live
// requests, so the limit holds for the box: pieces of a fetch that was given up, and those that a fetch no longer waits for, count until they arrive
// or can't be in that queue any more. They aren't in it once a piece that was asked for later has come quickly: their sender is slow, or stands
// still. Pure.
class PiecesInFlight
{
public:
    unsigned Slots() const { return m_Slots; }      // limit; 1 to kPieceSlotsMax
    void     OnFetchBegun(TimePoint now);           // after a while without pieces the link may have become narrow
    void     OnPiece(Duration took, TimePoint now); // `took` without the wait in the sender's upload queue
    uint64_t OnAsked(TimePoint now);                // returns a number for OnGone()
    bool     OnGone(uint64_t asked, bool quickly);  // it arrived, or its link closed; false: the time that it took says nothing of this box's link
    void     OnRefused(uint64_t asked);             // another one may be tried at once
    bool     Counts(uint64_t asked) const { return m_AskedAt.contains(asked); }
    unsigned Count(TimePoint now);                  // without those asked for longer than kPieceInFlightMax ago
    unsigned SlotsFor(unsigned own, TimePoint now); // that a fetch may use which has `own` pieces in flight itself

private:
    unsigned                      m_Slots = kPieceSlotsFirst; //
    uint64_t                      m_Last  = 0;                // number of the newest piece
    TimePoint                     m_LastAskedAt{};            // when it was asked for; default: it was refused
    uint64_t                      m_Probe        = 0;         // number of the last piece asked for while all slots were taken
    bool                          m_ProbeAllowed = false;     // the next piece asked for is such a one
    TimePoint                     m_LastPieceAt{};            // when OnPiece() was last called
    std::map<uint64_t, TimePoint> m_AskedAt;                  // by number
};

class PieceTransfer
{
public:
    // `link_bytes_s`: bandwidth of this box's link in each direction, bytes/s; answers to callers leave over the same link. 0: no limit.
    PieceTransfer(asio::io_context& ioc, PieceOrigin& origin, ModelServer& server, ProcessName self, double link_bytes_s);

    Status   Listen(const Endpoint& at) { return m_Links.Listen(at); }
    void     SetModel(const std::string& model); // model whose pieces are offered and fetched; empty: not known yet
    void     SetOrigin(const WeightOrigin& origin) { m_DeclaredOrigin = origin; }
    void     SetPeers(std::vector<PeerBox> peers, bool complete = true);       // complete: all boxes of the service, as far as they are listed
    void     StartFetch(uint64_t version);                                     // gives up the fetch of another version
    void     SetLoadedVersion(uint64_t version) { m_LoadedVersion = version; } // loaded by the local server, whose staged pieces are offered too
    uint64_t Version() const { return m_Version; }                             // being fetched, or fetched last; 0: none
    bool     IsComplete() const;                                               // all pieces of Version() are here
    Duration TimeSinceLastPiece() const;                                       // of the current fetch; zero: nothing is being fetched
    uint64_t NewestPartial(uint64_t before) const; // newest version older than `before` with some pieces here, but not all; 0: none
    uint64_t NewestComplete() const;               // newest version with all pieces here; 0: none
    bool     IsFetching() const;
    bool     IsComparing() const { return IsFetching() && IsLoaded(*m_Job); } // the fetch is of the version that the local server has loaded
    size_t   Boxes() const { return BoxNames(false).size(); }                 // boxes of the service, this one included
    size_t   StartRank(uint64_t version) const;                               // position of this box in an order by hash that all boxes compute alike
    // A neighbour has this newer version, or the origin knows it; by: "neighbour" or "origin".
    void            SetOnVersionSeen(std::function<void(uint64_t version, std::string_view by)> fn) { m_OnVersionSeen = std::move(fn); }
    const PieceSet* Find(uint64_t version) const; // null: no pieces and no list of this version
    // The fetch of this version, loaded by the local server, was given up: the origin no longer has its list, or another version is staged.
    bool     CannotCompare(uint64_t version) const { return m_NotComparable == version; }
    double   Slowdown() const { return m_LinkSlowdown.Value(Now()); } // of this box's link; above 1: slower than declared
    uint64_t BytesFromOrigin() const { return m_BytesOrigin; }
    uint64_t BytesFromPeers() const { return m_BytesPeers; }

private:
    struct Job;   // one fetch, from StartFetch() until the version is complete or given up
    struct Upload // a piece that a neighbour requested and that wasn't sent yet
    {
        LinkPtr   m_Link;         //
        uint64_t  m_Exchange = 0; //
        uint64_t  m_Version  = 0; //
        uint32_t  m_Piece    = 0; //
        TimePoint m_AskedAt{};    //
    };
    struct PeerAnswer // a neighbour's answer to one request for a piece
    {
        ChunkOutcome m_Outcome = ChunkOutcome_Failed; //
        Duration     m_Waited{};                      // time that the piece waited in the neighbour's upload queue
    };

    std::vector<std::string> BoxNames(bool same_data_centre) const;
    std::string              NameOf(uint64_t version) const;

    // One job (piece_transfer_job.cpp)
    awaitable<void> Run(std::shared_ptr<Job> job);
    bool            IsLoaded(const Job& job) const;
    awaitable<bool> TakeStaged(std::shared_ptr<Job> job); // false: only pieces of another version are staged
    void            GiveUpComparison(Job& job);
    awaitable<void> AwaitPeers(std::shared_ptr<Job> job);
    void            Begin(const std::shared_ptr<Job>& job);
    TimePoint       PeersSettledAt(const Job& job) const; // if the set of boxes doesn't change any more
    bool            PeersSettled(const Job& job) const;   // the set of boxes may determine who reads which piece from the origin
    void            SetScope(Job& job);
    void            Pump(std::shared_ptr<Job> job);

    // One piece (piece_transfer_fetch.cpp)
    awaitable<void>         FetchPiece(std::shared_ptr<Job> job, Fetch f);
    awaitable<PeerAnswer>   FromPeer(std::shared_ptr<Job> job, Fetch f);
    awaitable<void>         AwaitLatePiece(LinkPtr link, MailboxPtr box, uint64_t asked); // one that a fetch no longer waits for
    PeerAnswer              TakeAnswer(Job& job, const Fetch& f, const FrameBuf& answer);
    void                    UpdateFromAnswer(Job& job, const std::string& peer, const PeerAnswer& answer); // for the estimates of the peer
    awaitable<ChunkOutcome> FromOrigin(std::shared_ptr<Job> job, uint32_t n);
    ChunkOutcome            StorePiece(Job& job, uint32_t n, std::vector<uint8_t> bytes, std::string_view from);
    void                    AdaptSlots(const Job& job, Duration took); // took: on the link of this box, as far as is known

    // The list of digests (piece_transfer_list.cpp)
    awaitable<bool>              ObtainList(std::shared_ptr<Job> job); // true: the list is here
    TimePoint                    ListTurn(const Job& job) const;       // when this box may ask the origin
    awaitable<bool>              ListFromPeers(std::shared_ptr<Job> job);
    awaitable<bool>              ListFromOrigin(std::shared_ptr<Job> job);
    awaitable<Result<PieceList>> ReadOriginList(std::shared_ptr<Job> job); // finishes the job if the origin has a newer version
    awaitable<Result<PieceList>> ReadNewestList();                         // calls OnVersionSeen() if that is newer than all before
    size_t                       NewestRank(TimePoint now) const;
    awaitable<void>              AskNewestOnce();
    void                         OnVersionSeen(uint64_t version, std::string_view by);
    void                         TakeList(uint64_t version, PieceList list); // `list` has passed UsableList()
    void                         OnListGet(const LinkPtr& link, uint64_t exchange, const wire::ManifestGet& get);

    // Which box has which pieces (piece_transfer_news.cpp)
    awaitable<void> AnnounceLoop();
    void            AnnouncePieces(Job& job);
    void            SendInventory(const LinkPtr& link);
    void            AnnounceList(uint64_t version); // announces that this box has the list of digests
    void            RequestInventory(uint64_t version, const std::string& peer);
    void            OnUp(const std::string& peer);
    void            OnDown(const std::string& peer);
    void            OnFrame(const std::string& peer, const LinkPtr& link, const FrameBuf& frame);
    void            OnHave(const std::string& peer, const wire::HaveUpdate& have);

    // Pieces for neighbours (piece_transfer_uploads.cpp)
    awaitable<void>       UploadLoop(); // at a rate that leaves room for answers to callers
    awaitable<PieceBytes> PieceToSend(const Upload& u);
    awaitable<void>       SendPiece(const Upload& u, PieceBytes bytes);
    awaitable<void>       AwaitSent(LinkPtr link);
    void                  OnChunkGet(const LinkPtr& link, uint64_t exchange, const wire::ChunkGet& get);

    asio::io_context&            m_Ioc;                  //
    PieceOrigin&                 m_Origin;               //
    ModelServer&                 m_Server;               //
    ProcessName                  m_Self;                 // m_Name is the listening address of the links
    PieceLinks                   m_Links;                //
    std::vector<PeerBox>         m_Peers;                //
    bool                         m_PeersComplete = true; // m_Peers has all boxes of the service, as far as they are listed
    TimePoint                    m_PeersChangedAt{};     // when the set of peers last changed
    std::optional<WeightOrigin>  m_DeclaredOrigin;       // nullopt: not known
    std::string                  m_Model;                //
    uint64_t                     m_Version       = 0;
    uint64_t                     m_LoadedVersion = 0;
    std::map<uint64_t, PieceSet> m_Sets;               // by version; at most kVersionsKept
    std::shared_ptr<Job>         m_Job;                // the current or last fetch; null: none yet
    std::deque<Upload>           m_Uploads;            // at most kUploadsMax
    unsigned                     m_Sending = 0;        // uploaded pieces that are still queued on their links
    asio::steady_timer           m_UploadWake;         // cancelled when the upload loop has to look again
    TokenBucket                  m_UploadBucket;       // limits uploads, bytes
    const double                 m_LinkBytesPerSecond; // declared bandwidth of this box's link; 0: not known
    LinkSlowdown                 m_LinkSlowdown;       //
    PiecesInFlight               m_InFlight;           // from neighbours
    unsigned                     m_OriginReads = 0;    // pieces that are being read from the origin, also by fetches that were given up
    uint64_t                     m_NewestSeen  = 0;    // newest version that was fetched here, or that a neighbour or the origin told
    uint64_t                     m_SuspectList = 0; // version whose list of digests must be read from the origin again, not from neighbours; 0: none
    uint64_t                     m_NotComparable = 0; // see CannotCompare(); 0: none
    uint64_t                     m_BytesOrigin   = 0;
    uint64_t                     m_BytesPeers    = 0;

    std::function<void(uint64_t, std::string_view)> m_OnVersionSeen; // may be empty
};

} // namespace aldervale
