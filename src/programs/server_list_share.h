// aldervale: a router's part in sharing the list of servers: tells what it reads of it, and takes what others tell
//
// The shell around ServerNewsListener: datagrams to the routers of the own region and the boxes of the own data centre, and from other routers.
//
// Usage (platform_router.cpp):
//   ServerListShare share(loads, peers, directory);
//   list_pace.m_Urgent = [&] { return share.Reads(); };
//   share.Start(tables);                                     // once they exist
//   share.Look(now);                                         // every 100 ms or so

#pragma once
#include "platform_tables.h"
#include "process/declarations_peers.h"

namespace aldervale
{

class ServerListShare // touched on one thread; lives as long as the process
{
public:
    ServerListShare(LoadListener& loads, DeclarationsPeers& peers, ServerDirectory& servers) : m_Loads(loads), m_Peers(peers), m_Servers(servers) {}

    void     Start(PlatformTables& tables);
    bool     Reads();                                     // this router needs to read the list itself; asked often, each change is logged
    void     OnListRead(uint64_t since, TimePoint asked); // an answer of the store about what follows on `since`, by then used
    Duration CheckedAge(TimePoint now) const { return now - m_News.CheckedAt(); } // all that the store held so long ago is held here
    void     Look(TimePoint now);                                                 // signs of life, and what follows from others'

private:
    bool Tells() const;
    void Tell(const ServersTold& told);
    void TellThatItReads();
    void OnNews(const wire::ServersNews& news, Duration checked_age, const Endpoint& from);
    void OnAsked(uint64_t held, const Endpoint& from);

    wire::ServersNewsT Doubted(ServersTold told) const;

    LoadListener&      m_Loads;            //
    DeclarationsPeers& m_Peers;            //
    ServerDirectory&   m_Servers;          //
    PlatformTables*    m_Tables = nullptr; // null until Start()
    ServerNewsListener m_News{Now(), {}};  //
    ServerNewsReader   m_Reader;           //
    TimePoint          m_ToldAt{};         // the last sign of life
    bool               m_Reading = false;  // what Reads() last said
};

} // namespace aldervale
