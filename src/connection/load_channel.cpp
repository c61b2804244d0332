// Load reports by datagrams. See load_channel.h.
#include "connection/load_channel.h"
#include "common/log.h"
#include "connection/packed_servers.h"
#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace aldervale
{

namespace
{

constexpr auto     kNoThrow      = asio::as_tuple(asio::use_awaitable);
constexpr size_t   kAskBytes     = 160;           // of a request for reports besides its texts and namings, at most
constexpr size_t   kReceiveMax   = 16 * 1024;     // bytes of a datagram: rows of one store version stay in one (server_news.h)
constexpr double   kReadingMaxMs = 60'000;        // of one prompt; more is no prompt
constexpr uint32_t kClaimMaxMs   = 2000;          // that a claim stands in line; callers' objectives are shorter
constexpr float    kPaceMin      = 0.01F;         // of an engine, against its declared costs
constexpr float    kPaceMax      = 1000;          //
constexpr double   kShareMin     = 0.001;         // of boxes that a router follows
constexpr auto     kAgeMax       = seconds(3600); // that is told; says as much as any longer one
constexpr size_t   kBoundBytes   = 16;            // of a bound of a declaration's time
constexpr size_t   kNamingBytes  = 152;           // of a naming besides the names in it, at most; with an IPv6 address and a port

Status OpenUdp(udp::socket& socket, const Endpoint& at)
{
    boost::system::error_code ec;
    const udp::endpoint       endpoint(at.m_Address, at.m_Port);
    socket.open(endpoint.protocol(), ec);
    if (!ec)
        socket.bind(endpoint, ec);
    if (!ec)
        socket.non_blocking(true, ec);
    if (ec)
        return MakeError(ErrorCode_Unavailable, "can't bind UDP " + at.ToString() + ": " + ec.message());
    return Ok();
}

// Datagrams are sent at once or not at all: the next one makes up for it.
template <class MessageT> bool SendDatagram(udp::socket& socket, const udp::endpoint& to, const MessageT& message)
{
    const FrameBytes          frame = EncodeFrame(0, message);
    boost::system::error_code ec;
    socket.send_to(asio::buffer(frame->data() + kFramePrefixLen, frame->size() - kFramePrefixLen), to, 0, ec);
    return !ec;
}

// checked_at: as of when the news are the newest; the receiver is told how long ago that was as it is sent.
PacedSender::Message ServersMessage(const wire::ServersNewsT& news, TimePoint checked_at)
{
    return [out = PackServers(news), checked_at]() mutable
    {
        const Duration age = std::clamp<Duration>(Now() - checked_at, Duration::zero(), kAgeMax);
        out.checked_age_ms = static_cast<uint32_t>(ToMs(age));
        return EncodeFrame(0, out);
    };
}

using ServersHandler = std::function<void(const wire::ServersNews& news, Duration checked_age, const Endpoint& from)>;

// Bytes that aren't a whole frame of that kind are passed over, like any other datagram.
void TakeServers(const wire::ServersPacked& packed, const Endpoint& from, const ServersHandler& handler)
{
    const Duration age = milliseconds(packed.checked_age_ms());
    if (handler)
        UnpackServers(packed, kPackedDatagramMax, [&](const wire::ServersNews& news) { handler(news, age, from); });
}

using FrameHandler = std::function<void(const wire::Frame& frame, const udp::endpoint& from)>;

// Hands on every datagram that is a whole frame, until the socket closes.
awaitable<void> ReceiveFrames(udp::socket& socket, FrameHandler handler)
{
    std::vector<uint8_t> buf(kReceiveMax);
    udp::endpoint        from;
    for (;;)
    {
        auto [ec, n] = co_await socket.async_receive_from(asio::buffer(buf), from, kNoThrow);
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec || CheckFrame(std::span(buf.data(), n)) != FrameStatus_Ok)
            continue;
        handler(*flatbuffers::GetRoot<wire::Frame>(buf.data()), from);
    }
}

double ReadingOf(float told_ms)
{
    return std::isfinite(told_ms) ? std::clamp<double>(told_ms, 0, kReadingMaxMs) : 0;
}

Duration DurationOf(float told_ms)
{
    return FromMs(ReadingOf(told_ms));
}

double RateOf(float told_per_s)
{
    return std::isfinite(told_per_s) ? std::max<double>(told_per_s, 0) : 0;
}

LoadReport FromWire(const wire::LoadState& s)
{
    LoadReport r;
    r.m_Running  = s.running();
    r.m_Waiting  = s.waiting();
    r.m_Pace     = std::isfinite(s.pace()) ? std::clamp(s.pace(), kPaceMin, kPaceMax) : 1; // servers are sorted by what follows from it
    r.m_Weights  = s.weights();
    r.m_Starting = s.starting();
    r.m_Routers  = s.routers();
    r.m_BornMs   = s.born_ms();
    r.m_Capacity = s.capacity();
    if (s.named() != nullptr)
        for (const wire::NamedWeights* n : *s.named())
            r.m_Named.push_back({n->version(), n->age_ms()});
    return r;
}

wire::LoadStateT ToWire(const LoadReport& r)
{
    wire::LoadStateT s;
    s.running  = r.m_Running;
    s.waiting  = r.m_Waiting;
    s.pace     = r.m_Pace;
    s.weights  = r.m_Weights;
    s.starting = r.m_Starting;
    s.routers  = r.m_Routers;
    s.born_ms  = r.m_BornMs;
    s.capacity = static_cast<uint16_t>(std::min<uint32_t>(r.m_Capacity, std::numeric_limits<uint16_t>::max()));
    for (const NamedAge& n : r.m_Named)
        s.named.emplace_back(n.m_Version, n.m_AgeMs);
    return s;
}

// `sent_at`: not after the sending of the naming; default: not known, and then its bounds aren't either.
ModelNaming FromWire(const wire::ModelNaming& n, TimePoint sent_at, TimePoint now)
{
    ModelNaming out;
    out.m_Service = n.service()->str();
    out.m_Model   = n.model()->str();
    out.m_Version = n.version();
    out.m_At      = n.age_ms() < 0 ? TimePoint{} : now - milliseconds(n.age_ms());
    if (n.not_before() != nullptr && sent_at != TimePoint{})
        for (const wire::NamedWeights* b : *n.not_before())
            if (b->age_ms() >= 0 && b->age_ms() < ToMs(kAgeMax))
                out.m_Bounds.push_back({b->version(), sent_at - milliseconds(b->age_ms())});
    const auto at = ParseEndpoint(n.origin() != nullptr ? n.origin()->string_view() : std::string_view());
    if (at)
        out.m_Origin = at.value();
    out.m_OriginMbps        = n.origin_mbps();
    out.m_OriginConnections = n.origin_connections();
    return out;
}

std::unique_ptr<wire::ModelNamingT> ToWire(const ModelNaming& n, TimePoint now)
{
    auto out     = std::make_unique<wire::ModelNamingT>();
    out->service = n.m_Service;
    out->model   = n.m_Model;
    out->version = n.m_Version;
    out->age_ms  = n.m_At == TimePoint{} ? -1 : ToMs(now - n.m_At);
    for (const DeclaredBound& b : n.m_Bounds)
        out->not_before.emplace_back(b.m_Version, ToMs(now - b.m_NotBefore) + 1); // rounded up: the time may not become later
    if (!n.m_Origin)
        return out;
    out->origin             = n.m_Origin->ToString();
    out->origin_mbps        = static_cast<float>(n.m_OriginMbps);
    out->origin_connections = n.m_OriginConnections;
    return out;
}

// Not after the sending of the request; default: not known. An echo of the future is that of another boot of this box.
TimePoint SentAt(const wire::LoadSubscribe& ask, TimePoint now)
{
    const auto age_max_ms = static_cast<uint64_t>(ToMs(kAgeMax));
    const auto now_ms     = static_cast<uint64_t>(ToMs(now.time_since_epoch()));
    const bool told       = ask.echo_sent_ms() > 0 && ask.echo_sent_ms() <= now_ms && ask.echo_held_ms() <= age_max_ms;
    if (!told || ask.echo_sent_ms() + ask.echo_held_ms() > now_ms || now_ms - ask.echo_sent_ms() > age_max_ms)
        return {};
    return TimePoint(milliseconds(ask.echo_sent_ms() + ask.echo_held_ms()));
}

// Of a datagram at most: a request for reports takes kAskBytes and its texts.
size_t BytesOf(const ModelNaming& n)
{
    return kNamingBytes + n.m_Service.size() + n.m_Model.size() + n.m_Bounds.size() * kBoundBytes;
}

bool SameLoad(const LoadReport& a, const LoadReport& b)
{
    return a.m_Running == b.m_Running && a.m_Waiting == b.m_Waiting && a.m_Weights == b.m_Weights && a.m_Starting == b.m_Starting;
}

bool SameState(const LoadReport& a, const LoadReport& b)
{
    return a.m_Weights == b.m_Weights && a.m_Starting == b.m_Starting && a.m_BornMs == b.m_BornMs;
}

udp::endpoint ToUdp(const Endpoint& e)
{
    return {e.m_Address, e.m_Port};
}

std::vector<udp::endpoint> ToUdp(std::span<const Endpoint> all)
{
    std::vector<udp::endpoint> out;
    for (const Endpoint& e : all)
        out.push_back(ToUdp(e));
    return out;
}

Endpoint FromUdp(const udp::endpoint& e)
{
    return Endpoint{e.address(), e.port()};
}

void SendServersAsk(udp::socket& socket, const Endpoint& router, uint64_t held)
{
    wire::ServersAskT ask;
    ask.held = held;
    SendDatagram(socket, ToUdp(router), ask);
}

} // namespace

