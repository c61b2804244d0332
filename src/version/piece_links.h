// aldervale: links between the agents of one service's boxes, over which pieces of weights travel
//
// An agent keeps links to a bounded set of neighbours, chosen by hash in its own data centre and elsewhere, so that a named version can
// spread at once, and takes links from anybody. Peers are named by the address that they listen on. Touched on one thread.
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
    Endpoint    m_Address;    // of its links
    std::string m_DataCentre; //
    auto        Name() const { return m_Address.ToString(); }
};

struct PieceLinkHandlers
{
    std::function<void(const std::string& peer)>                                  m_OnUp;    // first link to that peer
    std::function<void(const std::string& peer)>                                  m_OnDown;  // last link to it ended
    std::function<void(const std::string& peer, const LinkPtr&, const FrameBuf&)> m_OnFrame; // not an answer to one of ours
};

class PieceLinks
{
public:
    PieceLinks(asio::io_context& ioc, ProcessName self, PieceLinkHandlers handlers);

    Status                         Listen(const Endpoint& at);
    void                           SetPeers(std::vector<PeerBox> peers); // the own box may be among them
    LinkPtr                        Find(const std::string& peer) const;  // null: none
    std::vector<std::string>       Up() const;                           // peers with a link
    bool                           SameDataCentre(const std::string& peer) const;
    template <class MessageT> void Broadcast(const MessageT& message)
    {
        const FrameBytes frame = EncodeFrame(0, message);
        for (const auto& [name, links] : m_Links)
            links.front()->Send(frame);
    }

private:
    awaitable<void>      AcceptLoop();
    awaitable<void>      DialLoop();
    awaitable<void>      Dial(PeerBox peer);
    void                 Adopt(tcp::socket socket, LinkSide side, std::string peer);
    void                 Name(const LinkPtr& link, const std::string& peer);
    void                 OnClose(const LinkPtr& link);
    std::vector<PeerBox> Neighbours() const;

    asio::io_context&                           m_Ioc;      //
    ProcessName                                 m_Self;     // m_Name is the own listening address
    PieceLinkHandlers                           m_Handlers; //
    std::optional<tcp::acceptor>                m_Acceptor; //
    std::map<std::string, PeerBox>              m_Peers;    // by name
    std::map<std::string, std::vector<LinkPtr>> m_Links;    // by peer; no empty lists
    std::set<std::string>                       m_Dialling; // peers being dialled
};

} // namespace aldervale
