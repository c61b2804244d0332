// aldervale: which routers there are, as agents tell them
//
// Every router asks every agent for load reports, so each agent knows the routers that live; routers ask a few agents for that list.
// Routers of a region rank themselves alike, by hash of their address.
//
// Usage:
//   wire::RouterListT list = ListRouters(subscribers, asker);      // an agent
//   std::vector<RouterPeer> peers = FromWire(list, port);          // a router

#pragma once
#include "connection/link.h"
#include <span>

namespace aldervale
{

constexpr size_t kRoutersListedNear = 100; // of the asker's region, best ranks first: 800 bytes of a datagram
constexpr size_t kRoutersListedFar  = 3;   // of each other region, best ranks first: its leads and one more

struct RouterPeer
{
    Endpoint m_Address;            // of its links and datagrams
    bool     m_SameRegion = false; // as the asker
};

struct KnownRouter // by an agent
{
    asio::ip::address m_Address; //
    std::string       m_Region;  //
};

uint64_t                RouterRank(const asio::ip::address& address);                                // lower goes first; the same in every process
wire::RouterListT       ListRouters(std::span<const KnownRouter> routers, const KnownRouter& asker); // without the asker
std::vector<RouterPeer> FromWire(const wire::RouterList& list, uint16_t port);

} // namespace aldervale
