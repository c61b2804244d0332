// One job: from Want() until its version is whole or given up. See piece_transfer.h.
#include "common/log.h"
#include "version/piece_transfer_internal.h"

namespace aldervale
{

namespace
{

constexpr size_t kVersionsKept = 2;                  // in memory: the one in use and the one under way
constexpr auto   kPeersRest    = milliseconds(900);  // an empty box begins when the set of boxes hasn't changed for this long
constexpr auto   kPeersMax     = milliseconds(2500); // but no later than this
constexpr auto   kLinksSettle  = milliseconds(250);  // for links to come up before the origin is asked for pieces
constexpr auto   kPumpEvery    = milliseconds(200);  // looks at what to fetch next also without an event
constexpr double kOriginShare  = 0.75;               // of the connections that the origin takes, at most for sharing out its pieces
constexpr auto   kOriginQueue  = milliseconds(320);  // that a piece waits on the origin's link behind others: well under kOriginMax
constexpr size_t kSharersMin   = 4;                  //
constexpr double kBytesPerMbit = 1e6 / 8;            //

// Boxes that share out the origin's pieces, one request each: enough to fill its link, few enough that a piece waits there for kOriginQueue,
// and some of the connections that it takes are left to others.
size_t OriginSharers(const std::optional<WeightOrigin>& origin, uint32_t piece_bytes)
{
    size_t n = SIZE_MAX;
    if (origin && origin->m_MaxConnections > 0)
        n = static_cast<size_t>(origin->m_MaxConnections * kOriginShare);
    if (origin && origin->m_Mbps > 0 && piece_bytes > 0)
        n = std::min(n, static_cast<size_t>(ToSeconds(kOriginQueue) * origin->m_Mbps * kBytesPerMbit / piece_bytes));
    return std::max(n, kSharersMin);
}

ExchangeConfig TransferConfig(const std::optional<WeightOrigin>& origin, uint32_t piece_bytes)
{
    ExchangeConfig c;
    c.m_DownloadSlots          = kPieceSlotsFirst;
    c.m_OriginSlots            = 2; // one left its link half empty: a piece comes through the sharer's own link behind those of neighbours
    c.m_RequestsPerPeer        = 2;
    c.m_OriginFetchersPerChunk = 64; // no cap on copies: a piece that is nowhere must be had, each further rank only steps in later
    c.m_TakeOverDelay          = milliseconds(900);
    c.m_BusyPause              = milliseconds(30);
    c.m_StallPause             = milliseconds(1000);
    c.m_ChunkTimeout           = kPieceMax;
    c.m_OriginPause            = milliseconds(150);
    c.m_ForgetStalled          = true;
    c.m_PrimaryFetchers        = OriginSharers(origin, piece_bytes);
    return c;
}

// The exchange numbers chunks over shards; weights in pieces are one shard.
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
        FromHex(hex, d); // checked when the list was taken
        shard.m_Chunks.push_back(d);
    }
    m->m_Shards.push_back(std::move(shard));
    return m;
}

} // namespace

void PieceTransfer::Want(uint64_t version)
{
    if (m_Model.empty() || (UnderWay() && m_Job->m_Version == version))
        return;
    if (m_Job)
        m_Job->m_Over = true;
    m_Version = version;
    while (m_Sets.size() >= kVersionsKept && !m_Sets.contains(version))
        m_Sets.erase(m_Sets.begin());
    m_Sets[version];
    m_Job              = std::make_shared<Job>();
    m_Job->m_Version   = version;
    m_Job->m_StartedAt = Now();
    m_Job->m_PieceAt   = m_Job->m_StartedAt;
    LogEvent(Event_VersionFetchStarted, {{"model", m_Model}, {"version", version}});
    wire::HaveUpdateT ask; // neighbours learn of the version by it, and say what they have
    ask.digest = NameOf(version);
    ask.reply  = true;
    m_Links.Broadcast(ask);
    asio::co_spawn(
        m_Ioc, [this, job = m_Job] { return Run(job); }, asio::detached);
}

awaitable<void> PieceTransfer::Run(std::shared_ptr<Job> job)
{
    bool listed = false;
    while (!listed && !job->m_Over)
    {
        listed = co_await ObtainList(job);
        if (!listed)
            co_await SleepFor(kListRetry);
    }
    if (job->m_Over)
        co_return;
    co_await TakeStaged(job);
    co_await AwaitPeers(job);
    Begin(job);
    while (!job->m_Over)
    {
        Pump(job);
        co_await SleepFor(kPumpEvery);
    }
}