//-----------------------------------------------------------------------------
// LoadListener
//-----------------------------------------------------------------------------

LoadListener::LoadListener(asio::io_context& ioc, ProcessName self, Handler handler)
    : m_Self(std::move(self)), m_Handler(std::move(handler)), m_Socket(asio::make_strand(ioc))
{
}

Status LoadListener::Listen(const Endpoint& at)
{
    const Status opened = OpenUdp(m_Socket, at);
    if (!opened)
        return opened;
    m_At                        = at;
    const FrameHandler on_frame = [this](const wire::Frame& frame, const udp::endpoint& from) { OnFrame(frame, from); };
    asio::co_spawn(m_Socket.get_executor(), ReceiveFrames(m_Socket, on_frame), asio::detached);
    asio::co_spawn(
        m_Socket.get_executor(), [this] { return SubscribeLoop(); }, asio::detached);
    return Ok();
}

void LoadListener::OnFrame(const wire::Frame& frame, const udp::endpoint& from)
{
    const wire::LoadState* s = frame.body_as_LoadState();
    if (s != nullptr)
    {
        m_Echoes[from.address()] = {s->sent_ms(), Now()};
        m_Handler(from.address(), FromWire(*s));
    }
    const wire::ServersPacked* servers = frame.body_as_ServersPacked();
    if (servers != nullptr)
        TakeServers(*servers, FromUdp(from), m_OnServers);
    const wire::ServersAsk* asked = frame.body_as_ServersAsk();
    if (asked != nullptr && m_OnServersAsked)
        m_OnServersAsked(asked->held(), FromUdp(from));
    const wire::PlaceState* place = frame.body_as_PlaceState();
    if (place != nullptr && place->state() != nullptr && m_OnPlace)
    {
        LoadReport state = FromWire(*place->state());
        state.m_Promised = place->promised();
        state.m_UnreadMs = std::isfinite(place->unread_ms()) ? std::max(0.0F, place->unread_ms()) : 0;
        m_OnPlace(place->number(), FromUdp(from), state);
    }
    const wire::PlaceGrant* grant = frame.body_as_PlaceGrant();
    if (grant != nullptr && m_OnGrant)
        m_OnGrant(grant->number(), FromUdp(from), grant->granted());
    const wire::RouterList* list = frame.body_as_RouterList();
    if (list != nullptr)
    {
        if (!IsMeetingPoint(FromUdp(from)))
            m_ListedAt = Now();
        if (m_OnRouters)
            m_OnRouters(FromWire(*list, from.port()));
    }
    const wire::LoadSubscribe* met = frame.body_as_LoadSubscribe();
    if (met != nullptr && met->list_routers())
        OnMet(*met, from);
    const wire::CrashNews* crashes = frame.body_as_CrashNews();
    if (crashes != nullptr && m_OnCrashes)
        m_OnCrashes(*crashes, FromUdp(from));
    const wire::LimitNews* limits = frame.body_as_LimitNews();
    if (limits != nullptr && m_OnLimits)
        m_OnLimits(*limits, FromUdp(from));
    const wire::DeclarationsNews* news = frame.body_as_DeclarationsNews();
    if (news != nullptr && m_OnNews)
        m_OnNews(*news, FromUdp(from));
    const wire::RefusalNote* refusal = frame.body_as_RefusalNote();
    if (refusal != nullptr && m_OnRefusal)
        m_OnRefusal(*refusal);
    const wire::RefusalAsk* refusal_asked = frame.body_as_RefusalAsk();
    if (refusal_asked != nullptr && m_OnRefusalAsked)
        m_OnRefusalAsked(refusal_asked->number(), refusal_asked->request(), FromUdp(from));
    const wire::RefusalAnswer* refusal_answer = frame.body_as_RefusalAnswer();
    if (refusal_answer != nullptr && m_OnRefusalAnswer)
        m_OnRefusalAnswer(refusal_answer->number(), refusal_answer->known(), FromUdp(from));
}

