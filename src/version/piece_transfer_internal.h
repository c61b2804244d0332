// aldervale: declarations shared by the source files of PieceTransfer
//
// For piece_transfer*.cpp and piece_wire.cpp only; other files use piece_transfer.h. The source files:
//   piece_transfer.cpp          which pieces are here, and which boxes there are
//   piece_transfer_job.cpp      one fetch, from StartFetch() until the version is complete or given up
//   piece_transfer_fetch.cpp    one piece, from a neighbour or the origin
//   piece_transfer_list.cpp     the list of digests: obtaining it, and sending it to neighbours
//   piece_transfer_news.cpp     which box has which pieces: announcements to neighbours, and from them
//   piece_transfer_uploads.cpp  uploads of pieces to neighbours
//   piece_wire.cpp              version names and lists of digests in messages between boxes

#pragma once
#include "version/piece_transfer.h"

namespace aldervale
{

constexpr auto   kListRetryInterval  = milliseconds(30);   // between attempts to get the list of digests
constexpr auto   kListDelayPerRank   = milliseconds(350);  // a box of rank n waits n times this long for a list before it asks the origin
constexpr auto   kComparisonRetryMax = milliseconds(3000); // between attempts to get the list for a comparison
constexpr auto   kServerCallTimeout  = milliseconds(500);  // for one call to the local server
constexpr double kUploadShare        = 0.85;               // of the link's bandwidth: the rest is for answers to callers
constexpr auto   kPieceTimeout       = milliseconds(1200); // for one piece from a neighbour
constexpr auto   kPieceInFlightMax   = milliseconds(2400); // after which a piece that didn't come doesn't count as in flight: its sender stands still

// Version names and lists of digests in messages between boxes (piece_wire.cpp)
std::string              VersionName(std::string_view model, uint64_t version);
std::optional<uint64_t>  VersionOf(const flatbuffers::String* name, std::string_view model); // nullopt: not a version of this model
bool                     UsableList(const PieceList& list);                                  // true: it has digests, and all are well-formed
std::string              ListToJson(const PieceList& list);
std::optional<PieceList> ListFromJson(std::string_view text); // nullopt: malformed; digests aren't checked, see UsableList()

// Place of this box among those of its data centre that need the list of digests of `version`, in an order by hash that all compute alike. Boxes that
// are listed as holding this version or a newer one don't ask for it.
size_t ListRank(const std::string& version_name, uint64_t version, std::span<const PeerBox> peers, const ProcessName& self);

struct PieceTransfer::Job
{
    uint64_t                  m_Version = 0;           //
    TimePoint                 m_StartedAt{};           //
    TimePoint                 m_LastPieceAt{};         // when the last new piece arrived; initially m_StartedAt
    std::unique_ptr<Exchange> m_Exchange;              // null until the list of digests is known
    ManifestPtr               m_Manifest;              //
    bool                      m_Finished      = false; // complete or given up
    unsigned                  m_FromPeers     = 0;     // pieces that it waits for from neighbours
    unsigned                  m_FromOrigin    = 0;     // pieces that it reads from the origin
    unsigned                  m_CorruptPieces = 0;     // pieces from the origin that didn't match their digest
    std::vector<uint32_t>     m_Unannounced;           // pieces that neighbours haven't been notified of
    std::set<std::string>     m_ListHolders;           // neighbours that have the list of digests
    std::set<std::string>     m_WholeHolders;          // neighbours in this data centre that have all pieces
    bool                      m_ScopeSettled = false;  // m_Exchange has the members that the set of boxes settled on
    TimePoint                 m_OriginAllowedAt{};     // no piece is requested from the origin before this time
};

} // namespace aldervale
