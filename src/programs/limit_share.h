// aldervale: exchanges rate limits of backend servers with other routers
//
// Sends the changes of a ServerLimits by datagrams to the routers of the own region and the known routers of other regions. Changes received from
// another region are forwarded within the own one. They are sent once, without acknowledgement: a router that misses one learns of the limit from an
// answer of the server. Also updates the set of routers among which the limits are divided.
//
// Usage (platform_router.cpp):
//   LimitShare share(loads, peers, serve.GetServerLimits());
//   share.Look(serve.RoutersHint(), now);                    // about every 100 ms

#pragma once
#include "process/declarations_peers.h"
#include "request/server_limits.h"

namespace aldervale
{

class LimitShare // used on one thread; lives as long as the process
{
public:
    LimitShare(LoadListener& loads, DeclarationsPeers& peers, ServerLimits& limits);

    void Look(uint32_t routers_hint, TimePoint now); // sends changes and updates the set of routers; routers_hint: see DirectServe

private:
    void OnNews(const wire::LimitNews& news, const Endpoint& from);
    void Send(std::span<const LimitChange> changes, std::span<const Endpoint> to);

    LoadListener&      m_Loads;  //
    DeclarationsPeers& m_Peers;  //
    ServerLimits&      m_Limits; //
};

} // namespace aldervale