void LoadListener::TellServers(std::span<const Endpoint> routers, const wire::ServersNewsT& news, TimePoint checked_at)
{
    std::vector<udp::endpoint> to = ToUdp(routers);
    for (const FollowedBox& box : m_Boxes)
        if (box.m_Near)
            to.push_back(ToUdp(box.m_At));
    m_Paced.Send(ServersMessage(news, checked_at), to);
}

void LoadListener::AnswerServers(const Endpoint& asker, const wire::ServersNewsT& news, TimePoint checked_at)
{
    const udp::endpoint to = ToUdp(asker);
    m_Paced.Send(ServersMessage(news, checked_at), std::span(&to, 1));
}

void LoadListener::AskServers(const Endpoint& router, uint64_t held)
{
    SendServersAsk(m_Socket, router, held);
}

void LoadListener::TellCrashes(std::span<const Endpoint> routers, wire::CrashNewsT news)
{
    m_Paced.Send([news = std::move(news)] { return EncodeFrame(0, news); }, ToUdp(routers));
}

void LoadListener::TellLimits(std::span<const Endpoint> routers, wire::LimitNewsT news)
{
    m_Paced.Send([news = std::move(news)] { return EncodeFrame(0, news); }, ToUdp(routers));
}

void LoadListener::TellOutcome(const Endpoint& box, const ServedOutcome& outcome)
{
    wire::PlaceOutcomeT out;
    out.in_flight    = static_cast<uint16_t>(std::min<uint32_t>(outcome.m_InFlight, std::numeric_limits<uint16_t>::max()));
    out.first_ms     = static_cast<float>(ToMsReal(outcome.m_TimeToFirst));
    out.predicted_ms = static_cast<float>(ToMsReal(outcome.m_PredictedFirst));
    out.event_ms     = static_cast<float>(ToMsReal(outcome.m_EventInterval));
    out.late         = outcome.m_Late;
    SendDatagram(m_Socket, ToUdp(box), out);
}

