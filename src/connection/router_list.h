// aldervale: which routers there are, as agents and other routers tell them
//
// Every router asks every agent for load reports, so each agent knows the routers that live; routers ask a few agents for that list.
// Routers of a region rank themselves alike, by hash of their address.
//
// A router that has just started knows no agent. It asks meeting points, a few routers whose addresses are in its settings. They list only the best
// ranks, from which it knows whether it is among those that read the store, and whom it asks for everything else. Load pattern: all routers of a
// region start together behind one narrow link. When each read the store before it knew of another, the reads of 117 routers filled that link with
// answers that timed out, for as long as the process lived.
//
// Usage:
//   wire::RouterListT list = ListRouters(subscribers, asker);      // an agent
//   std::vector<RouterPeer> peers = FromWire(list, port);          // a router
//   registry.Note(asker, now); registry.List(asker, now);          // a meeting point

#pragma once
#include "connection/link.h"
#include <map>
#include <span>

namespace aldervale
{

constexpr size_t kRoutersListedNear = 100; // of the asker's region in one datagram, best ranks first: 800 bytes
constexpr size_t kRoutersListedFar  = 3;   // of each other region, best ranks first: its leads and one more

constexpr size_t kRoutersMetNear = 16;                 // of the asker's region, by a meeting point: enough for all leads of it to be gone at once
constexpr size_t kRoutersMetMax  = 8192;               // routers that a meeting point knows; further ones are not noted
constexpr auto   kRouterMetKept  = milliseconds(6000); // of a router that doesn't ask any more: two questions may be lost

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
wire::RouterListT       ListRouters(std::span<const KnownRouter> routers, const KnownRouter& asker); // without the asker; the first datagram
std::vector<RouterPeer> FromWire(const wire::RouterList& list, uint16_t port);

// All routers of the asker's region: ListRouters(), and a further datagram for each kRoutersListedNear that it leaves out.
std::vector<wire::RouterListT> ListAllRouters(std::span<const KnownRouter> routers, const KnownRouter& asker);

class RouterRegistry // of a meeting point; used on one thread
{
public:
    void              Note(const KnownRouter& router, TimePoint now); // it asked just now; IPv4 only
    wire::RouterListT List(const KnownRouter& asker, TimePoint now);  // best ranks, without the asker
    size_t            Size() const;

private:
    struct Met
    {
        uint32_t  m_Ip = 0;    // host order
        TimePoint m_AskedAt{}; //
    };

    std::map<std::string, std::map<uint64_t, Met>> m_ByRegion; // region -> rank -> router
};

} // namespace aldervale