// Pieces that lie at the own server already, from before this process started, are not fetched again.
awaitable<void> PieceTransfer::TakeStaged(std::shared_ptr<Job> job)
{
    const auto held = co_await m_Server.ListPieces(m_Model, Now() + kOwnMax);
    if (!held)
        co_return;
    for (const uint32_t n : held.value())
    {
        if (job->m_Over)
            co_return;
        PieceSet& set = m_Sets[job->m_Version];
        if (n >= set.m_Pieces.size() || set.m_Pieces[n])
            continue;
        auto bytes = co_await m_Server.GetPiece(m_Model, n, Now() + kOwnMax);
        if (!bytes || job->m_Over)
            continue;
        const Digest digest = Sha256(bytes.value());
        PieceSet&    again  = m_Sets[job->m_Version];
        if (ToHex(digest) != again.m_List->m_Digests[n])
        {
            if (n == held.value().front()) // another version lies there
                co_return;
            continue;
        }
        again.m_Pieces[n] = std::make_shared<const std::vector<uint8_t>>(std::move(bytes.value()));
        again.m_Count++;
    }
}

// After a loss of power all boxes come back within seconds. Who fetches which piece from the origin follows from the set of boxes, so an
// empty box waits until the set rests: otherwise each would fetch the share of those that it doesn't know yet.
awaitable<void> PieceTransfer::AwaitPeers(std::shared_ptr<Job> job)
{
    const TimePoint latest = job->m_StartedAt + kPeersMax;
    while (m_Held == 0 && !job->m_Over && Now() < latest && Now() < m_PeersAt + kPeersRest)
        co_await SleepFor(kListRetry);
}

void PieceTransfer::Begin(const std::shared_ptr<Job>& job)
{
    if (job->m_Over)
        return;
    const PieceSet&       set = m_Sets[job->m_Version];
    std::vector<uint32_t> present;
    for (uint32_t n = 0; n < set.m_Pieces.size(); n++)
        if (set.m_Pieces[n])
            present.push_back(n);
    job->m_Manifest = ToManifest(NameOf(job->m_Version), *set.m_List);
    job->m_News     = present;
    job->m_Exchange =
        std::make_unique<Exchange>(job->m_Manifest, TransferConfig(m_OriginAt, set.m_List->m_PieceBytes), Members(false), m_Self.m_Name, present);
    job->m_Exchange->SetImporters(Members(true));
    // A box that holds an older version has its links, and nobody has the newer one yet.
    const bool at_once = m_Held > 0 || m_Peers.empty();
    job->m_OriginFrom  = at_once ? Now() : Now() + kLinksSettle;
    for (const std::string& peer : m_Links.Up())
    {
        job->m_Exchange->OnPeerUp(peer, m_Links.SameDataCentre(peer));
        AskWhatItHas(job->m_Version, peer); // updates sent before this job were not kept
    }
}

// `job` is a copy: what is spawned here may end at once, and a piece that ends may put another job into m_Job, which a caller may have
// passed. What was asked for by a job that is over is neither read nor counted for the next one.
void PieceTransfer::Pump(std::shared_ptr<Job> job)
{
    if (job->m_Over || !job->m_Exchange)
        return;
    if (job->m_Exchange->Complete())
    {
        job->m_Over = true;
        LogEvent(Event_VersionVerified, {{"model", m_Model},
                                         {"version", job->m_Version},
                                         {"ms", ToMs(Now() - job->m_StartedAt)},
                                         {"origin_bytes", job->m_Exchange->BytesFromOrigin()},
                                         {"peer_bytes", job->m_Exchange->BytesFromPeers()}});
        return;
    }
    const TimePoint now = Now();
    job->m_Exchange->SuspendOrigin(!m_OriginAt || now < job->m_OriginFrom);
    for (const Fetch& f : job->m_Exchange->Next(now))
    {
        if (job->m_Over)
            return;
        asio::co_spawn(
            m_Ioc, [this, job, f] { return FetchPiece(job, f); }, asio::detached);
    }
}

} // namespace aldervale
