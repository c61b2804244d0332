// Fetching and handing on the pieces of a version. See piece_transfer.h.
#include "version/piece_transfer.h"
#include "common/log.h"
#include <boost/json.hpp>
#include <charconv>

namespace aldervale
{

namespace
{

constexpr auto     kNoThrow      = asio::as_tuple(asio::use_awaitable);
constexpr size_t   kVersionsKept = 2;                  // in memory: the one in use and the one under way
constexpr unsigned kUploadsMax   = 6;                  // waiting; more are refused as busy
constexpr double   kUploadShare  = 0.85;               // of the box's link: the rest is for live answers
constexpr size_t   kUploadQueued = 4 * 1024;           // bytes left to send on a link below which the next piece may follow
constexpr auto     kUploadPoll   = milliseconds(5);    // looks whether a link has taken a piece
constexpr auto     kTellEvery    = milliseconds(30);   // news of pieces to neighbours
constexpr auto     kTellIdle     = milliseconds(250);  // looks for such news while nothing is fetched
constexpr auto     kListPerRank  = milliseconds(350);  // how long each box in order waits for a neighbour's list before it asks the origin
constexpr auto     kListRetry    = milliseconds(30);   // looks whether a neighbour has the list
constexpr auto     kListMax      = milliseconds(1500); // for one answer with a list
constexpr auto     kPeersRest    = milliseconds(900);  // an empty box begins when the set of boxes hasn't changed for this long
constexpr auto     kPeersMax     = milliseconds(2500); // but no later than this
constexpr auto     kLinksSettle  = milliseconds(250);  // for links to come up before the origin is asked for pieces
constexpr auto     kPieceMax     = milliseconds(1200); // for one piece from a neighbour
constexpr auto     kOriginMax    = milliseconds(2000); // for one piece from the origin
constexpr unsigned kSlotsMin     = 1;                  // pieces asked of neighbours at once: as many as arrive in time
constexpr unsigned kSlotsMax     = 8;                  //
constexpr auto     kPieceSlow    = milliseconds(400);  // a piece that took longer queues on this box's link, before live requests
constexpr auto     kPieceQuick   = milliseconds(220);  // one that took less leaves room for another
constexpr auto     kOwnMax       = milliseconds(500);  // for one call to the own server
constexpr auto     kPumpEvery    = milliseconds(200);  // looks at what to fetch next also without an event
constexpr double   kOriginShare  = 0.75;               // of the connections that the origin takes, at most for sharing out its pieces
constexpr auto     kOriginQueue  = milliseconds(320);  // that a piece waits on the origin's link behind others: well under kOriginMax
constexpr size_t   kSharersMin   = 4;                  //
constexpr double   kBytesPerMbit = 1e6 / 8;            //
constexpr unsigned kBadListAfter = 4;                  // spoilt pieces from the origin after which its list of digests is doubted

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
    c.m_DownloadSlots = kSlotsMax;
    c.m_OriginSlots   = 1; // the origin takes few connections, and each box waits there as long with one as with two
    c.m_PerPeer       = 2;
    c.m_OriginRanks   = 64; // no cap on copies: a piece that is nowhere must be had, each further rank only steps in later
    c.m_TakeOver      = milliseconds(900);
    c.m_BusyPause     = milliseconds(30);
    c.m_StallPause    = milliseconds(1000);
    c.m_ChunkTimeout  = kPieceMax;
    c.m_OriginPause   = milliseconds(150);
    c.m_ForgetStalled = true;
    c.m_OriginSharers = OriginSharers(origin, piece_bytes);
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

bool UsableList(const PieceList& list)
{
    Digest d{};
    return !list.m_Digests.empty() && list.m_PieceBytes > 0 &&
           std::all_of(list.m_Digests.begin(), list.m_Digests.end(), [&](const std::string& hex) { return FromHex(hex, d); });
}

std::string ListToJson(const PieceList& list)
{
    boost::json::object o;
    o["version"]     = list.m_Version;
    o["piece_bytes"] = list.m_PieceBytes;
    o["digests"]     = boost::json::value_from(list.m_Digests);
    return boost::json::serialize(o);
}

std::optional<PieceList> ListFromJson(std::string_view text)
{
    boost::json::error_code  ec;
    const boost::json::value v = boost::json::parse(text, ec);
    if (ec || !v.is_object())
        return std::nullopt;
    const auto* version = v.get_object().if_contains("version");
    const auto* bytes   = v.get_object().if_contains("piece_bytes");
    const auto* digests = v.get_object().if_contains("digests");
    if (version == nullptr || bytes == nullptr || digests == nullptr || !version->is_number() || !bytes->is_number() || !digests->is_array())
        return std::nullopt;
    PieceList out;
    out.m_Version    = version->to_number<uint64_t>();
    out.m_PieceBytes = bytes->to_number<uint32_t>();
    for (const auto& d : digests->get_array())
        if (d.is_string())
            out.m_Digests.emplace_back(d.get_string());
    return out;
}

std::optional<uint64_t> VersionOf(const flatbuffers::String* name, std::string_view model)
{
    if (name == nullptr)
        return std::nullopt;
    const std::string_view text = name->string_view();
    if (!text.starts_with(model) || text.size() <= model.size() + 1 || text[model.size()] != '/')
        return std::nullopt;
    const std::string_view number = text.substr(model.size() + 1);
    uint64_t               v      = 0;
    const auto [end, e]           = std::from_chars(number.data(), number.data() + number.size(), v);
    return e == std::errc() && end == number.data() + number.size() ? std::optional<uint64_t>(v) : std::nullopt;
}

} // namespace

struct PieceTransfer::Job
{
    uint64_t                  m_Version = 0;        //
    TimePoint                 m_StartedAt{};        //
    std::unique_ptr<Exchange> m_Exchange;           // null until the list is known
    ManifestPtr               m_Manifest;           //
    bool                      m_Over   = false;     // whole, or given up
    unsigned                  m_Slots  = kSlotsMax; // pieces asked of neighbours at once
    unsigned                  m_Spoilt = 0;         // pieces from the origin that failed their digest
    std::vector<uint32_t>     m_News;               // pieces not told to neighbours yet
    std::set<std::string>     m_Listed;             // neighbours that have the list of digests
    TimePoint                 m_OriginFrom{};       // no piece is asked of the origin before
};

PieceTransfer::PieceTransfer(asio::io_context& ioc, PieceOrigin& origin, ModelServer& server, ProcessName self, double link_bytes_s)
    : m_Ioc(ioc), m_Origin(origin), m_Server(server), m_Self(self),
      m_Links(ioc, self,
              PieceLinkHandlers{[this](const std::string& p) { OnUp(p); }, [this](const std::string& p) { OnDown(p); },
                                [this](const std::string& p, const LinkPtr& l, const FrameBuf& f) { OnFrame(p, l, f); }}),
      m_UploadWake(ioc), m_UploadBucket(link_bytes_s * kUploadShare, 1, Now())
{
    asio::co_spawn(
        m_Ioc, [this] { return UploadLoop(); }, asio::detached);
    asio::co_spawn(
        m_Ioc, [this] { return TellLoop(); }, asio::detached);
}

std::string PieceTransfer::NameOf(uint64_t version) const
{
    return m_Model + "/" + std::to_string(version);
}

const PieceSet* PieceTransfer::Find(uint64_t version) const
{
    const auto it = m_Sets.find(version);
    return it == m_Sets.end() ? nullptr : &it->second;
}

bool PieceTransfer::Whole() const
{
    const PieceSet* s = Find(m_Version);
    return s != nullptr && s->Whole();
}

uint64_t PieceTransfer::NewestWhole() const
{
    for (auto it = m_Sets.rbegin(); it != m_Sets.rend(); ++it)
        if (it->second.Whole())
            return it->first;
    return 0;
}

size_t PieceTransfer::RankOf(uint64_t version) const
{
    const std::vector<std::string> members = Members(false);
    return RendezvousRank(NameOf(version), members, m_Self.m_Name);
}

bool PieceTransfer::UnderWay() const
{
    return m_Job && !m_Job->m_Over;
}

void PieceTransfer::SetPeers(std::vector<PeerBox> peers)
{
    const auto same = [](const PeerBox& a, const PeerBox& b) { return a.m_Address == b.m_Address; };
    if (!std::equal(peers.begin(), peers.end(), m_Peers.begin(), m_Peers.end(), same))
        m_PeersAt = Now();
    m_Peers = peers;
    m_Links.SetPeers(std::move(peers));
}

std::vector<std::string> PieceTransfer::Members(bool own_data_centre) const
{
    std::vector<std::string> out = {m_Self.m_Name};
    for (const PeerBox& p : m_Peers)
        if (p.Name() != m_Self.m_Name && (!own_data_centre || p.m_DataCentre == m_Self.m_DataCentre))
            out.push_back(p.Name());
    return out;
}

//-----------------------------------------------------------------------------
// One job
//-----------------------------------------------------------------------------

void PieceTransfer::SetModel(const std::string& model)
{
    if (m_Model == model)
        return;
    if (m_Job)
        m_Job->m_Over = true;
    m_Sets.clear();
    m_Model   = model;
    m_Version = 0;
}

void PieceTransfer::Want(uint64_t version)
{
    if (m_Model.empty() || (m_Job && !m_Job->m_Over && m_Job->m_Version == version))
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

awaitable<bool> PieceTransfer::ObtainList(std::shared_ptr<Job> job)
{
    PieceSet& set = m_Sets[job->m_Version];
    if (set.m_List)
        co_return true;
    const bool doubted    = m_DoubtedList == job->m_Version;
    bool       from_peers = false;
    if (!doubted)
        from_peers = co_await ListFromPeers(job);
    if (from_peers)
        co_return true;
    const std::vector<std::string> members = Members(true);
    const size_t                   rank    = RendezvousRank(NameOf(job->m_Version), members, m_Self.m_Name);
    const bool                     turn    = doubted || Now() >= job->m_StartedAt + static_cast<int>(rank) * kListPerRank;
    if (!turn || !m_OriginAt || job->m_Over)
        co_return false;
    auto list = co_await m_Origin.ReadList(m_OriginAt->m_Address, m_Model, job->m_Version, Now() + kListMax);
    if (!list || !UsableList(list.value()))
    {
        LogEvent(Event_OriginUnreachable, {{"version", job->m_Version}, {"what", list ? "list of digests is spoilt" : list.error().m_Message}});
        co_return false;
    }
    if (job->m_Over)
        co_return false;
    m_DoubtedList     = m_DoubtedList == job->m_Version ? 0 : m_DoubtedList;
    PieceSet& now_set = m_Sets[job->m_Version];
    now_set.m_List    = std::make_shared<PieceList>(std::move(list.value()));
    now_set.m_Pieces.resize(now_set.m_List->m_Digests.size());
    TellListed(job->m_Version);
    co_return true;
}

void PieceTransfer::TellListed(uint64_t version)
{
    wire::HaveUpdateT have;
    have.digest = NameOf(version);
    have.listed = true;
    m_Links.Broadcast(have);
}

awaitable<bool> PieceTransfer::ListFromPeers(std::shared_ptr<Job> job)
{
    const std::set<std::string> listed = job->m_Listed; // more may be heard of meanwhile
    for (const std::string& peer : listed)
    {
        const LinkPtr link = m_Links.Find(peer);
        if (!link || job->m_Over)
            continue;
        wire::ManifestGetT get;
        get.digest                   = NameOf(job->m_Version);
        const auto              ex   = co_await asio::this_coro::executor;
        const MailboxPtr        box  = link->OpenExchange(ex);
        const bool              sent = link->Send(EncodeFrame(box->Id(), get));
        std::optional<FrameBuf> answer;
        if (sent)
            answer = co_await box->Pop(Now() + kOwnMax);
        link->CloseExchange(box->Id());
        const wire::ManifestData* data = answer ? answer->Get()->body_as_ManifestData() : nullptr;
        if (data == nullptr || !data->found() || data->json() == nullptr || job->m_Over)
            continue;
        auto list = ListFromJson(data->json()->string_view());
        if (!list || list->m_Version != job->m_Version || !UsableList(*list))
            continue;
        PieceSet& set = m_Sets[job->m_Version];
        set.m_List    = std::make_shared<PieceList>(std::move(*list));
        set.m_Pieces.resize(set.m_List->m_Digests.size());
        TellListed(job->m_Version);
        co_return true;
    }
    co_return false;
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

void PieceTransfer::AskWhatItHas(uint64_t version, const std::string& peer)
{
    const LinkPtr link = m_Links.Find(peer);
    if (!link)
        return;
    wire::HaveUpdateT ask;
    ask.digest = NameOf(version);
    ask.reply  = true;
    link->Send(EncodeFrame(0, ask));
}

void PieceTransfer::Pump(const std::shared_ptr<Job>& job)
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
    job->m_Exchange->HoldOrigin(!m_OriginAt || now < job->m_OriginFrom);
    for (const Fetch& f : job->m_Exchange->Next(now))
        asio::co_spawn(
            m_Ioc, [this, job, f] { return FetchPiece(job, f); }, asio::detached);
}

awaitable<void> PieceTransfer::FetchPiece(std::shared_ptr<Job> job, Fetch f)
{
    ChunkOutcome    outcome = ChunkOutcome_Failed;
    const TimePoint asked   = Now();
    if (f.m_Peer.empty())
        outcome = co_await FromOrigin(job, f.m_Chunk);
    else
        outcome = co_await FromPeer(job, f);
    if (job->m_Over)
        co_return;
    if (!f.m_Peer.empty() && (outcome == ChunkOutcome_Good || outcome == ChunkOutcome_Failed))
        AdaptSlots(*job, Now() - asked);
    if (!f.m_Peer.empty() && outcome == ChunkOutcome_Failed)
        AskWhatItHas(job->m_Version, f.m_Peer);
    job->m_Exchange->OnChunk(f.m_Chunk, f.m_Peer, outcome, Now());
    if (outcome == ChunkOutcome_Good)
        job->m_News.push_back(f.m_Chunk);
    Pump(job);
}

// A link that is narrower than declared shows in the time that pieces take.
void PieceTransfer::AdaptSlots(Job& job, Duration took)
{
    if (took > kPieceSlow)
        job.m_Slots = std::max(kSlotsMin, job.m_Slots - 1);
    else if (took < kPieceQuick)
        job.m_Slots = std::min(kSlotsMax, job.m_Slots + 1);
    job.m_Exchange->SetDownloadSlots(job.m_Slots);
}

ChunkOutcome PieceTransfer::Keep(const Job& job, uint32_t n, std::vector<uint8_t> bytes, std::string_view from)
{
    PieceSet& set = m_Sets[job.m_Version];
    if (Sha256(bytes) != ChunkDigest(*job.m_Manifest, n))
    {
        LogEvent(Event_ChunkCorrupt, {{"version", job.m_Version}, {"piece", n}, {"from", from}});
        return ChunkOutcome_Corrupt;
    }
    if (!set.m_Pieces[n])
    {
        set.m_Pieces[n] = std::make_shared<const std::vector<uint8_t>>(std::move(bytes));
        set.m_Count++;
    }
    return ChunkOutcome_Good;
}

awaitable<ChunkOutcome> PieceTransfer::FromPeer(std::shared_ptr<Job> job, Fetch f)
{
    const LinkPtr link = m_Links.Find(f.m_Peer);
    if (!link)
        co_return ChunkOutcome_Failed;
    wire::ChunkGetT get;
    get.digest                   = NameOf(job->m_Version);
    get.index                    = f.m_Chunk;
    const auto              ex   = co_await asio::this_coro::executor;
    const MailboxPtr        box  = link->OpenExchange(ex);
    const bool              sent = link->Send(EncodeFrame(box->Id(), get));
    std::optional<FrameBuf> answer;
    if (sent)
        answer = co_await box->Pop(Now() + kPieceMax);
    link->CloseExchange(box->Id());
    if (!answer || job->m_Over)
        co_return ChunkOutcome_Failed;
    if (const wire::ChunkRefused* refused = answer->Get()->body_as_ChunkRefused())
        co_return refused->busy() ? ChunkOutcome_Busy : ChunkOutcome_Missing;
    const wire::ChunkData* data = answer->Get()->body_as_ChunkData();
    if (data == nullptr || data->bytes() == nullptr || data->index() != f.m_Chunk)
        co_return ChunkOutcome_Corrupt;
    m_BytesPeers += data->bytes()->size();
    std::vector<uint8_t> bytes(data->bytes()->begin(), data->bytes()->end());
    co_return Keep(*job, f.m_Chunk, std::move(bytes), f.m_Peer);
}

awaitable<ChunkOutcome> PieceTransfer::FromOrigin(std::shared_ptr<Job> job, uint32_t n)
{
    auto bytes = co_await m_Origin.ReadPiece(m_OriginAt->m_Address, m_Model, job->m_Version, n, job->m_Exchange->SharesMore(), Now() + kOriginMax);
    if (!bytes || job->m_Over)
    {
        if (!bytes)
            LogEvent(Event_OriginUnreachable, {{"version", job->m_Version}, {"piece", n}, {"what", bytes.error().m_Message}});
        co_return ChunkOutcome_Failed;
    }
    m_BytesOrigin += bytes.value().size();
    const ChunkOutcome outcome = Keep(*job, n, std::move(bytes.value()), "origin");
    job->m_Spoilt += outcome == ChunkOutcome_Corrupt ? 1 : 0;
    if (job->m_Spoilt < kBadListAfter)
        co_return outcome;
    // Either the origin spoils much, or the list is wrong: a fresh list decides. What is here is checked against it when it is used.
    LogEvent(Event_ManifestRefused, {{"version", job->m_Version}, {"what", "many pieces fail their digests; reading the list again"}});
    const uint64_t version = job->m_Version;
    job->m_Over            = true;
    m_Sets.erase(version);
    m_DoubtedList = version; // neighbours may have taken the spoilt list from here
    Want(version);
    co_return outcome;
}

//-----------------------------------------------------------------------------
// Neighbours
//-----------------------------------------------------------------------------

void PieceTransfer::TellAll(const LinkPtr& link)
{
    for (const auto& [version, set] : m_Sets)
    {
        wire::HaveUpdateT have;
        have.digest = NameOf(version);
        have.whole  = set.Whole();
        have.listed = set.m_List != nullptr;
        for (uint32_t n = 0; !have.whole && n < set.m_Pieces.size(); n++)
            if (set.m_Pieces[n])
                have.added.push_back(n);
        if (have.listed)
            link->Send(EncodeFrame(0, have));
    }
    if (m_Held == 0 || m_Sets.contains(m_Held) || m_Model.empty())
        return;
    wire::HaveUpdateT held; // lies staged at the own server; each piece is checked by whoever takes it
    held.digest = NameOf(m_Held);
    held.whole  = true;
    link->Send(EncodeFrame(0, held));
}

void PieceTransfer::OnUp(const std::string& peer)
{
    if (m_Job && !m_Job->m_Over && m_Job->m_Exchange)
        m_Job->m_Exchange->OnPeerUp(peer, m_Links.SameDataCentre(peer));
    TellAll(m_Links.Find(peer));
}

void PieceTransfer::OnDown(const std::string& peer)
{
    if (m_Job && !m_Job->m_Over && m_Job->m_Exchange)
        m_Job->m_Exchange->OnPeerDown(peer);
}

void PieceTransfer::OnFrame(const std::string& peer, const LinkPtr& link, const FrameBuf& frame)
{
    const wire::Frame& f = *frame.Get();
    switch (f.body_type())
    {
    case wire::Body::HaveUpdate:
        if (f.body_as_HaveUpdate()->reply())
            TellAll(link);
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
    if (*version > m_Version && m_OnHeard)
        m_OnHeard(*version); // before anything else: it may begin a new job
    if (!m_Job || m_Job->m_Over || *version != m_Job->m_Version)
        return;
    if (have.listed())
        m_Job->m_Listed.insert(peer);
    if (!m_Job->m_Exchange)
        return;
    const std::span<const uint32_t> added =
        have.added() != nullptr ? std::span<const uint32_t>(have.added()->data(), have.added()->size()) : std::span<const uint32_t>();
    m_Job->m_Exchange->OnHave(peer, added, have.whole());
    Pump(m_Job);
}

void PieceTransfer::OnChunkGet(const LinkPtr& link, uint64_t exchange, const wire::ChunkGet& get)
{
    const std::optional<uint64_t> version = VersionOf(get.digest(), m_Model);
    wire::ChunkRefusedT           refused;
    refused.index = get.index();
    refused.busy  = m_Uploads.size() >= kUploadsMax;
    if (!version || refused.busy)
    {
        link->Send(EncodeFrame(exchange, refused));
        return;
    }
    m_Uploads.push_back({link, exchange, *version, get.index()});
    m_UploadWake.cancel();
}

awaitable<void> PieceTransfer::UploadLoop()
{
    for (;;)
    {
        if (m_Uploads.empty())
        {
            m_UploadWake.expires_after(seconds(60));
            co_await m_UploadWake.async_wait(kNoThrow);
            continue;
        }
        const Upload u = m_Uploads.front();
        co_await SendPiece(u);
        m_Uploads.pop_front();
    }
}

awaitable<void> PieceTransfer::SendPiece(const Upload& u)
{
    PieceBytes      bytes;
    const PieceSet* set = Find(u.m_Version);
    if (set != nullptr && u.m_Piece < set->m_Pieces.size())
        bytes = set->m_Pieces[u.m_Piece];
    if (!bytes && u.m_Version == m_Held)
    {
        auto staged = co_await m_Server.GetPiece(m_Model, u.m_Piece, Now() + kOwnMax);
        if (staged)
            bytes = std::make_shared<const std::vector<uint8_t>>(std::move(staged.value()));
    }
    if (!bytes)
    {
        wire::ChunkRefusedT refused;
        refused.index = u.m_Piece;
        u.m_Link->Send(EncodeFrame(u.m_Exchange, refused));
        co_return;
    }
    const TimePoint go = m_UploadBucket.Reserve(static_cast<double>(bytes->size()), Now());
    co_await SleepFor(go - Now());
    u.m_Link->Send(EncodeChunk(u.m_Exchange, NameOf(u.m_Version), u.m_Piece, *bytes));
    const TimePoint until = Now() + kPieceMax; // a neighbour that reads slowly may not hold up the others for longer
    while (u.m_Link->Queued() > kUploadQueued && !u.m_Link->Closed() && Now() < until)
        co_await SleepFor(kUploadPoll);
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

awaitable<void> PieceTransfer::TellLoop()
{
    for (;;)
    {
        const bool idle = !m_Job || (m_Job->m_Over && m_Job->m_News.empty());
        co_await SleepFor(idle ? kTellIdle : kTellEvery);
        if (!m_Job || m_Job->m_News.empty())
            continue;
        wire::HaveUpdateT have;
        have.digest = NameOf(m_Job->m_Version);
        have.added  = std::move(m_Job->m_News);
        m_Job->m_News.clear();
        m_Links.Broadcast(have);
    }
}

} // namespace aldervale