void LoadListener::TellRefusal(const Endpoint& router, uint64_t request, Duration left)
{
    wire::RefusalNoteT out;
    out.request = request;
    out.left_ms = static_cast<uint32_t>(std::max<int64_t>(0, ToMs(left)));
    SendDatagram(m_Socket, ToUdp(router), out);
}

void LoadListener::AskRefusal(const Endpoint& router, uint64_t number, uint64_t request)
{
    wire::RefusalAskT out;
    out.number  = number;
    out.request = request;
    SendDatagram(m_Socket, ToUdp(router), out);
}

void LoadListener::AnswerRefusal(const Endpoint& router, uint64_t number, bool known)
{
    wire::RefusalAnswerT out;
    out.number = number;
    out.known  = known;
    SendDatagram(m_Socket, ToUdp(router), out);
}

void LoadListener::AskPlace(const Endpoint& box, uint64_t number)
{
    wire::PlaceAskT ask;
    ask.number = number;
    SendDatagram(m_Socket, ToUdp(box), ask);
}

void LoadListener::TakePlace(const Endpoint& box, double reading_ms)
{
    wire::PlaceTakeT take;
    take.reading_ms = static_cast<float>(reading_ms);
    SendDatagram(m_Socket, ToUdp(box), take);
}

void LoadListener::ClaimPlace(const Endpoint& box, const ClaimMessage& claim)
{
    wire::PlaceClaimT out;
    out.number     = claim.m_Question.m_Number;
    out.most       = claim.m_Most;
    out.wait_ms    = static_cast<uint32_t>(std::max<int64_t>(0, ToMs(claim.m_Wait)));
    out.reading_ms = static_cast<float>(claim.m_ReadingMs);
    out.max_per_s  = static_cast<float>(claim.m_MaxPerSecond);
    out.rank       = static_cast<uint8_t>(std::min<unsigned>(claim.m_Rank, std::numeric_limits<uint8_t>::max()));
    SendDatagram(m_Socket, ToUdp(box), out);
}

