// Uploads pieces to neighbours, at a rate that leaves room for answers to callers. See piece_transfer.h.
#include "version/piece_transfer_internal.h"

namespace aldervale
{

namespace
{

constexpr auto     kNoThrow              = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kUploadsMax           = 6; // length of the upload queue; further requests are refused as busy
constexpr unsigned kUploadsAtOnce        = 4; // on links that still have data queued: with 1, a single neighbour with a full link delayed all others
constexpr size_t   kUploadQueuedMaxBytes = 4 * 1024;        // a link with less than this queued may get the next piece
constexpr auto     kUploadPollInterval   = milliseconds(5); // between looks whether a link has sent a piece

} // namespace

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
    m_Uploads.push_back({link, exchange, *version, get.index(), Now()});
    m_UploadWake.cancel();
}

awaitable<void> PieceTransfer::UploadLoop()
{
    for (;;)
    {
        if (m_Uploads.empty() || m_Sending >= kUploadsAtOnce)
        {
            m_UploadWake.expires_after(seconds(60));
            co_await m_UploadWake.async_wait(kNoThrow);
            continue;
        }
        const Upload     u     = m_Uploads.front();
        const PieceBytes bytes = co_await PieceToSend(u);
        if (bytes)
            co_await SendPiece(u, bytes);
        m_Uploads.pop_front();
    }
}

// Returns null if the piece isn't here; the neighbour has been sent a refusal then.
awaitable<PieceBytes> PieceTransfer::PieceToSend(const Upload& u)
{
    PieceBytes      bytes;
    const PieceSet* set = Find(u.m_Version);
    if (set != nullptr && u.m_Piece < set->m_Pieces.size())
        bytes = set->m_Pieces[u.m_Piece];
    if (!bytes && u.m_Version == m_LoadedVersion)
    {
        auto staged = co_await m_Server.GetPiece(m_Model, u.m_Piece, Now() + kServerCallTimeout);
        if (staged)
            bytes = std::make_shared<const std::vector<uint8_t>>(std::move(staged.value()));
    }
    if (bytes)
        co_return bytes;
    wire::ChunkRefusedT refused;
    refused.index = u.m_Piece;
    u.m_Link->Send(EncodeFrame(u.m_Exchange, refused));
    co_return bytes;
}

// Returns when the next piece may be sent; this one may still be in transit.
awaitable<void> PieceTransfer::SendPiece(const Upload& u, PieceBytes bytes)
{
    const auto size = static_cast<double>(bytes->size());
    m_UploadBucket.SetRate(m_LinkBytesPerSecond * kUploadShare / Slowdown(), size, Now());
    const TimePoint go = m_UploadBucket.Reserve(size, Now());
    co_await SleepFor(go - Now());
    const auto waited = static_cast<uint32_t>(ToMs(Now() - u.m_AskedAt));
    u.m_Link->Send(EncodeChunk(u.m_Exchange, NameOf(u.m_Version), u.m_Piece, *bytes, waited));
    m_Sending++;
    asio::co_spawn(
        m_Ioc, [this, link = u.m_Link] { return AwaitSent(link); }, asio::detached);
}

awaitable<void> PieceTransfer::AwaitSent(LinkPtr link)
{
    const TimePoint until = Now() + kPieceTimeout; // a neighbour that reads slowly delays the others no longer than this
    while (link->Queued() > kUploadQueuedMaxBytes && !link->Closed() && Now() < until)
        co_await SleepFor(kUploadPollInterval);
    m_Sending--;
    m_UploadWake.cancel();
}

} // namespace aldervale
