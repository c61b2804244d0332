// Compressed rows of the list of servers. See packed_servers.h.
#include "connection/packed_servers.h"
#include "connection/text_delta.h"

namespace aldervale
{

wire::ServersPackedT PackServers(const wire::ServersNewsT& news)
{
    const FrameBytes       frame = EncodeFrame(0, news);
    const std::string_view text(reinterpret_cast<const char*>(frame->data()) + kFramePrefixLen, frame->size() - kFramePrefixLen);
    const std::string      bytes = CompressText(text, {});
    wire::ServersPackedT   out;
    out.length = static_cast<uint32_t>(text.size());
    out.bytes.assign(bytes.begin(), bytes.end());
    return out;
}

bool UnpackServers(const wire::ServersPacked& packed, size_t max, const std::function<void(const wire::ServersNews& news)>& handler)
{
    if (packed.bytes() == nullptr || packed.length() > max)
        return false;
    const std::string_view bytes(reinterpret_cast<const char*>(packed.bytes()->data()), packed.bytes()->size());
    const auto             text = ExpandText(bytes, {}, packed.length());
    if (!text)
        return false;
    const std::vector<uint8_t> frame(text.value().begin(), text.value().end()); // aligned for its numbers
    if (CheckFrame(frame) != FrameStatus_Ok)
        return false;
    const wire::ServersNews* news = flatbuffers::GetRoot<wire::Frame>(frame.data())->body_as_ServersNews();
    if (news == nullptr)
        return false;
    handler(*news);
    return true;
}

} // namespace aldervale
