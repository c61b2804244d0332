// aldervale: links between the agents of one service's boxes, over which pieces of weights are sent
//
// An agent keeps links to a limited set of neighbours, chosen by hash in its own data centre and in others, so that a new version can spread without
// delay. It accepts links from any agent. Peers are named by the address that they listen on. Used on one thread only.
//
// Usage:
//   PieceLinks links(ioc, {"10.0.0.7:7700", "dc-1"}, handlers);
//   links.Listen(endpoint);
//   links.SetPeers(peers);          // all boxes of the service

#pragma once
#include "connection/load_channel.h"
#include <map>
#include <set>

namespace aldervale
{

struct PeerBox
{
    Endpoint    m_Address;     // that its agent listens on for links
    std::string m_DataCentre;  //
    uint64_t    m_Weights = 0; // version that its server holds, as listed; 0: none
    auto        Name() const { return m_Address.ToString(); }
};

struct PieceLinkHandlers
{
    std::function<void(const std::string& peer)>                                  m_OnUp;    // the first link to that peer was established
    std::function<void(const std::string& peer)>                                  m_OnDown;  // the last link to that peer closed
    std::function<void(const std::string& peer, const LinkPtr&, const FrameBuf&)> m_OnFrame; // a frame that doesn't answer one of ours
};

class PieceLinks
{
public:
    PieceLinks(asio::io_context& ioc, ProcessName self, PieceLinkHandlers handlers);

    Status                         Listen(const Endpoint& at);
    void                           SetPeers(std::vector<PeerBox> peers); // may contain this box itself
    LinkPtr                        Find(const std::string& peer) const;  // null: no link to that peer
    std::vector<std::string>       Up() const;                           // peers with at least one link
    bool                           SameDataCentre(const std::string& peer) const;
    std::vector<PeerBox>           Neighbours() const; // peers that this box keeps links to
    template <class MessageT> void Broadcast(const MessageT& message)
    {
        const FrameBytes frame = EncodeFrame(0, message);
        for (const auto& [name, links] : m_Links)
            links.front()->Send(frame);
    }

private:
    awaitable<void> AcceptLoop();
    awaitable<void> DialLoop();
    awaitable<void> Dial(PeerBox peer);
    void            Adopt(tcp::socket socket, LinkSide side, std::string peer);
    void            Name(const LinkPtr& link, const std::string& peer); // records which peer the link leads to
    void            OnClose(const LinkPtr& link);

    asio::io_context&                           m_Ioc;       //
    ProcessName                                 m_Self;      // m_Name is the address that this agent listens on
    PieceLinkHandlers                           m_Handlers;  //
    std::optional<tcp::acceptor>                m_Acceptor;  //
    std::map<std::string, PeerBox>              m_Peers;     // by name
    std::map<std::string, std::vector<LinkPtr>> m_Links;     // by peer; lists are never empty
    std::set<std::string>                       m_Dialling;  // peers to which a connection is being opened
    asio::steady_timer                          m_DialTimer; // of DialLoop(); cancelled when there are peers and no links
};

} // namespace aldervale
