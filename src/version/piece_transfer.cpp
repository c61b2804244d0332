// Which pieces of each version are here, and which boxes there are. See piece_transfer.h; piece_transfer_internal.h lists the other source files.
#include "version/piece_transfer_internal.h"

namespace aldervale
{

PieceTransfer::PieceTransfer(asio::io_context& ioc, PieceOrigin& origin, ModelServer& server, ProcessName self, double link_bytes_s)
    : m_Ioc(ioc), m_Origin(origin), m_Server(server), m_Self(self),
      m_Links(ioc, self,
              PieceLinkHandlers{[this](const std::string& p) { OnUp(p); }, [this](const std::string& p) { OnDown(p); },
                                [this](const std::string& p, const LinkPtr& l, const FrameBuf& f) { OnFrame(p, l, f); }}),
      m_UploadWake(ioc), m_UploadBucket(link_bytes_s * kUploadShare, 1, Now()), m_LinkBytesPerSecond(link_bytes_s)
{
    asio::co_spawn(
        m_Ioc, [this] { return UploadLoop(); }, asio::detached);
    asio::co_spawn(
        m_Ioc, [this] { return AnnounceLoop(); }, asio::detached);
    asio::co_spawn(
        m_Ioc, [this] { return AskNewestOnce(); }, asio::detached);
}

std::string PieceTransfer::NameOf(uint64_t version) const
{
    return VersionName(m_Model, version);
}

const PieceSet* PieceTransfer::Find(uint64_t version) const
{
    const auto it = m_Sets.find(version);
    return it == m_Sets.end() ? nullptr : &it->second;
}

bool PieceTransfer::IsComplete() const
{
    const PieceSet* s = Find(m_Version);
    return s != nullptr && s->IsComplete();
}

uint64_t PieceTransfer::NewestComplete() const
{
    for (auto it = m_Sets.rbegin(); it != m_Sets.rend(); ++it)
        if (it->second.IsComplete())
            return it->first;
    return 0;
}

size_t PieceTransfer::StartRank(uint64_t version) const
{
    const std::vector<std::string> members = BoxNames(false);
    return RendezvousRank(NameOf(version), members, m_Self.m_Name);
}

bool PieceTransfer::IsFetching() const
{
    return m_Job && !m_Job->m_Finished;
}

Duration PieceTransfer::TimeSinceLastPiece() const
{
    return IsFetching() ? Now() - m_Job->m_LastPieceAt : Duration::zero();
}

uint64_t PieceTransfer::NewestPartial(uint64_t before) const
{
    for (auto it = m_Sets.rbegin(); it != m_Sets.rend(); ++it)
        if (it->first < before && it->second.m_Count > 0 && !it->second.IsComplete())
            return it->first;
    return 0;
}

void PieceTransfer::SetModel(const std::string& model)
{
    if (m_Model == model)
        return;
    if (m_Job)
        m_Job->m_Finished = true;
    m_Sets.clear();
    m_Model      = model;
    m_Version    = 0;
    m_NewestSeen = 0;
}

void PieceTransfer::OnVersionSeen(uint64_t version, std::string_view by)
{
    m_NewestSeen = std::max(m_NewestSeen, version);
    if (m_OnVersionSeen)
        m_OnVersionSeen(version, by);
}

void PieceTransfer::SetPeers(std::vector<PeerBox> peers, bool complete)
{
    const auto same = [](const PeerBox& a, const PeerBox& b) { return a.m_Address == b.m_Address; };
    if (!std::equal(peers.begin(), peers.end(), m_Peers.begin(), m_Peers.end(), same))
        m_PeersChangedAt = Now();
    m_PeersComplete = complete;
    m_Peers         = peers;
    m_Links.SetPeers(std::move(peers));
}

std::vector<std::string> PieceTransfer::BoxNames(bool same_data_centre) const
{
    std::vector<std::string> out = {m_Self.m_Name};
    for (const PeerBox& p : m_Peers)
        if (p.Name() != m_Self.m_Name && (!same_data_centre || p.m_DataCentre == m_Self.m_DataCentre))
            out.push_back(p.Name());
    return out;
}

} // namespace aldervale
