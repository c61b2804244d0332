// aldervale: exchanges records of requests that crash servers with other routers
//
// Sends the changes of a CrashHistory by datagrams to the routers of the own region and the known routers of other regions. Changes received from
// another region are forwarded within the own one. Records of blocked requests are resent periodically, so that each router receives them about every
// kResendPerReceiver: a router that starts or returns from a partition has them within about two seconds. Nothing is sent while the history is empty.
//
// Usage (platform_router.cpp):
//   CrashShare share(loads, peers, serve.GetCrashHistory());
//   share.Look(now);                                         // about every 100 ms, and as a trial begins: trials of others are held back by it

#pragma once
#include "process/declarations_peers.h"
#include "request/crash_history.h"

namespace aldervale
{

class CrashShare // used on one thread; lives as long as the process
{
public:
    CrashShare(LoadListener& loads, DeclarationsPeers& peers, CrashHistory& history);

    void Look(TimePoint now); // sends changes, and resends records when due

private:
    void     OnNews(const wire::CrashNews& news, const Endpoint& from);
    void     Send(std::span<const CrashRecord> records, std::span<const Endpoint> to);
    Duration ResendInterval() const;

    LoadListener&      m_Loads;      //
    DeclarationsPeers& m_Peers;      //
    CrashHistory&      m_History;    //
    TimePoint          m_ResentAt{}; // last time that RecordsToResend() was sent
};

} // namespace aldervale
