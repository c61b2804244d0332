// Callers' requests on a router. See router_serve.h.
#include "request/router_serve.h"
#include "common/log.h"
#include "common/metrics.h"
#include "request/fair_queue.h"
#include "request/homes.h"
#include "request/limits.h"
#include "request/prefix.h"
#include "request/retry.h"

namespace aldervale
{

namespace
{

constexpr auto     kCallerGonePoll       = milliseconds(100); // interval at which a waiting request checks whether its caller disconnected
constexpr uint32_t kRetryAfterMs         = 1000;              // sent to callers when there is no better estimate
constexpr size_t   kBufferMaxBytes       = 1024 * 1024;       // answers up to this size are sent when complete, with Content-Length
constexpr uint32_t kProbeDeadlineMs      = 1000;              // deadline of a probe
constexpr auto     kDemandWindow         = milliseconds(250); // interval of measuring demand
constexpr auto     kDemandResendInterval = seconds(3);        // interval at which unchanged demand is sent again
constexpr double   kDemandChangeShare    = 0.1;               // relative change that is sent at once

using Fields = std::vector<std::unique_ptr<wire::FieldT>>;

bool ForwardsToBackend(std::string_view name)
{
    constexpr std::string_view kForwarded[] = {"Content-Type", "Accept", "Accept-Language", "User-Agent", "X-Request-Id", "Traceparent"};
    return std::any_of(std::begin(kForwarded), std::end(kForwarded),
                       [&](std::string_view f) {
                           return FindField({{std::string(name), "1"}}, f) == "1";
                       });
}

bool IsEventStream(const HttpFields& fields)
{
    return FindField(fields, "Content-Type").starts_with("text/event-stream");
}

HttpFields ToFields(const flatbuffers::Vector<flatbuffers::Offset<wire::Field>>* from)
{
    HttpFields out;
    if (from == nullptr)
        return out;
    for (const wire::Field* f : *from)
        if (f->name() != nullptr && f->value() != nullptr)
            out.push_back({f->name()->str(), f->value()->str()});
    return out;
}

uint64_t CountEvents(std::string_view bytes)
{
    uint64_t n = 0;
    for (size_t at = bytes.find("\n\n"); at != std::string_view::npos; at = bytes.find("\n\n", at + 2))
        n++;
    return n;
}

ErrorCode ParseErrorCode(std::string_view name)
{
    for (int c = ErrorCode_Invalid; c <= ErrorCode_Stale; c++)
        if (ErrorCodeName(static_cast<ErrorCode>(c)) == name)
            return static_cast<ErrorCode>(c);
    return ErrorCode_Unavailable;
}

} // namespace

std::vector<SettingSpec> DescribeRouterServe(RouterServeSettings& s)
{
    return {
        {"route.policy", SettingText{&s.m_Policy, {"cost", "random", "round-robin", "least-requests"}, false},
         "cost; the others are baselines for measurements"},
        {"route.choices", SettingInt{&s.m_Choices, 1, 64}, "random candidates compared per request"},
        {"route.warm_bonus", SettingReal{&s.m_WarmBonus, 0, 1000}, "requests' worth of a warm prefix"},
        {"route.per_replica", SettingInt{&s.m_RequestsPerReplica, 1, 10'000}, "requests at one replica over all routers before they wait here"},
        {"queue.max_waiting", SettingInt{&s.m_MaxWaiting, 1, 1'000'000}, "requests that wait here at most"},
        {"retry.max_attempts", SettingInt{&s.m_MaxAttempts, 1, 10}, "attempts of one request, the first included"},
        {"serve.window_kib", SettingInt{&s.m_WindowKib, 4, 65'536}, "answer bytes under way per request, KiB"},
    };
}

//-----------------------------------------------------------------------------
// One request
//-----------------------------------------------------------------------------

struct Waiter // a request in the fair queue
{
    explicit Waiter(asio::any_io_executor ex) : m_Executor(ex), m_Timer(ex) {}

    asio::any_io_executor m_Executor;       // the request's strand; m_Timer is touched only there
    asio::steady_timer    m_Timer;          // its cancellation wakes the request
    std::atomic<bool>     m_Granted{false}; //
};
using WaiterPtr = std::shared_ptr<Waiter>;

struct RequestState // of one caller's request
{
    HttpRequest&             m_Req;                 //
    HttpReply&               m_Reply;               //
    ConfigPtr                m_Config;              // configuration snapshot that the request is served under
    std::string              m_ServiceName;         //
    const ServiceSpec*       m_Service = nullptr;   // in m_Config
    std::string              m_AccountName;         //
    const ClientAccountSpec* m_Account = nullptr;   // in m_Config
    std::string              m_Key;                 // keyed calls only
    bool                     m_Keyed = false;       //
    TimePoint                m_Started{};           //
    TimePoint                m_Deadline{};          //
    RequestRecord            m_Record;              //
    bool                     m_AnswerBegun = false; // part of the answer was sent to the caller
    TimePoint                m_FirstByte{};         // when the first body byte was received
};

struct AttemptResult
{
    bool  m_Done = false; // the complete answer was sent to the caller
    Error m_Error;        // why not, otherwise
};

struct RouterServe::Impl : std::enable_shared_from_this<RouterServe::Impl>
{
    Impl(Daemon& daemon, const RouterServeSettings& s, Node& node, Usage& usage)
        : m_Daemon(daemon), m_Settings(s), m_Node(node), m_Usage(usage), m_Limits(LimitsConfig{}), m_Budget(MakeRetryConfig(s)),
          m_Replicas(MakeRouteConfig(s), daemon.Settings().m_DataCentre, RandomSeed())
    {
    }

    static RetryConfig MakeRetryConfig(const RouterServeSettings& s)
    {
        RetryConfig cfg;
        cfg.m_MaxAttempts = static_cast<unsigned>(s.m_MaxAttempts);
        return cfg;
    }

    static RouteConfig MakeRouteConfig(const RouterServeSettings& s)
    {
        RouteConfig cfg;
        cfg.m_Policy    = ParseRoutePolicy(s.m_Policy).value_or(RoutePolicy_Cost);
        cfg.m_Choices   = static_cast<unsigned>(s.m_Choices);
        cfg.m_WarmBonus = s.m_WarmBonus;
        return cfg;
    }

    std::optional<Error>            Identify(RequestState& st) const;
    awaitable<void>                 Serve(RequestState& st);
    awaitable<void>                 ServeKeyed(RequestState& st, const Error* refused);
    awaitable<void>                 ServeRepeatable(RequestState& st);
    awaitable<AttemptResult>        Attempt(RequestState& st, const Chosen& to, wire::ServeCallT& call);
    awaitable<AttemptResult>        Relay(RequestState& st, const LinkPtr& link, const MailboxPtr& box);
    awaitable<std::optional<Error>> EnterQueue(RequestState& st);
    void                            LeaveQueue(const std::string& service);
    void                            GrantNext(const std::string& service);
    size_t                          Capacity(const std::string& service) const;
    ReplicaQuery                    MakeQuery(const RequestState& st) const;
    wire::ServeCallT                MakeCall(const RequestState& st, const ReplicaQuery& q) const;
    awaitable<void>                 SendError(RequestState& st, const Error& e);
    void                            RecordUsage(RequestState& st);
    awaitable<void>                 DemandLoop();

    struct ServiceQueue
    {
        FairQueue                     m_Queue{FairQueueConfig{}}; //
        std::map<uint64_t, WaiterPtr> m_Waiters;                  // by id in m_Queue
        size_t                        m_Capacity = 1;             // as of m_CapacityAt
        TimePoint                     m_CapacityAt{};             //
    };

    Daemon&               m_Daemon;      //
    RouterServeSettings   m_Settings;    //
    Node&                 m_Node;        //
    Usage&                m_Usage;       //
    AccountLimits         m_Limits;      //
    RetryBudget           m_Budget;      //
    ReplicaTable          m_Replicas;    //
    std::function<bool()> m_Ready;       // set once before Start()
    std::atomic<uint64_t> m_InFlight{0}; //

    mutable std::mutex                  m_QueueMutex; // guards the members below
    std::map<std::string, ServiceQueue> m_Queues;     // by service
    uint64_t                            m_NextWaiter = 1;
};

//-----------------------------------------------------------------------------
// Identification
//-----------------------------------------------------------------------------

std::optional<Error> RouterServe::Impl::Identify(RequestState& st) const
{
    const HttpRequest&         req     = st.m_Req;
    const auto*                service = FindService(*st.m_Config, req.Path(), &st.m_ServiceName);
    constexpr std::string_view kBearer = "Bearer ";
    const std::string_view     auth    = FindField(req.m_Fields, "Authorization");
    if (!auth.starts_with(kBearer))
        return MakeError(ErrorCode_Denied, "expected Authorization: Bearer TOKEN", "Authorization");
    const std::string digest  = ToHex(Sha256(auth.substr(kBearer.size())));
    const auto        account = st.m_Config->m_AccountByToken.find(digest);
    if (account == st.m_Config->m_AccountByToken.end())
        return MakeError(ErrorCode_Denied, "unknown token", "Authorization");
    st.m_AccountName = account->second;
    st.m_Account     = &st.m_Config->m_Accounts.find(account->second)->second.m_Spec;
    if (service == nullptr)
        return MakeError(ErrorCode_NotFound, "no service at this path", "path");
    st.m_Service                  = &service->m_Spec;
    st.m_Keyed                    = NeedsKey(*st.m_Service, req.m_Method);
    st.m_Key                      = std::string(FindField(req.m_Fields, "Idempotency-Key"));
    uint32_t          deadline_ms = st.m_Service->m_DeadlineMs;
    const std::string asked(FindField(req.m_Fields, "Aldervale-Deadline-Ms"));
    if (!asked.empty())
    {
        const unsigned long ms = std::strtoul(asked.c_str(), nullptr, 10);
        if (ms == 0)
            return MakeError(ErrorCode_Invalid, "expected milliseconds", "Aldervale-Deadline-Ms");
        deadline_ms = static_cast<uint32_t>(std::min<unsigned long>(deadline_ms, ms));
    }
    st.m_Deadline = st.m_Started + milliseconds(deadline_ms);
    if (st.m_Keyed && st.m_Key.empty())
        return MakeError(ErrorCode_Invalid, "this call may not be repeated and needs an Idempotency-Key (UUIDv7)", "Idempotency-Key");
    return std::nullopt;
}

//-----------------------------------------------------------------------------
// Fair queue
//-----------------------------------------------------------------------------

size_t RouterServe::Impl::Capacity(const std::string& service) const
{
    const ConfigPtr c  = m_Node.Config();
    const auto      it = c->m_Services.find(service);
    if (it == c->m_Services.end())
        return 1;
    ReplicaQuery q;
    if (it->second.m_Spec.m_Type == ServiceType_Model)
        q.m_Digests = DigestsOf(*c, it->second.m_Spec.m_Model);
    else
        q.m_Boxes.insert(it->second.m_Spec.m_Boxes.begin(), it->second.m_Spec.m_Boxes.end());
    const size_t replicas = m_Replicas.CountUsable(q, [this](const std::string& box) { return m_Node.Usable(box); });
    const size_t routers  = 1 + m_Node.Links(wire::PeerRole::Router).size();
    return std::max<size_t>(4, replicas * static_cast<size_t>(m_Settings.m_RequestsPerReplica) * 5 / 4 / routers);
}

// Waits in the fair queue for capacity. An error means that the request wasn't sent to any box.
awaitable<std::optional<Error>> RouterServe::Impl::EnterQueue(RequestState& st)
{
    WaiterPtr  waiter;
    uint64_t   id      = 0;
    size_t     refresh = 0;
    const auto ex      = co_await asio::this_coro::executor;
    {
        std::lock_guard lock(m_QueueMutex);
        ServiceQueue&   sq = m_Queues[st.m_ServiceName];
        refresh            = Now() - sq.m_CapacityAt > milliseconds(100) ? 1 : 0;
        if (refresh != 0)
            sq.m_CapacityAt = Now();
    }
    const size_t capacity = refresh != 0 ? Capacity(st.m_ServiceName) : 0;
    {
        std::lock_guard lock(m_QueueMutex);
        ServiceQueue&   sq = m_Queues[st.m_ServiceName];
        if (refresh != 0)
            sq.m_Capacity = capacity;
        if (sq.m_Queue.TryStart(sq.m_Capacity))
            co_return std::nullopt;
        id = m_NextWaiter++;
        if (!sq.m_Queue.Push(id, st.m_AccountName, st.m_Account->m_Weight, st.m_Account->m_Priority == 0))
        {
            Error e          = MakeError(ErrorCode_Limited, "too many requests are queued at this router");
            e.m_RetryAfterMs = kRetryAfterMs;
            co_return e;
        }
        waiter           = std::make_shared<Waiter>(ex);
        sq.m_Waiters[id] = waiter;
    }
    GrantNext(st.m_ServiceName);
    while (!waiter->m_Granted.load() && Now() < st.m_Deadline && !st.m_Reply.CallerGone())
    {
        waiter->m_Timer.expires_at(std::min(st.m_Deadline, Now() + kCallerGonePoll));
        co_await waiter->m_Timer.async_wait(asio::as_tuple(use_awaitable));
    }
    std::lock_guard lock(m_QueueMutex);
    ServiceQueue&   sq = m_Queues[st.m_ServiceName];
    sq.m_Waiters.erase(id);
    if (sq.m_Queue.Remove(id))
    {
        Error e          = MakeError(ErrorCode_Timeout, "no capacity became free before the deadline");
        e.m_RetryAfterMs = kRetryAfterMs;
        co_return e;
    }
    co_return std::nullopt;
}

void RouterServe::Impl::GrantNext(const std::string& service)
{
    std::vector<WaiterPtr> granted;
    {
        std::lock_guard lock(m_QueueMutex);
        ServiceQueue&   sq = m_Queues[service];
        for (auto id = sq.m_Queue.Pop(sq.m_Capacity); id; id = sq.m_Queue.Pop(sq.m_Capacity))
            granted.push_back(sq.m_Waiters[*id]);
    }
    for (const WaiterPtr& w : granted)
    {
        w->m_Granted.store(true);
        asio::post(w->m_Executor, [w] { w->m_Timer.cancel(); });
    }
}

void RouterServe::Impl::LeaveQueue(const std::string& service)
{
    {
        std::lock_guard lock(m_QueueMutex);
        m_Queues[service].m_Queue.OnEnd();
    }
    GrantNext(service);
}

//-----------------------------------------------------------------------------
// Serving
//-----------------------------------------------------------------------------

ReplicaQuery RouterServe::Impl::MakeQuery(const RequestState& st) const
{
    ReplicaQuery q;
    if (st.m_Service->m_Type == ServiceType_Plain)
    {
        q.m_Boxes.insert(st.m_Service->m_Boxes.begin(), st.m_Service->m_Boxes.end());
        return q;
    }
    q.m_Digests        = DigestsOf(*st.m_Config, st.m_Service->m_Model);
    const auto adapter = st.m_Config->m_Adapters.find(FindField(st.m_Req.m_Fields, "Aldervale-Adapter"));
    if (adapter != st.m_Config->m_Adapters.end())
        q.m_Adapter = adapter->second.m_Spec.m_Manifest;
    constexpr std::string_view kPrompt = "\"prompt\":";
    const size_t               at      = st.m_Req.m_Body.find(kPrompt);
    if (at != std::string::npos)
    {
        // The engine hashes the decoded prompt. The raw JSON text is the same unless the first bytes contain escapes.
        const size_t quote = st.m_Req.m_Body.find('"', at + kPrompt.size());
        if (quote != std::string::npos)
        {
            const std::string_view text(std::string_view(st.m_Req.m_Body).substr(quote + 1));
            q.m_Prefix = PrefixHash(text.substr(0, text.find('"')));
        }
    }
    return q;
}

wire::ServeCallT RouterServe::Impl::MakeCall(const RequestState& st, const ReplicaQuery& q) const
{
    wire::ServeCallT call;
    call.service     = st.m_ServiceName;
    call.account     = st.m_AccountName;
    call.adapter     = q.m_Adapter;
    call.method      = st.m_Req.m_Method;
    call.target      = st.m_Req.m_Target;
    call.key         = st.m_Key;
    call.keyed       = st.m_Keyed;
    call.homes_epoch = st.m_Keyed ? HomesEpoch(*st.m_Service) : 0;
    call.deadline_ms = static_cast<uint32_t>(std::max<int64_t>(1, ToMs(st.m_Deadline - Now())));
    call.priority    = static_cast<uint8_t>(st.m_Account->m_Priority);
    call.window      = static_cast<uint32_t>(m_Settings.m_WindowKib) * 1024;
    call.body.assign(st.m_Req.m_Body.begin(), st.m_Req.m_Body.end());
    for (const HttpField& f : st.m_Req.m_Fields)
    {
        if (!ForwardsToBackend(f.m_Name))
            continue;
        auto field   = std::make_unique<wire::FieldT>();
        field->name  = f.m_Name;
        field->value = f.m_Value;
        call.fields.push_back(std::move(field));
    }
    return call;
}

awaitable<AttemptResult> RouterServe::Impl::Attempt(RequestState& st, const Chosen& to, wire::ServeCallT& call)
{
    AttemptResult    result;
    const auto       ex  = co_await asio::this_coro::executor;
    const MailboxPtr box = to.m_Link->OpenExchange(ex);
    if (!to.m_Link->Send(EncodeFrame(box->Id(), call)))
    {
        to.m_Link->CloseExchange(box->Id());
        result.m_Error = MakeError(ErrorCode_Unavailable, "link to " + to.m_Box + " is down", {}, st.m_Keyed ? Verdict_MayHaveRun : Verdict_NotRun);
        co_return result;
    }
    result = co_await Relay(st, to.m_Link, box);
    to.m_Link->CloseExchange(box->Id());
    if (!result.m_Done && !box->Closed())
        to.m_Link->Send(EncodeFrame(box->Id(), wire::ServeCancelT{}));
    co_return result;
}

// Relays the frames of one exchange to the caller. Answers up to kBufferMaxBytes are held until complete, so that the request can still be retried on
// another box after a failure; event streams are forwarded piece by piece.
awaitable<AttemptResult> RouterServe::Impl::Relay(RequestState& st, const LinkPtr& link, const MailboxPtr& box)
{
    AttemptResult result;
    HttpResponse  res;
    uint64_t      received      = 0;
    bool          streaming     = false;
    bool          head_received = false;
    for (;;)
    {
        const std::optional<FrameBuf> frame = co_await box->Pop(std::min(st.m_Deadline, Now() + kCallerGonePoll));
        if (!frame)
        {
            const bool gone = st.m_Reply.CallerGone();
            if (!box->Closed() && Now() < st.m_Deadline && !gone)
                continue;
            result.m_Error = MakeError(Now() >= st.m_Deadline ? ErrorCode_Timeout : ErrorCode_Unavailable,
                                       gone            ? "caller left"
                                       : box->Closed() ? "link to the box was lost"
                                                       : "no answer before the deadline",
                                       {}, Verdict_MayHaveRun);
            co_return result;
        }
        const wire::Frame& f = *frame->Get();
        if (const wire::ServeHead* head = f.body_as_ServeHead())
        {
            head_received = true;
            res.m_Status  = head->status();
            res.m_Fields  = ToFields(head->fields());
            if (head->replayed())
                res.m_Fields.push_back({"Aldervale-Replayed", "true"});
            streaming = IsEventStream(res.m_Fields);
            if (streaming)
            {
                HttpFields fields = res.m_Fields;
                fields.push_back({"Trailer", "Aldervale-Verdict"});
                st.m_AnswerBegun = true;
                if (!co_await st.m_Reply.Start(res.m_Status, fields))
                {
                    result.m_Error = MakeError(ErrorCode_Unavailable, "caller left", {}, Verdict_MayHaveRun);
                    co_return result;
                }
            }
            continue;
        }
        if (const wire::ServeData* data = f.body_as_ServeData())
        {
            if (!head_received || data->bytes() == nullptr)
                continue;
            const std::string_view bytes(reinterpret_cast<const char*>(data->bytes()->data()), data->bytes()->size());
            received += bytes.size();
            if (st.m_FirstByte == TimePoint{})
                st.m_FirstByte = Now();
            st.m_Record.m_TokensOut += streaming ? CountEvents(bytes) : 0;
            if (!streaming)
                res.m_Body.append(bytes);
            if (res.m_Body.size() > kBufferMaxBytes)
            {
                streaming        = true;
                st.m_AnswerBegun = true;
                co_await st.m_Reply.Start(res.m_Status, res.m_Fields);
                co_await st.m_Reply.Write(res.m_Body);
                res.m_Body.clear();
            }
            else if (streaming)
            {
                if (!co_await st.m_Reply.Write(bytes))
                {
                    result.m_Error = MakeError(ErrorCode_Unavailable, "caller left", {}, Verdict_MayHaveRun);
                    co_return result;
                }
            }
            wire::ServeCreditT credit;
            credit.bytes = static_cast<uint32_t>(bytes.size());
            link->Send(EncodeFrame(box->Id(), credit));
            continue;
        }
        const wire::ServeEnd* end = f.body_as_ServeEnd();
        if (end == nullptr)
            continue;
        if (!end->complete() || !head_received || end->length() != received)
        {
            const std::string reason = end->reason() != nullptr ? end->reason()->str() : "answer is incomplete";
            const ErrorCode   code   = end->error() != nullptr ? ParseErrorCode(end->error()->string_view()) : ErrorCode_Corrupt;
            const Verdict     v      = end->complete() ? Verdict_MayHaveRun : static_cast<Verdict>(end->verdict());
            result.m_Error           = MakeError(code, reason, {}, v);
            co_return result;
        }
        st.m_Record.m_BytesOut = received;
        if (streaming)
        {
            const HttpFields trailers{{"Aldervale-Verdict", std::string(VerdictName(Verdict_Ran))}};
            result.m_Done = co_await st.m_Reply.Finish(trailers);
        }
        else
        {
            res.m_Fields.push_back({"Aldervale-Verdict", std::string(VerdictName(Verdict_Ran))});
            result.m_Done = co_await st.m_Reply.Send(res);
        }
        if (!result.m_Done)
            result.m_Error = MakeError(ErrorCode_Unavailable, "caller left", {}, Verdict_Ran);
        co_return result;
    }
}

awaitable<void> RouterServe::Impl::SendError(RequestState& st, const Error& e)
{
    st.m_Record.m_Verdict = e.m_Verdict;
    if (st.m_AnswerBegun)
    {
        LogEvent(Event_AnswerBroken, {{"service", st.m_ServiceName}, {"reason", e.m_Message}});
        st.m_Reply.Abort();
        co_return;
    }
    Error caller_error = e;
    if (caller_error.m_RetryAfterMs == 0 && (e.m_Code == ErrorCode_Unavailable || e.m_Code == ErrorCode_Limited))
        caller_error.m_RetryAfterMs = kRetryAfterMs;
    if (e.m_Code == ErrorCode_Stale)
        caller_error.m_Code = ErrorCode_Unavailable; // the router's data was stale; for the caller this isn't a conflict
    HttpResponse res = ErrorResponse(caller_error);
    co_await st.m_Reply.Send(res);
}

awaitable<void> RouterServe::Impl::ServeRepeatable(RequestState& st)
{
    ReplicaQuery  q = MakeQuery(st);
    AttemptResult last;
    last.m_Error      = MakeError(ErrorCode_Unavailable, "no backend server can take this request now");
    const auto usable = [this](const std::string& box) { return m_Node.Usable(box); };
    for (unsigned attempt = 1;; attempt++)
    {
        const std::optional<Chosen> to = m_Replicas.Choose(q, *st.m_Config, usable, Now());
        if (!to)
            break;
        wire::ServeCallT call = MakeCall(st, q);
        call.attempt          = static_cast<uint8_t>(attempt);
        call.digest           = to->m_Digest;
        last                  = co_await Attempt(st, *to, call);
        m_Replicas.OnEnd(to->m_Box, !last.m_Done && last.m_Error.m_Code != ErrorCode_Limited, Now());
        if (last.m_Done)
        {
            st.m_Record.m_Verdict = Verdict_Ran;
            co_return;
        }
        q.m_Tried.insert(to->m_Box);
        const AttemptOutcome outcome{last.m_Error.m_Verdict, !st.m_Keyed, st.m_AnswerBegun, attempt};
        if (st.m_Reply.CallerGone() || !MayRetry(outcome, st.m_Deadline, Now(), m_Budget))
            break;
        LogEvent(Event_RequestRetried, {{"service", st.m_ServiceName}, {"box", to->m_Box}, {"reason", last.m_Error.m_Message}});
    }
    co_await SendError(st, last.m_Error);
}

// `refused`: the call was refused on this router, and the home is only asked for the state of the key.
awaitable<void> RouterServe::Impl::ServeKeyed(RequestState& st, const Error* refused)
{
    const std::string           home = HomeOf(*st.m_Service, st.m_Key);
    const std::optional<Chosen> to   = m_Replicas.Take(home);
    if (!to)
    {
        const Error lost =
            MakeError(ErrorCode_Unavailable, "the key's home " + home + " can't be reached; retry with the same key", {}, Verdict_MayHaveRun);
        co_await SendError(st, lost);
        co_return;
    }
    wire::ServeCallT call = MakeCall(st, ReplicaQuery{});
    call.probe            = refused != nullptr;
    if (call.probe)
        call.deadline_ms = std::min(call.deadline_ms, kProbeDeadlineMs);
    AttemptResult result = co_await Attempt(st, *to, call);
    m_Replicas.OnEnd(to->m_Box, !result.m_Done, Now());
    if (result.m_Done)
    {
        st.m_Record.m_Verdict = Verdict_Ran;
        co_return;
    }
    if (refused != nullptr && result.m_Error.m_Verdict == Verdict_NotRun)
        co_await SendError(st, *refused);
    else
        co_await SendError(st, result.m_Error);
}

awaitable<void> RouterServe::Impl::Serve(RequestState& st)
{
    std::optional<Error> refused = Identify(st);
    if (refused)
    {
        co_await SendError(st, *refused); // no call with this key and these credentials can have run
        co_return;
    }
    if (!m_Ready())
    {
        refused = MakeError(ErrorCode_Unavailable, "this router has not received the newest configuration yet");
    }
    else if (const auto wait = m_Limits.Admit(st.m_AccountName, *st.m_Account, Now()))
    {
        refused                 = MakeError(ErrorCode_Limited, "client account is over its limit");
        refused->m_RetryAfterMs = static_cast<unsigned>(std::max<int64_t>(1, ToMs(*wait)));
    }
    if (!refused)
    {
        refused = co_await EnterQueue(st);
        if (!refused)
        {
            m_Budget.OnRequest();
            if (st.m_Keyed)
                co_await ServeKeyed(st, nullptr);
            else
                co_await ServeRepeatable(st);
            LeaveQueue(st.m_ServiceName);
            co_return;
        }
    }
    if (st.m_Keyed)
        co_await ServeKeyed(st, &*refused);
    else
        co_await SendError(st, *refused);
}

void RouterServe::Impl::RecordUsage(RequestState& st)
{
    static HistogramMetric& all     = Metrics().GetHistogram("aldervale_request_seconds");
    static HistogramMetric& first   = Metrics().GetHistogram("aldervale_first_byte_seconds");
    static Counter&         ran     = Metrics().GetCounter("aldervale_requests_total", "verdict=\"ran\"");
    static Counter&         not_run = Metrics().GetCounter("aldervale_requests_total", "verdict=\"not-run\"");
    static Counter&         may     = Metrics().GetCounter("aldervale_requests_total", "verdict=\"may-have-run\"");
    const TimePoint         now     = Now();
    (st.m_Record.m_Verdict == Verdict_Ran ? ran : st.m_Record.m_Verdict == Verdict_NotRun ? not_run : may).Add(1);
    all.Record(ToSeconds(now - st.m_Started));
    if (st.m_FirstByte != TimePoint{})
        first.Record(ToSeconds(st.m_FirstByte - st.m_Started));
    if (st.m_Service == nullptr)
        return;
    const TimePoint answered_at = st.m_FirstByte != TimePoint{} && st.m_AnswerBegun ? st.m_FirstByte : now;
    st.m_Record.m_Service       = st.m_ServiceName;
    st.m_Record.m_Account       = st.m_AccountName;
    st.m_Record.m_BytesIn       = st.m_Req.m_Body.size();
    st.m_Record.m_Good          = st.m_Record.m_Verdict == Verdict_Ran && ToSeconds(answered_at - st.m_Started) * 1000 <= st.m_Service->m_SloMs;
    m_Usage.Record(st.m_Record, now);
}

// Sends the accounts' demand to the other routers when one account's rate has changed by more than kDemandChangeShare, and every
// kDemandResendInterval.
awaitable<void> RouterServe::Impl::DemandLoop()
{
    std::map<std::string, double> last_sent;
    TimePoint                     last_sent_at{};
    for (;;)
    {
        co_await SleepFor(kDemandWindow);
        const std::vector<AccountRate> rates = m_Limits.Tick(Now());
        std::map<std::string, double>  now;
        wire::DemandUpdateT            msg;
        msg.window_ms = static_cast<uint32_t>(ToMs(kDemandWindow));
        for (const AccountRate& r : rates)
        {
            auto a           = std::make_unique<wire::AccountDemandT>();
            a->account       = r.m_Account;
            a->rate          = static_cast<float>(r.m_Rate);
            now[r.m_Account] = r.m_Rate;
            msg.accounts.push_back(std::move(a));
        }
        bool changed = now.size() != last_sent.size();
        for (const auto& [account, rate] : now)
            changed = changed || std::abs(rate - last_sent[account]) > kDemandChangeShare * std::max(1.0, last_sent[account]);
        const bool due = !now.empty() && Now() - last_sent_at > kDemandResendInterval;
        if (!changed && !due)
            continue;
        last_sent              = now;
        last_sent_at           = Now();
        const FrameBytes frame = EncodeFrame(0, msg);
        for (const LinkPtr& link : m_Node.Links(wire::PeerRole::Router))
            link->Send(frame);
    }
}

//-----------------------------------------------------------------------------
// RouterServe
//-----------------------------------------------------------------------------

RouterServe::RouterServe(Daemon& daemon, const RouterServeSettings& s, Node& node, Usage& usage)
    : m_Impl(std::make_shared<Impl>(daemon, s, node, usage))
{
}
RouterServe::~RouterServe() = default;

void RouterServe::Start()
{
    Spawn(m_Impl->m_Daemon.Ioc(), m_Impl->DemandLoop());
}

awaitable<void> RouterServe::Handle(HttpRequest& req, HttpReply& reply)
{
    RequestState st{req, reply, m_Impl->m_Node.Config(), {}, nullptr, {}, nullptr, {}, false, Now(), {}, {}, false, {}};
    m_Impl->m_InFlight.fetch_add(1);
    co_await m_Impl->Serve(st);
    m_Impl->RecordUsage(st);
    m_Impl->m_InFlight.fetch_sub(1);
}

bool RouterServe::OnFrame(const LinkPtr& link, const FrameBuf& buf)
{
    const wire::DemandUpdate* msg = buf.Get()->body_as_DemandUpdate();
    if (msg == nullptr)
        return false;
    std::vector<AccountRate> rates;
    if (msg->accounts() != nullptr)
        for (const wire::AccountDemand* a : *msg->accounts())
            if (a->account() != nullptr)
                rates.push_back({a->account()->str(), a->rate()});
    m_Impl->m_Limits.OnPeerRates(link->Peer().m_Name, rates, Now());
    return true;
}

void RouterServe::OnLinkUp(const LinkPtr& link)
{
    if (link->Peer().m_Role == wire::PeerRole::Agent)
        m_Impl->m_Replicas.OnLinkUp(link);
}

void RouterServe::OnLinkDown(const LinkPtr& link)
{
    m_Impl->m_Replicas.OnLinkDown(link);
}

void RouterServe::OnHeartbeat(const LinkPtr& link, const wire::Heartbeat& hb)
{
    m_Impl->m_Replicas.OnHeartbeat(link, hb, Now());
}

void RouterServe::SetReady(std::function<bool()> ready)
{
    m_Impl->m_Ready = std::move(ready);
}

uint64_t RouterServe::InFlight() const
{
    return m_Impl->m_InFlight.load();
}

ReplicaTable& RouterServe::Replicas()
{
    return m_Impl->m_Replicas;
}

} // namespace aldervale
