// Fetching one piece, from a neighbour or the origin. See piece_transfer.h.
#include "common/log.h"
#include "version/piece_transfer_internal.h"

namespace aldervale
{

namespace
{

constexpr auto     kOriginMax    = milliseconds(2000); // for one piece from the origin
constexpr auto     kPieceWay     = milliseconds(60);   // of a piece beside its time on the link: the other box's, and both ways
constexpr unsigned kBadListAfter = 4;                  // spoilt pieces from the origin after which its list of digests is doubted
constexpr auto     kLinkPaceKeep = seconds(2);         // after the last piece: what queued on the link is gone by then

} // namespace

awaitable<void> PieceTransfer::FetchPiece(std::shared_ptr<Job> job, Fetch f)
{
    PeerAnswer      answer;
    const TimePoint asked = Now();
    if (f.m_Peer.empty())
        answer.m_Outcome = co_await FromOrigin(job, f.m_Chunk);
    else
        answer = co_await FromPeer(job, f);
    if (job->m_Over)
        co_return;
    if (!f.m_Peer.empty())
        LearnFromAnswer(*job, f.m_Peer, answer, Now() - asked);
    job->m_Exchange->OnChunk(f.m_Chunk, f.m_Peer, answer.m_Outcome, Now());
    if (answer.m_Outcome == ChunkOutcome_Good)
        job->m_News.push_back(f.m_Chunk);
    Pump(job);
}

void PieceTransfer::LearnFromAnswer(Job& job, const std::string& peer, const PeerAnswer& answer, Duration took)
{
    const bool good      = answer.m_Outcome == ChunkOutcome_Good;
    const bool failed    = answer.m_Outcome == ChunkOutcome_Failed;
    const bool timed_out = failed && took >= kPieceMax; // a link that closed at once says nothing of this box's
    if (good || timed_out)
        AdaptSlots(job, took - std::min(took, answer.m_Waited)); // what it waited over there says nothing of the link here
    if (good)
        job.m_Exchange->OnUploadQueueWait(peer, answer.m_Waited, Now());
    if (failed)
        AskWhatItHas(job.m_Version, peer);
}

unsigned NextPieceSlots(unsigned slots, Duration took)
{
    constexpr auto kSlow      = milliseconds(400); // longer: pieces queue on this box's link
    constexpr auto kQuick     = milliseconds(110); // less, and kQuickEach more for each slot: there is room for another
    constexpr auto kQuickEach = milliseconds(14);  // half of a piece's time on a link of the usual width
    if (took > kSlow)
        return std::max(1u, slots / 2);
    return took < kQuick + kQuickEach * static_cast<int>(slots) ? std::min(kPieceSlotsMax, slots + 1) : slots;
}

void LinkPace::OnPiece(Duration took, Duration expected, TimePoint now)
{
    constexpr double kStep = 0.3; // weight of the newest piece
    if (now - m_At >= kLinkPaceKeep)
        m_Mean = 1; // another fetch
    m_Mean += kStep * (ToSeconds(took) / ToSeconds(expected) - m_Mean);
    m_At = now;
}

double LinkPace::Value(TimePoint now) const
{
    constexpr double kClear = 2; // below this it is chance
    const bool       seen   = m_At != TimePoint{} && now - m_At < kLinkPaceKeep;
    return seen && m_Mean > kClear ? m_Mean : 1;
}

void PieceTransfer::AdaptSlots(Job& job, Duration took)
{
    const double piece_s = m_LinkBytes > 0 ? static_cast<double>(job.m_Manifest->m_ChunkSize) / m_LinkBytes : 0;
    m_LinkPace.OnPiece(took, kPieceWay + FromSeconds(piece_s * job.m_Slots), Now());
    job.m_Slots = NextPieceSlots(job.m_Slots, took);
    job.m_Exchange->SetDownloadSlots(job.m_Slots);
}

ChunkOutcome PieceTransfer::Keep(Job& job, uint32_t n, std::vector<uint8_t> bytes, std::string_view from)
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
        job.m_PieceAt = Now();
    }
    return ChunkOutcome_Good;
}

awaitable<PieceTransfer::PeerAnswer> PieceTransfer::FromPeer(std::shared_ptr<Job> job, Fetch f)
{
    const LinkPtr link = m_Links.Find(f.m_Peer);
    if (!link)
        co_return PeerAnswer{};
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
        co_return PeerAnswer{};
    co_return TakeAnswer(*job, f, *answer);
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
    const ChunkOutcome   outcome = Keep(job, f.m_Chunk, std::move(bytes), f.m_Peer);
    return {outcome, milliseconds(data->waited_ms())};
}

awaitable<ChunkOutcome> PieceTransfer::FromOrigin(std::shared_ptr<Job> job, uint32_t n)
{
    auto bytes =
        co_await m_Origin.ReadPiece(m_OriginAt->m_Address, m_Model, job->m_Version, n, job->m_Exchange->HasOwnShareLeft(), Now() + kOriginMax);
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

} // namespace aldervale
