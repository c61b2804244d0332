// Divides the rate limits of backend servers among the routers. See server_limits.h.
#include "request/server_limits.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

namespace
{

constexpr size_t kLimitsMax = 4096; // an arbitrary limit is evicted when full

} // namespace

bool ServerLimits::Allows(const ServerLife& incarnation, TimePoint now)
{
    if (m_Limits.empty())
        return true;
    const auto it = m_Limits.find(LifeHash(incarnation));
    if (it == m_Limits.end() || now >= it->second.m_ProbeAt)
        return true;
    return it->second.m_LocalRate > 0 && it->second.m_Bucket.AvailableAt(1, now) <= now;
}

void ServerLimits::OnSent(const ServerLife& incarnation, TimePoint now)
{
    if (m_Limits.empty())
        return;
    const auto it = m_Limits.find(LifeHash(incarnation));
    if (it == m_Limits.end())
        return;
    if (now >= it->second.m_ProbeAt)
        it->second.m_ProbeAt = now + ProbeInterval();
    it->second.m_Bucket.Reserve(1, now);
}

bool ServerLimits::OnAnswer(const ServerLife& incarnation, std::optional<double> requests_per_s, TimePoint sent_at, TimePoint now)
{
    if (!requests_per_s && m_Limits.empty())
        return false;
    const uint64_t hash  = LifeHash(incarnation);
    const auto     it    = m_Limits.find(hash);
    const bool     known = it != m_Limits.end();
    if (!requests_per_s)
    {
        if (!known || sent_at <= it->second.m_LastStatedAt) // the server may have sent this answer before it set the limit
            return false;
        m_Limits.erase(it);
        std::erase_if(m_Changes, [&](const LimitChange& c) { return c.m_IncarnationHash == hash; });
        m_Changes.push_back({hash, std::nullopt});
        return true;
    }
    Limit&     l       = known ? it->second : Add(hash, now);
    const bool changed = !known || static_cast<float>(l.m_RequestsPerS) != static_cast<float>(*requests_per_s);
    l.m_RequestsPerS   = *requests_per_s;
    l.m_LastStatedAt   = now;
    l.m_ProbeAt        = now + ProbeInterval();
    if (!changed)
        return false;
    UpdateLocalRate(hash, l, now);
    std::erase_if(m_Changes, [&](const LimitChange& c) { return c.m_IncarnationHash == hash; });
    m_Changes.push_back({hash, requests_per_s});
    return true;
}

bool ServerLimits::OnRemoteChange(const LimitChange& change, TimePoint now)
{
    const auto it    = m_Limits.find(change.m_IncarnationHash);
    const bool known = it != m_Limits.end();
    if (known && now - it->second.m_LastStatedAt < kAnswerPrecedence)
        return false;
    if (!change.m_RequestsPerS)
        return m_Limits.erase(change.m_IncarnationHash) > 0;
    Limit&     l       = known ? it->second : Add(change.m_IncarnationHash, now);
    const bool changed = !known || static_cast<float>(l.m_RequestsPerS) != static_cast<float>(*change.m_RequestsPerS);
    l.m_RequestsPerS   = *change.m_RequestsPerS;
    l.m_ProbeAt        = now + ProbeInterval();
    UpdateLocalRate(change.m_IncarnationHash, l, now);
    return changed;
}

void ServerLimits::RemoveUnlisted(std::span<const uint64_t> listed)
{
    std::erase_if(m_Limits, [&](const auto& item) { return std::find(listed.begin(), listed.end(), item.first) == listed.end(); });
}

void ServerLimits::SetRouters(const LimitRouters& routers, TimePoint now)
{
    if (routers == m_Routers)
        return;
    m_Routers = routers;
    for (auto& [incarnation, limit] : m_Limits)
        UpdateLocalRate(incarnation, limit, now);
}

// The bucket starts empty because requests already in flight to the server use up the initial burst.
ServerLimits::Limit& ServerLimits::Add(uint64_t incarnation, TimePoint now)
{
    if (m_Limits.size() >= kLimitsMax)
        m_Limits.erase(m_Limits.begin());
    Limit limit{0, {}, {}, 0, TokenBucket(1, 1, now)};
    limit.m_Bucket.Reserve(1, now);
    return m_Limits.insert_or_assign(incarnation, limit).first->second;
}

double ServerLimits::LocalRate(uint64_t incarnation, double requests_per_s) const
{
    const double max_senders = 1 + std::floor(kSendersPerLimit * requests_per_s);
    if (m_Routers.m_Total == 0)
        return requests_per_s / kAssumedRouterCount;
    if (m_Routers.m_Total <= max_senders)
        return requests_per_s / m_Routers.m_Total;
    const size_t selected = std::min(static_cast<size_t>(max_senders), m_Routers.m_KnownToAll.size());
    const auto   self     = std::find(m_Routers.m_KnownToAll.begin(), m_Routers.m_KnownToAll.end(), m_Routers.m_Self);
    if (self == m_Routers.m_KnownToAll.end() || RendezvousRank(std::to_string(incarnation), m_Routers.m_KnownToAll, m_Routers.m_Self) >= selected)
        return 0;
    return requests_per_s / static_cast<double>(selected);
}

void ServerLimits::UpdateLocalRate(uint64_t incarnation, Limit& limit, TimePoint now) const
{
    limit.m_LocalRate = LocalRate(incarnation, limit.m_RequestsPerS);
    if (limit.m_LocalRate > 0)
        limit.m_Bucket.SetRate(limit.m_LocalRate, 1, now);
}

// Uniformly random from 0.5 to 1.5 times the mean, so that routers that learned of a limit simultaneously do not probe simultaneously.
Duration ServerLimits::ProbeInterval()
{
    const double routers = m_Routers.m_Total > 0 ? m_Routers.m_Total : kAssumedRouterCount;
    const double jitter  = 0.5 + static_cast<double>(m_Random() >> 11) * 0x1p-53;
    return std::max<Duration>(kProbeIntervalMin, FromSeconds(ToSeconds(kProbeIntervalPerRouter) * routers * jitter));
}

} // namespace aldervale
