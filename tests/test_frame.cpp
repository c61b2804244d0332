// Frames: round trips, truncation, bounds, newer schemas, random bytes.
#include "connection/frame.h"
#include "support.h"

using namespace aldervale;

namespace
{

FrameBytes Sample(uint64_t id)
{
    wire::ChunkGetT get;
    get.digest = "d";
    get.index  = 7;
    return EncodeFrame(id, get);
}

FrameStatus Decode(std::span<const uint8_t> bytes)
{
    FrameDecoder dec;
    FrameBuf     f;
    dec.Feed(bytes);
    return dec.Next(f);
}

} // namespace

BOOST_AUTO_TEST_CASE(frames_survive_any_split_of_the_stream)
{
    ALDERVALE_PROPERTY("frames cut into pieces come out whole and in order",
                       []
                       {
                           std::vector<uint8_t> stream;
                           const size_t         n = *rc::gen::inRange<size_t>(1, 10);
                           for (size_t i = 0; i < n; i++)
                           {
                               const FrameBytes f = Sample(i + 1);
                               stream.insert(stream.end(), f->begin(), f->end());
                           }
                           FrameDecoder dec;
                           FrameBuf     f;
                           uint64_t     next = 1;
                           for (size_t at = 0; at < stream.size();)
                           {
                               const size_t len = std::min<size_t>(stream.size() - at, *rc::gen::inRange<size_t>(1, 60));
                               dec.Feed(std::span(stream).subspan(at, len));
                               at += len;
                               while (dec.Next(f) == FrameStatus_Ok)
                                   RC_ASSERT(f.Get()->exchange() == next++);
                           }
                           RC_ASSERT(next == n + 1);
                       });
}

BOOST_AUTO_TEST_CASE(truncated_frame_is_never_delivered)
{
    const FrameBytes f = Sample(1);
    for (size_t len = 0; len < f->size(); len++)
        BOOST_CHECK_EQUAL(Decode(std::span(*f).first(len)), FrameStatus_NeedMore);
    std::vector<uint8_t> short_body(*f); // the length says less than the table needs
    short_body[0] = 8;
    short_body.resize(12);
    BOOST_CHECK_EQUAL(Decode(short_body), FrameStatus_Malformed);
}

BOOST_AUTO_TEST_CASE(oversized_and_empty_frames_are_refused)
{
    const std::vector<uint8_t> huge{0xFF, 0xFF, 0xFF, 0x7F, 0, 0};
    const std::vector<uint8_t> empty{0, 0, 0, 0};
    BOOST_CHECK_EQUAL(Decode(huge), FrameStatus_TooLong);
    BOOST_CHECK_EQUAL(Decode(empty), FrameStatus_TooLong);
}

BOOST_AUTO_TEST_CASE(newer_schema_is_refused)
{
    flatbuffers::FlatBufferBuilder fbb;
    const auto                     body = wire::CreateConfigPull(fbb, 3);
    fbb.Finish(wire::CreateFrame(fbb, kFrameSchema + 1, 1, wire::Body::ConfigPull, body.Union()));
    BOOST_CHECK_EQUAL(CheckFrame(std::span(fbb.GetBufferPointer(), fbb.GetSize())), FrameStatus_NewerSchema);
}

BOOST_AUTO_TEST_CASE(random_bytes_never_crash_the_decoder)
{
    ALDERVALE_PROPERTY("any bytes give a status; a failure is sticky",
                       [](const std::vector<uint8_t>& bytes)
                       {
                           FrameDecoder dec;
                           FrameBuf     f;
                           dec.Feed(bytes);
                           FrameStatus s = dec.Next(f);
                           while (s == FrameStatus_Ok)
                               s = dec.Next(f);
                           RC_ASSERT(s != FrameStatus_Ok);
                           RC_ASSERT(dec.Next(f) == s);
                       });
    ALDERVALE_PROPERTY("a frame with flipped bytes is refused or still well-formed",
                       []
                       {
                           std::vector<uint8_t> bytes(*Sample(1));
                           for (int k = 0; k < 3; k++)
                               bytes[*rc::gen::inRange<size_t>(4, bytes.size())] ^= static_cast<uint8_t>(*rc::gen::inRange(1, 256));
                           FrameDecoder dec;
                           FrameBuf     f;
                           dec.Feed(bytes);
                           if (dec.Next(f) == FrameStatus_Ok && f.Get()->body_as_ChunkGet() != nullptr &&
                               f.Get()->body_as_ChunkGet()->digest() != nullptr)
                               RC_ASSERT(f.Get()->body_as_ChunkGet()->digest()->size() < bytes.size());
                       });
}
