// Node: links, heartbeats and spreading. See node.h.
#include "process/node.h"
#include "common/log.h"
#include <set>

namespace aldervale
{

namespace
{

constexpr auto kNoThrow    = asio::as_tuple(asio::use_awaitable);
constexpr auto kConnectMax = milliseconds(1000);
constexpr auto kPullEvery  = milliseconds(200); // a pull without an answer is repeated after this

enum AnnounceTo
{
    AnnounceTo_All,
    AnnounceTo_NotAgentPeers,
    AnnounceTo_Routers, // of the own data centre
};

enum StateKind // how much an agent's heartbeat says of it
{
    StateKind_None,
    StateKind_Brief, // without versions
    StateKind_Full,
};

uint32_t AgeToMs(Duration age)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(ToMs(age), 0, UINT32_MAX - 1));
}

} // namespace

struct Node::Impl : std::enable_shared_from_this<Node::Impl>
{
    struct PeerView
    {
        uint64_t m_Revision = 0; // from its last heartbeat
        bool     m_Heard    = false;
    };

    Impl(Daemon& daemon, NodeConfig cfg, NodeHandlers handlers)
        : m_Daemon(daemon), m_Ioc(daemon.Ioc()), m_Config(std::move(cfg)), m_Handlers(std::move(handlers)),
          m_Snapshot(std::make_shared<ConfigSnapshot>())
    {
    }

    LinkHandlers         MakeLinkHandlers();
    LinkPtr              Adopt(tcp::socket socket, LinkSide side);
    void                 OnFrame(const LinkPtr& link, const FrameBuf& frame);
    void                 OnHello(const LinkPtr& link, const wire::Hello& hello);
    void                 OnHeartbeat(const LinkPtr& link, const wire::Heartbeat& hb);
    void                 OnConfigPull(const LinkPtr& link, const wire::ConfigPull& pull);
    void                 OnConfigDelta(const wire::ConfigDelta& msg);
    void                 OnListUpdate(const wire::ListUpdate& msg);
    void                 OnClose(const LinkPtr& link);
    void                 PullIfNewer(const LinkPtr& link, uint64_t revision);
    void                 ConfirmLocked(uint64_t revision, Duration age);
    FrameBytes           MakeHeartbeat(StateKind kind);
    bool                 AgentPeer(const LinkPtr& link) const; // both sides are agents: they need little of each other
    bool                 InGroup() const;                      // this box is part of a replica over several boxes
    std::vector<LinkPtr> OpenLinks() const;
    Duration             SendEvery(const LinkPtr& link, bool group) const;
    Duration             HearEvery(const LinkPtr& link, bool group) const;
    bool                 OfferConfig(const ConfigDelta& delta, std::optional<Duration> age);
    void                 Announce(AnnounceTo to);

    awaitable<void> AcceptLoop();
    awaitable<void> HeartbeatLoop();
    awaitable<void> DialLoop(Endpoint to);

    Daemon&                      m_Daemon;   //
    asio::io_context&            m_Ioc;      //
    NodeConfig                   m_Config;   //
    NodeHandlers                 m_Handlers; //
    std::optional<tcp::acceptor> m_Acceptor; // none when only dialling

    mutable std::mutex             m_Mutex;         // guards the members below
    std::set<LinkPtr>              m_Links;         // open links
    std::map<LinkPtr, PeerView>    m_Views;         // same keys as m_Links, after the first heartbeat
    std::set<std::string>          m_Dialled;       // endpoints that KeepLink() keeps
    std::map<std::string, LinkPtr> m_ByDial;        // open links by the endpoint dialled
    ConfigPtr                      m_Snapshot;      // its revision never falls
    TimePoint                      m_ConfirmedAt{}; // when the store agreed with m_Snapshot; {} if never
    TimePoint                      m_PulledAt{};    // last ConfigPull sent
    uint64_t                       m_PulledRevision = 0;
    LeaseView                      m_Lease;                          // m_Fencing never falls
    Membership                     m_Membership{MembershipConfig{}}; //
    uint64_t                       m_ClosedBytes = 0;                // bytes of closed links
};

