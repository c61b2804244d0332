// aldervale: a node, the part of a process that keeps links to its peers and spreads what everybody must know
//
// Spread over every link by heartbeats (a few numbers, every second or two, and at once after a change): the configuration revision,
// how long ago the store confirmed it, the controller's fencing number, the version of the platform's box list. Whoever hears of a
// newer revision pulls the difference from the peer that told it; a newer list is pushed by whoever holds it. Nothing ever goes down.
//
// Usage:
//   Node node(daemon, {.m_Role = wire::PeerRole::Agent, .m_Listen = endpoint}, handlers);
//   node.Listen();
//   node.KeepLink(peer_endpoint);                   // dials, and dials again when lost
//   ConfigPtr c = node.Config();
//   node.OfferConfig(delta, Now());                 // from the store; spreads at once
//
// Index of this file:
// [SECTION] Configuration of a node
// [SECTION] Node

#pragma once
#include "connection/link.h"
#include "process/daemon.h"
#include "process/membership.h"
#include "process/resources.h"

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Configuration of a node
//-----------------------------------------------------------------------------

struct NodeConfig
{
    wire::PeerRole          m_Role = wire::PeerRole::Agent;    //
    std::optional<Endpoint> m_Listen;                          // none: only dials
    Duration                m_StateEvery = milliseconds(1000); // heartbeats of agents to routers and controllers, with state
    Duration                m_QuietEvery = milliseconds(3000); // all other heartbeats; what matters is announced at once besides
    Duration                m_GroupEvery = milliseconds(500);  // between agents whose boxes form one replica, with state
    Duration                m_Grace      = milliseconds(1500); // a link is closed when two heartbeats and this are missed
    Duration                m_RedialMin  = milliseconds(100);  // doubles up to m_RedialMax
    Duration                m_RedialMax  = milliseconds(3000); //
};

struct NodeHandlers
{
    std::function<void(const LinkPtr&, const FrameBuf&)>          m_OnFrame;  // what the node itself doesn't handle
    std::function<void(const LinkPtr&)>                           m_OnLinkUp; // after the peer's Hello
    std::function<void(const LinkPtr&)>                           m_OnLinkDown;
    std::function<void(const LinkPtr&, const wire::Heartbeat&)>   m_OnHeartbeat;
    std::function<void(ConfigPtr)>                                m_OnConfig;   // a newer revision is in force
    std::function<std::unique_ptr<wire::AgentStateT>(bool brief)> m_AgentState; // agents only: goes into heartbeats; brief: without versions
    std::function<bool()> m_StateMoves;  // agents only: versions are on their way, so that brief states would hide progress
    std::function<bool()> m_GroupMember; // agents only: this box is part of a replica over several boxes, whose members watch each other
};

struct LeaseView // what spreads about a data centre's controller
{
    uint64_t    m_Fencing = 0; // never falls
    std::string m_Holder;      //
};

//-----------------------------------------------------------------------------
// [SECTION] Node
//-----------------------------------------------------------------------------

class Node
{
public:
    Node(Daemon& daemon, NodeConfig cfg, NodeHandlers handlers);
    ~Node();

    Status Listen();
    void   KeepLink(const Endpoint& to); // once per endpoint; idempotent
    void   DropLink(const Endpoint& to); // no longer dialled; an open link is closed
    void   AnnounceToRouters();          // of the own data centre: how fresh the configuration is known to be
    void   AnnounceNow();                // heartbeats on all links at once, such as after a change of state

    ConfigPtr Config() const;                                                               // never null; revision 0 until something is known
    bool      OfferConfig(const ConfigDelta& delta, std::optional<Duration> confirmed_age); // true if it came into force
    void      ConfirmConfig(uint64_t revision, Duration age);                               // the store agreed with `revision` that long ago
    Duration  ConfirmedAge() const;                                                         // Duration::max() if never
    void      OfferList(BoxList list);                                                      //
    void      OfferLease(uint64_t fencing, std::string_view holder);
    LeaseView Lease() const;

    std::vector<LinkPtr> Links(wire::PeerRole role) const;
    std::vector<LinkPtr> AllLinks() const;
    LinkPtr              FindLink(std::string_view name) const;                   // nullptr if none
    size_t PeersAtOrBelow(uint64_t revision, std::string_view data_centre) const; // routers of that data centre whose heartbeats said so
    bool   Usable(const std::string& name) const;
    std::vector<std::string> GoneBoxes() const;
    uint64_t                 ListVersion() const;
    uint64_t                 ControlBytes() const; // in and out over all links, ever

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
