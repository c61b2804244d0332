// aldervale: usage accounting per client account, and burn rates of the service levels
//
// Usage is counted as running totals for each run of a router process. A flush writes the totals into the row of that run, so a flush that is
// repeated or whose response was lost counts nothing twice. For the burn rates, good and bad requests are counted per service and account in ring
// buffers with one entry per minute. The burn rate over a window is the share of bad requests divided by the allowed share (1 = the error budget is
// used up exactly). Thread-safe: the state is divided into shards, each with its own mutex.
//
// Usage:
//   usage.Record({"chat", "desk", Verdict_Ran, true, 120, 900, 64}, now);
//   json::object totals = usage.Totals();
//   json::array  rows   = usage.BurnRows(now);        // counts; merge those of several routers with MergeBurn()

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
    bool        m_Good      = false;          // answered completely and within the service level objective
    uint64_t    m_BytesIn   = 0;              //
    uint64_t    m_BytesOut  = 0;              //
    uint64_t    m_TokensOut = 0;              // number of events of the stream
};

constexpr std::array<unsigned, 4> kBurnWindowsMin = {5, 30, 60, 360}; // lengths of the windows in minutes

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
        int64_t  m_Minute = -1; // minutes since the epoch of the monotonic clock; -1: unused
        uint64_t m_Good   = 0;  //
        uint64_t m_Bad    = 0;  //
    };

    using Ring = std::array<Minute, 361>;

    struct Shard
    {
        mutable std::mutex                                  m_Mutex;  // guards the members below
        std::map<std::string, AccountTotals>                m_Totals; // by account; the values never fall
        std::map<std::pair<std::string, std::string>, Ring> m_Rings;  // by service and account
    };

    static constexpr size_t kShards = 8;

    Shard& ShardOf(std::string_view account);

    std::array<Shard, kShards> m_Shards;
};

// Adds the counts of `rows` to the entries of `target` with the same service, account and window.
void MergeBurn(json::array& target, const json::array& rows);
// Adds the burn rate as "burn" to each window. `allowed_bad_share` holds the allowed share of bad requests by service, from the declared objectives.
void AddBurnRates(json::array& rows, const std::map<std::string, double>& allowed_bad_share);

} // namespace aldervale
