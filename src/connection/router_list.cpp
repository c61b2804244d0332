// Lists of routers. See router_list.h.
#include "connection/router_list.h"
#include "common/hash.h"
#include <algorithm>
#include <map>

namespace aldervale
{

uint64_t RouterRank(const asio::ip::address& address)
{
    return Hash64(address.to_string());
}

wire::RouterListT ListRouters(std::span<const KnownRouter> routers, const KnownRouter& asker)
{
    std::map<std::string, std::map<uint64_t, uint32_t>> by_region; // region -> rank -> address
    for (const KnownRouter& r : routers)
        if (r.m_Address != asker.m_Address && r.m_Address.is_v4())
            by_region[r.m_Region].emplace(RouterRank(r.m_Address), r.m_Address.to_v4().to_uint());
    wire::RouterListT out;
    for (const auto& [region, ranked] : by_region)
    {
        const bool near = region == asker.m_Region;
        size_t     left = near ? kRoutersListedNear : kRoutersListedFar;
        for (const auto& [rank, ip] : ranked)
            if (left-- > 0)
                out.routers.emplace_back(ip, near);
            else
                break;
    }
    return out;
}

std::vector<wire::RouterListT> ListAllRouters(std::span<const KnownRouter> routers, const KnownRouter& asker)
{
    std::vector<wire::RouterListT> out = {ListRouters(routers, asker)};
    std::map<uint64_t, uint32_t>   near; // rank -> address
    for (const KnownRouter& r : routers)
        if (r.m_Region == asker.m_Region && r.m_Address != asker.m_Address && r.m_Address.is_v4())
            near.emplace(RouterRank(r.m_Address), r.m_Address.to_v4().to_uint());
    size_t place = 0;
    for (const auto& [rank, ip] : near)
    {
        if (place >= kRoutersListedNear && place % kRoutersListedNear == 0)
            out.emplace_back();
        if (place >= kRoutersListedNear)
            out.back().routers.emplace_back(ip, true);
        place++;
    }
    return out;
}

//-----------------------------------------------------------------------------
// RouterRegistry
//-----------------------------------------------------------------------------

size_t RouterRegistry::Size() const
{
    size_t out = 0;
    for (const auto& [region, ranked] : m_ByRegion)
        out += ranked.size();
    return out;
}

void RouterRegistry::Note(const KnownRouter& router, TimePoint now)
{
    if (!router.m_Address.is_v4())
        return;
    const uint64_t rank   = RouterRank(router.m_Address);
    const auto     region = m_ByRegion.find(router.m_Region);
    const bool     known  = region != m_ByRegion.end() && region->second.contains(rank);
    if (known || Size() < kRoutersMetMax)
        m_ByRegion[router.m_Region][rank] = {router.m_Address.to_v4().to_uint(), now};
}

// Routers that don't ask any more are dropped as they are met: only those among the best ranks matter.
wire::RouterListT RouterRegistry::List(const KnownRouter& asker, TimePoint now)
{
    const uint64_t    self = RouterRank(asker.m_Address);
    wire::RouterListT out;
    for (auto& [region, ranked] : m_ByRegion)
    {
        const bool near = region == asker.m_Region;
        size_t     left = near ? kRoutersMetNear : kRoutersListedFar;
        for (auto it = ranked.begin(); it != ranked.end() && left > 0;)
        {
            if (now - it->second.m_AskedAt > kRouterMetKept)
            {
                it = ranked.erase(it);
                continue;
            }
            if (it->first != self)
            {
                out.routers.emplace_back(it->second.m_Ip, near);
                left--;
            }
            ++it;
        }
    }
    return out;
}

//-----------------------------------------------------------------------------
// On the wire
//-----------------------------------------------------------------------------

std::vector<RouterPeer> FromWire(const wire::RouterList& list, uint16_t port)
{
    std::vector<RouterPeer> out;
    if (list.routers() == nullptr)
        return out;
    for (const wire::RouterAddress* r : *list.routers())
        out.push_back({Endpoint{asio::ip::make_address_v4(r->ip()), port}, r->same_region()});
    return out;
}

} // namespace aldervale