void LoadListener::ReleasePlace(const Endpoint& box, uint64_t number)
{
    wire::PlaceReleaseT out;
    out.number = number;
    SendDatagram(m_Socket, ToUdp(box), out);
}

void LoadListener::Tell(const Endpoint& router, const wire::DeclarationsNewsT& news)
{
    SendDatagram(m_Socket, ToUdp(router), news);
}

void LoadListener::SetBoxes(std::vector<FollowedBox> boxes)
{
    m_Boxes = std::move(boxes);
    std::set<asio::ip::address> followed;
    for (const FollowedBox& b : m_Boxes)
        followed.insert(b.m_At.m_Address);
    std::erase_if(m_Echoes, [&](const auto& item) { return !followed.contains(item.first); });
}

void LoadListener::SetNamed(std::vector<ModelNaming> named)
{
    if (named == m_Named)
        return;
    m_Named = std::move(named);
    Subscribe(true, true);
}

void LoadListener::Subscribe(bool near, bool far)
{
    std::vector<FollowedBox> due;
    for (const FollowedBox& b : m_Boxes)
        if (b.m_Near ? near : far)
            due.push_back(b);
    SendAsk(due, false);
}

void LoadListener::AskForRouters()
{
    std::vector<FollowedBox> asked;
    for (size_t i = 0; i < std::min(kListAsked, m_Boxes.size()); i++)
        asked.push_back(m_Boxes[m_NextAsked++ % m_Boxes.size()]);
    SendAsk(asked, true);
}

bool LoadListener::IsMeetingPoint(const Endpoint& at) const
{
    return std::find(m_MeetingPoints.begin(), m_MeetingPoints.end(), at) != m_MeetingPoints.end();
}

// Answers also if its own settings don't name it: those of the asker may be older or newer.
void LoadListener::OnMet(const wire::LoadSubscribe& ask, const udp::endpoint& from)
{
    const TimePoint   now   = Now();
    const KnownRouter asker = {from.address(), ask.region() != nullptr ? ask.region()->str() : std::string()};
    m_Met.Note(asker, now);
    m_Met.Note({m_At.m_Address, m_Region}, now);
    SendDatagram(m_Socket, from, m_Met.List(asker, now));
}

void LoadListener::AskMeetingPoint()
{
    const Endpoint& point = m_MeetingPoints[m_NextMet++ % m_MeetingPoints.size()];
    if (point != m_At)
    {
        const FollowedBox asked{point, false, 1};
        SendAsk(std::span(&asked, 1), true);
        return;
    }
    const wire::RouterListT list = m_Met.List({m_At.m_Address, m_Region}, Now());
    std::vector<RouterPeer> peers;
    for (const wire::RouterAddress& r : list.routers)
        peers.push_back({Endpoint{asio::ip::make_address_v4(r.ip()), m_At.m_Port}, r.same_region()});
    if (m_OnRouters)
        m_OnRouters(peers);
}

void LoadListener::SendAsk(std::span<const FollowedBox> boxes, bool list_routers)
{
    wire::LoadSubscribeT ask;
    ask.name         = m_Self.m_Name;
    ask.data_centre  = m_Self.m_DataCentre;
    ask.region       = m_Region;
    ask.list_routers = list_routers;
    ask.declared     = m_Declared;
    size_t next      = 0; // of m_Named
    do
    {
        size_t bytes = kAskBytes + ask.name.size() + ask.data_centre.size() + ask.region.size();
        ask.named.clear();
        const TimePoint now = Now(); // of all ages: a bound would come out later by what passes between two of them
        for (; next < m_Named.size() && (ask.named.empty() || bytes + BytesOf(m_Named[next]) <= kDatagramMax); next++)
        {
            bytes += BytesOf(m_Named[next]);
            ask.named.push_back(ToWire(m_Named[next], now));
        }
        for (const FollowedBox& box : boxes)
        {
            const auto echo  = m_Echoes.find(box.m_At.m_Address);
            ask.echo_sent_ms = echo != m_Echoes.end() ? echo->second.m_SentMs : 0;
            ask.echo_held_ms = echo != m_Echoes.end() ? static_cast<uint64_t>(ToMs(now - echo->second.m_HeardAt)) : 0;
            ask.share        = static_cast<float>(box.m_Share);
            SendDatagram(m_Socket, ToUdp(box.m_At), ask);
        }
        ask.list_routers = false; // once is enough
    } while (next < m_Named.size());
}

