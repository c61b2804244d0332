// Requests on one box. See agent_serve.h.
//
// The home of a key is the one box that may run a keyed call. Its horizon is the time before which it has no record of keys: a key minted earlier may
// have run unnoticed.
#include "request/agent_serve.h"
#include "common/log.h"
#include "common/metrics.h"
#include "request/homes.h"
#include <set>

namespace aldervale
{

namespace
{

constexpr size_t kStoredBodyMaxBytes = 256 * 1024;      // longer answers of keyed calls aren't stored and can't be replayed
constexpr auto   kRunningKeyPoll     = milliseconds(5); // interval at which a repeated call checks whether the first one has ended
constexpr auto   kCreditWait         = milliseconds(100);

} // namespace

std::vector<SettingSpec> DescribeServe(ServeSettings& s)
{
    return {
        {"serve.max_in_flight", SettingInt{&s.m_MaxInFlight, 1, 100'000}, "calls at the backend server at once"},
        {"journal.skew_ms", SettingInt{&s.m_SkewMs, 0, 600'000}, "largest difference between any two clocks, ms"},
        {"journal.max_entries", SettingInt{&s.m_JournalMax, 16, 10'000'000}, "keys remembered"},
        {"journal.max_mib", SettingInt{&s.m_JournalMib, 1, 4096}, "stored answers, MiB"},
    };
}

// One call under way on this agent.
struct ServedCall
{
    LinkPtr              m_Link;             //
    uint64_t             m_Exchange = 0;     //
    wire::ServeCallT     m_Call;             //
    TimePoint            m_Deadline{};       //
    std::atomic<int64_t> m_Credit{0};        // bytes that the router's flow control still permits to send
    std::atomic<bool>    m_Cancelled{false}; // the router cancelled the call; never reset
    uint64_t             m_Sent = 0;         // body bytes sent to the router
};
using ServedCallPtr = std::shared_ptr<ServedCall>;

struct AgentServe::Impl : std::enable_shared_from_this<AgentServe::Impl>
{
    Impl(Daemon& daemon, const ServeSettings& s, Node& node, AgentWeights* weights, Engine& engine)
        : m_Daemon(daemon), m_Settings(s), m_Node(node), m_Weights(weights), m_Engine(engine),
          m_Journal({s.m_SkewMs, static_cast<size_t>(s.m_JournalMax), static_cast<size_t>(s.m_JournalMib) << 20}, WallMs())
    {
    }

    void                    OnCall(const LinkPtr& link, uint64_t exchange, const wire::ServeCall& msg);
    ServedCallPtr           Find(const LinkPtr& link, uint64_t exchange) const;
    awaitable<void>         Run(ServedCallPtr call);
    awaitable<void>         RunKeyed(ServedCallPtr call);
    awaitable<void>         RunRepeatable(ServedCallPtr call);
    awaitable<void>         Stream(ServedCallPtr call);
    awaitable<StoredResult> CallWhole(ServedCallPtr call, bool* not_run);
    awaitable<bool>         WaitCredit(ServedCallPtr call);
    HttpRequest             BackendRequest(const ServedCall& call) const;
    std::optional<Error>    CheckHome(const ServedCall& call, bool* retired) const;
    std::string             JournalScope(const ServedCall& call) const { return call.m_Call.service + "/" + call.m_Call.account; }

    void End(const ServedCall& call, Verdict v, bool complete, const Error* e);
    void Refuse(const ServedCall& call, const Error& e) { End(call, e.m_Verdict, false, &e); }
    void SendStored(ServedCall& call, const StoredResult& r, bool replayed);

    Daemon&               m_Daemon;          //
    ServeSettings         m_Settings;        //
    Node&                 m_Node;            //
    AgentWeights*         m_Weights;         // null on boxes without a model server
    Engine&               m_Engine;          //
    KeyJournal            m_Journal;         //
    std::atomic<bool>     m_Draining{false}; // the process is stopping; never reset
    std::atomic<bool>     m_Drained{false};  // the box is declared as drained
    std::atomic<uint64_t> m_InFlight{0};     //

    mutable std::mutex                                        m_Mutex;        // guards the members below
    std::map<std::pair<const Link*, uint64_t>, ServedCallPtr> m_Calls;        // running calls
    std::set<std::string>                                     m_HomeServices; // services that this box can be a home for
};

ServedCallPtr AgentServe::Impl::Find(const LinkPtr& link, uint64_t exchange) const
{
    std::lock_guard lock(m_Mutex);
    const auto      it = m_Calls.find({link.get(), exchange});
    return it == m_Calls.end() ? nullptr : it->second;
}

void AgentServe::Impl::OnCall(const LinkPtr& link, uint64_t exchange, const wire::ServeCall& msg)
{
    auto call        = std::make_shared<ServedCall>();
    call->m_Link     = link;
    call->m_Exchange = exchange;
    msg.UnPackTo(&call->m_Call);
    call->m_Deadline = Now() + milliseconds(call->m_Call.deadline_ms);
    call->m_Credit   = call->m_Call.window;
    {
        std::lock_guard lock(m_Mutex);
        m_Calls[{link.get(), exchange}] = call;
    }
    Spawn(m_Daemon.Ioc(),
          [](std::shared_ptr<Impl> self, ServedCallPtr c) -> awaitable<void> { co_await self->Run(std::move(c)); }(shared_from_this(), call));
}

awaitable<void> AgentServe::Impl::Run(ServedCallPtr call)
{
    m_InFlight.fetch_add(1);
    if (call->m_Call.keyed)
        co_await RunKeyed(call);
    else
        co_await RunRepeatable(call);
    m_InFlight.fetch_sub(1);
    std::lock_guard lock(m_Mutex);
    m_Calls.erase({call->m_Link.get(), call->m_Exchange});
}

void AgentServe::Impl::End(const ServedCall& call, Verdict v, bool complete, const Error* e)
{
    wire::ServeEndT end;
    end.verdict   = static_cast<wire::VerdictCode>(v);
    end.length    = call.m_Sent;
    end.complete  = complete;
    end.in_flight = static_cast<uint32_t>(m_InFlight.load());
    if (e != nullptr)
    {
        end.error  = ErrorCodeName(e->m_Code);
        end.reason = e->m_Message;
        LogEvent(Event_RequestRefused, {{"service", call.m_Call.service}, {"code", end.error}, {"reason", end.reason}});
    }
    call.m_Link->Send(EncodeFrame(call.m_Exchange, end));
}

HttpRequest AgentServe::Impl::BackendRequest(const ServedCall& call) const
{
    HttpRequest req;
    req.m_Method = call.m_Call.method;
    req.m_Target = call.m_Call.target;
    for (const auto& f : call.m_Call.fields)
        req.m_Fields.push_back({f->name, f->value});
    req.m_Fields.push_back({"Aldervale-Account", call.m_Call.account});
    req.m_Fields.push_back({"Aldervale-Priority", std::to_string(call.m_Call.priority)});
    if (!call.m_Call.key.empty())
        req.m_Fields.push_back({"Idempotency-Key", call.m_Call.key});
    if (!call.m_Call.digest.empty())
        req.m_Fields.push_back({"Aldervale-Version", call.m_Call.digest});
    if (!call.m_Call.adapter.empty())
        req.m_Fields.push_back({"Aldervale-Adapter", call.m_Call.adapter});
    req.m_Body.assign(call.m_Call.body.begin(), call.m_Call.body.end());
    return req;
}

//-----------------------------------------------------------------------------
// Repeatable calls
//-----------------------------------------------------------------------------

awaitable<void> AgentServe::Impl::RunRepeatable(ServedCallPtr call)
{
    if (m_Draining.load() || m_Drained.load())
    {
        Refuse(*call, MakeError(ErrorCode_Unavailable, "box is leaving"));
        co_return;
    }
    if (m_InFlight.load() > static_cast<uint64_t>(m_Settings.m_MaxInFlight))
    {
        Refuse(*call, MakeError(ErrorCode_Limited, "box has reached its maximum of concurrent calls"));
        co_return;
    }
    const bool gated = !call->m_Call.digest.empty();
    if (gated && (m_Weights == nullptr || !m_Weights->BeginRequest(call->m_Call.digest, call->m_Call.adapter)))
    {
        Refuse(*call, MakeError(ErrorCode_Stale, "version is not servable here"));
        co_return;
    }
    co_await Stream(call);
    if (gated)
        m_Weights->EndRequest();
}

awaitable<bool> AgentServe::Impl::WaitCredit(ServedCallPtr call)
{
    while (call->m_Credit.load() <= 0 && !call->m_Cancelled.load() && !call->m_Link->Closed() && Now() < call->m_Deadline)
        co_await SleepFor(std::min<Duration>(kCreditWait, milliseconds(2)));
    co_return call->m_Credit.load() > 0 && !call->m_Cancelled.load() && !call->m_Link->Closed();
}

static bool IsHopByHop(std::string_view name)
{
    return name == "Connection" || name == "Transfer-Encoding" || name == "Content-Length" || name == "Keep-Alive";
}

awaitable<void> AgentServe::Impl::Stream(ServedCallPtr call)
{
    const HttpRequest req    = BackendRequest(*call);
    auto              opened = co_await m_Engine.Open(req, call->m_Deadline);
    if (!opened)
    {
        Refuse(*call, opened.error());
        co_return;
    }
    HttpStreamPtr    stream = std::move(opened.value());
    wire::ServeHeadT head;
    head.status = static_cast<uint16_t>(stream->Head().m_Status);
    for (const HttpField& f : stream->Head().m_Fields)
    {
        if (IsHopByHop(f.m_Name))
            continue;
        auto field   = std::make_unique<wire::FieldT>();
        field->name  = f.m_Name;
        field->value = f.m_Value;
        head.fields.push_back(std::move(field));
    }
    // A backend server may report itself that it did not run the call: 429 or 503 with Aldervale-Verdict.
    const bool refused = FindField(stream->Head().m_Fields, "Aldervale-Verdict") == VerdictName(Verdict_NotRun);
    if (refused)
    {
        Refuse(*call, MakeError(ErrorCode_Limited, "backend server refused the call"));
        co_return;
    }
    call->m_Link->Send(EncodeFrame(call->m_Exchange, head));
    for (;;)
    {
        auto piece = co_await stream->Read(call->m_Deadline);
        if (!piece)
        {
            Refuse(*call, piece.error());
            co_return;
        }
        if (piece.value().m_Done)
            break;
        const bool may_send = co_await WaitCredit(call);
        if (!may_send)
        {
            Refuse(*call, MakeError(ErrorCode_Timeout, "answer cancelled", {}, Verdict_MayHaveRun));
            co_return; // closing the connection cancels the work in the backend server
        }
        const std::string_view bytes = piece.value().m_Bytes;
        call->m_Link->Send(EncodeServeData(call->m_Exchange, bytes));
        call->m_Sent += bytes.size();
        call->m_Credit.fetch_sub(static_cast<int64_t>(bytes.size()));
        if (m_Weights != nullptr)
            m_Weights->ChargeAnswerBytes(bytes.size());
    }
    End(*call, Verdict_Ran, true, nullptr);
}

//-----------------------------------------------------------------------------
// Keyed calls, which may run only once
//-----------------------------------------------------------------------------

std::optional<Error> AgentServe::Impl::CheckHome(const ServedCall& call, bool* retired) const
{
    const ConfigPtr    c    = m_Node.Config();
    const std::string& self = m_Daemon.Settings().m_Name;
    const auto         it   = c->m_Services.find(call.m_Call.service);
    if (it == c->m_Services.end())
        return MakeError(ErrorCode_Stale, "this box has no declaration of the service yet", {}, Verdict_MayHaveRun);
    const ServiceSpec& s = it->second.m_Spec;
    if (HomesEpoch(s) != call.m_Call.homes_epoch || HomeOf(s, call.m_Call.key) != self)
        return MakeError(ErrorCode_Stale, "this box is not the key's home", {}, Verdict_MayHaveRun);
    *retired = std::find(s.m_Retired.begin(), s.m_Retired.end(), self) != s.m_Retired.end();
    return std::nullopt;
}

static uint64_t Fingerprint(const wire::ServeCallT& c)
{
    const uint64_t head = Hash64(c.method + " " + c.target);
    return Hash64(std::string_view(reinterpret_cast<const char*>(c.body.data()), c.body.size()), head);
}

static Error JournalError(JournalDecision t)
{
    switch (t)
    {
    case JournalDecision_TooOld:
        return MakeError(ErrorCode_Stale, "key is older than the records of its home", "Idempotency-Key", Verdict_MayHaveRun);
    case JournalDecision_FromFuture:
        return MakeError(ErrorCode_Invalid, "key was minted in the future", "Idempotency-Key");
    case JournalDecision_Mismatch:
        return MakeError(ErrorCode_Invalid, "key was used for another call", "Idempotency-Key");
    case JournalDecision_Refused:
        return MakeError(ErrorCode_Unavailable, "home accepts no new keys now");
    default:
        return MakeError(ErrorCode_Invalid, "expected a UUIDv7", "Idempotency-Key");
    }
}

awaitable<void> AgentServe::Impl::RunKeyed(ServedCallPtr call)
{
    bool                       retired  = false;
    const std::optional<Error> not_home = CheckHome(*call, &retired);
    if (not_home)
    {
        Refuse(*call, *not_home);
        co_return;
    }
    const std::string scope  = JournalScope(*call);
    const bool        full   = m_InFlight.load() > static_cast<uint64_t>(m_Settings.m_MaxInFlight);
    const bool        accept = !retired && !m_Draining.load() && !m_Drained.load() && !full && !call->m_Call.probe;
    JournalAnswer     a      = m_Journal.Begin(scope, call->m_Call.key, Fingerprint(call->m_Call), WallMs(), accept);
    while (a.m_Type == JournalDecision_Running && Now() < call->m_Deadline && !call->m_Cancelled.load())
    {
        co_await SleepFor(kRunningKeyPoll);
        a = m_Journal.Begin(scope, call->m_Call.key, Fingerprint(call->m_Call), WallMs(), accept);
    }
    if (a.m_Type == JournalDecision_Replay)
    {
        LogEvent(Event_KeyReplayed, {{"service", call->m_Call.service}, {"key", call->m_Call.key}});
        SendStored(*call, *a.m_Result, true);
        co_return;
    }
    if (a.m_Type == JournalDecision_Running)
    {
        Refuse(*call, MakeError(ErrorCode_Timeout, "the first call with this key is still running", {}, Verdict_MayHaveRun));
        co_return;
    }
    if (a.m_Type != JournalDecision_Run)
    {
        if (a.m_Type == JournalDecision_TooOld)
            LogEvent(Event_KeyBeforeHorizon, {{"service", call->m_Call.service}, {"key", call->m_Call.key}});
        Refuse(*call, JournalError(a.m_Type));
        co_return;
    }
    bool         not_run = false;
    StoredResult result  = co_await CallWhole(call, &not_run);
    if (not_run)
    {
        m_Journal.Forget(scope, call->m_Call.key);
        Refuse(*call, MakeError(ErrorCode_Unavailable, "backend server can't be reached"));
        co_return;
    }
    SendStored(*call, result, false);
    m_Journal.Finish(scope, call->m_Call.key, std::move(result));
}

// Runs to completion even after the router cancelled or disconnected, because the outcome must be recorded in the journal.
awaitable<StoredResult> AgentServe::Impl::CallWhole(ServedCallPtr call, bool* not_run)
{
    StoredResult      result;
    const HttpRequest req    = BackendRequest(*call);
    auto              opened = co_await m_Engine.Open(req, call->m_Deadline);
    if (!opened)
    {
        *not_run = opened.error().m_Verdict == Verdict_NotRun;
        co_return result;
    }
    HttpStreamPtr stream = std::move(opened.value());
    if (FindField(stream->Head().m_Fields, "Aldervale-Verdict") == VerdictName(Verdict_NotRun))
    {
        *not_run = true;
        co_return result;
    }
    result.m_Status = stream->Head().m_Status;
    for (const HttpField& f : stream->Head().m_Fields)
        if (!IsHopByHop(f.m_Name))
            result.m_Fields.push_back({f.m_Name, f.m_Value});
    for (;;)
    {
        auto piece = co_await stream->Read(call->m_Deadline);
        if (!piece || result.m_Body.size() > kStoredBodyMaxBytes)
            co_return StoredResult{};
        if (piece.value().m_Done)
            break;
        result.m_Body.append(piece.value().m_Bytes);
    }
    result.m_Verdict = Verdict_Ran;
    co_return result;
}

void AgentServe::Impl::SendStored(ServedCall& call, const StoredResult& r, bool replayed)
{
    if (r.m_Verdict != Verdict_Ran)
        return Refuse(call, MakeError(ErrorCode_Timeout, "the call's outcome is unknown", {}, Verdict_MayHaveRun));
    wire::ServeHeadT head;
    head.status   = static_cast<uint16_t>(r.m_Status);
    head.replayed = replayed;
    for (const StoredField& f : r.m_Fields)
    {
        auto field   = std::make_unique<wire::FieldT>();
        field->name  = f.m_Name;
        field->value = f.m_Value;
        head.fields.push_back(std::move(field));
    }
    call.m_Link->Send(EncodeFrame(call.m_Exchange, head));
    if (!r.m_Body.empty())
        call.m_Link->Send(EncodeServeData(call.m_Exchange, r.m_Body));
    call.m_Sent = r.m_Body.size();
    End(call, Verdict_Ran, true, nullptr);
}

//-----------------------------------------------------------------------------
// AgentServe
//-----------------------------------------------------------------------------

AgentServe::AgentServe(Daemon& daemon, const ServeSettings& s, Node& node, AgentWeights* weights, Engine& engine)
    : m_Impl(std::make_shared<Impl>(daemon, s, node, weights, engine))
{
}

AgentServe::~AgentServe() = default;

bool AgentServe::OnFrame(const LinkPtr& link, const FrameBuf& buf)
{
    const wire::Frame& f = *buf.Get();
    switch (f.body_type())
    {
    case wire::Body::ServeCall:
        m_Impl->OnCall(link, f.exchange(), *f.body_as_ServeCall());
        return true;
    case wire::Body::ServeCredit:
        if (const ServedCallPtr call = m_Impl->Find(link, f.exchange()))
            call->m_Credit.fetch_add(f.body_as_ServeCredit()->bytes());
        return true;
    case wire::Body::ServeCancel:
        if (const ServedCallPtr call = m_Impl->Find(link, f.exchange()))
            call->m_Cancelled.store(true);
        return true;
    default:
        return false;
    }
}

void AgentServe::OnLinkDown(const LinkPtr& link)
{
    std::lock_guard lock(m_Impl->m_Mutex);
    for (auto& [key, call] : m_Impl->m_Calls)
        if (key.first == link.get())
            call->m_Cancelled.store(true);
}

// A box that becomes a home has no record of keys that ran at the former one, so its horizon is raised: earlier keys are answered MayHaveRun.
void AgentServe::OnConfig(const ConfigPtr& c)
{
    const std::string& self    = m_Impl->m_Daemon.Settings().m_Name;
    const auto         box     = c->m_Boxes.find(self);
    const bool         drained = box != c->m_Boxes.end() && box->second.m_Spec.m_Drained;
    if (m_Impl->m_Drained.exchange(drained) != drained)
    {
        LogEvent(Event_BoxLeaving, {{"drained", drained}});
        m_Impl->m_Node.AnnounceNow();
    }
    std::lock_guard lock(m_Impl->m_Mutex);
    for (const auto& [name, service] : c->m_Services)
    {
        const auto& boxes = service.m_Spec.m_Boxes;
        const bool  home  = std::find(boxes.begin(), boxes.end(), self) != boxes.end() && !service.m_Spec.m_NonRepeatable.empty();
        if (home && m_Impl->m_HomeServices.insert(name).second)
            m_Impl->m_Journal.RaiseHorizon(WallMs() + m_Impl->m_Settings.m_SkewMs);
        if (!home)
            m_Impl->m_HomeServices.erase(name);
    }
}

void AgentServe::BeginDrain()
{
    m_Impl->m_Draining.store(true);
    LogEvent(Event_BoxLeaving);
}

bool AgentServe::IsLeaving() const
{
    return m_Impl->m_Draining.load() || m_Impl->m_Drained.load();
}

uint64_t AgentServe::InFlight() const
{
    return m_Impl->m_InFlight.load();
}

void AgentServe::Describe(wire::AgentStateT& out) const
{
    out.leaving             = IsLeaving();
    out.in_flight           = static_cast<uint32_t>(InFlight());
    const ConfigPtr    c    = m_Impl->m_Node.Config();
    const std::string& self = m_Impl->m_Daemon.Settings().m_Name;
    for (const auto& [name, service] : c->m_Services)
        if (std::find(service.m_Spec.m_Retired.begin(), service.m_Spec.m_Retired.end(), self) != service.m_Spec.m_Retired.end())
            out.retired.push_back(name);
}

} // namespace aldervale
