// aldervale: fetches one version's pieces to one box, and hands them to neighbours
//
// The shell around Exchange for weights that come as numbered pieces with a digest each. The list of digests comes from a neighbour that
// has it, or from the origin, which few boxes ask. Each piece comes from the origin once, crosses into each data centre once, and spreads
// inside it. Pieces stay in memory while their version or the one before is in use here. Touched on one thread.
//
// Usage:
//   PieceTransfer t(ioc, origin, server, self, link_bytes_s);
//   t.SetModel("model"); t.StartFetch(7);  // gives up another version that is under way
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

struct PieceSet // what this box has of one version
{
    std::shared_ptr<const PieceList> m_List;   // null until known
    std::vector<PieceBytes>          m_Pieces; // null: not here
    uint32_t                         m_Count = 0;
    bool                             IsComplete() const { return m_List && m_Count == m_Pieces.size(); }
};

constexpr unsigned kPieceSlotsFirst = 3; // pieces asked of neighbours at once when a fetch begins: the link may be narrower than declared
constexpr unsigned kPieceSlotsMax   = 5; // and at most

// Pieces asked at once after one that took so long. Live requests queue behind all that are on the way to this box, so a link that turns
// out to be narrow is left with half as many.
unsigned NextPieceSlots(unsigned slots, Duration took);

// How much slower a box's link is than declared, by how long pieces take on it. Live requests wait there, too.
class LinkSlowdown
{
public:
    void   OnPiece(Duration took, Duration expected, TimePoint now); // expected: on the declared link, behind the other pieces asked for
    double Value(TimePoint now) const;                               // 1: as declared, or nothing was seen for a while

private:
    double    m_Mean = 1; // moving mean of took / expected
    TimePoint m_At{};     // of the last piece; default: none yet
};

class PieceTransfer
{
public:
    // `link_bytes_s`: of this box, each way; live answers leave over the same link. 0: no limit.
    PieceTransfer(asio::io_context& ioc, PieceOrigin& origin, ModelServer& server, ProcessName self, double link_bytes_s);

    Status   Listen(const Endpoint& at) { return m_Links.Listen(at); }
    void     SetModel(const std::string& model); // whose pieces are offered and fetched; empty: not known yet
    void     SetOrigin(const WeightOrigin& origin) { m_DeclaredOrigin = origin; }
    void     SetPeers(std::vector<PeerBox> peers);
    void     SetOnVersionSeen(std::function<void(uint64_t version)> fn) { m_OnVersionSeen = std::move(fn); } // a neighbour knows of this version
    void     StartFetch(uint64_t version);                                     // gives up another version that is under way
    void     SetLoadedVersion(uint64_t version) { m_LoadedVersion = version; } // that the own server holds: its staged pieces are offered too
    uint64_t Version() const { return m_Version; }                             // under way, or fetched last; 0: none
    bool     IsComplete() const;
    Duration TimeSinceLastPiece() const;                                     // since a piece of what is under way came; zero: nothing is
    uint64_t NewestPartial(uint64_t before) const;                           // newest older one of which some pieces are here, not all; 0: none
    uint64_t NewestComplete() const;                                         // 0: none
    bool     IsFetching() const;                                             // something is being fetched
    size_t   Boxes() const { return BoxNames(false).size(); }                // of the service, this one included
    size_t   StartRank(uint64_t version) const;                              // of this box in an order by hash that all boxes share
    const PieceSet* Find(uint64_t version) const;                            // null: nothing
    double          Slowdown() const { return m_LinkSlowdown.Value(Now()); } // of this box's link: over 1 is slower than declared
    uint64_t        BytesFromOrigin() const { return m_BytesOrigin; }
    uint64_t        BytesFromPeers() const { return m_BytesPeers; }

private:
    struct Job;   // one StartFetch() until it is whole or given up
    struct Upload // asked for, not sent yet
    {
        LinkPtr   m_Link;         //
        uint64_t  m_Exchange = 0; //
        uint64_t  m_Version  = 0; //
        uint32_t  m_Piece    = 0; //
        TimePoint m_AskedAt{};    //
    };
    struct PeerAnswer // to one request for a piece
    {
        ChunkOutcome m_Outcome = ChunkOutcome_Failed; //
        Duration     m_Waited{};                      // of a piece: in the neighbour's queue of uploads
    };

