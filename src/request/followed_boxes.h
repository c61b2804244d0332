// aldervale: the boxes whose load reports a router follows
//
// Pure. All of the own data centre, and of each other one a few that a hash of both names picks: every router other ones, every box by as many
// routers. A router sends beyond its data centre only what that has no room for, and asks before it does (place_promise.h). 149 routers that
// each asked all of 204 boxes for reports received 1,100 datagrams a second each, and moved 0.56 GB between regions in a minute.
//
// Usage:
//   std::vector<FollowedBox> boxes = FollowedBoxes("router-1", "dc-1", all);

#pragma once
#include "connection/load_channel.h"
#include <span>

namespace aldervale
{

constexpr size_t kFollowedRemoteMax = 24; // of all other data centres together: as many as a tenth of 240, which is more than ever spills over

struct KnownBox
{
    Endpoint    m_At;         //
    std::string m_DataCentre; //
};

std::vector<FollowedBox> FollowedBoxes(const std::string& router, const std::string& data_centre, std::span<const KnownBox> boxes);

} // namespace aldervale
