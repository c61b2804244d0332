// Usage accounting and burn rates. See usage.h.
#include "request/usage.h"
#include "common/hash.h"

namespace aldervale
{

static int64_t MinuteOf(TimePoint t)
{
    return std::chrono::duration_cast<std::chrono::minutes>(t.time_since_epoch()).count();
}

Usage::Shard& Usage::ShardOf(std::string_view account)
{
    return m_Shards[Hash64(account) % kShards];
}

void Usage::Record(const RequestRecord& r, TimePoint now)
{
    Shard&          shard = ShardOf(r.m_Account);
    std::lock_guard lock(shard.m_Mutex);
    AccountTotals&  t = shard.m_Totals[r.m_Account];
    t.m_Requests++;
    t.m_Ran += r.m_Verdict == Verdict_Ran ? 1 : 0;
    t.m_NotRun += r.m_Verdict == Verdict_NotRun ? 1 : 0;
    t.m_MayHaveRun += r.m_Verdict == Verdict_MayHaveRun ? 1 : 0;
    t.m_BytesIn += r.m_BytesIn;
    t.m_BytesOut += r.m_BytesOut;
    t.m_TokensOut += r.m_TokensOut;
    Ring&         ring   = shard.m_Rings[{r.m_Service, r.m_Account}];
    const int64_t minute = MinuteOf(now);
    Minute&       m      = ring[static_cast<size_t>(minute) % ring.size()];
    if (m.m_Minute != minute)
        m = {minute, 0, 0};
    (r.m_Good ? m.m_Good : m.m_Bad)++;
}

json::object Usage::Totals() const
{
    json::object out;
    for (const Shard& shard : m_Shards)
    {
        std::lock_guard lock(shard.m_Mutex);
        for (const auto& [account, t] : shard.m_Totals)
            out[account] = json::object{{"requests", t.m_Requests},       {"ran", t.m_Ran},          {"not_run", t.m_NotRun},
                                        {"may_have_run", t.m_MayHaveRun}, {"bytes_in", t.m_BytesIn}, {"bytes_out", t.m_BytesOut},
                                        {"tokens_out", t.m_TokensOut}};
    }
    return out;
}

json::array Usage::BurnRows(TimePoint now) const
{
    json::array   rows;
    const int64_t minute = MinuteOf(now);
    for (const Shard& shard : m_Shards)
    {
        std::lock_guard lock(shard.m_Mutex);
        for (const auto& [key, ring] : shard.m_Rings)
        {
            json::array windows;
            for (const unsigned w : kBurnWindowsMin)
            {
                uint64_t good = 0;
                uint64_t bad  = 0;
                for (const Minute& m : ring)
                {
                    const bool inside = m.m_Minute >= 0 && m.m_Minute > minute - static_cast<int64_t>(w) && m.m_Minute <= minute;
                    good += inside ? m.m_Good : 0;
                    bad += inside ? m.m_Bad : 0;
                }
                windows.push_back(json::object{{"minutes", w}, {"good", good}, {"bad", bad}});
            }
            rows.push_back(json::object{{"service", key.first}, {"account", key.second}, {"windows", windows}});
        }
    }
    return rows;
}

static json::object* FindRow(json::array& rows, const json::object& like)
{
    for (json::value& v : rows)
        if (v.at("service") == like.at("service") && v.at("account") == like.at("account"))
            return &v.as_object();
    return nullptr;
}

void MergeBurn(json::array& target, const json::array& rows)
{
    for (const json::value& row : rows)
    {
        json::object* existing = FindRow(target, row.as_object());
        if (existing == nullptr)
        {
            target.push_back(row);
            continue;
        }
        json::array&       a = existing->at("windows").as_array();
        const json::array& b = row.at("windows").as_array();
        for (size_t i = 0; i < std::min(a.size(), b.size()); i++)
            for (const std::string_view key : {"good", "bad"})
                a[i].as_object()[key] = a[i].at(key).to_number<uint64_t>() + b[i].at(key).to_number<uint64_t>();
    }
}

void AddBurnRates(json::array& rows, const std::map<std::string, double>& allowed_bad_share)
{
    for (json::value& row : rows)
    {
        const auto   it    = allowed_bad_share.find(std::string(row.at("service").as_string()));
        const double share = it == allowed_bad_share.end() ? 0.01 : it->second;
        for (json::value& w : row.as_object().at("windows").as_array())
        {
            const double good     = w.at("good").to_number<double>();
            const double bad      = w.at("bad").to_number<double>();
            w.as_object()["burn"] = good + bad > 0 ? bad / (good + bad) / share : 0.0;
        }
    }
}

} // namespace aldervale