    std::vector<std::string> BoxNames(bool own_data_centre) const;
    std::string              NameOf(uint64_t version) const;

    // One job (piece_transfer_job.cpp)
    awaitable<void> Run(std::shared_ptr<Job> job);
    awaitable<void> TakeStaged(std::shared_ptr<Job> job);
    awaitable<void> AwaitPeers(std::shared_ptr<Job> job);
    void            Begin(const std::shared_ptr<Job>& job);
    void            Pump(std::shared_ptr<Job> job);

    // One piece (piece_transfer_fetch.cpp)
    awaitable<void>         FetchPiece(std::shared_ptr<Job> job, Fetch f);
    awaitable<PeerAnswer>   FromPeer(std::shared_ptr<Job> job, Fetch f);
    PeerAnswer              TakeAnswer(Job& job, const Fetch& f, const FrameBuf& answer);
    void                    UpdateFromAnswer(Job& job, const std::string& peer, const PeerAnswer& answer, Duration took); // of the peer and the link
    awaitable<ChunkOutcome> FromOrigin(std::shared_ptr<Job> job, uint32_t n);
    ChunkOutcome            StorePiece(Job& job, uint32_t n, std::vector<uint8_t> bytes, std::string_view from);
    void                    AdaptSlots(Job& job, Duration took);

    // The list of digests (piece_transfer_list.cpp)
    awaitable<bool> ObtainList(std::shared_ptr<Job> job); // true: it is here
    awaitable<bool> ListFromPeers(std::shared_ptr<Job> job);
    awaitable<bool> ListFromOrigin(std::shared_ptr<Job> job);
    void            TakeList(uint64_t version, PieceList list); // a usable one
    void            OnListGet(const LinkPtr& link, uint64_t exchange, const wire::ManifestGet& get);

    // Who has what (piece_transfer_news.cpp)
    awaitable<void> AnnounceLoop();
    void            AnnouncePieces(Job& job);
    void            SendInventory(const LinkPtr& link);
    void            AnnounceList(uint64_t version); // that this box has the list of digests
    void            RequestInventory(uint64_t version, const std::string& peer);
    void            OnUp(const std::string& peer);
    void            OnDown(const std::string& peer);
    void            OnFrame(const std::string& peer, const LinkPtr& link, const FrameBuf& frame);
    void            OnHave(const std::string& peer, const wire::HaveUpdate& have);

    // Pieces for neighbours (piece_transfer_uploads.cpp)
    awaitable<void>       UploadLoop(); // at the pace that live answers leave room for
    awaitable<PieceBytes> PieceToSend(const Upload& u);
    awaitable<void>       SendPiece(const Upload& u, PieceBytes bytes);
    awaitable<void>       AwaitSent(LinkPtr link);
    void                  OnChunkGet(const LinkPtr& link, uint64_t exchange, const wire::ChunkGet& get);

    asio::io_context&             m_Ioc;              //
    PieceOrigin&                  m_Origin;           //
    ModelServer&                  m_Server;           //
    ProcessName                   m_Self;             // m_Name is the listening address of the links
    PieceLinks                    m_Links;            //
    std::vector<PeerBox>          m_Peers;            //
    TimePoint                     m_PeersChangedAt{}; // when the set of peers changed last
    std::optional<WeightOrigin>   m_DeclaredOrigin;   // as declared
    std::string                   m_Model;            //
    uint64_t                      m_Version       = 0;
    uint64_t                      m_LoadedVersion = 0;
    std::map<uint64_t, PieceSet>  m_Sets;               // by version; at most kVersionsKept
    std::shared_ptr<Job>          m_Job;                // null: nothing under way
    std::deque<Upload>            m_Uploads;            // at most kUploadsMax
    unsigned                      m_Sending = 0;        // pieces that their links haven't taken
    asio::steady_timer            m_UploadWake;         // cancelled when m_Uploads gets an entry
    TokenBucket                   m_UploadBucket;       // bytes
    const double                  m_LinkBytesPerSecond; // of this box, a second, as declared; 0: not known
    LinkSlowdown                  m_LinkSlowdown;       //
    std::function<void(uint64_t)> m_OnVersionSeen;      // may be empty
    uint64_t                      m_SuspectList = 0;    // version whose list of digests is read from the origin again, not from neighbours
    uint64_t                      m_BytesOrigin = 0;
    uint64_t                      m_BytesPeers  = 0;
};

} // namespace aldervale
