// Fetches one piece, from a neighbour or the origin. See piece_transfer.h.
#include "common/log.h"
#include "version/piece_transfer_internal.h"

namespace aldervale
{

namespace
{

constexpr auto     kOriginTimeout    = milliseconds(2000); // for one piece from the origin
constexpr auto     kPieceOverhead    = milliseconds(60);   // of a piece beside its time on the link: work of the other box and the round trip
constexpr unsigned kCorruptPiecesMax = 4;                  // corrupt pieces from the origin after which its list of digests is read again
constexpr auto     kSlowdownMaxAge   = seconds(2);         // after the last piece: traffic that queued on the link has been sent by then
constexpr auto     kSlotsMaxAge      = seconds(2);         // after the last piece: until then a fetch begins with as many slots as the one before had
constexpr auto     kPieceQuick       = milliseconds(400);  // of a piece that didn't queue on this box's link
constexpr auto     kPieceProbeDelay  = milliseconds(600);  // until one is asked for while all slots are taken by pieces that may never come

} // namespace

awaitable<void> PieceTransfer::FetchPiece(std::shared_ptr<Job> job, Fetch f)
{
    PeerAnswer answer;
    if (f.m_Peer.empty())
    {
        m_OriginReads++;
        job->m_FromOrigin++;
        answer.m_Outcome = co_await FromOrigin(job, f.m_Chunk);
        job->m_FromOrigin--;
        m_OriginReads--;
    }
    else
    {
        job->m_FromPeers++;
        answer = co_await FromPeer(job, f);
        job->m_FromPeers--;
    }
    if (job->m_Finished)
    {
        Pump(m_Job); // the piece no longer counts as in flight
        co_return;
    }
    if (!f.m_Peer.empty())
        UpdateFromAnswer(*job, f.m_Peer, answer);
    job->m_Exchange->OnChunk(f.m_Chunk, f.m_Peer, answer.m_Outcome, Now());
    if (answer.m_Outcome == ChunkOutcome_Good)
        job->m_Unannounced.push_back(f.m_Chunk);
    Pump(job);
}

void PieceTransfer::UpdateFromAnswer(Job& job, const std::string& peer, const PeerAnswer& answer)
{
    if (answer.m_Outcome == ChunkOutcome_Good)
        job.m_Exchange->OnUploadQueueWait(peer, answer.m_Waited, Now());
    if (answer.m_Outcome == ChunkOutcome_Failed)
        RequestInventory(job.m_Version, peer);
}

unsigned NextPieceSlots(unsigned slots, Duration took)
{
    constexpr auto kSlow      = milliseconds(400); // if a piece takes longer, pieces queue on this box's link
    constexpr auto kQuick     = milliseconds(110); // if a piece takes less (plus kQuickEach per slot), the link has room for another one
    constexpr auto kQuickEach = milliseconds(14);  // half of a piece's transmission time on a link of typical bandwidth
    if (took > kSlow)
        return std::max(1u, slots / 2);
    return took < kQuick + kQuickEach * static_cast<int>(slots) ? std::min(kPieceSlotsMax, slots + 1) : slots;
}

void PiecesInFlight::OnFetchBegun(TimePoint now)
{
    if (now - m_LastPieceAt > kSlotsMaxAge)
        m_Slots = std::min(m_Slots, kPieceSlotsFirst);
}

void PiecesInFlight::OnPiece(Duration took, TimePoint now)
{
    m_Slots       = NextPieceSlots(m_Slots, took);
    m_LastPieceAt = now;
}

uint64_t PiecesInFlight::OnAsked(TimePoint now)
{
    m_LastAskedAt       = now;
    m_AskedAt[++m_Last] = now;
    m_Probe             = m_ProbeAllowed ? m_Last : m_Probe;
    m_ProbeAllowed      = false;
    return m_Last;
}

bool PiecesInFlight::OnGone(uint64_t asked, bool quickly)
{
    if (quickly)
        m_AskedAt.erase(m_AskedAt.begin(), m_AskedAt.lower_bound(asked));
    return m_AskedAt.erase(asked) > 0 || quickly;
}

void PiecesInFlight::OnRefused(uint64_t asked)
{
    m_AskedAt.erase(asked);
    m_LastAskedAt = {};
}

unsigned PiecesInFlight::Count(TimePoint now)
{
    while (!m_AskedAt.empty() && now - m_AskedAt.begin()->second > kPieceInFlightMax)
        m_AskedAt.erase(m_AskedAt.begin());
    return static_cast<unsigned>(m_AskedAt.size());
}

unsigned PiecesInFlight::SlotsFor(unsigned own, TimePoint now)
{
    const unsigned count  = Count(now);
    const unsigned others = count > own ? count - own : 0;
    if (m_Slots > others)
        return m_Slots - others;
    m_ProbeAllowed = own == 0 && now - m_LastAskedAt >= kPieceProbeDelay && !m_AskedAt.contains(m_Probe);
    return m_ProbeAllowed ? 1 : 0; // it shows whether they are in this box's queue
}

void LinkSlowdown::OnPiece(Duration took, Duration expected, TimePoint now)
{
    constexpr double kStep = 0.3; // weight of the newest piece in the moving mean
    if (now - m_At >= kSlowdownMaxAge)
        m_Mean = 1; // this piece belongs to another fetch
    m_Mean += kStep * (ToSeconds(took) / ToSeconds(expected) - m_Mean);
    m_At = now;
}

double LinkSlowdown::Value(TimePoint now) const
{
    constexpr double kClear = 2; // below this value the difference may be random
    const bool       seen   = m_At != TimePoint{} && now - m_At < kSlowdownMaxAge;
    return seen && m_Mean > kClear ? m_Mean : 1;
}

void PieceTransfer::AdaptSlots(const Job& job, Duration took)
{
    const double piece_s = m_LinkBytesPerSecond > 0 ? static_cast<double>(job.m_Manifest->m_ChunkSize) / m_LinkBytesPerSecond : 0;
    m_LinkSlowdown.OnPiece(took, kPieceOverhead + FromSeconds(piece_s * m_InFlight.Slots()), Now());
    m_InFlight.OnPiece(took, Now());
}

ChunkOutcome PieceTransfer::StorePiece(Job& job, uint32_t n, std::vector<uint8_t> bytes, std::string_view from)
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
        job.m_LastPieceAt = Now();
    }
    return ChunkOutcome_Good;
}

