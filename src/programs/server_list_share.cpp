// Sharing the list of servers between routers. See server_list_share.h.
#include "server_list_share.h"
#include "common/log.h"
#include "common/metrics.h"
#include "connection/packed_servers.h"
#include "server_news_wire.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr int64_t kAgeToldMaxMs = 3'600'000; // says as much as any longer one

} // namespace

ServerListShare::ServerListShare(asio::io_context& ioc, LoadListener& loads, DeclarationsPeers& peers, ServerDirectory& servers)
    : m_Loads(loads), m_Peers(peers), m_Servers(servers), m_RandomPlace(RandomSeed() % kServersFirstPlaces),
      m_Fetch(ioc, [this](const ServersTold& whole) { OnWhole(whole); })
{
}

void ServerListShare::Start(PlatformTables& tables, bool others_known)
{
    m_Tables      = &tables;
    m_OthersKnown = others_known;
    m_Peers.SetOnServersAsked([this](uint64_t exchange) { return WholeList(exchange); });
    m_Loads.SetOnServers([this](const wire::ServersNews& news, Duration age, const Endpoint& from) { OnNews(news, age, from); });
    m_Loads.SetOnServersAsked([this](uint64_t held, const Endpoint& from) { OnAsked(held, from); });
}

bool ServerListShare::Reads()
{
    const TimePoint now   = Now();
    const bool      reads = m_Peers.ReadsStore() || NeedsToRead(now);
    if (reads != m_Reading)
    {
        m_Reading = reads;
        LogEvent(reads ? Event_ListReadingStarted : Event_ListReadingRested, {{"lead", m_Peers.ReadsStore()},
                                                                              {"rank", m_Peers.Spread().Rank()},
                                                                              {"held", m_Servers.StoreVersion()},
                                                                              {"heard", m_News.Newest()},
                                                                              {"checked_age_ms", ToMs(CheckedAge(now))}});
    }
    return reads;
}

bool ServerListShare::NeedsToRead(TimePoint now) const
{
    const DeclarationsSpread& spread = m_Peers.Spread();
    if (HoldsNothing() && m_OthersKnown)
        return m_News.ReadsFirst(spread.PeersKnown() ? spread.Rank() : m_RandomPlace, now);
    return m_News.Reads(m_Servers.StoreVersion(), spread.Rank(), now);
}

// Who reads only because it missed something tells nobody: those that tell did, already.
bool ServerListShare::Tells() const
{
    return m_Servers.StoreVersion() > 0 && (m_Peers.ReadsStore() || m_News.Stale(Now()));
}

// With the doubt about rows that went away as of now.
wire::ServersNewsT ServerListShare::Doubted(ServersTold told) const
{
    told.m_Unsettled = m_Servers.UnsettledFor(Now());
    return ToWire(told);
}

void ServerListShare::Tell(const ServersTold& told)
{
    m_Loads.TellServers(m_Peers.Spread().Near(), Doubted(told), m_Reader.CheckedAt());
}

void ServerListShare::OnListRead(uint64_t since, TimePoint asked)
{
    const bool tells = Tells() && since > 0; // before this answer ends its cause
    m_Reader.OnAnswer(asked);
    m_News.OnOwnRead(asked);
    const auto changes = tells ? m_Servers.ChangesSince(since) : std::nullopt;
    if (!changes)
        return;
    for (const ServersTold& told : SplitServerNews(since, *changes))
        Tell(told);
}

// By a process that missed something. One that holds too little to be told the difference gets no answer, and reads the store.
void ServerListShare::OnAsked(uint64_t held, const Endpoint& from)
{
    static Counter& answered = Metrics().GetCounter("aldervale_server_asks_total", "answered=\"yes\"");
    static Counter& not_held = Metrics().GetCounter("aldervale_server_asks_total", "answered=\"no\"");
    const auto      changes  = m_Servers.ChangesSince(held);
    (changes ? answered : not_held).Add(1);
    if (!changes)
        return;
    for (const ServersTold& told : SplitServerNews(held, *changes))
        m_Loads.AnswerServers(from, Doubted(told), m_Reader.CheckedAt());
}

// Empty: it isn't held whole here.
FrameBytes ServerListShare::WholeList(uint64_t exchange)
{
    const auto      rows = m_Servers.Whole();
    const TimePoint now  = Now();
    if (!rows)
        return EncodeFrame(exchange, wire::ServersPackedT{});
    const std::pair<uint64_t, uint64_t> held = {m_Servers.StoreVersion(), m_Servers.Changes()};
    if (m_WholeOf != held)
    {
        ServersTold told;
        told.m_Unsettled = m_Servers.Lost() ? Duration(kLapseGrace) : m_Servers.UnsettledFor(now);
        told.m_Rows      = *rows;
        m_Whole          = PackServers(ToWire(told));
        m_WholeOf        = held;
    }
    m_Whole.checked_age_ms = static_cast<uint32_t>(std::clamp<int64_t>(ToMs(CheckedAge(now)), 0, kAgeToldMaxMs));
    return EncodeFrame(exchange, m_Whole);
}

void ServerListShare::OnWhole(const ServersTold& whole)
{
    if (!HoldsNothing() || whole.m_Rows.m_StoreVersion == 0)
        return;
    const TimePoint now = Now();
    m_Tables->UseServerList(whole);
    m_News.OnWholeList(now - whole.m_CheckedAge, now);
}

// Or that it can't.
void ServerListShare::TellThatItReads()
{
    if (!Tells())
        return;
    Tell(m_Reader.SignOfLife(m_Servers.StoreVersion(), m_Tables->ListReachable(), Now()));
}

void ServerListShare::OnNews(const wire::ServersNews& news, Duration checked_age, const Endpoint& from)
{
    static Counter&   taken = Metrics().GetCounter("aldervale_server_news_total", "used=\"yes\"");
    static Counter&   gap   = Metrics().GetCounter("aldervale_server_news_total", "used=\"no\"");
    const ServersTold told  = FromWire(news, checked_age);
    const bool        fits  = m_News.OnNews(told, m_Servers.StoreVersion(), Now());
    (fits ? taken : gap).Add(1);
    if (fits && !told.m_Rows.m_Rows.empty())
        m_Tables->UseServerNews(told);
    else if (fits)
        m_Servers.OnUpTo(told.m_Rows.m_StoreVersion);
    else if (HoldsNothing() && m_OthersKnown && told.m_Rows.m_StoreVersion > 0)
        m_Fetch.OnTold(from);
    else if (m_News.Asks(m_Servers.StoreVersion(), Now()))
        m_Loads.AskServers(from, m_Servers.StoreVersion());
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
