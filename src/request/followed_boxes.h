// aldervale: the boxes whose load reports a router subscribes to
//
// Pure logic. A router follows all boxes of its own data centre, and a few of each other one. A hash of the router's name and the box's address
// picks those, so that routers follow different boxes and each box has about as many followers. A router sends to other data centres only what
// its own has no capacity for, and asks the box before it does (place_promise.h). When 149 routers each subscribed to all of 204 boxes, each
// received 1,100 datagrams a second, and 0.56 GB a minute crossed between regions.
//
// Usage:
//   std::vector<FollowedBox> boxes = FollowedBoxes("router-1", "dc-1", all);

#pragma once
#include "connection/load_channel.h"
#include <span>

namespace aldervale
{

constexpr size_t kFollowedRemoteMax = 24; // of all other data centres together: a tenth of 240, more than ever spills over

struct KnownBox
{
    Endpoint    m_At;         //
    std::string m_DataCentre; //
};

std::vector<FollowedBox> FollowedBoxes(const std::string& router, const std::string& data_centre, std::span<const KnownBox> boxes);

} // namespace aldervale