awaitable<PieceTransfer::PeerAnswer> PieceTransfer::FromPeer(std::shared_ptr<Job> job, Fetch f)
{
    const LinkPtr link = m_Links.Find(f.m_Peer);
    if (!link)
        co_return PeerAnswer{};
    wire::ChunkGetT get;
    get.digest           = NameOf(job->m_Version);
    get.index            = f.m_Chunk;
    const auto       ex  = co_await asio::this_coro::executor;
    const MailboxPtr box = link->OpenExchange(ex);
    if (!link->Send(EncodeFrame(box->Id(), get)))
    {
        link->CloseExchange(box->Id());
        co_return PeerAnswer{};
    }
    const TimePoint               asked_at = Now();
    const uint64_t                asked    = m_InFlight.OnAsked(asked_at);
    const std::optional<FrameBuf> answer   = co_await box->Pop(asked_at + kPieceTimeout);
    if (!answer && !box->Closed())
    {
        if (m_InFlight.Counts(asked))
            AdaptSlots(*job, kPieceTimeout);
        asio::co_spawn(
            m_Ioc, [this, link, box, asked] { return AwaitLatePiece(link, box, asked); }, asio::detached);
        co_return PeerAnswer{};
    }
    link->CloseExchange(box->Id());
    const wire::ChunkData* data = answer ? answer->Get()->body_as_ChunkData() : nullptr;
    if (data != nullptr)
    {
        const Duration took    = Now() - asked_at;
        const Duration on_link = took - std::min<Duration>(took, milliseconds(data->waited_ms())); // without the wait in the sender's queue
        if (m_InFlight.OnGone(asked, on_link < kPieceQuick))
            AdaptSlots(*job, on_link);
    }
    else
        m_InFlight.OnRefused(asked);
    if (!answer || job->m_Finished)
        co_return PeerAnswer{};
    co_return TakeAnswer(*job, f, *answer);
}

awaitable<void> PieceTransfer::AwaitLatePiece(LinkPtr link, MailboxPtr box, uint64_t asked)
{
    co_await box->Pop(Now() + (kPieceInFlightMax - kPieceTimeout));
    m_InFlight.OnGone(asked, false);
    link->CloseExchange(box->Id());
    Pump(m_Job);
}

PieceTransfer::PeerAnswer PieceTransfer::TakeAnswer(Job& job, const Fetch& f, const FrameBuf& answer)
{
    if (const wire::ChunkRefused* refused = answer.Get()->body_as_ChunkRefused())
        return {refused->busy() ? ChunkOutcome_Busy : ChunkOutcome_Missing, {}};
    const wire::ChunkData* data = answer.Get()->body_as_ChunkData();
    if (data == nullptr || data->bytes() == nullptr || data->index() != f.m_Chunk)
        return {ChunkOutcome_Corrupt, {}};
    m_BytesPeers += data->bytes()->size();
    std::vector<uint8_t> bytes(data->bytes()->begin(), data->bytes()->end());
    const ChunkOutcome   outcome = StorePiece(job, f.m_Chunk, std::move(bytes), f.m_Peer);
    return {outcome, milliseconds(data->waited_ms())};
}

awaitable<ChunkOutcome> PieceTransfer::FromOrigin(std::shared_ptr<Job> job, uint32_t n)
{
    auto bytes = co_await m_Origin.ReadPiece(m_DeclaredOrigin->m_Address, m_Model, job->m_Version, n, job->m_Exchange->HasOwnShareLeft(),
                                             Now() + kOriginTimeout);
    if (!bytes || job->m_Finished)
    {
        if (!bytes)
            LogEvent(Event_OriginUnreachable, {{"version", job->m_Version}, {"piece", n}, {"what", bytes.error().m_Message}});
        co_return ChunkOutcome_Failed;
    }
    m_BytesOrigin += bytes.value().size();
    const ChunkOutcome outcome = StorePiece(*job, n, std::move(bytes.value()), "origin");
    job->m_CorruptPieces += outcome == ChunkOutcome_Corrupt ? 1 : 0;
    if (job->m_CorruptPieces < kCorruptPiecesMax)
        co_return outcome;
    // Either the origin sends many corrupt pieces, or the list is wrong. The list is read again; staged pieces are checked against the new one.
    LogEvent(Event_ManifestRefused, {{"version", job->m_Version}, {"what", "many pieces fail their digests; reading the list again"}});
    const uint64_t version = job->m_Version;
    job->m_Finished        = true;
    m_Sets.erase(version);
    m_SuspectList = version; // neighbours may have got the wrong list from this box
    StartFetch(version);
    co_return outcome;
}

} // namespace aldervale
