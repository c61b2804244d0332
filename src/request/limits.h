// aldervale: rate limits per client account, shared between routers without a coordinator
//
// Each router sends the other routers, several times a second, the request rate that each account offers to it. A router may admit the share of the
// declared limit that corresponds to its part of the total demand: limit * (own + e) / (sum + n * e). n is the number of routers; e reserves a small
// share for a router that has received no requests yet. A router that receives no reports counts the last rates of the routers that it had contact
// with (for m_PeerRetention), so a data centre that is cut off keeps its share and does not take the whole limit.
//
// Performs no I/O and reads no clock. Thread-safe: accounts are divided into shards, each with its own mutex.
//
// Usage:
//   if (auto wait = limits.Admit("desk", spec, now)) ...   // refuse; the caller may retry after *wait
//   std::vector<AccountRate> own = limits.Tick(now);       // every m_MeasureInterval; send to the other routers
//   limits.OnPeerRates("router-2", received_rates, now);

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
    Duration m_MeasureInterval = milliseconds(250); // between measurements of the demand, which are sent to the other routers
    Duration m_PeerRetention   = seconds(600);      // for which the last rates of a silent router are counted
    double   m_FloorShare      = 0.02;              // e, as a share of the limit
    double   m_NewestWeight    = 0.5;               // weight of the newest measurement in the smoothed rate
    double   m_BurstSeconds    = 0.1;               // burst of this router, in seconds of its rate; at most its share of the declared burst
};

struct AccountRate
{
    std::string m_Account;  //
    double      m_Rate = 0; // requests per second offered, admitted or not
};

class AccountLimits
{
public:
    explicit AccountLimits(const LimitsConfig& cfg) : m_Config(cfg) {}

    std::optional<Duration>  Admit(const std::string& account, const ClientAccountSpec& spec, TimePoint now); // wait before a retry; none: admitted
    std::vector<AccountRate> Tick(TimePoint now);
    void                     OnPeerRates(const std::string& router, std::span<const AccountRate> rates, TimePoint now);
    double                   ShareOf(const std::string& account, TimePoint now); // this router's share of the limit, 0 to 1

private:
    struct PeerDemand
    {
        double    m_Rate = 0; //
        TimePoint m_At{};     //
    };

    struct Account
    {
        uint64_t                          m_OfferedCount = 0;    // requests since the last Tick()
        double                            m_Rate         = 0;    // smoothed, requests per second
        std::map<std::string, PeerDemand> m_Peers;               // by router name
        TokenBucket                       m_Bucket{0, 0, {}};    //
        double                            m_Limit       = 0;     // requests per second, as declared when m_Bucket was last configured
        double                            m_Burst       = 0;     //
        bool                              m_BucketReady = false; // m_Bucket is configured
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
    std::map<std::string, TimePoint> m_PeerLastSeen; // time of the last rates received, by router name
    std::atomic<size_t>              m_PeerCount{0}; // size of m_PeerLastSeen
    TimePoint                        m_LastTick{};   // used only by Tick()
};

} // namespace aldervale
