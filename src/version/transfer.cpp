// Download and upload of one version's weights: the coroutines around Exchange. See transfer_internal.h for the terms.
#include "common/log.h"
#include "version/transfer_internal.h"

namespace aldervale
{

namespace
{

constexpr auto   kOriginManifestTimeout    = milliseconds(3000); // one read from the origin
constexpr auto   kNeighbourManifestTimeout = milliseconds(500);  // one request to a neighbour
constexpr auto   kManifestFallback         = milliseconds(3000); // then every box also reads the manifest from the origin
constexpr auto   kRetryPause               = milliseconds(200);  // between attempts to obtain the manifest
constexpr auto   kAnnounceEvery            = milliseconds(40);   // HaveUpdates are batched for this long; twice that after kEarlyPhase
constexpr auto   kEarlyPhase               = seconds(2);         // from the start of the transfer
constexpr auto   kProgressCheckEvery       = milliseconds(500);  // longest pause between two looks for a stall or fetches that are due
constexpr auto   kStalledAfter             = milliseconds(3000); // no chunk verified for this long: dial boxes outside the scope
constexpr size_t kManifestFetchers         = 3;                  // members of a scope that read the manifest from the origin at the start
constexpr size_t kOutsidePerDc             = 2;                  // boxes of each other data centre dialled when the transfer has stalled
constexpr size_t kRemotePerDc              = 2;                  // boxes of each other data centre dialled at the start, of those in the scope

} // namespace

Transfer::Transfer(std::shared_ptr<TransferShared> shared, std::string placement, std::string slice, size_t replica_position,
                   size_t boxes_per_replica)
    : m_Shared(std::move(shared)), m_Placement(std::move(placement)), m_Slice(std::move(slice)), m_ReplicaPosition(replica_position),
      m_BoxesPerReplica(boxes_per_replica), m_StartedAt(Now()), m_LastChunkAt(m_StartedAt)
{
}

void Transfer::Start(std::function<void(Status)> done)
{
    {
        std::lock_guard lock(m_Mutex);
        m_Done = std::move(done);
    }
    Spawn(m_Shared->m_Daemon.Ioc(), [](std::shared_ptr<Transfer> self) -> awaitable<void> { co_await self->Run(); }(shared_from_this()));
}

void Transfer::Stop()
{
    std::lock_guard lock(m_Mutex);
    m_Stopped = true;
    m_Done    = nullptr;
}

void Transfer::Release()
{
    ManifestPtr m;
    {
        std::lock_guard lock(m_Mutex);
        if (!m_Reserved)
            return;
        m_Reserved = false;
        m          = m_Manifest;
    }
    m_Shared->m_Staging.Release(*m);
}

ManifestPtr Transfer::GetManifest() const
{
    std::lock_guard lock(m_Mutex);
    return m_Manifest;
}

std::string Transfer::WholeManifestText() const
{
    std::lock_guard lock(m_Mutex);
    return m_WholeManifestText;
}

void Transfer::Finish(Status s)
{
    std::function<void(Status)> done;
    {
        std::lock_guard lock(m_Mutex);
        done = std::exchange(m_Done, nullptr);
        if (s)
        {
            m_Verified     = true;
            m_FetchSeconds = ToSeconds(Now() - m_StartedAt);
        }
    }
    if (done)
        done(std::move(s));
}

//-----------------------------------------------------------------------------
// Neighbours
//-----------------------------------------------------------------------------

// Boxes at the same position of their replicas hold the same slice. This box is always included.
std::vector<std::string> Transfer::SliceMembers(bool whole_fleet) const
{
    const ConfigPtr          c    = m_Shared->m_Node.Config();
    const std::string&       self = m_Shared->m_Daemon.Settings().m_Name;
    std::vector<std::string> out;
    const auto               p = c->m_Placements.find(m_Placement);
    if (p == c->m_Placements.end())
        return {self};
    const std::vector<std::string> scope = ScopeMembers(*c, m_Placement, self);
    const std::set<std::string>    in_scope(scope.begin(), scope.end());
    for (const auto& [dc, n] : p->second.m_Spec.m_Replicas)
    {
        const std::vector<std::string> boxes = AssignBoxes(*c, m_Placement, dc);
        for (size_t i = m_ReplicaPosition; i < boxes.size(); i += m_BoxesPerReplica)
            if (whole_fleet || in_scope.contains(boxes[i]))
                out.push_back(boxes[i]);
    }
    if (std::find(out.begin(), out.end(), self) == out.end())
        out.push_back(self);
    return out;
}

void Transfer::DialNeighbours(bool outside_scope)
{
    const ConfigPtr                c       = m_Shared->m_Node.Config();
    const std::string&             self    = m_Shared->m_Daemon.Settings().m_Name;
    const std::string&             dc      = m_Shared->m_Daemon.Settings().m_DataCentre;
    const std::vector<std::string> members = SliceMembers(outside_scope);
    std::map<std::string, size_t>  taken; // by data centre
    for (const size_t i : RendezvousOrder(self + m_Slice, members))
    {
        const auto box = c->m_Boxes.find(members[i]);
        if (members[i] == self || box == c->m_Boxes.end())
            continue;
        const std::string& box_dc = box->second.m_Spec.m_DataCentre;
        const size_t       max = box_dc == dc ? static_cast<size_t>(m_Shared->m_Settings.m_Neighbours) : outside_scope ? kOutsidePerDc : kRemotePerDc;
        if (taken[box_dc]++ < max)
            m_Shared->m_Node.KeepLink(ParseEndpoint(box->second.m_Spec.m_Address).value());
    }
    {
        std::lock_guard lock(m_Mutex);
        auto&           set = outside_scope ? m_OutsideMembers : m_ScopeMembers;
        set.insert(members.begin(), members.end());
    }
    for (const LinkPtr& link : m_Shared->m_Node.Links(wire::PeerRole::Agent))
        AddNeighbour(link);
}

void Transfer::AddNeighbour(const LinkPtr& link)
{
    const LinkPeer peer = link->Peer();
    {
        std::lock_guard lock(m_Mutex);
        if (m_Stopped || (!m_ScopeMembers.contains(peer.m_Name) && !m_OutsideMembers.contains(peer.m_Name)))
            return;
        if (m_Exchange)
            m_Exchange->OnPeerUp(peer.m_Name, peer.m_DataCentre == m_Shared->m_Daemon.Settings().m_DataCentre);
    }
    SendHave(link, true);
}

void Transfer::OnLinkUp(const LinkPtr& link)
{
    AddNeighbour(link);
}

void Transfer::OnLinkDown(const LinkPtr& link)
{
    const LinkPtr   other = m_Shared->m_Node.FindLink(link->Peer().m_Name);
    std::lock_guard lock(m_Mutex);
    if (m_Exchange && !other)
        m_Exchange->OnPeerDown(link->Peer().m_Name);
}

void Transfer::SendHave(const LinkPtr& link, bool reply)
{
    wire::HaveUpdateT msg;
    {
        std::lock_guard lock(m_Mutex);
        msg.digest = m_Slice;
        msg.reply  = reply;
        msg.whole  = m_Exchange && m_Exchange->Complete();
        if (m_Exchange && !msg.whole)
            msg.added = m_Exchange->HaveList();
    }
    link->Send(EncodeFrame(0, msg));
}

void Transfer::OnHave(const LinkPtr& link, const wire::HaveUpdate& msg)
{
    const LinkPeer peer = link->Peer();
    {
        std::lock_guard lock(m_Mutex);
        if (m_Exchange && (m_ScopeMembers.contains(peer.m_Name) || m_OutsideMembers.contains(peer.m_Name)))
        {
            m_Exchange->OnPeerUp(peer.m_Name, peer.m_DataCentre == m_Shared->m_Daemon.Settings().m_DataCentre);
            std::span<const uint32_t> added;
            if (msg.added() != nullptr)
                added = std::span(msg.added()->data(), msg.added()->size());
            m_Exchange->OnHave(peer.m_Name, added, msg.whole());
        }
    }
    if (msg.reply())
        SendHave(link, false);
    StartFetches();
}

awaitable<void> Transfer::AnnounceLoop()
{
    for (;;)
    {
        // At the start every chunk is rare, so its holders are announced quickly; later batches may be larger.
        co_await SleepFor(Now() - m_StartedAt < kEarlyPhase ? kAnnounceEvery : 2 * kAnnounceEvery);
        wire::HaveUpdateT     msg;
        std::set<std::string> to;
        {
            std::lock_guard lock(m_Mutex);
            if (m_Stopped)
                co_return;
            if (m_UnannouncedChunks.empty())
                continue;
            msg.digest = m_Slice;
            msg.whole  = m_Exchange->Complete();
            if (!msg.whole)
                msg.added = m_UnannouncedChunks;
            m_UnannouncedChunks.clear();
            to = m_ScopeMembers;
            to.insert(m_OutsideMembers.begin(), m_OutsideMembers.end());
        }
        const FrameBytes frame = EncodeFrame(0, msg);
        for (const LinkPtr& link : m_Shared->m_Node.Links(wire::PeerRole::Agent))
            if (to.contains(link->Peer().m_Name))
                link->Send(frame);
        if (msg.whole)
            co_return;
    }
}

// Starts fetches that become due by time alone, and dials boxes outside the scope once when the transfer has stalled.
awaitable<void> Transfer::ProgressLoop()
{
    bool outside_dialled = false;
    for (;;)
    {
        Duration pause   = kProgressCheckEvery;
        bool     stalled = false;
        {
            std::lock_guard lock(m_Mutex);
            if (m_Stopped || m_Exchange->Complete())
                co_return;
            if (const auto wake = m_Exchange->NextWake())
                pause = std::clamp<Duration>(*wake - Now(), milliseconds(1), kProgressCheckEvery);
            stalled = Now() - m_LastChunkAt > kStalledAfter;
        }
        if (stalled && !outside_dialled)
        {
            outside_dialled = true;
            DialNeighbours(true);
        }
        co_await SleepFor(pause);
        StartFetches();
    }
}

//-----------------------------------------------------------------------------
// Manifest
//-----------------------------------------------------------------------------

awaitable<ManifestPtr> Transfer::RequestManifestFromNeighbours()
{
    const auto           ex    = co_await asio::this_coro::executor;
    std::vector<LinkPtr> links = m_Shared->m_Node.Links(wire::PeerRole::Agent);
    for (const LinkPtr& link : links)
    {
        wire::ManifestGetT get;
        get.digest                      = std::string(WholeDigest(m_Slice));
        const MailboxPtr        mailbox = link->OpenExchange(ex);
        const bool              sent    = link->Send(EncodeFrame(mailbox->Id(), get));
        std::optional<FrameBuf> answer;
        if (sent)
            answer = co_await mailbox->Pop(Now() + kNeighbourManifestTimeout);
        link->CloseExchange(mailbox->Id());
        const wire::ManifestData* data = answer ? answer->Get()->body_as_ManifestData() : nullptr;
        if (data == nullptr || !data->found() || data->json() == nullptr)
            continue;
        auto parsed = ParseManifest(data->json()->string_view(), WholeDigest(m_Slice));
        if (parsed)
            co_return parsed.value();
    }
    co_return nullptr;
}

// A few members of the scope read the manifest from the origin; the others request it from neighbours and read from the origin only after
// kManifestFallback.
awaitable<ManifestPtr> Transfer::ObtainManifest()
{
    const std::vector<std::string> members = SliceMembers(false);
    const std::vector<size_t>      order   = RendezvousOrder(m_Slice, members);
    bool                           fetcher = false;
    for (size_t i = 0; i < std::min(order.size(), kManifestFetchers); i++)
        fetcher = fetcher || members[order[i]] == m_Shared->m_Daemon.Settings().m_Name;
    for (;;)
    {
        {
            std::lock_guard lock(m_Mutex);
            if (m_Stopped)
                co_return nullptr;
        }
        if (fetcher || Now() - m_StartedAt > kManifestFallback)
        {
            auto text = co_await m_Shared->m_Store.ReadManifest(std::string(WholeDigest(m_Slice)), Now() + kOriginManifestTimeout);
            if (text)
            {
                auto parsed = ParseManifest(text.value(), WholeDigest(m_Slice));
                if (parsed)
                    co_return parsed.value();
                LogEvent(Event_ManifestRefused, {{"digest", m_Slice}, {"what", parsed.error().m_Message}});
            }
            else
                LogEvent(Event_OriginUnreachable, {{"what", text.error().m_Message}});
        }
        ManifestPtr m = co_await RequestManifestFromNeighbours();
        if (m)
            co_return m;
        co_await SleepFor(kRetryPause);
    }
}

//-----------------------------------------------------------------------------
// Fetching
//-----------------------------------------------------------------------------

awaitable<void> Transfer::Run()
{
    const auto self = shared_from_this();
    DialNeighbours(false);
    const ManifestPtr whole = co_await ObtainManifest();
    if (!whole)
        co_return;
    const ManifestPtr m        = SliceManifest(whole, m_ReplicaPosition, m_BoxesPerReplica);
    const Status      reserved = m_Shared->m_Staging.Reserve(*m);
    if (!reserved)
    {
        LogEvent(Event_StagingFull, {{"digest", m_Slice}, {"what", reserved.error().m_Message}});
        Finish(reserved.error());
        co_return;
    }
    std::vector<uint32_t> present;
    for (uint32_t c = 0; c < m->m_ChunkCount; c++)
        if (m_Shared->m_Staging.Has(ChunkDigest(*m, c)))
            present.push_back(c);
    bool stopped = false;
    bool done    = false;
    {
        std::lock_guard lock(m_Mutex);
        m_Manifest          = m;
        m_WholeManifestText = whole->m_Text;
        m_Reserved          = true;
        m_Exchange          = std::make_unique<Exchange>(m, m_Shared->m_Config, SliceMembers(false), m_Shared->m_Daemon.Settings().m_Name, present);
        stopped             = m_Stopped;
        done                = m_Exchange->Complete();
    }
    if (stopped)
    {
        Release();
        co_return;
    }
    for (const LinkPtr& link : m_Shared->m_Node.Links(wire::PeerRole::Agent))
        AddNeighbour(link);
    if (done)
    {
        Finish(Ok());
        co_return;
    }
    Spawn(m_Shared->m_Daemon.Ioc(), [](TransferPtr t) -> awaitable<void> { co_await t->AnnounceLoop(); }(self));
    Spawn(m_Shared->m_Daemon.Ioc(), [](TransferPtr t) -> awaitable<void> { co_await t->ProgressLoop(); }(self));
    StartFetches();
}

void Transfer::StartFetches()
{
    std::vector<Fetch> fetches;
    ManifestPtr        m;
    {
        std::lock_guard lock(m_Mutex);
        if (m_Stopped || !m_Exchange)
            return;
        fetches = m_Exchange->Next(Now());
        m       = m_Manifest;
    }
    for (const Fetch& f : fetches)
        Spawn(m_Shared->m_Daemon.Ioc(),
              [](TransferPtr t, Fetch fetch, ManifestPtr manifest) -> awaitable<void>
              { co_await t->FetchChunk(std::move(fetch), std::move(manifest)); }(shared_from_this(), f, m));
}

awaitable<void> Transfer::FetchChunk(Fetch f, ManifestPtr m)
{
    ChunkOutcome outcome = ChunkOutcome_Failed;
    if (f.m_Peer.empty())
        outcome = co_await FetchFromOrigin(f, *m);
    else
        outcome = co_await FetchFromPeer(f, *m);
    bool complete = false;
    {
        std::lock_guard lock(m_Mutex);
        const unsigned  excluded = m_Exchange->ExcludedPeers();
        m_Exchange->OnChunk(f.m_Chunk, f.m_Peer, outcome, Now());
        if (m_Exchange->ExcludedPeers() != excluded)
            LogEvent(Event_PeerSetAside, {{"peer", f.m_Peer}, {"digest", m_Slice}});
        if (outcome == ChunkOutcome_Good)
        {
            m_UnannouncedChunks.push_back(f.m_Chunk);
            m_LastChunkAt = Now();
            complete      = m_Exchange->Complete() && !m_Verified;
        }
    }
    if (complete)
        Finish(Ok());
    StartFetches();
}

bool Transfer::VerifyAndStage(const Fetch& f, const Manifest& m, std::vector<uint8_t> bytes)
{
    if (m_Shared->m_Staging.Put(ChunkDigest(m, f.m_Chunk), std::move(bytes)))
        return true;
    LogEvent(Event_ChunkCorrupt, {{"digest", m_Slice}, {"chunk", f.m_Chunk}, {"from", f.m_Peer.empty() ? "origin" : f.m_Peer}});
    return false;
}

awaitable<ChunkOutcome> Transfer::FetchFromPeer(const Fetch& f, const Manifest& m)
{
    const LinkPtr link = m_Shared->m_Node.FindLink(f.m_Peer);
    if (!link)
        co_return ChunkOutcome_Failed;
    wire::ChunkGetT get;
    get.digest                      = m_Slice;
    get.index                       = f.m_Chunk;
    get.urgent                      = f.m_Urgent;
    const auto              ex      = co_await asio::this_coro::executor;
    const MailboxPtr        mailbox = link->OpenExchange(ex);
    const bool              sent    = link->Send(EncodeFrame(mailbox->Id(), get));
    std::optional<FrameBuf> answer;
    if (sent)
        answer = co_await mailbox->Pop(Now() + m_Shared->m_Config.m_ChunkTimeout);
    link->CloseExchange(mailbox->Id());
    if (!answer)
        co_return ChunkOutcome_Failed;
    if (const wire::ChunkRefused* refused = answer->Get()->body_as_ChunkRefused())
        co_return refused->spent() ? ChunkOutcome_OverBudget : refused->busy() ? ChunkOutcome_Busy : ChunkOutcome_Missing;
    const wire::ChunkData* data = answer->Get()->body_as_ChunkData();
    if (data == nullptr || data->bytes() == nullptr || data->index() != f.m_Chunk)
        co_return ChunkOutcome_Corrupt;
    const TimePoint      earliest = m_Shared->m_Link.Reserve(data->bytes()->size());
    std::vector<uint8_t> bytes(data->bytes()->begin(), data->bytes()->end());
    if (!VerifyAndStage(f, m, std::move(bytes)))
        co_return ChunkOutcome_Corrupt;
    if (earliest > Now())
        co_await SleepFor(earliest - Now());
    co_return ChunkOutcome_Good;
}

awaitable<ChunkOutcome> Transfer::FetchFromOrigin(const Fetch& f, const Manifest& m)
{
    const ChunkLocation p = LocateChunk(m, f.m_Chunk);
    auto bytes = co_await m_Shared->m_Store.ReadChunk(std::string(WholeDigest(m_Slice)), m.m_Shards[p.m_Shard].m_Name, p, Now() + seconds(20));
    if (!bytes)
    {
        LogEvent(Event_OriginUnreachable, {{"what", bytes.error().m_Message}});
        co_return ChunkOutcome_Failed;
    }
    const TimePoint earliest = m_Shared->m_Link.Reserve(static_cast<double>(bytes.value().size()));
    if (!VerifyAndStage(f, m, std::move(bytes.value())))
        co_return ChunkOutcome_Corrupt;
    if (earliest > Now())
        co_await SleepFor(earliest - Now());
    co_return ChunkOutcome_Good;
}

//-----------------------------------------------------------------------------
// Serving
//-----------------------------------------------------------------------------

void Transfer::OnChunkGet(const LinkPtr& link, uint64_t exchange, const wire::ChunkGet& msg)
{
    wire::ChunkRefusedT refused;
    refused.digest = m_Slice;
    refused.index  = msg.index();
    ChunkBytes bytes;
    {
        std::lock_guard lock(m_Mutex);
        if (m_Exchange && m_Reserved && msg.index() < m_Manifest->m_ChunkCount && m_Exchange->Has(msg.index()))
            bytes = m_Shared->m_Staging.Get(ChunkDigest(*m_Manifest, msg.index()));
        const ChunkOutcome admitted = bytes ? m_Exchange->AdmitUpload(bytes->size(), msg.urgent()) : ChunkOutcome_Missing;
        refused.busy                = admitted == ChunkOutcome_Busy;
        refused.spent               = admitted == ChunkOutcome_OverBudget;
        if (admitted != ChunkOutcome_Good)
            bytes = nullptr;
    }
    if (!bytes)
    {
        link->Send(EncodeFrame(exchange, refused));
        return;
    }
    Spawn(m_Shared->m_Daemon.Ioc(),
          [](TransferPtr t, LinkPtr l, uint64_t id, uint32_t index, ChunkBytes b) -> awaitable<void>
          { co_await t->SendChunk(std::move(l), id, index, std::move(b)); }(shared_from_this(), link, exchange, msg.index(), bytes));
}

awaitable<void> Transfer::SendChunk(LinkPtr link, uint64_t exchange, uint32_t index, ChunkBytes bytes)
{
    const TimePoint earliest = m_Shared->m_Link.Reserve(static_cast<double>(bytes->size()));
    if (earliest > Now())
        co_await SleepFor(earliest - Now());
    const bool      sent = link->Send(EncodeChunk(exchange, m_Slice, index, *bytes));
    std::lock_guard lock(m_Mutex);
    m_Exchange->OnUploadDone(bytes->size(), sent);
}

void Transfer::Describe(wire::VersionStatusT& out) const
{
    std::lock_guard lock(m_Mutex);
    out.seconds = static_cast<float>(m_Verified ? m_FetchSeconds : ToSeconds(Now() - m_StartedAt));
    if (!m_Exchange)
        return;
    out.chunks_have    = m_Exchange->HaveCount();
    out.chunks_total   = m_Manifest->m_ChunkCount;
    out.bytes_origin   = m_Exchange->BytesFromOrigin();
    out.bytes_peers    = m_Exchange->BytesFromPeers();
    out.bytes_uploaded = m_Exchange->BytesUploaded();
}

} // namespace aldervale
