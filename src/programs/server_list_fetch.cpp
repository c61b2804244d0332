// Fetching the list of servers from a router. See server_list_fetch.h.
#include "server_list_fetch.h"
#include "common/log.h"
#include "common/metrics.h"
#include "connection/packed_servers.h"
#include "server_news_wire.h"

namespace aldervale
{

namespace
{

constexpr uint64_t kSpreadMs   = 150;                // longest pause before a fetch: news reach all processes at once
constexpr auto     kConnectMax = milliseconds(300);  //
constexpr auto     kAnswerMax  = milliseconds(2000); // a router gives the list to a hundred processes at once

} // namespace

void ServerListFetch::OnTold(const Endpoint& router)
{
    if (m_Running)
        return;
    m_Running = true;
    asio::co_spawn(
        m_Ioc, [this, router] { return Run(router); }, asio::detached);
}

awaitable<void> ServerListFetch::Run(Endpoint router)
{
    static Counter& done   = Metrics().GetCounter("aldervale_server_list_fetches_total", "answered=\"yes\"");
    static Counter& failed = Metrics().GetCounter("aldervale_server_list_fetches_total", "answered=\"no\"");
    co_await SleepFor(milliseconds(m_Random() % kSpreadMs));
    const std::optional<ServersTold> whole = co_await Fetch(router);
    m_Running                              = false;
    (whole ? done : failed).Add(1);
    LogEvent(Event_ListFetched, {{"from", router.ToString()},
                                 {"answered", whole.has_value()},
                                 {"version", whole ? whole->m_Rows.m_StoreVersion : 0},
                                 {"rows", whole ? whole->m_Rows.m_Rows.size() : 0}});
    if (whole)
        m_OnWhole(*whole);
}

awaitable<std::optional<ServersTold>> ServerListFetch::Fetch(Endpoint router)
{
    auto socket = co_await ConnectTcp(router, kConnectMax);
    if (!socket)
        co_return std::nullopt;
    const auto link = std::make_shared<Link>(std::move(socket.value()), LinkSide_Dialled, LinkConfig{}, LinkHandlers{});
    link->Start();
    const MailboxPtr answer = link->OpenExchange(m_Ioc.get_executor());
    link->Send(EncodeFrame(answer->Id(), wire::ServersAskT{}));
    const TimePoint               until = Now() + kAnswerMax;
    const std::optional<FrameBuf> frame = co_await answer->Pop(until);
    link->Close();
    const wire::ServersPacked* packed = frame ? frame->Get()->body_as_ServersPacked() : nullptr;
    if (packed == nullptr)
        co_return std::nullopt;
    std::optional<ServersTold> out;
    UnpackServers(*packed, kWholeListMax, [&](const wire::ServersNews& news) { out = FromWire(news, milliseconds(packed->checked_age_ms())); });
    co_return out;
}

} // namespace aldervale
