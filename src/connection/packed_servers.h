// aldervale: rows of the list of servers as they cross between processes, compressed
//
// Rows are alike: 5 kB of them take some 1000 bytes, so a datagram holds a dozen and a frame of a link the whole list.
//
// Usage:
//   wire::ServersPackedT packed = PackServers(news);
//   UnpackServers(packed, kWholeListMax, [](const wire::ServersNews& news) { ... });

#pragma once
#include "connection/frame.h"
#include <functional>

namespace aldervale
{

constexpr size_t kPackedDatagramMax = 64 * 1024; // bytes of a packed datagram when expanded
constexpr size_t kWholeListMax      = kFrameMax; // bytes of a whole list when expanded

wire::ServersPackedT PackServers(const wire::ServersNewsT& news); // its checked_age_ms is left to the caller

// False: it isn't a whole frame of that kind, or would expand to more than `max` bytes. The handler's argument lives as long as its call.
bool UnpackServers(const wire::ServersPacked& packed, size_t max, const std::function<void(const wire::ServersNews& news)>& handler);

} // namespace aldervale
