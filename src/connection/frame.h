// aldervale: frames between our own processes
//
// A frame is a little-endian uint32 length followed by one FlatBuffers wire::Frame (schema/wire.fbs).
// This part is pure: bytes in, verified frames out. Every frame is checked for its bound, its schema number and its structure
// before anybody reads a field of it.
//
// Usage:
//   FrameDecoder dec;
//   dec.Feed(bytes_from_socket);
//   FrameBuf f;
//   while (dec.Next(f) == FrameStatus_Ok)
//       Handle(*f.Get());
//
// Index of this file:
// [SECTION] FrameBuf
// [SECTION] FrameDecoder
// [SECTION] Encoding

#pragma once
#include "wire_generated.h"
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace aldervale
{

constexpr uint16_t kFrameSchema    = 1;               // grows when an older reader must refuse the frame
constexpr size_t   kFrameMax       = 8 * 1024 * 1024; // bytes of one frame without its length prefix
constexpr size_t   kFramePrefixLen = 4;               // bytes

//-----------------------------------------------------------------------------
// [SECTION] FrameBuf: one verified frame and the bytes it lives in; cheap to copy
//-----------------------------------------------------------------------------

struct FrameBuf
{
    std::shared_ptr<const std::vector<uint8_t>> m_Bytes; // the frame without its prefix

    const wire::Frame* Get() const { return flatbuffers::GetRoot<wire::Frame>(m_Bytes->data()); }
};

//-----------------------------------------------------------------------------
// [SECTION] FrameDecoder: splits a byte stream into frames
//-----------------------------------------------------------------------------

enum FrameStatus
{
    FrameStatus_Ok,          // a frame was returned
    FrameStatus_NeedMore,    // the next frame isn't complete yet
    FrameStatus_TooLong,     // length over kFrameMax, or zero: close the connection
    FrameStatus_Malformed,   // the bytes are no wire::Frame: close the connection
    FrameStatus_NewerSchema, // made by a newer program: close the connection
};

class FrameDecoder
{
public:
    void        Feed(std::span<const uint8_t> bytes);
    FrameStatus Next(FrameBuf& out); // after any status but Ok and NeedMore the decoder stays in that status

private:
    std::vector<uint8_t> m_Buf;                     // bytes not yet returned, from m_Head on
    size_t               m_Head   = 0;              // invariant: m_Head <= m_Buf.size()
    FrameStatus          m_Status = FrameStatus_Ok; // sticky failure, or Ok
};

//-----------------------------------------------------------------------------
// [SECTION] Encoding
//-----------------------------------------------------------------------------

using FrameBytes = std::shared_ptr<const std::vector<uint8_t>>; // prefix and frame, ready to send

FrameStatus CheckFrame(std::span<const uint8_t> frame); // without prefix; Ok, Malformed or NewerSchema
FrameBytes  FinishFrame(flatbuffers::FlatBufferBuilder& fbb, uint64_t exchange, wire::Body type, flatbuffers::Offset<void> body);
FrameBytes  EncodeChunk(uint64_t exchange, std::string_view digest, uint32_t index, std::span<const uint8_t> bytes,
                        uint32_t waited_ms = 0); // waited_ms: in the sender's queue of uploads
FrameBytes  EncodeServeData(uint64_t exchange, std::string_view bytes);

// Encodes any message of the schema: EncodeFrame(id, hello) with a wire::HelloT.
template <class MessageT> FrameBytes EncodeFrame(uint64_t exchange, const MessageT& message)
{
    flatbuffers::FlatBufferBuilder fbb(256);
    const auto                     body = MessageT::TableType::Pack(fbb, &message);
    return FinishFrame(fbb, exchange, wire::BodyTraits<typename MessageT::TableType>::enum_value, body.Union());
}

} // namespace aldervale
