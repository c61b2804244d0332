// One fetch, from StartFetch() until its version is complete or given up. See piece_transfer.h.
#include "common/log.h"
#include "version/piece_transfer_internal.h"

namespace aldervale
{

namespace
{

constexpr size_t   kVersionsKept    = 2;                 // in memory: the version in use and the one being fetched
constexpr auto     kPeersSettleTime = milliseconds(900); // a box without weights starts its fetch when the set of boxes hasn't changed for this long
constexpr auto     kPeersSettleTimeout  = milliseconds(2500); // upper bound of that wait, from the start of the fetch
constexpr auto     kPeersUnknownTimeout = seconds(5);         // the same while only a few boxes are known: routers send all within two seconds mostly
constexpr auto     kLinksSettleTime     = milliseconds(250);  // for links to be established before pieces are requested from the origin
constexpr auto     kPumpInterval        = milliseconds(200);  // between looks at what to fetch next without an event
constexpr unsigned kOriginSlots         = 2;                  // pieces read from the origin at a time, by all fetches of this box
constexpr double   kOriginShare         = 0.75;               // largest share of the origin's connections that is used for its pieces
constexpr auto     kOriginQueueTime     = milliseconds(320);  // longest wait of a piece on the origin's link behind others: well under kOriginTimeout
constexpr size_t   kOriginSharersMin    = 4;                  // fewest boxes that read pieces from the origin at a time
constexpr double   kBytesPerMbit        = 1e6 / 8;            //

// Returns how many boxes divide the origin's pieces among themselves, with one request each: enough to fill its link, but few enough that a piece
// waits there for at most kOriginQueueTime and that some of the connections that it accepts stay free for other uses.
size_t OriginSharers(const std::optional<WeightOrigin>& origin, uint32_t piece_bytes)
{
    size_t n = SIZE_MAX;
    if (origin && origin->m_MaxConnections > 0)
        n = static_cast<size_t>(origin->m_MaxConnections * kOriginShare);
    if (origin && origin->m_Mbps > 0 && piece_bytes > 0)
        n = std::min(n, static_cast<size_t>(ToSeconds(kOriginQueueTime) * origin->m_Mbps * kBytesPerMbit / piece_bytes));
    return std::max(n, kOriginSharersMin);
}

ExchangeConfig TransferConfig(const std::optional<WeightOrigin>& origin, uint32_t piece_bytes)
{
    ExchangeConfig c;
    c.m_DownloadSlots = 0; // Pump() sets it
    c.m_OriginSlots =
        kOriginSlots; // with 1 the origin's link was half idle: a piece also queues on the reading box's link, behind those from neighbours
    c.m_RequestsPerPeer        = 2;
    c.m_OriginFetchersPerChunk = 64; // no limit on copies: a piece that no box has must be read; boxes of each further rank only read it later
    c.m_TakeOverDelay          = milliseconds(900);
    c.m_BusyPause              = milliseconds(30);
    c.m_StallPause             = milliseconds(1000);
    c.m_ChunkTimeout           = kPieceTimeout;
    c.m_OriginPause            = milliseconds(150);
    c.m_ForgetStalled          = true;
    c.m_PrimaryFetchers        = OriginSharers(origin, piece_bytes);
    return c;
}

// The exchange numbers chunks across shards; weights in pieces form one shard, with one chunk per piece.
ManifestPtr ToManifest(const std::string& name, const PieceList& list)
{
    auto          m = std::make_shared<Manifest>();
    ManifestShard shard;
    m->m_Digest     = name;
    m->m_ChunkSize  = list.m_PieceBytes;
    m->m_ChunkCount = static_cast<uint32_t>(list.m_Digests.size());
    m->m_Size       = m->m_ChunkSize * m->m_ChunkCount;
    shard.m_Size    = m->m_Size;
    for (const std::string& hex : list.m_Digests)
    {
        Digest d{};
        FromHex(hex, d); // its format was checked by UsableList()
        shard.m_Chunks.push_back(d);
    }
    m->m_Shards.push_back(std::move(shard));
    return m;
}

} // namespace

void PieceTransfer::StartFetch(uint64_t version)
{
    if (m_Model.empty() || (IsFetching() && m_Job->m_Version == version))
        return;
    if (m_Job)
        m_Job->m_Finished = true;
    m_Version    = version;
    m_NewestSeen = std::max(m_NewestSeen, version);
    while (m_Sets.size() >= kVersionsKept && !m_Sets.contains(version))
        m_Sets.erase(m_Sets.begin());
    m_Sets[version];
    m_Job                = std::make_shared<Job>();
    m_Job->m_Version     = version;
    m_Job->m_StartedAt   = Now();
    m_Job->m_LastPieceAt = m_Job->m_StartedAt;
    m_InFlight.OnFetchBegun(Now());
    LogEvent(Event_VersionFetchStarted, {{"model", m_Model}, {"version", version}});
    wire::HaveUpdateT ask; // this also notifies neighbours of the version, and they answer with what they have
    ask.digest = NameOf(version);
    ask.reply  = true;
    m_Links.Broadcast(ask);
    asio::co_spawn(
        m_Ioc, [this, job = m_Job] { return Run(job); }, asio::detached);
}

awaitable<void> PieceTransfer::Run(std::shared_ptr<Job> job)
{
    bool     listed           = false;
    Duration comparison_pause = kListDelayPerRank; // nothing waits for a comparison
    while (!listed && !job->m_Finished)
    {
        const bool due = Now() >= ListTurn(*job);
        listed         = co_await ObtainList(job);
        if (listed)
            break;
        co_await SleepFor(IsLoaded(*job) ? comparison_pause : Duration(kListRetryInterval));
        if (due) // longer pauses before would have boxes wake together when their turns are over
            comparison_pause = std::min<Duration>(comparison_pause * 2, kComparisonRetryMax);
    }
    if (job->m_Finished)
        co_return;
    const bool found = co_await TakeStaged(job);
    if (!found && IsLoaded(*job))
        GiveUpComparison(*job);
    co_await AwaitPeers(job);
    Begin(job);
    while (!job->m_Finished)
    {
        Pump(job);
        co_await SleepFor(kPumpInterval);
    }
}

bool PieceTransfer::IsLoaded(const Job& job) const
{
    return job.m_Version == m_LoadedVersion;
}

// Pieces that are already staged at the local server, from before this process started, are not fetched again.
awaitable<bool> PieceTransfer::TakeStaged(std::shared_ptr<Job> job)
{
    auto held = co_await m_Server.ListPieces(m_Model, Now() + kServerCallTimeout);
    while (!held && IsLoaded(*job) && !job->m_Finished)
    {
        co_await SleepFor(kListDelayPerRank);
        held = co_await m_Server.ListPieces(m_Model, Now() + kServerCallTimeout);
    }
    if (!held)
        co_return true;
    size_t wrong = 0;
    for (const uint32_t n : held.value())
    {
        if (job->m_Finished)
            co_return true;
        PieceSet& set = m_Sets[job->m_Version];
        if (n >= set.m_Pieces.size() || set.m_Pieces[n])
            continue;
        auto bytes = co_await m_Server.GetPiece(m_Model, n, Now() + kServerCallTimeout);
        if (!bytes || job->m_Finished)
            continue;
        const Digest digest = Sha256(bytes.value());
        PieceSet&    again  = m_Sets[job->m_Version];
        if (ToHex(digest) != again.m_List->m_Digests[n])
        {
            wrong++;
            if (n == held.value().front() && !IsLoaded(*job)) // another version is staged
                co_return false;
            continue;
        }
        again.m_Pieces[n] = std::make_shared<const std::vector<uint8_t>>(std::move(bytes.value()));
        again.m_Count++;
    }
    co_return job->m_Finished || wrong < m_Sets[job->m_Version].m_Pieces.size(); // a few wrong ones may be all that is left of this version
}

// Neighbours are offered what is staged, unchecked, as before.
void PieceTransfer::GiveUpComparison(Job& job)
{
    if (job.m_Finished)
        return;
    job.m_Finished  = true;
    m_NotComparable = job.m_Version;
    m_Sets.erase(job.m_Version);
}

// After a power loss all boxes return within seconds. The set of boxes determines which box reads which piece from the origin, so a box without
// weights waits until the set is stable: otherwise it would also read the shares of boxes that haven't appeared yet.
// It doesn't wait if a neighbour in its data centre has all pieces: none of them is wanted from the origin then, which isn't used before the set is
// stable. When 40 boxes were added to 58, copies took 3.8 s over links that carry one in 2.6 s: each change of the set had begun the wait anew.
awaitable<void> PieceTransfer::AwaitPeers(std::shared_ptr<Job> job)
{
    while (!job->m_Finished && !PeersSettled(*job) && job->m_WholeHolders.empty())
        co_await SleepFor(kListRetryInterval);
}

TimePoint PieceTransfer::PeersSettledAt(const Job& job) const
{
    if (!m_PeersComplete)
        return job.m_StartedAt + kPeersUnknownTimeout;
    return std::min(job.m_StartedAt + kPeersSettleTimeout, m_PeersChangedAt + kPeersSettleTime);
}

bool PieceTransfer::PeersSettled(const Job& job) const
{
    return m_LoadedVersion > 0 || Now() >= PeersSettledAt(job);
}

void PieceTransfer::SetScope(Job& job)
{
    job.m_Exchange->SetMembers(BoxNames(false), m_Self.m_Name);
    job.m_Exchange->SetImporters(BoxNames(true));
    for (const std::string& peer : m_Links.Up())
        job.m_Exchange->OnPeerUp(peer, m_Links.SameDataCentre(peer));
    job.m_ScopeSettled = PeersSettled(job);
}

void PieceTransfer::Begin(const std::shared_ptr<Job>& job)
{
    if (job->m_Finished)
        return;
    const PieceSet&       set = m_Sets[job->m_Version];
    std::vector<uint32_t> present;
    for (uint32_t n = 0; n < set.m_Pieces.size(); n++)
        if (set.m_Pieces[n])
            present.push_back(n);
    job->m_Manifest    = ToManifest(NameOf(job->m_Version), *set.m_List);
    job->m_Unannounced = present;
    job->m_Exchange    = std::make_unique<Exchange>(job->m_Manifest, TransferConfig(m_DeclaredOrigin, set.m_List->m_PieceBytes), BoxNames(false),
                                                 m_Self.m_Name, present);
    SetScope(*job);
    // A box with an older version already has its links, and no neighbour has the newer version yet.
    const bool at_once     = m_LoadedVersion > 0 || m_Peers.empty();
    job->m_OriginAllowedAt = at_once ? Now() : Now() + kLinksSettleTime;
    for (const std::string& peer : m_Links.Up())
        RequestInventory(job->m_Version, peer); // updates received before this job were discarded
}

// `job` is passed by value: a coroutine spawned here may finish at once, and a finished piece may replace m_Job, which a caller may have passed.
// Pieces that a finished job requested are neither read nor counted for the next job.
void PieceTransfer::Pump(std::shared_ptr<Job> job)
{
    if (job->m_Finished || !job->m_Exchange)
        return;
    if (job->m_Exchange->Complete())
    {
        job->m_Finished = true;
        LogEvent(Event_VersionVerified, {{"model", m_Model},
                                         {"version", job->m_Version},
                                         {"ms", ToMs(Now() - job->m_StartedAt)},
                                         {"origin_bytes", job->m_Exchange->BytesFromOrigin()},
                                         {"peer_bytes", job->m_Exchange->BytesFromPeers()}});
        return;
    }
    const TimePoint now = Now();
    if (!job->m_ScopeSettled && PeersSettled(*job))
        SetScope(*job);
    job->m_Exchange->SetDownloadSlots(m_InFlight.SlotsFor(job->m_FromPeers, now));
    const unsigned others = m_OriginReads - job->m_FromOrigin; // of fetches that were given up
    job->m_Exchange->SetOriginSlots(kOriginSlots - std::min(kOriginSlots, others));
    job->m_Exchange->SuspendOrigin(!m_DeclaredOrigin || !job->m_ScopeSettled || now < job->m_OriginAllowedAt);
    for (const Fetch& f : job->m_Exchange->Next(now))
    {
        if (job->m_Finished)
            return;
        asio::co_spawn(
            m_Ioc, [this, job, f] { return FetchPiece(job, f); }, asio::detached);
    }
}

} // namespace aldervale
