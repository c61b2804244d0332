// The list of digests: obtaining it, and sending it to neighbours. See piece_transfer.h.
#include "common/log.h"
#include "version/piece_transfer_internal.h"

namespace aldervale
{

namespace
{

constexpr auto kListTimeout = milliseconds(1500); // for one answer with a list

constexpr size_t kNewestAskers      = 2;                  // boxes of a data centre that ask the origin for its newest version after their start
constexpr auto   kNewestRetry       = milliseconds(400);  // between their looks and first attempts
constexpr auto   kNewestRetryMax    = milliseconds(2000); // between later attempts, and until the next look whether it is this box's turn
constexpr auto   kNewestPeersSettle = milliseconds(900);  // without a change of the set of boxes: it decides who asks
constexpr auto   kLinksUpMax        = milliseconds(4000); // until there is a link to each neighbour, once the set of boxes is known
constexpr auto   kPeersListMax      = milliseconds(5000); // upper bound of the wait for a settled list of boxes

} // namespace

size_t ListRank(const std::string& version_name, uint64_t version, std::span<const PeerBox> peers, const ProcessName& self)
{
    std::vector<std::string> members = {self.m_Name};
    for (const PeerBox& p : peers)
        if (p.Name() != self.m_Name && p.m_DataCentre == self.m_DataCentre && p.m_Weights < version)
            members.push_back(p.Name());
    return RendezvousRank(version_name, members, self.m_Name);
}

awaitable<bool> PieceTransfer::ObtainList(std::shared_ptr<Job> job)
{
    if (m_Sets[job->m_Version].m_List)
        co_return true;
    const bool doubted    = m_SuspectList == job->m_Version;
    bool       from_peers = false;
    if (!doubted)
        from_peers = co_await ListFromPeers(job);
    if (from_peers)
        co_return true;
    const bool due = doubted || Now() >= ListTurn(*job);
    if (!due || !m_DeclaredOrigin || job->m_Finished)
        co_return false;
    const bool read = co_await ListFromOrigin(job);
    co_return read;
}

// All boxes hold a version that is to be compared, and all their agents may have been restarted together. Neighbours that weren't have the list.
TimePoint PieceTransfer::ListTurn(const Job& job) const
{
    const std::string name = NameOf(job.m_Version);
    if (IsLoaded(job))
    {
        const TimePoint settled = m_PeersChangedAt == TimePoint{} ? job.m_StartedAt + kPeersListMax : PeersSettledAt(job);
        return std::max(job.m_StartedAt, settled) + static_cast<int>(1 + RendezvousRank(name, BoxNames(true), m_Self.m_Name)) * kListDelayPerRank;
    }
    return job.m_StartedAt + static_cast<int>(ListRank(name, job.m_Version, m_Peers, m_Self)) * kListDelayPerRank;
}

awaitable<bool> PieceTransfer::ListFromPeers(std::shared_ptr<Job> job)
{
    const std::set<std::string> listed = job->m_ListHolders; // a copy: announcements may add to m_ListHolders meanwhile
    for (const std::string& peer : listed)
    {
        const LinkPtr link = m_Links.Find(peer);
        if (!link || job->m_Finished)
            continue;
        wire::ManifestGetT get;
        get.digest                   = NameOf(job->m_Version);
        const auto              ex   = co_await asio::this_coro::executor;
        const MailboxPtr        box  = link->OpenExchange(ex);
        const bool              sent = link->Send(EncodeFrame(box->Id(), get));
        std::optional<FrameBuf> answer;
        if (sent)
            answer = co_await box->Pop(Now() + kServerCallTimeout);
        link->CloseExchange(box->Id());
        const wire::ManifestData* data = answer ? answer->Get()->body_as_ManifestData() : nullptr;
        if (data == nullptr || !data->found() || data->json() == nullptr || job->m_Finished)
            continue;
        auto list = ListFromJson(data->json()->string_view());
        if (!list || list->m_Version != job->m_Version || !UsableList(*list))
            continue;
        TakeList(job->m_Version, std::move(*list));
        co_return true;
    }
    co_return false;
}

// The row that names the target version tells what was written last, which isn't always what was declared last: a write that got no answer may be
// carried out after a later one. Processes that live know the newest version; once all have ended only the origin does. So whoever reads the list of
// the newest version that is known here asks for the origin's newest one first.
awaitable<Result<PieceList>> PieceTransfer::ReadOriginList(std::shared_ptr<Job> job)
{
    const bool fallback = job->m_Version < m_NewestSeen; // an older version is wanted though a newer one is known
    if (!fallback && !IsLoaded(*job))
    {
        const auto newest = co_await ReadNewestList();
        const bool failed = !newest && newest.error().m_Code != ErrorCode_NotFound && newest.error().m_Code != ErrorCode_Stale;
        if (failed)
            co_return newest.error();
        if (job->m_Version < m_NewestSeen)
        {
            job->m_Finished = true; // what to fetch is decided anew
            co_return MakeError(ErrorCode_Stale, "the origin has a newer version");
        }
    }
    co_return co_await m_Origin.ReadList(m_DeclaredOrigin->m_Address, m_Model, job->m_Version, Now() + kListTimeout);
}

// An answer may be corrupt, its version too: one that was never declared would be fetched for ever. So a newer version is read once more.
awaitable<Result<PieceList>> PieceTransfer::ReadNewestList()
{
    auto newest = co_await m_Origin.ReadList(m_DeclaredOrigin->m_Address, m_Model, kNewestVersion, Now() + kListTimeout);
    if (!newest || newest.value().m_Version <= std::max(m_NewestSeen, m_LoadedVersion))
        co_return newest;
    const uint64_t version = newest.value().m_Version;
    const auto     again   = co_await m_Origin.ReadList(m_DeclaredOrigin->m_Address, m_Model, version, Now() + kListTimeout);
    if (!again && again.error().m_Code == ErrorCode_NotFound)
        co_return MakeError(ErrorCode_Stale, "the newest list of digests names a version that isn't there");
    if (!again)
        co_return again;
    if (again.value().m_Digests != newest.value().m_Digests)
        co_return MakeError(ErrorCode_Corrupt, "two lists of digests of one version differ");
    OnVersionSeen(version, "origin");
    co_return newest;
}

// Place of this box in the order of those that ask. Boxes that it should have a link to, and still has none to, are gone, though they may be listed.
size_t PieceTransfer::NewestRank(TimePoint now) const
{
    std::vector<std::string> boxes = BoxNames(true);
    if (now - m_PeersChangedAt >= kLinksUpMax)
        for (const PeerBox& neighbour : m_Links.Neighbours())
            if (!m_Links.Find(neighbour.Name()))
                std::erase(boxes, neighbour.Name());
    return RendezvousRank(m_Model, boxes, m_Self.m_Name);
}

// Servers that hold weights need no list, and neighbours that were away may give out an old one. So a few boxes ask once after their start in any
// case, and others if those have left.
awaitable<void> PieceTransfer::AskNewestOnce()
{
    TimePoint known{}; // when model and origin were
    Duration  pause = kNewestRetry;
    for (bool told = false; !told;)
    {
        co_await SleepFor(pause);
        if (m_Model.empty() || !m_DeclaredOrigin)
            continue;
        const TimePoint now = Now();
        known               = known == TimePoint{} ? now : known;
        const bool settled  = m_PeersChangedAt != TimePoint{} && now - m_PeersChangedAt >= kNewestPeersSettle;
        if (!settled && now - known < kPeersListMax)
            continue;
        pause = std::min<Duration>(pause * 2, kNewestRetryMax);
        if (NewestRank(now) >= kNewestAskers)
            continue;
        const auto newest = co_await ReadNewestList();
        told              = newest || newest.error().m_Code == ErrorCode_NotFound;
    }
}

awaitable<bool> PieceTransfer::ListFromOrigin(std::shared_ptr<Job> job)
{
    auto list = co_await ReadOriginList(job);
    if (job->m_Finished)
        co_return false;
    if (!list || !UsableList(list.value()))
    {
        LogEvent(Event_OriginUnreachable, {{"version", job->m_Version}, {"what", list ? "list of digests is malformed" : list.error().m_Message}});
        if (!list && list.error().m_Code == ErrorCode_Stale && IsLoaded(*job))
            GiveUpComparison(*job);
        co_return false;
    }
    if (m_SuspectList == job->m_Version)
        m_SuspectList = 0;
    TakeList(job->m_Version, std::move(list.value()));
    co_return true;
}

void PieceTransfer::TakeList(uint64_t version, PieceList list)
{
    PieceSet& set = m_Sets[version];
    set.m_List    = std::make_shared<PieceList>(std::move(list));
    set.m_Pieces.resize(set.m_List->m_Digests.size());
    AnnounceList(version);
}

void PieceTransfer::OnListGet(const LinkPtr& link, uint64_t exchange, const wire::ManifestGet& get)
{
    const std::optional<uint64_t> version = VersionOf(get.digest(), m_Model);
    const PieceSet*               set     = version ? Find(*version) : nullptr;
    wire::ManifestDataT           data;
    data.found = set != nullptr && set->m_List;
    if (data.found)
        data.json = ListToJson(*set->m_List);
    link->Send(EncodeFrame(exchange, data));
}

} // namespace aldervale
