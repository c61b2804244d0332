// aldervale: limits per client account, shared between routers without a coordinator
//
// Each router tells the others, several times a second, how many requests a second each account offers it. A router may admit the part
// of the declared limit that its own demand has in the sum: limit * (own + e) / (sum + n * e), where e keeps a little for a router that
// has seen nothing yet. A router that hears from nobody counts on the routers it last knew, so a cut-off data centre keeps its share
// and does not take the whole limit.
//
// Pure and thread-safe; accounts live in shards, each under its own lock.
//
// Usage:
//   if (auto wait = limits.Admit("desk", spec, now)) refuse, and tell the caller to come back after *wait;
//   std::vector<AccountRate> mine = limits.Tick(now);      // every m_MeasureInterval; send to the other routers
//   limits.OnPeerRates("router-2", their_rates, now);

#pragma once
#include "process/resources.h"
#include "version/token_bucket.h"
#include <array>
#include <atomic>
#include <mutex>

namespace aldervale
{

struct LimitsConfig
{
    Duration m_MeasureInterval = milliseconds(250); // how often demand is measured and told
    Duration m_PeerRetention   = seconds(600);      // how long a silent peer's demand still counts
    double   m_FloorShare      = 0.02;              // e as a share of the limit
    double   m_NewestWeight    = 0.5;               // weight of the newest window in the demand
    double   m_BurstSeconds    = 0.1;               // seconds' worth of the own share that may gather, at most the declared burst's share
};

struct AccountRate
{
    std::string m_Account;  //
    double      m_Rate = 0; // requests a second offered
};

class AccountLimits
{
public:
    explicit AccountLimits(const LimitsConfig& cfg) : m_Config(cfg) {}

    std::optional<Duration>  Admit(const std::string& account, const ClientAccountSpec& spec, TimePoint now); // nothing: admitted
    std::vector<AccountRate> Tick(TimePoint now);
    void                     OnPeerRates(const std::string& router, std::span<const AccountRate> rates, TimePoint now);
    double                   ShareOf(const std::string& account, TimePoint now); // of the limit, 0 to 1

private:
    struct PeerDemand
    {
        double    m_Rate = 0; //
        TimePoint m_At{};     //
    };

    struct Account
    {
        uint64_t                          m_OfferedCount = 0;    // since the last Tick()
        double                            m_Rate         = 0;    // smoothed, a second
        std::map<std::string, PeerDemand> m_Peers;               // by router
        TokenBucket                       m_Bucket{0, 0, {}};    //
        double                            m_Limit       = 0;     // as declared when the bucket was set
        double                            m_Burst       = 0;     //
        bool                              m_BucketReady = false; // the bucket is set
    };

    struct Shard
    {
        std::mutex                     m_Mutex;    // guards m_Accounts
        std::map<std::string, Account> m_Accounts; //
    };

    static constexpr size_t kShards = 16;

    Shard& ShardOf(const std::string& account) { return m_Shards[Hash64(account) % kShards]; }
    double ShareLocked(const Account& a, TimePoint now) const;
    void   SetRateLocked(Account& a, TimePoint now);

    LimitsConfig                     m_Config;       //
    std::array<Shard, kShards>       m_Shards;       //
    std::mutex                       m_PeersMutex;   // guards m_PeerLastSeen
    std::map<std::string, TimePoint> m_PeerLastSeen; // routers heard from, and when
    std::atomic<size_t>              m_PeerCount{0}; // size of m_PeerLastSeen
    TimePoint                        m_LastTick{};   // touched only by Tick()
};

} // namespace aldervale
