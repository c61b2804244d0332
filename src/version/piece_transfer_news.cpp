// Which box has which pieces: announcements to neighbours, and from them. See piece_transfer.h.
#include "version/piece_transfer_internal.h"

namespace aldervale
{

namespace
{

constexpr auto kAnnounceInterval     = milliseconds(40);  // between announcements of new pieces to neighbours
constexpr auto kAnnounceIdleInterval = milliseconds(250); // between looks for new pieces while nothing is being fetched

} // namespace

void PieceTransfer::SendInventory(const LinkPtr& link)
{
    for (const auto& [version, set] : m_Sets)
    {
        wire::HaveUpdateT have;
        have.digest = NameOf(version);
        have.whole  = set.IsComplete();
        have.listed = set.m_List != nullptr;
        for (uint32_t n = 0; !have.whole && n < set.m_Pieces.size(); n++)
            if (set.m_Pieces[n])
                have.added.push_back(n);
        if (have.listed || version == m_Version) // who was away must hear of the newest version before its list is here
            link->Send(EncodeFrame(0, have));
    }
    const PieceSet* loaded = Find(m_LoadedVersion);
    if (m_LoadedVersion == 0 || (loaded != nullptr && loaded->m_List) || m_Model.empty())
        return;
    wire::HaveUpdateT held; // staged at the local server; the receiver checks each piece
    held.digest = NameOf(m_LoadedVersion);
    held.whole  = true;
    link->Send(EncodeFrame(0, held));
}

void PieceTransfer::AnnounceList(uint64_t version)
{
    wire::HaveUpdateT have;
    have.digest = NameOf(version);
    have.listed = true;
    m_Links.Broadcast(have);
}

// Notifies a neighbour only of pieces that it isn't known to have: announcing every piece to all neighbours took an eighth of a box's link.
void PieceTransfer::AnnouncePieces(Job& job)
{
    for (const std::string& peer : m_Links.Up())
    {
        wire::HaveUpdateT have;
        have.digest = NameOf(job.m_Version);
        for (const uint32_t n : job.m_Unannounced)
            if (!job.m_Exchange || !job.m_Exchange->PeerHas(peer, n))
                have.added.push_back(n);
        const LinkPtr link = m_Links.Find(peer);
        if (link && !have.added.empty())
            link->Send(EncodeFrame(0, have));
    }
    job.m_Unannounced.clear();
}

awaitable<void> PieceTransfer::AnnounceLoop()
{
    for (;;)
    {
        const bool idle = !m_Job || (m_Job->m_Finished && m_Job->m_Unannounced.empty());
        co_await SleepFor(idle ? kAnnounceIdleInterval : kAnnounceInterval);
        if (!m_Job || m_Job->m_Unannounced.empty())
            continue;
        AnnouncePieces(*m_Job);
    }
}

void PieceTransfer::RequestInventory(uint64_t version, const std::string& peer)
{
    const LinkPtr link = m_Links.Find(peer);
    if (!link)
        return;
    wire::HaveUpdateT ask;
    ask.digest = NameOf(version);
    ask.reply  = true;
    link->Send(EncodeFrame(0, ask));
}

void PieceTransfer::OnUp(const std::string& peer)
{
    if (IsFetching() && m_Job->m_Exchange)
        m_Job->m_Exchange->OnPeerUp(peer, m_Links.SameDataCentre(peer));
    SendInventory(m_Links.Find(peer));
}

void PieceTransfer::OnDown(const std::string& peer)
{
    if (!IsFetching())
        return;
    m_Job->m_WholeHolders.erase(peer);
    if (m_Job->m_Exchange)
        m_Job->m_Exchange->OnPeerDown(peer);
}

void PieceTransfer::OnFrame(const std::string& peer, const LinkPtr& link, const FrameBuf& frame)
{
    const wire::Frame& f = *frame.Get();
    switch (f.body_type())
    {
    case wire::Body::HaveUpdate:
        if (f.body_as_HaveUpdate()->reply())
            SendInventory(link);
        return OnHave(peer, *f.body_as_HaveUpdate());
    case wire::Body::ChunkGet:
        return OnChunkGet(link, f.exchange(), *f.body_as_ChunkGet());
    case wire::Body::ManifestGet:
        return OnListGet(link, f.exchange(), *f.body_as_ManifestGet());
    default:
        return;
    }
}

void PieceTransfer::OnHave(const std::string& peer, const wire::HaveUpdate& have)
{
    const std::optional<uint64_t> version = VersionOf(have.digest(), m_Model);
    if (!version)
        return;
    if (*version > m_Version)
        OnVersionSeen(*version, "neighbour"); // called first, because it may start a new job
    if (!IsFetching() || *version != m_Job->m_Version)
        return;
    if (have.listed())
        m_Job->m_ListHolders.insert(peer);
    if (have.whole() && m_Links.SameDataCentre(peer))
        m_Job->m_WholeHolders.insert(peer);
    if (!m_Job->m_Exchange)
        return;
    const std::span<const uint32_t> added =
        have.added() != nullptr ? std::span<const uint32_t>(have.added()->data(), have.added()->size()) : std::span<const uint32_t>();
    m_Job->m_Exchange->OnHave(peer, added, have.whole());
    Pump(m_Job);
}

} // namespace aldervale