//-----------------------------------------------------------------------------
// Links
//-----------------------------------------------------------------------------

LinkHandlers Node::Impl::MakeLinkHandlers()
{
    LinkHandlers h;
    h.m_OnFrame = [self = shared_from_this()](const LinkPtr& link, const FrameBuf& frame) { self->OnFrame(link, frame); };
    h.m_OnClose = [self = shared_from_this()](const LinkPtr& link) { self->OnClose(link); };
    return h;
}

LinkPtr Node::Impl::Adopt(tcp::socket socket, LinkSide side)
{
    auto link = std::make_shared<Link>(std::move(socket), side, LinkConfig{}, MakeLinkHandlers());
    {
        std::lock_guard lock(m_Mutex);
        m_Links.insert(link);
    }
    link->Start();
    wire::HelloT hello;
    hello.name        = m_Daemon.Settings().m_Name;
    hello.role        = m_Config.m_Role;
    hello.data_centre = m_Daemon.Settings().m_DataCentre;
    hello.incarnation = m_Daemon.Incarnation();
    hello.schema      = kFrameSchema;
    hello.address     = m_Config.m_Listen ? m_Config.m_Listen->ToString() : "";
    link->Send(EncodeFrame(0, hello));
    link->Send(MakeHeartbeat(StateKind_Full));
    return link;
}

awaitable<void> Node::Impl::AcceptLoop()
{
    for (;;)
    {
        auto [ec, socket] = co_await m_Acceptor->async_accept(asio::any_io_executor(asio::make_strand(m_Ioc)), kNoThrow);
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
            co_return;
        if (ec)
        {
            co_await SleepFor(milliseconds(20));
            continue;
        }
        Adopt(std::move(socket), LinkSide_Accepted);
    }
}

awaitable<void> Node::Impl::DialLoop(Endpoint to)
{
    const std::string key   = to.ToString();
    Duration          pause = m_Config.m_RedialMin;
    for (;;)
    {
        {
            std::lock_guard lock(m_Mutex);
            if (!m_Dialled.contains(key))
                co_return;
        }
        const asio::any_io_executor strand = asio::make_strand(m_Ioc);
        auto                        socket = co_await ConnectTcp(to, kConnectMax, strand);
        if (!socket)
        {
            co_await SleepFor(pause);
            pause = std::min(pause * 2, m_Config.m_RedialMax);
            continue;
        }
        const TimePoint since = Now();
        LinkPtr         link  = Adopt(std::move(socket.value()), LinkSide_Dialled);
        {
            std::lock_guard lock(m_Mutex);
            m_ByDial[key] = link;
        }
        while (!link->Closed())
            co_await SleepFor(milliseconds(50));
        {
            std::lock_guard lock(m_Mutex);
            m_ByDial.erase(key);
        }
        // A link that lived is dialled again at once; one that fell straight away waits longer.
        pause = Now() - since > seconds(2) ? m_Config.m_RedialMin : std::min(pause * 2, m_Config.m_RedialMax);
        co_await SleepFor(pause);
    }
}

void Node::Impl::OnClose(const LinkPtr& link)
{
    const LinkPeer peer = link->Peer();
    {
        std::lock_guard lock(m_Mutex);
        m_Links.erase(link);
        m_Views.erase(link);
        m_ClosedBytes += link->BytesIn() + link->BytesOut();
        bool another = false;
        for (const LinkPtr& l : m_Links)
            another = another || l->Peer().m_Name == peer.m_Name;
        if (!another)
            m_Membership.OnLinkLost(peer.m_Name, peer.m_Incarnation);
    }
    if (peer.m_Incarnation == 0)
        return;
    LogEvent(Event_LinkDown, {{"peer", peer.m_Name}});
    if (m_Handlers.m_OnLinkDown)
        m_Handlers.m_OnLinkDown(link);
}

