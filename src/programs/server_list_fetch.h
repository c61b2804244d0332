// aldervale: fetches the whole list of servers from a router, for a process that holds none of it
//
// Load pattern: all processes of a region start together. The list is hundreds of kilobytes at the store, behind a link that the whole region
// shares; compressed and from a router of the own region it is some tens, over links of each process's own.
//
// Usage (platform_router.cpp, platform_agent.cpp):
//   ServerListFetch fetch(ioc, [&](const ServersTold& whole) { tables.UseServerList(whole); });
//   if (holds_nothing) fetch.OnTold(router);             // that router has just told of the list

#pragma once
#include "common/hash.h"
#include "connection/link.h"
#include "process/server_news.h"

namespace aldervale
{

class ServerListFetch // used on one thread; lives as long as the process
{
public:
    using Handler = std::function<void(const ServersTold& whole)>;

    ServerListFetch(asio::io_context& ioc, Handler on_whole) : m_Ioc(ioc), m_OnWhole(std::move(on_whole)), m_Random(RandomSeed()) {}

    void OnTold(const Endpoint& router); // starts a fetch unless one is under way; a failed one waits for the next news

private:
    awaitable<void>                       Run(Endpoint router);
    awaitable<std::optional<ServersTold>> Fetch(Endpoint router);

    asio::io_context& m_Ioc;             //
    Handler           m_OnWhole;         //
    Random            m_Random;          // of the pause before a fetch
    bool              m_Running = false; //
};

} // namespace aldervale
