// News of the list of servers. See server_news.h.
#include "process/server_news.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr size_t kRowBytes = 40; // of a row in a datagram besides its key and value

}

std::vector<ServersTold> SplitServerNews(uint64_t since, RowRead changes)
{
    std::sort(changes.m_Rows.begin(), changes.m_Rows.end(), [](const Row& a, const Row& b) { return a.m_Version < b.m_Version; });
    std::vector<ServersTold> out(1);
    out.back().m_Since = since;
    size_t bytes       = 0;
    for (Row& row : changes.m_Rows)
    {
        ServersTold& last = out.back();
        const size_t more = kRowBytes + row.m_Key.size() + row.m_Value.size();
        // Rows of one version stay together: a datagram leads to a version only with all of its rows.
        const bool full = bytes + more > kServersNewsBytes && !last.m_Rows.m_Rows.empty() && last.m_Rows.m_Rows.back().m_Version < row.m_Version;
        if (full)
        {
            last.m_Rows.m_StoreVersion = std::max(last.m_Since, last.m_Rows.m_Rows.back().m_Version);
            last.m_More                = true;
            const uint64_t from        = last.m_Rows.m_StoreVersion;
            out.emplace_back();
            out.back().m_Since = from;
            bytes              = 0;
        }
        bytes += more;
        out.back().m_Rows.m_Rows.push_back(std::move(row));
    }
    out.back().m_Rows.m_StoreVersion = std::max(out.back().m_Since, changes.m_StoreVersion);
    return out;
}

ServersTold ServerNewsReader::SignOfLife(uint64_t held, bool reachable, TimePoint now) const
{
    ServersTold told;
    told.m_Since               = held;
    told.m_Rows.m_StoreVersion = held;
    told.m_CheckedAge          = now - m_AskedAt;
    told.m_Lost                = !reachable || told.m_CheckedAge > kServersFresh;
    return told;
}

bool ServerNewsListener::OnNews(const ServersTold& told, uint64_t held, TimePoint now)
{
    if (told.m_Lost)
        return false;
    const bool fits  = held > 0 && told.m_Since <= held;
    const bool whole = fits || told.m_Rows.m_StoreVersion <= held; // with these rows all is held that the sender holds
    if (whole && held > 0 && !told.m_More)
        m_CheckedAt = std::max(m_CheckedAt, now - told.m_CheckedAge);
    if (told.m_Rows.m_StoreVersion > m_Newest)
    {
        m_NewestAt = m_Newest <= held ? now : m_NewestAt; // a gap is as old as its first news
        m_Newest   = told.m_Rows.m_StoreVersion;
    }
    return fits;
}

// Who holds nothing needs the whole list, which only the store tells.
bool ServerNewsListener::Asks(uint64_t held, TimePoint now)
{
    if (held == 0 || m_Newest <= held || now - m_AskedAt < kServersAskEvery)
        return false;
    m_AskedAt = now;
    return true;
}

// What was told while the list came is a gap that is as old as the list.
void ServerNewsListener::OnWholeList(TimePoint asked, TimePoint now)
{
    OnOwnRead(asked);
    m_NewestAt = now;
}

bool ServerNewsListener::ReadsFirst(size_t place, TimePoint now) const
{
    return now - m_StartedAt > m_Patience.m_First + kServersFirstStagger * (1 << std::min(place, kServersFirstPlaces));
}

bool ServerNewsListener::Behind(uint64_t held, TimePoint now) const
{
    return m_Newest > held && now - m_NewestAt > m_Patience.m_Behind;
}

bool ServerNewsListener::Reads(uint64_t held, size_t rank, TimePoint now) const
{
    const auto place   = static_cast<int>(std::min(rank, kServersStaggersMax));
    const auto stagger = kServersStagger * place;
    return held == 0 || Behind(held, now - stagger) || Stale(now - stagger);
}

} // namespace aldervale
