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
    return AllowsCold(LifeHash(incarnation), now) && AllowsStated(incarnation, now);
}

bool ServerLimits::AllowsStated(const ServerLife& incarnation, TimePoint now)
{
    if (PauseLeft(incarnation, now) > Duration::zero())
        return false;
    if (m_Limits.empty())
        return true;
    const auto it = m_Limits.find(LifeHash(incarnation));
    if (it == m_Limits.end() || now >= it->second.m_ProbeAt)
        return true;
    return it->second.m_LocalRate > 0 && it->second.m_Bucket.AvailableAt(1, now) <= now;
}

double ServerLimits::ColdRate(const ServerLife& incarnation, TimePoint now) const
{
    if (m_Cold.empty())
        return 0;
    const auto it = m_Cold.find(LifeHash(incarnation));
    return it == m_Cold.end() || now >= it->second.m_Server.m_Until ? 0 : it->second.m_Server.m_RequestsPerS;
}

void ServerLimits::OnSent(const ServerLife& incarnation, TimePoint now)
{
    if (Empty())
        return;
    const uint64_t hash = LifeHash(incarnation);
    const auto     cold = m_Cold.find(hash);
    if (cold != m_Cold.end() && now < cold->second.m_Server.m_Until)
        cold->second.m_Bucket.Reserve(1, now);
    const auto it = m_Limits.find(hash);
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

// The longer one counts: answers may overtake each other.
void ServerLimits::OnPause(const ServerLife& incarnation, TimePoint until, TimePoint now)
{
    std::erase_if(m_PausedUntil, [&](const auto& item) { return item.second <= now; });
    if (m_PausedUntil.size() >= kLimitsMax)
        m_PausedUntil.erase(m_PausedUntil.begin());
    TimePoint& known = m_PausedUntil[LifeHash(incarnation)];
    known            = std::max(known, until);
}

Duration ServerLimits::PauseLeft(const ServerLife& incarnation, TimePoint now) const
{
    if (m_PausedUntil.empty())
        return {};
    const auto it = m_PausedUntil.find(LifeHash(incarnation));
    return it == m_PausedUntil.end() ? Duration::zero() : std::max(Duration::zero(), it->second - now);
}

bool ServerLimits::AllowsCold(uint64_t incarnation, TimePoint now)
{
    const auto it = m_Cold.find(incarnation);
    if (it == m_Cold.end() || now >= it->second.m_Server.m_Until)
        return true;
    return it->second.m_LocalRate > 0 && it->second.m_Bucket.AvailableAt(1, now) <= now;
}

// Buckets of servers that stay cold are kept, those of further ones start empty: routers learn of a cold server simultaneously.
void ServerLimits::SetColdServers(std::span<const ColdServer> cold, TimePoint now)
{
    std::unordered_map<uint64_t, ColdLimit> before = std::exchange(m_Cold, {});
    for (const ColdServer& server : cold)
    {
        const auto known = before.find(server.m_IncarnationHash);
        ColdLimit  limit = known != before.end() ? known->second : ColdLimit{server, 0, TokenBucket(1, 1, now)};
        if (known == before.end())
            limit.m_Bucket.Reserve(1, now);
        limit.m_Server = server;
        UpdateColdRate(limit, now);
        m_Cold.insert_or_assign(server.m_IncarnationHash, limit);
    }
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
    for (auto& [incarnation, limit] : m_Cold)
        UpdateColdRate(limit, now);
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
    return IsSelectedSender(incarnation, selected) ? requests_per_s / static_cast<double>(selected) : 0;
}

bool ServerLimits::IsSelectedSender(uint64_t incarnation, size_t senders) const
{
    const auto self = std::find(m_Routers.m_KnownToAll.begin(), m_Routers.m_KnownToAll.end(), m_Routers.m_Self);
    return self != m_Routers.m_KnownToAll.end() && RendezvousRank(std::to_string(incarnation), m_Routers.m_KnownToAll, m_Routers.m_Self) < senders;
}

// Not divided by the number of known routers: that differs between routers while they can't hear each other.
double ServerLimits::LocalColdRate(const ColdServer& server) const
{
    const double senders = 1 + std::floor(kSendersPerColdRate * server.m_RequestsPerS);
    const bool   sends   = m_Routers.m_Total > 0 && IsSelectedSender(server.m_IncarnationHash, static_cast<size_t>(senders));
    return sends ? server.m_RequestsPerS / senders : 0;
}

void ServerLimits::UpdateColdRate(ColdLimit& limit, TimePoint now) const
{
    limit.m_LocalRate = LocalColdRate(limit.m_Server);
    if (limit.m_LocalRate > 0)
        limit.m_Bucket.SetRate(limit.m_LocalRate, 1, now);
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
