// aldervale: a router's part in sharing the list of servers: tells what it reads of it, and takes what others tell
//
// The shell around ServerNewsListener: datagrams to the routers of the own region and the boxes of the own data centre, and from other routers. Who
// holds nothing gets the whole list over a connection.
//
// Usage (platform_router.cpp):
//   ServerListShare share(ioc, loads, peers, directory);
//   list_pace.m_Urgent = [&] { return share.Reads(); };
//   share.Start(tables, others_known);                       // once they exist
//   share.Look(now);                                         // every 100 ms or so

#pragma once
#include "platform_tables.h"
#include "process/declarations_peers.h"
#include "server_list_fetch.h"

namespace aldervale
{

class ServerListShare // touched on one thread; lives as long as the process
{
public:
    ServerListShare(asio::io_context& ioc, LoadListener& loads, DeclarationsPeers& peers, ServerDirectory& servers);

    void     Start(PlatformTables& tables, bool others_known); // others_known: this process comes to know other routers without the list
    bool     Reads();                                          // this router needs to read the list itself; asked often, each change is logged
    void     OnListRead(uint64_t since, TimePoint asked);      // an answer of the store about what follows on `since`, by then used
    Duration CheckedAge(TimePoint now) const { return now - m_News.CheckedAt(); } // all that the store held so long ago is held here
    void     Look(TimePoint now);                                                 // signs of life, and what follows from others'

private:
    bool       Tells() const;
    void       Tell(const ServersTold& told);
    void       TellThatItReads();
    void       OnNews(const wire::ServersNews& news, Duration checked_age, const Endpoint& from);
    void       OnAsked(uint64_t held, const Endpoint& from);
    bool       HoldsNothing() const { return m_Servers.StoreVersion() == 0; }
    bool       NeedsToRead(TimePoint now) const;
    void       OnWhole(const ServersTold& whole);
    FrameBytes WholeList(uint64_t exchange);

    wire::ServersNewsT Doubted(ServersTold told) const;

    LoadListener&                 m_Loads;               //
    DeclarationsPeers&            m_Peers;               //
    ServerDirectory&              m_Servers;             //
    PlatformTables*               m_Tables = nullptr;    // null until Start()
    ServerNewsListener            m_News{Now(), {}};     //
    ServerNewsReader              m_Reader;              //
    TimePoint                     m_ToldAt{};            // the last sign of life
    bool                          m_Reading     = false; // what Reads() last said
    bool                          m_OthersKnown = false; //
    size_t                        m_RandomPlace;         // among those that read the list for the first time, while no rank is known
    ServerListFetch               m_Fetch;               //
    wire::ServersPackedT          m_Whole;               // the whole list as of m_WholeOf
    std::pair<uint64_t, uint64_t> m_WholeOf;             // store version and Changes() of the directory
};

} // namespace aldervale