//-----------------------------------------------------------------------------
// Frames
//-----------------------------------------------------------------------------

void Node::Impl::OnFrame(const LinkPtr& link, const FrameBuf& buf)
{
    const wire::Frame& f = *buf.Get();
    switch (f.body_type())
    {
    case wire::Body::Hello:
        return OnHello(link, *f.body_as_Hello());
    case wire::Body::Heartbeat:
        return OnHeartbeat(link, *f.body_as_Heartbeat());
    case wire::Body::ConfigPull:
        return OnConfigPull(link, *f.body_as_ConfigPull());
    case wire::Body::ConfigDelta:
        return OnConfigDelta(*f.body_as_ConfigDelta());
    case wire::Body::ListUpdate:
        return OnListUpdate(*f.body_as_ListUpdate());
    default:
        if (m_Handlers.m_OnFrame)
            m_Handlers.m_OnFrame(link, buf);
    }
}

static std::string TextOf(const flatbuffers::String* s)
{
    return s != nullptr ? s->str() : std::string();
}

void Node::Impl::OnHello(const LinkPtr& link, const wire::Hello& hello)
{
    if (hello.schema() > kFrameSchema || hello.incarnation() == 0)
    {
        LogEvent(Event_LinkRefused, {{"peer", TextOf(hello.name())}, {"schema", static_cast<int>(hello.schema())}});
        link->Close();
        return;
    }
    link->SetPeer({TextOf(hello.name()), TextOf(hello.data_centre()), TextOf(hello.address()), hello.role(), hello.incarnation()});
    {
        std::lock_guard lock(m_Mutex);
        m_Membership.OnHello(TextOf(hello.name()), hello.incarnation(), Now());
    }
    LogEvent(Event_LinkUp, {{"peer", TextOf(hello.name())}});
    if (m_Handlers.m_OnLinkUp)
        m_Handlers.m_OnLinkUp(link);
}

void Node::Impl::OnHeartbeat(const LinkPtr& link, const wire::Heartbeat& hb)
{
    const LinkPeer peer = link->Peer();
    if (peer.m_Incarnation == 0 || hb.incarnation() != peer.m_Incarnation)
        return;
    FrameBytes push_list;
    {
        std::lock_guard lock(m_Mutex);
        const bool      leaving = hb.state() != nullptr && hb.state()->leaving();
        m_Membership.OnHeartbeat(peer.m_Name, peer.m_Incarnation, leaving, Now());
        m_Views[link] = {hb.config_revision(), true};
        if (hb.config_age_ms() != UINT32_MAX)
            ConfirmLocked(hb.config_revision(), milliseconds(hb.config_age_ms()));
        if (peer.m_DataCentre == m_Daemon.Settings().m_DataCentre && hb.lease_fencing() > m_Lease.m_Fencing)
            m_Lease = {hb.lease_fencing(), TextOf(hb.lease_holder())};
        if (hb.list_version() < m_Membership.ListVersion())
        {
            wire::ListUpdateT update;
            update.version = m_Membership.ListVersion();
            update.json    = SerializeBoxList(m_Membership.List());
            push_list      = EncodeFrame(0, update);
        }
    }
    if (push_list)
        link->Send(push_list);
    PullIfNewer(link, hb.config_revision());
    if (m_Handlers.m_OnHeartbeat)
        m_Handlers.m_OnHeartbeat(link, hb);
}

void Node::Impl::PullIfNewer(const LinkPtr& link, uint64_t revision)
{
    wire::ConfigPullT pull;
    {
        std::lock_guard lock(m_Mutex);
        const bool      asked = revision <= m_PulledRevision && Now() - m_PulledAt < kPullEvery;
        if (revision <= m_Snapshot->m_Revision || asked)
            return;
        m_PulledRevision   = revision;
        m_PulledAt         = Now();
        pull.from_revision = m_Snapshot->m_Revision;
    }
    link->Send(EncodeFrame(0, pull));
}