awaitable<void> LoadListener::SubscribeLoop()
{
    const TimePoint started = Now();
    TimePoint       near_at{};
    TimePoint       far_at{};
    for (;;)
    {
        const TimePoint now   = Now();
        const Duration  every = now - started < kListsFirst ? Duration(kListEarly) : Duration(kListEvery);
        const bool      near  = !m_Boxes.empty() && now - near_at >= kSubscribeEvery;
        const bool      far   = !m_Boxes.empty() && now - far_at >= kSubscribeFar;
        near_at               = near ? now : near_at;
        far_at                = far ? now : far_at;
        Subscribe(near, far);
        if (now - m_ListedAt >= every)
            AskForRouters();
        if (!m_MeetingPoints.empty() && now - m_ListedAt >= kListStale && now - m_MetAt >= every)
        {
            m_MetAt = now;
            AskMeetingPoint();
        }
        co_await SleepFor(m_Boxes.empty() && m_MeetingPoints.empty() ? kNearEvery : kListEarly);
    }
}

//-----------------------------------------------------------------------------
// LoadPublisher
//-----------------------------------------------------------------------------

LoadPublisher::LoadPublisher(asio::io_context& ioc, std::string data_centre) : m_Socket(ioc), m_DataCentre(std::move(data_centre))
{
}

Status LoadPublisher::Listen(const Endpoint& at)
{
    const Status opened = OpenUdp(m_Socket, at);
    if (!opened)
        return opened;
    const FrameHandler on_frame = [this](const wire::Frame& frame, const udp::endpoint& from) { OnFrame(frame, from); };
    asio::co_spawn(m_Socket.get_executor(), ReceiveFrames(m_Socket, on_frame), asio::detached);
    return Ok();
}

void LoadPublisher::OnFrame(const wire::Frame& frame, const udp::endpoint& from)
{
    const wire::LoadSubscribe* subscribe = frame.body_as_LoadSubscribe();
    if (subscribe != nullptr)
        OnSubscribe(*subscribe, from);
    const wire::PlaceAsk* ask = frame.body_as_PlaceAsk();
    if (ask != nullptr && m_OnAsk)
        m_OnAsk({FromUdp(from), ask->number()});
    const wire::ServersPacked* servers = frame.body_as_ServersPacked();
    if (servers != nullptr)
        TakeServers(*servers, FromUdp(from), m_OnServers);
    const wire::PlaceClaim* claim = frame.body_as_PlaceClaim();
    if (claim != nullptr && m_OnClaim)
        m_OnClaim({{FromUdp(from), claim->number()},
                   claim->most(),
                   milliseconds(std::min(claim->wait_ms(), kClaimMaxMs)),
                   ReadingOf(claim->reading_ms()),
                   RateOf(claim->max_per_s()),
                   claim->rank()});
    const wire::PlaceRelease* release = frame.body_as_PlaceRelease();
    if (release != nullptr && m_OnRelease)
        m_OnRelease({FromUdp(from), release->number()});
    const wire::PlaceTake* take = frame.body_as_PlaceTake();
    if (take != nullptr && m_OnTake)
        m_OnTake(ReadingOf(take->reading_ms()));
    const wire::PlaceOutcome* outcome = frame.body_as_PlaceOutcome();
    if (outcome != nullptr && m_OnOutcome)
        m_OnOutcome({outcome->in_flight(), DurationOf(outcome->first_ms()), DurationOf(outcome->predicted_ms()), DurationOf(outcome->event_ms()),
                     outcome->late()},
                    FromUdp(from));
    const wire::NamingAsk* naming_asked = frame.body_as_NamingAsk();
    if (naming_asked != nullptr && naming_asked->service() != nullptr && m_OnNamingAsked)
        m_OnNamingAsked(naming_asked->service()->string_view(), FromUdp(from));
    const wire::NamingAnswer* naming_answer = frame.body_as_NamingAnswer();
    if (naming_answer != nullptr && naming_answer->named() != nullptr && m_OnNamingAnswer)
        for (const wire::ModelNaming* n : *naming_answer->named())
            if (n->service() != nullptr && n->model() != nullptr)
            {
                ModelNaming naming = FromWire(*n, {}, Now());
                naming.m_Declared  = naming_answer->declared();
                m_OnNamingAnswer(naming);
            }
}

