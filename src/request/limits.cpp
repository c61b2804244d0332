// Rate limits per client account, shared between routers. See limits.h.
#include "request/limits.h"

namespace aldervale
{

double AccountLimits::ShareLocked(const Account& a, TimePoint now) const
{
    const double e   = std::max(1e-9, m_Config.m_FloorShare * a.m_Limit);
    const double n   = 1 + static_cast<double>(m_PeerCount.load());
    double       sum = a.m_Rate;
    for (const auto& [router, d] : a.m_Peers)
        if (now - d.m_At < m_Config.m_PeerRetention)
            sum += d.m_Rate;
    return (a.m_Rate + e) / (sum + n * e);
}

void AccountLimits::SetRateLocked(Account& a, TimePoint now)
{
    const double rate  = a.m_Limit * ShareLocked(a, now);
    const double burst = std::max(1.0, std::min(a.m_Burst, a.m_Limit * m_Config.m_BurstSeconds) * ShareLocked(a, now));
    a.m_Bucket.SetRate(rate, burst, now);
}

std::optional<Duration> AccountLimits::Admit(const std::string& account, const ClientAccountSpec& spec, TimePoint now)
{
    Shard&          shard = ShardOf(account);
    std::lock_guard lock(shard.m_Mutex);
    Account&        a = shard.m_Accounts[account];
    a.m_OfferedCount++;
    if (!a.m_BucketReady || a.m_Limit != spec.m_LimitRps || a.m_Burst != spec.m_Burst)
    {
        a.m_Limit = spec.m_LimitRps;
        a.m_Burst = spec.m_Burst;
        if (!a.m_BucketReady)
            a.m_Bucket = TokenBucket(1, std::max(1.0, a.m_Limit * m_Config.m_BurstSeconds / (1 + static_cast<double>(m_PeerCount.load()))), now);
        a.m_BucketReady = true;
        SetRateLocked(a, now);
    }
    if (a.m_Bucket.TryTake(1, now))
        return std::nullopt;
    return a.m_Bucket.AvailableAt(1, now) - now;
}

std::vector<AccountRate> AccountLimits::Tick(TimePoint now)
{
    std::vector<AccountRate> out;
    const double elapsed_s = m_LastTick == TimePoint{} ? ToSeconds(m_Config.m_MeasureInterval) : std::max(1e-3, ToSeconds(now - m_LastTick));
    m_LastTick             = now;
    for (Shard& shard : m_Shards)
    {
        std::lock_guard lock(shard.m_Mutex);
        for (auto& [name, a] : shard.m_Accounts)
        {
            const double newest = static_cast<double>(a.m_OfferedCount) / elapsed_s;
            a.m_Rate            = a.m_Rate + m_Config.m_NewestWeight * (newest - a.m_Rate);
            a.m_OfferedCount    = 0;
            if (a.m_BucketReady)
                SetRateLocked(a, now);
            if (a.m_Rate > 0.01)
                out.push_back({name, a.m_Rate});
        }
    }
    return out;
}

void AccountLimits::OnPeerRates(const std::string& router, std::span<const AccountRate> rates, TimePoint now)
{
    {
        std::lock_guard lock(m_PeersMutex);
        m_PeerLastSeen[router] = now;
        std::erase_if(m_PeerLastSeen, [&](const auto& p) { return now - p.second > m_Config.m_PeerRetention; });
        m_PeerCount.store(m_PeerLastSeen.size());
    }
    for (Shard& shard : m_Shards)
    {
        std::lock_guard lock(shard.m_Mutex);
        for (auto& [name, a] : shard.m_Accounts)
            if (const auto it = a.m_Peers.find(router); it != a.m_Peers.end())
                it->second = {0, now}; // accounts missing from the report have no demand at that router
    }
    for (const AccountRate& r : rates)
    {
        Shard&          shard = ShardOf(r.m_Account);
        std::lock_guard lock(shard.m_Mutex);
        Account&        a = shard.m_Accounts[r.m_Account];
        a.m_Peers[router] = {r.m_Rate, now};
        if (a.m_BucketReady)
            SetRateLocked(a, now);
    }
}

double AccountLimits::ShareOf(const std::string& account, TimePoint now)
{
    Shard&          shard = ShardOf(account);
    std::lock_guard lock(shard.m_Mutex);
    const auto      it = shard.m_Accounts.find(account);
    return it == shard.m_Accounts.end() ? 1.0 / (1 + static_cast<double>(m_PeerCount.load())) : ShareLocked(it->second, now);
}

} // namespace aldervale