void Node::Impl::OnConfigPull(const LinkPtr& link, const wire::ConfigPull& pull)
{
    ConfigPtr snapshot;
    Duration  age = Duration::max();
    {
        std::lock_guard lock(m_Mutex);
        snapshot = m_Snapshot;
        if (m_ConfirmedAt != TimePoint{})
            age = Now() - m_ConfirmedAt;
    }
    if (snapshot->m_Revision <= pull.from_revision())
        return;
    wire::ConfigDeltaT msg;
    msg.from_revision = pull.from_revision();
    msg.to_revision   = snapshot->m_Revision;
    msg.age_ms        = age == Duration::max() ? UINT32_MAX : AgeToMs(age);
    msg.json          = DeltaToJson(DeltaSince(*snapshot, pull.from_revision()));
    link->Send(EncodeFrame(0, msg));
}

void Node::Impl::OnConfigDelta(const wire::ConfigDelta& msg)
{
    if (msg.json() == nullptr)
        return;
    auto delta = DeltaFromJson(msg.json()->string_view());
    if (!delta)
        return;
    std::optional<Duration> age;
    if (msg.age_ms() != UINT32_MAX)
        age = milliseconds(msg.age_ms());
    OfferConfig(delta.value(), age);
}

void Node::Impl::OnListUpdate(const wire::ListUpdate& msg)
{
    if (msg.json() == nullptr)
        return;
    auto list = ParseBoxList(msg.json()->string_view());
    if (!list)
        return;
    std::lock_guard lock(m_Mutex);
    m_Membership.OnList(std::move(list.value()), Now());
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

void Node::Impl::ConfirmLocked(uint64_t revision, Duration age)
{
    const TimePoint at = Now() - age;
    if (revision == m_Snapshot->m_Revision && at > m_ConfirmedAt)
        m_ConfirmedAt = at;
}

bool Node::Impl::OfferConfig(const ConfigDelta& delta, std::optional<Duration> age)
{
    ConfigPtr next;
    {
        std::lock_guard lock(m_Mutex);
        next = ApplyDelta(*m_Snapshot, delta);
        if (next)
            m_Snapshot = next;
        if (age)
            ConfirmLocked(delta.m_To, *age);
    }
    if (!next)
        return false;
    LogEvent(Event_ConfigInForce, {{"revision", next->m_Revision}});
    Announce(AnnounceTo_All);
    if (m_Handlers.m_OnConfig)
        m_Handlers.m_OnConfig(next);
    return true;
}

//-----------------------------------------------------------------------------
// Heartbeats
//-----------------------------------------------------------------------------

bool Node::Impl::AgentPeer(const LinkPtr& link) const
{
    return m_Config.m_Role == wire::PeerRole::Agent && link->Peer().m_Role == wire::PeerRole::Agent;
}

bool Node::Impl::InGroup() const
{
    return m_Handlers.m_GroupMember && m_Handlers.m_GroupMember();
}

FrameBytes Node::Impl::MakeHeartbeat(StateKind kind)
{
    wire::HeartbeatT hb;
    hb.incarnation = m_Daemon.Incarnation();
    if (m_Handlers.m_AgentState && kind != StateKind_None)
        hb.state = m_Handlers.m_AgentState(kind == StateKind_Brief);
    std::lock_guard lock(m_Mutex);
    hb.config_revision = m_Snapshot->m_Revision;
    hb.config_age_ms   = m_ConfirmedAt == TimePoint{} ? UINT32_MAX : AgeToMs(Now() - m_ConfirmedAt);
    hb.lease_fencing   = m_Lease.m_Fencing;
    hb.lease_holder    = m_Lease.m_Holder;
    hb.list_version    = m_Membership.ListVersion();
    return EncodeFrame(0, hb);
}

std::vector<LinkPtr> Node::Impl::OpenLinks() const
{
    std::lock_guard lock(m_Mutex);
    return {m_Links.begin(), m_Links.end()};
}

void Node::Impl::Announce(AnnounceTo to)
{
    const FrameBytes full = MakeHeartbeat(StateKind_Full);
    const FrameBytes bare = MakeHeartbeat(InGroup() ? StateKind_Full : StateKind_None);
    for (const LinkPtr& link : OpenLinks())
    {
        const LinkPeer peer        = link->Peer();
        const bool     agent_peer  = AgentPeer(link);
        const bool     near_router = peer.m_Role == wire::PeerRole::Router && peer.m_DataCentre == m_Daemon.Settings().m_DataCentre;
        const bool     wanted =
            to == AnnounceTo_All || (to == AnnounceTo_NotAgentPeers && (!agent_peer || InGroup())) || (to == AnnounceTo_Routers && near_router);
        if (wanted)
            link->Send(agent_peer ? bare : full);
    }
}

// How often this process sends heartbeats on a link, and how often it may expect them.
Duration Node::Impl::SendEvery(const LinkPtr& link, bool group) const
{
    if (AgentPeer(link))
        return group ? m_Config.m_GroupEvery : m_Config.m_QuietEvery;
    return m_Config.m_Role == wire::PeerRole::Agent ? m_Config.m_StateEvery : m_Config.m_QuietEvery;
}

Duration Node::Impl::HearEvery(const LinkPtr& link, bool group) const
{
    if (AgentPeer(link))
        return group ? m_Config.m_GroupEvery : m_Config.m_QuietEvery;
    return link->Peer().m_Role == wire::PeerRole::Agent ? m_Config.m_StateEvery : m_Config.m_QuietEvery;
}

awaitable<void> Node::Impl::HeartbeatLoop()
{
    for (unsigned beat = 1;; beat++)
    {
        co_await SleepFor(m_Config.m_GroupEvery);
        const bool       group = InGroup();
        const bool       moves = m_Handlers.m_StateMoves && m_Handlers.m_StateMoves();
        const FrameBytes state = MakeHeartbeat(moves ? StateKind_Full : StateKind_Brief);
        const FrameBytes bare  = MakeHeartbeat(group ? StateKind_Full : StateKind_None);
        for (const LinkPtr& link : OpenLinks())
        {
            const auto every = SendEvery(link, group) / m_Config.m_GroupEvery;
            if (beat % std::max<unsigned>(1, static_cast<unsigned>(every)) == 0)
                link->Send(AgentPeer(link) ? bare : state);
            if (Now() - link->LastHeard() > 2 * HearEvery(link, group) + m_Config.m_Grace)
                link->Close();
        }
    }
}

//-----------------------------------------------------------------------------
// Node
//-----------------------------------------------------------------------------

Node::Node(Daemon& daemon, NodeConfig cfg, NodeHandlers handlers) : m_Impl(std::make_shared<Impl>(daemon, std::move(cfg), std::move(handlers)))
{
    Spawn(daemon.Ioc(), m_Impl->HeartbeatLoop());
}

// Called after the io_context has stopped: closes what is open and breaks the cycle between the links and their handlers.
Node::~Node()
{
    std::lock_guard           lock(m_Impl->m_Mutex);
    boost::system::error_code ec;
    if (m_Impl->m_Acceptor)
        m_Impl->m_Acceptor->close(ec);
    m_Impl->m_Links.clear();
    m_Impl->m_Views.clear();
    m_Impl->m_ByDial.clear();
    m_Impl->m_Handlers = {};
}

Status Node::Listen()
{
    auto acceptor = ListenTcp(asio::make_strand(m_Impl->m_Ioc), *m_Impl->m_Config.m_Listen);
    if (!acceptor)
        return acceptor.error();
    m_Impl->m_Acceptor.emplace(std::move(acceptor.value()));
    asio::co_spawn(
        m_Impl->m_Acceptor->get_executor(), [impl = m_Impl] { return impl->AcceptLoop(); }, asio::detached);
    return Ok();
}

void Node::KeepLink(const Endpoint& to)
{
    {
        std::lock_guard lock(m_Impl->m_Mutex);
        if (!m_Impl->m_Dialled.insert(to.ToString()).second)
            return;
    }
    Spawn(m_Impl->m_Ioc, m_Impl->DialLoop(to));
}

void Node::DropLink(const Endpoint& to)
{
    LinkPtr link;
    {
        std::lock_guard lock(m_Impl->m_Mutex);
        m_Impl->m_Dialled.erase(to.ToString());
        const auto it = m_Impl->m_ByDial.find(to.ToString());
        if (it != m_Impl->m_ByDial.end())
            link = it->second;
    }
    if (link)
        link->Close();
}

void Node::AnnounceNow()
{
    m_Impl->Announce(AnnounceTo_NotAgentPeers);
}

void Node::AnnounceToRouters()
{
    m_Impl->Announce(AnnounceTo_Routers);
}

ConfigPtr Node::Config() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return m_Impl->m_Snapshot;
}