void LoadPublisher::AskNaming(const Endpoint& box, const std::string& service)
{
    wire::NamingAskT out;
    out.service = service;
    SendDatagram(m_Socket, ToUdp(box), out);
}

void LoadPublisher::AnswerNaming(const Endpoint& box, const ModelNaming& known)
{
    wire::NamingAnswerT out;
    out.declared = known.m_Declared;
    out.named.push_back(ToWire(known, Now()));
    SendDatagram(m_Socket, ToUdp(box), out);
}

void LoadPublisher::OnSubscribe(const wire::LoadSubscribe& ask, const udp::endpoint& from)
{
    Subscriber& s = m_Subscribers[from];
    s.m_AskedAt   = Now();
    s.m_Near      = ask.data_centre() != nullptr && ask.data_centre()->string_view() == m_DataCentre;
    s.m_Region    = ask.region() != nullptr ? ask.region()->str() : std::string();
    s.m_Share     = std::clamp<double>(ask.share(), kShareMin, 1);
    if (ask.list_routers())
        TellRouters(from);
    if (ask.named() == nullptr || !m_OnNamed)
        return;
    const TimePoint now     = Now();
    const TimePoint sent_at = SentAt(ask, now);
    for (const wire::ModelNaming* n : *ask.named())
        if (n->service() != nullptr && n->model() != nullptr)
        {
            ModelNaming naming = FromWire(*n, sent_at, now);
            naming.m_Declared  = ask.declared();
            m_OnNamed(naming);
        }
}

void LoadPublisher::AskServers(const Endpoint& router, uint64_t held)
{
    SendServersAsk(m_Socket, router, held);
}

// A router that follows one box in eight like this one stands for eight of its kind.
uint32_t LoadPublisher::Routers() const
{
    double sum = 0;
    for (const auto& [at, s] : m_Subscribers)
        sum += 1 / s.m_Share;
    return static_cast<uint32_t>(std::lround(sum));
}

void LoadPublisher::Answer(const PlaceQuestion& question, const LoadReport& state)
{
    wire::PlaceStateT answer;
    answer.number    = question.m_Number;
    answer.promised  = state.m_Promised;
    answer.unread_ms = state.m_UnreadMs;
    answer.state     = std::make_unique<wire::LoadStateT>(ToWire(state));
    SendDatagram(m_Socket, ToUdp(question.m_Router), answer);
}

void LoadPublisher::TellRouters(const udp::endpoint& asker)
{
    std::vector<KnownRouter> routers;
    for (const auto& [from, s] : m_Subscribers)
        if (Now() - s.m_AskedAt <= s.Keep())
            routers.push_back({from.address(), s.m_Region});
    for (const wire::RouterListT& list : ListAllRouters(routers, {asker.address(), m_Subscribers[asker].m_Region}))
        SendDatagram(m_Socket, asker, list);
}

void LoadPublisher::Grant(const PlaceQuestion& question, bool granted)
{
    wire::PlaceGrantT out;
    out.number  = question.m_Number;
    out.granted = granted;
    SendDatagram(m_Socket, ToUdp(question.m_Router), out);
}

void LoadPublisher::Publish(LoadReport report)
{
    const TimePoint now = Now();
    std::erase_if(m_Subscribers, [&](const auto& item) { return now - item.second.m_AskedAt > item.second.Keep(); });
    report.m_Routers       = Routers();
    wire::LoadStateT state = ToWire(report);
    state.sent_ms          = static_cast<uint64_t>(ToMs(now.time_since_epoch()));
    for (auto& [to, s] : m_Subscribers)
    {
        const Duration every = SameLoad(report, s.m_Last) ? Duration(kUnchangedEvery) : s.m_Near ? Duration(kNearEvery) : Duration(kFarEvery);
        const bool     due   = now - s.m_SentAt >= every || !SameState(report, s.m_Last);
        if (!due)
            continue;
        s.m_SentAt = now;
        s.m_Last   = report;
        m_Sent += SendDatagram(m_Socket, to, state) ? 1 : 0;
    }
}

} // namespace aldervale
