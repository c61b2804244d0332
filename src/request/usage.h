// aldervale: accounting per client account and burn of service levels
//
// Usage is counted per router incarnation as running totals; flushing writes the totals target that incarnation's own row, so a flush that
// is repeated or whose answer got lost counts nothing twice. Burn keeps good and bad requests per service and account in rings of
// one-minute buckets and tells, for several windows, how fast the allowed_bad_share share of bad requests is used up (1 = exactly allowed_bad_share).
// Thread-safe; state in shards, each under its own lock.
//
// Usage:
//   usage.Record({"chat", "desk", Verdict_Ran, true, 120, 900, 64}, now);
//   json::object totals = usage.Totals();
//   json::array  rows   = usage.BurnRows(now);        // counts, to be merged over routers with MergeBurn()

#pragma once
#include "common/clock.h"
#include "common/verdict.h"
#include <array>
#include <boost/json.hpp>
#include <map>
#include <mutex>
#include <vector>

namespace aldervale
{

namespace json = boost::json;

struct RequestRecord
{
    std::string m_Service;                    //
    std::string m_Account;                    //
    Verdict     m_Verdict   = Verdict_NotRun; //
    bool        m_Good      = false;          // answered whole and within the service's level
    uint64_t    m_BytesIn   = 0;              //
    uint64_t    m_BytesOut  = 0;              //
    uint64_t    m_TokensOut = 0;              // events of a stream
};

constexpr std::array<unsigned, 4> kBurnWindowsMin = {5, 30, 60, 360}; // minutes

class Usage
{
public:
    void         Record(const RequestRecord& r, TimePoint now);
    json::object Totals() const;                // {"desk": {"requests": 7, ...}}
    json::array  BurnRows(TimePoint now) const; // [{"service", "account", "windows": [{"minutes", "good", "bad"}]}]

private:
    struct AccountTotals
    {
        uint64_t m_Requests = 0, m_Ran = 0, m_NotRun = 0, m_MayHaveRun = 0; //
        uint64_t m_BytesIn = 0, m_BytesOut = 0, m_TokensOut = 0;            //
    };

    struct Minute
    {
        int64_t  m_Minute = -1; // number on the monotonic clock; -1: unused
        uint64_t m_Good   = 0;  //
        uint64_t m_Bad    = 0;  //
    };

    using Ring = std::array<Minute, 361>;

    struct Shard
    {
        mutable std::mutex                                  m_Mutex;  // guards the members below
        std::map<std::string, AccountTotals>                m_Totals; // by account; never fall
        std::map<std::pair<std::string, std::string>, Ring> m_Rings;  // by service and account
    };

    static constexpr size_t kShards = 8;

    Shard& ShardOf(std::string_view account);

    std::array<Shard, kShards> m_Shards;
};

// Adds the counts of `rows` to `target`, matching service, account and window.
void MergeBurn(json::array& target, const json::array& rows);
// Adds "burn" to each window: bad share over allowed_bad_share share; `allowed_bad_share` by service, from the declared targets.
void AddBurnRates(json::array& rows, const std::map<std::string, double>& allowed_bad_share);

} // namespace aldervale
