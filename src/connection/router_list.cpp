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