bool Node::OfferConfig(const ConfigDelta& delta, std::optional<Duration> confirmed_age)
{
    return m_Impl->OfferConfig(delta, confirmed_age);
}

void Node::ConfirmConfig(uint64_t revision, Duration age)
{
    std::lock_guard lock(m_Impl->m_Mutex);
    m_Impl->ConfirmLocked(revision, age);
}

Duration Node::ConfirmedAge() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return m_Impl->m_ConfirmedAt == TimePoint{} ? Duration::max() : Now() - m_Impl->m_ConfirmedAt;
}

void Node::OfferList(BoxList list)
{
    std::lock_guard lock(m_Impl->m_Mutex);
    m_Impl->m_Membership.OnList(std::move(list), Now());
}

void Node::OfferLease(uint64_t fencing, std::string_view holder)
{
    {
        std::lock_guard lock(m_Impl->m_Mutex);
        if (fencing <= m_Impl->m_Lease.m_Fencing)
            return;
        m_Impl->m_Lease = {fencing, std::string(holder)};
    }
    m_Impl->Announce(AnnounceTo_All);
}

LeaseView Node::Lease() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return m_Impl->m_Lease;
}

std::vector<LinkPtr> Node::Links(wire::PeerRole role) const
{
    std::vector<LinkPtr> out;
    for (const LinkPtr& link : AllLinks())
    {
        const LinkPeer peer = link->Peer();
        if (peer.m_Incarnation != 0 && peer.m_Role == role)
            out.push_back(link);
    }
    return out;
}

