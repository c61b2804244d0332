// Sharing the list of servers between routers. See server_list_share.h.
#include "server_list_share.h"
#include "common/metrics.h"
#include "server_news_wire.h"

namespace aldervale
{

void ServerListShare::Start(PlatformTables& tables)
{
    m_Tables = &tables;
    m_Loads.SetOnServers([this](const wire::ServersNews& news) { OnNews(news); });
}

bool ServerListShare::Reads() const
{
    return m_Peers.ReadsStore() || m_News.Reads(m_Servers.StoreVersion(), m_Peers.Spread().Rank(), Now());
}

// Who reads only because it missed something tells nobody: those that tell did, already.
bool ServerListShare::Tells() const
{
    return m_Servers.StoreVersion() > 0 && (m_Peers.ReadsStore() || m_News.Stale(Now()));
}

void ServerListShare::Tell(ServersTold told)
{
    const TimePoint now           = Now();
    told.m_Unsettled              = m_Servers.UnsettledFor(now);
    told.m_CheckedAge             = m_Reader.CheckedAge(now);
    const wire::ServersNewsT news = ToWire(told);
    for (const Endpoint& router : m_Peers.Spread().Near())
        m_Loads.TellServers(router, news);
    m_Loads.TellServersToBoxes(news);
}

void ServerListShare::OnListRead(uint64_t since, const RowRead& changes)
{
    const bool tells = Tells() && since > 0; // before this answer ends its cause
    m_Reader.OnAnswer(changes.m_AskedAt);
    m_News.OnOwnRead(changes.m_AskedAt);
    if (!tells)
        return;
    for (ServersTold& told : SplitServerNews(since, changes))
        Tell(std::move(told));
}

// Or that it can't.
void ServerListShare::TellThatItReads()
{
    if (!Tells())
        return;
    Tell(m_Reader.SignOfLife(m_Servers.StoreVersion(), m_Tables->ListReachable(), Now()));
}

void ServerListShare::OnNews(const wire::ServersNews& news)
{
    static Counter&   taken = Metrics().GetCounter("aldervale_server_news_total", "used=\"yes\"");
    static Counter&   gap   = Metrics().GetCounter("aldervale_server_news_total", "used=\"no\"");
    const ServersTold told  = FromWire(news);
    const bool        fits  = m_News.OnNews(told, m_Servers.StoreVersion(), Now());
    (fits ? taken : gap).Add(1);
    if (fits && !told.m_Rows.m_Rows.empty())
        m_Tables->UseServerNews(told);
    else if (fits)
        m_Servers.OnUpTo(told.m_Rows.m_StoreVersion);
}

void ServerListShare::Look(TimePoint now)
{
    if (!Reads()) // else the own follower tells
        m_Servers.OnStoreReached(now);
    if (now - m_ToldAt < kServersNewsEvery)
        return;
    m_ToldAt = now;
    TellThatItReads();
}

} // namespace aldervale
