// Frame codec. See frame.h.
#include "connection/frame.h"
#include <boost/assert.hpp>
#include <cstring>

namespace aldervale
{

namespace
{

constexpr size_t   kCompactAt      = 1024 * 1024; // bytes of consumed buffer before it is moved down
constexpr unsigned kVerifierDepth  = 16;          // nesting allowed in a frame
constexpr unsigned kVerifierTables = 200'000;     // tables allowed in a frame

uint32_t ReadPrefix(const uint8_t* p)
{
    return static_cast<uint32_t>(p[0]) | static_cast<uint32_t>(p[1]) << 8 | static_cast<uint32_t>(p[2]) << 16 | static_cast<uint32_t>(p[3]) << 24;
}

} // namespace

FrameStatus CheckFrame(std::span<const uint8_t> frame)
{
    flatbuffers::Verifier verifier(frame.data(), frame.size(), kVerifierDepth, kVerifierTables);
    if (!wire::VerifyFrameBuffer(verifier))
        return FrameStatus_Malformed;
    const wire::Frame* f = flatbuffers::GetRoot<wire::Frame>(frame.data());
    if (f->schema() > kFrameSchema)
        return FrameStatus_NewerSchema;
    if (f->body_type() == wire::Body::NONE || f->body() == nullptr)
        return FrameStatus_Malformed;
    return FrameStatus_Ok;
}

void FrameDecoder::Feed(std::span<const uint8_t> bytes)
{
    if (m_Head == m_Buf.size())
    {
        m_Buf.clear();
        m_Head = 0;
    }
    else if (m_Head > kCompactAt)
    {
        m_Buf.erase(m_Buf.begin(), m_Buf.begin() + static_cast<std::ptrdiff_t>(m_Head));
        m_Head = 0;
    }
    m_Buf.insert(m_Buf.end(), bytes.begin(), bytes.end());
}

FrameStatus FrameDecoder::Next(FrameBuf& out)
{
    if (m_Status != FrameStatus_Ok)
        return m_Status;
    const size_t avail = m_Buf.size() - m_Head;
    if (avail < kFramePrefixLen)
        return FrameStatus_NeedMore;
    const size_t len = ReadPrefix(m_Buf.data() + m_Head);
    if (len == 0 || len > kFrameMax)
        return m_Status = FrameStatus_TooLong;
    if (avail < kFramePrefixLen + len)
        return FrameStatus_NeedMore;
    const uint8_t*    begin  = m_Buf.data() + m_Head + kFramePrefixLen;
    auto              bytes  = std::make_shared<const std::vector<uint8_t>>(begin, begin + len);
    const FrameStatus status = CheckFrame(*bytes);
    if (status != FrameStatus_Ok)
        return m_Status = status;
    m_Head += kFramePrefixLen + len;
    out.m_Bytes = std::move(bytes);
    return FrameStatus_Ok;
}

FrameBytes FinishFrame(flatbuffers::FlatBufferBuilder& fbb, uint64_t exchange, wire::Body type, flatbuffers::Offset<void> body)
{
    fbb.Finish(wire::CreateFrame(fbb, kFrameSchema, exchange, type, body));
    const size_t len = fbb.GetSize();
    BOOST_ASSERT_MSG(len <= kFrameMax, "frame over its bound");
    auto out = std::make_shared<std::vector<uint8_t>>(kFramePrefixLen + len);
    for (size_t i = 0; i < kFramePrefixLen; i++)
        (*out)[i] = static_cast<uint8_t>(len >> (8 * i));
    std::memcpy(out->data() + kFramePrefixLen, fbb.GetBufferPointer(), len);
    return out;
}

FrameBytes EncodeChunk(uint64_t exchange, std::string_view digest, uint32_t index, std::span<const uint8_t> bytes, uint32_t waited_ms)
{
    flatbuffers::FlatBufferBuilder fbb(bytes.size() + 256);
    const auto                     data = fbb.CreateVector(bytes.data(), bytes.size());
    const auto                     name = fbb.CreateString(digest);
    const auto                     body = wire::CreateChunkData(fbb, name, index, data, waited_ms);
    return FinishFrame(fbb, exchange, wire::Body::ChunkData, body.Union());
}

FrameBytes EncodeServeData(uint64_t exchange, std::string_view bytes)
{
    flatbuffers::FlatBufferBuilder fbb(bytes.size() + 128);
    const auto                     data = fbb.CreateVector(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
    const auto                     body = wire::CreateServeData(fbb, data);
    return FinishFrame(fbb, exchange, wire::Body::ServeData, body.Union());
}

} // namespace aldervale