std::vector<LinkPtr> Node::AllLinks() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return {m_Impl->m_Links.begin(), m_Impl->m_Links.end()};
}

LinkPtr Node::FindLink(std::string_view name) const
{
    for (const LinkPtr& link : AllLinks())
    {
        const LinkPeer peer = link->Peer();
        if (peer.m_Incarnation != 0 && peer.m_Name == name && !link->Closed())
            return link;
    }
    return nullptr;
}

size_t Node::PeersAtOrBelow(uint64_t revision, std::string_view data_centre) const
{
    std::set<std::string> names;
    std::lock_guard       lock(m_Impl->m_Mutex);
    for (const auto& [link, view] : m_Impl->m_Views)
    {
        const LinkPeer peer = link->Peer();
        if (peer.m_Role == wire::PeerRole::Router && peer.m_DataCentre == data_centre && view.m_Heard && view.m_Revision <= revision)
            names.insert(peer.m_Name);
    }
    return names.size();
}

bool Node::Usable(const std::string& name) const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return m_Impl->m_Membership.Usable(name, Now());
}

std::vector<std::string> Node::GoneBoxes() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return m_Impl->m_Membership.GoneBoxes();
}

uint64_t Node::ListVersion() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return m_Impl->m_Membership.ListVersion();
}

uint64_t Node::ControlBytes() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    uint64_t        sum = m_Impl->m_ClosedBytes;
    for (const LinkPtr& link : m_Impl->m_Links)
        sum += link->BytesIn() + link->BytesOut();
    return sum;
}

} // namespace aldervale
