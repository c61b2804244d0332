// Selection of the boxes that a router follows. See followed_boxes.h.
#include "request/followed_boxes.h"
#include "common/hash.h"
#include <algorithm>
#include <map>

namespace aldervale
{

namespace
{

struct Ranked
{
    uint64_t        m_Rank = 0; // lower first
    const KnownBox* m_Box  = nullptr;
};

} // namespace

std::vector<FollowedBox> FollowedBoxes(const std::string& router, const std::string& data_centre, std::span<const KnownBox> boxes)
{
    std::vector<FollowedBox>                   out;
    std::map<std::string, std::vector<Ranked>> remote; // by data centre
    for (const KnownBox& b : boxes)
    {
        if (b.m_DataCentre == data_centre)
            out.push_back({b.m_At, true, 1});
        else
            remote[b.m_DataCentre].push_back({Hash64(router + " " + b.m_At.ToString()), &b});
    }
    for (auto& [name, ranked] : remote)
    {
        std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) { return a.m_Rank < b.m_Rank; });
        const size_t max   = std::max<size_t>(1, kFollowedRemoteMax / remote.size());
        const size_t taken = std::min(max, ranked.size());
        const double share = static_cast<double>(taken) / static_cast<double>(ranked.size());
        for (size_t i = 0; i < taken; i++)
            out.push_back({ranked[i].m_Box->m_At, false, share});
    }
    return out;
}

} // namespace aldervale
