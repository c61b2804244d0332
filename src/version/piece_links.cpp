// Links between the agents of one service's boxes. See piece_links.h.
#include "version/piece_links.h"
#include "common/hash.h"
#include "common/log.h"

namespace aldervale
{

namespace
{

constexpr auto   kNoThrow                = asio::as_tuple(asio::use_awaitable);
constexpr size_t kNeighboursSameCentre   = 8;                 // dialled in the same data centre
constexpr size_t kNeighboursOtherCentres = 4;                 // dialled in other data centres
constexpr auto   kDialInterval           = milliseconds(250); //
constexpr auto   kDialTimeout            = milliseconds(600); // for opening a connection

} // namespace

PieceLinks::PieceLinks(asio::io_context& ioc, ProcessName self, PieceLinkHandlers handlers)
    : m_Ioc(ioc), m_Self(std::move(self)), m_Handlers(std::move(handlers)), m_DialTimer(ioc)
{
}

Status PieceLinks::Listen(const Endpoint& at)
{
    auto acceptor = ListenTcp(m_Ioc.get_executor(), at);
    if (!acceptor)
        return acceptor.error();
    m_Acceptor.emplace(std::move(acceptor.value()));
    asio::co_spawn(
        m_Ioc, [this] { return AcceptLoop(); }, asio::detached);
    asio::co_spawn(
        m_Ioc, [this] { return DialLoop(); }, asio::detached);
    return Ok();
}

void PieceLinks::SetPeers(std::vector<PeerBox> peers)
{
    m_Peers.clear();
    for (PeerBox& p : peers)
    {
        const std::string name = p.Name();
        if (name != m_Self.m_Name)
            m_Peers.emplace(name, std::move(p));
    }
    if (m_Links.empty() && m_Dialling.empty()) // a box that has just started
        m_DialTimer.cancel();
}

LinkPtr PieceLinks::Find(const std::string& peer) const
{
    const auto it = m_Links.find(peer);
    return it == m_Links.end() ? nullptr : it->second.front();
}

std::vector<std::string> PieceLinks::Up() const
{
    std::vector<std::string> out;
    for (const auto& [name, links] : m_Links)
        out.push_back(name);
    return out;
}

bool PieceLinks::SameDataCentre(const std::string& peer) const
{
    const auto it = m_Peers.find(peer);
    return it != m_Peers.end() && it->second.m_DataCentre == m_Self.m_DataCentre;
}

std::vector<PeerBox> PieceLinks::Neighbours() const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_Peers)
        names.push_back(name);
    size_t               near = 0;
    size_t               far  = 0;
    std::vector<PeerBox> out;
    for (const size_t i : RendezvousOrder(m_Self.m_Name, names))
    {
        const PeerBox& p    = m_Peers.at(names[i]);
        const bool     same = p.m_DataCentre == m_Self.m_DataCentre;
        if (same ? near++ < kNeighboursSameCentre : far++ < kNeighboursOtherCentres)
            out.push_back(p);
    }
    return out;
}

awaitable<void> PieceLinks::AcceptLoop()
{
    for (;;)
    {
        auto [ec, socket] = co_await m_Acceptor->async_accept(kNoThrow);
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
            co_return;
        if (!ec)
            Adopt(std::move(socket), LinkSide_Accepted, {});
    }
}

awaitable<void> PieceLinks::DialLoop()
{
    for (;;)
    {
        for (const PeerBox& peer : Neighbours())
            if (!m_Links.contains(peer.Name()) && m_Dialling.insert(peer.Name()).second)
                asio::co_spawn(
                    m_Ioc, [this, peer] { return Dial(peer); }, asio::detached);
        m_DialTimer.expires_after(kDialInterval);
        co_await m_DialTimer.async_wait(kNoThrow);
    }
}

awaitable<void> PieceLinks::Dial(PeerBox peer)
{
    auto socket = co_await ConnectTcp(peer.m_Address, kDialTimeout);
    m_Dialling.erase(peer.Name());
    if (socket)
        Adopt(std::move(socket.value()), LinkSide_Dialled, peer.Name());
}

void PieceLinks::Adopt(tcp::socket socket, LinkSide side, std::string peer)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    LinkHandlers h;
    h.m_OnFrame = [this](const LinkPtr& link, const FrameBuf& frame)
    {
        const wire::Hello* hello = frame.Get()->body_as_Hello();
        if (hello != nullptr && hello->address() != nullptr)
            return Name(link, hello->address()->str());
        const std::string name = link->Peer().m_Name;
        if (!name.empty())
            m_Handlers.m_OnFrame(name, link, frame);
    };
    h.m_OnClose     = [this](const LinkPtr& link) { OnClose(link); };
    const auto link = std::make_shared<Link>(std::move(socket), side, LinkConfig{}, std::move(h));
    link->Start();
    if (peer.empty())
        return;
    wire::HelloT hello;
    hello.role        = wire::PeerRole::Agent;
    hello.name        = m_Self.m_Name;
    hello.address     = m_Self.m_Name;
    hello.data_centre = m_Self.m_DataCentre;
    link->Send(EncodeFrame(0, hello));
    Name(link, peer);
}

void PieceLinks::Name(const LinkPtr& link, const std::string& peer)
{
    LinkPeer peer_info;
    peer_info.m_Name = peer;
    link->SetPeer(peer_info);
    std::vector<LinkPtr>& links = m_Links[peer];
    links.push_back(link);
    if (links.size() > 1)
        return;
    LogEvent(Event_LinkUp, {{"peer", peer}});
    m_Handlers.m_OnUp(peer);
}

void PieceLinks::OnClose(const LinkPtr& link)
{
    const std::string peer = link->Peer().m_Name;
    const auto        it   = m_Links.find(peer);
    if (it == m_Links.end())
        return;
    std::erase(it->second, link);
    if (!it->second.empty())
        return;
    m_Links.erase(it);
    LogEvent(Event_LinkDown, {{"peer", peer}});
    m_Handlers.m_OnDown(peer);
}

} // namespace aldervale
