// aldervale: what the parts of PieceTransfer share among themselves
//
// For piece_transfer*.cpp and piece_wire.cpp only; others use piece_transfer.h. The parts, one job each:
//   piece_transfer.cpp          what is here, and which boxes there are
//   piece_transfer_job.cpp      one job: from StartFetch() to whole or given up
//   piece_transfer_fetch.cpp    one piece, from a neighbour or the origin
//   piece_transfer_list.cpp     the list of digests: obtaining it, and handing it on
//   piece_transfer_news.cpp     who has what: telling neighbours, and hearing of it
//   piece_transfer_uploads.cpp  pieces for neighbours
//   piece_wire.cpp              names of versions and lists of digests as they cross between boxes

#pragma once
#include "version/piece_transfer.h"

namespace aldervale
{

constexpr auto   kListRetryInterval = milliseconds(30);   // looks whether a neighbour has the list
constexpr auto   kServerCallTimeout = milliseconds(500);  // for one call to the own server
constexpr double kUploadShare       = 0.85;               // of the box's link: the rest is for live answers
constexpr auto   kPieceTimeout      = milliseconds(1200); // for one piece from a neighbour

// Names of versions and lists of digests as they cross between boxes (piece_wire.cpp)
std::string              VersionName(std::string_view model, uint64_t version);
std::optional<uint64_t>  VersionOf(const flatbuffers::String* name, std::string_view model); // null: not a version of this model
bool                     UsableList(const PieceList& list);
std::string              ListToJson(const PieceList& list);
std::optional<PieceList> ListFromJson(std::string_view text); // null: not a list; its digests aren't checked, see UsableList()

struct PieceTransfer::Job
{
    uint64_t                  m_Version = 0;                      //
    TimePoint                 m_StartedAt{};                      //
    TimePoint                 m_LastPieceAt{};                    // of the last new piece, or m_StartedAt
    std::unique_ptr<Exchange> m_Exchange;                         // null until the list is known
    ManifestPtr               m_Manifest;                         //
    bool                      m_Finished      = false;            // whole, or given up
    unsigned                  m_Slots         = kPieceSlotsFirst; // pieces asked of neighbours at once
    unsigned                  m_CorruptPieces = 0;                // pieces from the origin that failed their digest
    std::vector<uint32_t>     m_Unannounced;                      // pieces not told to neighbours yet
    std::set<std::string>     m_ListHolders;                      // neighbours that have the list of digests
    TimePoint                 m_OriginAllowedAt{};                // no piece is asked of the origin before
};

} // namespace aldervale
