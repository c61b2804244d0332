// Queue of claims for places at a box. See place_line.h.
#include "request/place_line.h"
#include <algorithm>
#include <utility>

namespace aldervale
{

constexpr auto kRateWindow = std::chrono::seconds(1); // of PlaceClaim::m_MaxPerSecond

bool PlaceQueue::IsFree(const PlaceClaim& claim, PlaceReservations& places, TimePoint now) const
{
    const PlaceState s    = places.State(now);
    const uint32_t   most = m_Capacity > 0 ? std::min<uint32_t>(m_Capacity, claim.m_MaxRequests) : claim.m_MaxRequests;
    return s.m_Running + s.m_Waiting + s.m_Promised < most && WithinRate(claim, now);
}

bool PlaceQueue::WithinRate(const PlaceClaim& claim, TimePoint now) const
{
    if (claim.m_MaxPerSecond <= 0)
        return true;
    const auto recent = std::count_if(m_GrantedAt.begin(), m_GrantedAt.end(), [&](TimePoint at) { return now - at < kRateWindow; });
    return static_cast<double>(recent + 1) <= std::max(1.0, claim.m_MaxPerSecond);
}

void PlaceQueue::Grant(const PlaceClaim& claim, PlaceReservations& places, TimePoint now)
{
    places.Take(claim.m_ReadingMs, now);
    if (m_RecentGrants.size() >= m_Config.m_RememberedGrantsMax)
        m_RecentGrants.erase(m_RecentGrants.begin());
    m_RecentGrants.push_back({claim.m_Key, claim.m_ReadingMs, now});
    while (!m_GrantedAt.empty() && now - m_GrantedAt.front() >= kRateWindow)
        m_GrantedAt.pop_front();
    m_GrantedAt.push_back(now);
}

ClaimAnswer PlaceQueue::Claim(const PlaceClaim& claim, PlaceReservations& places, TimePoint now)
{
    if (std::any_of(m_Queue.begin(), m_Queue.end(), [&](const PlaceClaim& c) { return c.m_Key == claim.m_Key; }))
        return ClaimAnswer_Queued;
    if (m_Queue.empty() && IsFree(claim, places, now))
    {
        Grant(claim, places, now);
        return ClaimAnswer_Granted;
    }
    const bool full = m_Queue.size() >= m_Config.m_QueueMax;
    if (claim.m_QueuedUntil <= now || (full && m_Queue.back().m_Rank <= claim.m_Rank))
        return ClaimAnswer_Denied;
    if (full)
    {
        m_Displaced.push_back(m_Queue.back());
        m_Queue.pop_back();
    }
    const auto order = [](const PlaceClaim& c) { return std::pair(c.m_Rank, c.m_QueuedUntil); };
    const auto later = std::find_if(m_Queue.begin(), m_Queue.end(), [&](const PlaceClaim& c) { return order(c) > order(claim); });
    m_Queue.insert(later, claim);
    return ClaimAnswer_Queued;
}

std::vector<SettledClaim> PlaceQueue::TakeDisplaced()
{
    std::vector<SettledClaim> out;
    for (const PlaceClaim& c : std::exchange(m_Displaced, {}))
        out.push_back({c, false});
    return out;
}

std::vector<SettledClaim> PlaceQueue::Settle(PlaceReservations& places, TimePoint now)
{
    std::vector<SettledClaim> out;
    while (!m_Queue.empty())
    {
        const auto       expiring = std::find_if(m_Queue.begin(), m_Queue.end(), [&](const PlaceClaim& c) { return c.m_QueuedUntil <= now; });
        const bool       expired  = expiring != m_Queue.end();
        const auto       next     = expired ? expiring : m_Queue.begin();
        const PlaceClaim first    = *next;
        if (!expired && !IsFree(first, places, now))
            break;
        if (!expired)
            Grant(first, places, now);
        out.push_back({first, !expired});
        m_Queue.erase(next);
    }
    return out;
}

std::vector<SettledClaim> PlaceQueue::DenyAll()
{
    std::vector<SettledClaim> out;
    for (const PlaceClaim& c : m_Queue)
        out.push_back({c, false});
    m_Queue.clear();
    return out;
}

void PlaceQueue::Release(const std::string& key, PlaceReservations& places, TimePoint now)
{
    std::erase_if(m_Queue, [&](const PlaceClaim& c) { return c.m_Key == key; });
    const auto grant = std::find_if(m_RecentGrants.begin(), m_RecentGrants.end(), [&](const RecentGrant& g) { return g.m_Key == key; });
    if (grant == m_RecentGrants.end())
        return;
    if (now - grant->m_GrantedAt <= m_Config.m_ReleaseWindow)
    {
        places.GiveBack(grant->m_ReadingMs, grant->m_GrantedAt);
        const auto counted = std::find(m_GrantedAt.begin(), m_GrantedAt.end(), grant->m_GrantedAt);
        if (counted != m_GrantedAt.end())
            m_GrantedAt.erase(counted);
    }
    m_RecentGrants.erase(grant);
}

} // namespace aldervale
