// The steps of a request on a router: identification, retries, final answer, log and counters. See direct_serve.h; the choice of a server is in
// direct_place.cpp, one attempt in direct_attempt.cpp.
#include "process/declarations_lag.h"
#include "request/direct_serve_internal.h"
#include "request/request_hash.h"
#include "version/start_plan.h"

namespace aldervale
{

namespace
{

constexpr auto             kNotReadyRetryAfter    = milliseconds(300); // Retry-After of a router that has no declarations yet
constexpr std::string_view kBlockedText           = "servers crash under this request";
constexpr auto             kEndingRetryAfter      = milliseconds(50);  // Retry-After of a router that ends: others can serve the request at once
constexpr auto             kCrashCheckPoll        = milliseconds(5);   // interval of polling for the end of a crash check
constexpr auto             kStalledSearchInterval = milliseconds(500); // between searches for another server while attempts are stalled
constexpr auto     kLostSearchMinPause  = milliseconds(100);  // first pause between searches after a server was lost; doubles, as many may search
constexpr auto     kWeightsCheckLead    = milliseconds(2500); // from this long before a weights deadline on, servers check their version
constexpr unsigned kAssumedRouters      = 8;                  // routers that share the retry budget, until reports give their number
constexpr double   kBudgetRebuildFactor = 1.5;                // growth of the router count at which the budgets are rebuilt
constexpr double   kBudgetShare         = 0.8;                // part of the declared budget that all routers use together: its windows slide
constexpr double   kBudgetReserveShare  = 0.25;               // part of that reserved for answers that have begun

constexpr std::string_view kFailureCauseNames[]  = {"none",  "silence", "closed",   "refused",     "unreachable",
                                                    "fault", "spoilt",  "deadline", "caller-gone", "router-ends"};
constexpr std::string_view kNoRetryReasonNames[] = {"no", "no-server", "attempts", "budget", "no-time", "runs-once", "crashes", "router-ends"};

Counter& OutcomeCounter(std::string_view outcome)
{
    return Metrics().GetCounter("aldervale_requests_total", "outcome=\"" + std::string(outcome) + "\"");
}

} // namespace

std::string_view FailureCauseName(FailureCause c)
{
    return kFailureCauseNames[c];
}

std::string_view NoRetryReasonName(NoRetryReason r)
{
    return kNoRetryReasonNames[r];
}

std::vector<SettingSpec> DescribeDirectServe(DirectServeSettings& s)
{
    return {
        {"retry.ratio", SettingReal{&s.m_RetryRatio, 0, 1000}, "retries for each request, over all routers"},
        {"retry.extra", SettingReal{&s.m_RetryExtra, 0, 1e9}, "retries beyond that in a window of some ten seconds, over all routers"},
        {"server.connect_ms", SettingInt{&s.m_ConnectMs, 10, 10'000}, "longest wait for a new connection to a backend server, ms"},
        {"server.first_event_ms", SettingInt{&s.m_FirstEventMs, 100, 60'000}, "wait for a stream's first event before the next server is tried, ms"},
        {"server.next_event_ms", SettingInt{&s.m_NextEventMs, 100, 60'000}, "pause inside a stream before the next server is tried, ms"},
        {"weights.deadline_ms", SettingReal{&s.m_WeightsDeadlineMs, 0, kWeightsDeadlineMaxMs},
         "from naming a version of weights until no older one may begin a request, ms"},
        {"capacity.learn", SettingBool{&s.m_LearnCapacity},
         "boxes are told how answers went, and the capacities that they learn count in place of slots"},
    };
}

DirectServe::Impl::Impl(Daemon& daemon, const DirectServeSettings& s, RoutingState& world, const RequestProtocol& protocol)
    : m_Daemon(daemon), m_Settings(s), m_World(world), m_Protocol(protocol), m_Choice(ServerChoiceConfig{}, RandomSeed()),
      m_CrashDetector(daemon.Ioc(), [this](const ServerCrash& crash) { OnCrash(crash); })
{
}

std::span<const Suspect> Call::Suspects()
{
    if (!m_Suspects.empty())
        return m_Suspects;
    const std::string_view account = m_Account != nullptr ? std::string_view(m_Account->m_Name) : std::string_view();
    const uint64_t         content = HashRequest({account, m_Request.m_Method, m_Caller.m_Host, m_Request.m_Target, m_Request.m_Body});
    m_Suspects.push_back({content, SuspectKind_Content});
    for (const std::string& part : m_Caller.m_PromptParts)
        m_Suspects.push_back({HashPromptPart(m_Service->m_Name, part), SuspectKind_PromptPart});
    return m_Suspects;
}

// Logs the interrupted requests with their content hashes, so that attempts at the same request can be correlated.
void DirectServe::Impl::OnCrash(const ServerCrash& crash)
{
    static Counter&    crashes = Metrics().GetCounter("aldervale_server_crashes_total");
    boost::json::array requests;
    const TimePoint    now  = Now();
    const uint64_t     life = LifeHash(crash.m_Server);
    for (const InterruptedRequest& r : crash.m_Requests)
    {
        boost::json::array parts;
        for (const Suspect& s : std::span(r.m_Suspects).subspan(1))
            parts.emplace_back(s.m_Hash);
        m_CrashHistory.OnCrash(r.m_Suspects, life, now);
        requests.push_back(boost::json::object{{"id", r.m_Id}, {"hash", r.m_Suspects.front().m_Hash}, {"parts", std::move(parts)}});
    }
    crashes.Add(1);
    LogEvent(Event_ServerCrashed, {{"server", crash.m_Server.m_Id}, {"born_ms", crash.m_Server.m_BornMs}, {"requests", std::move(requests)}});
}

RetryBudget& DirectServe::Impl::Budget(const std::string& service)
{
    // Boxes learn of routers one by one after a start: a share computed for the first few routers would be many times too large.
    if (m_Choice.RoutersHint() > m_BudgetRouterCount * kBudgetRebuildFactor)
    {
        m_BudgetRouterCount = m_Choice.RoutersHint();
        m_Budgets.clear();
    }
    std::unique_ptr<RetryBudget>& b = m_Budgets[service];
    if (!b)
    {
        const double routers = m_Choice.RoutersHint() > 0 ? m_Choice.RoutersHint() : kAssumedRouters;
        RetryConfig  cfg;
        cfg.m_TokensPerRequest = m_Settings.m_RetryRatio * kBudgetShare;
        cfg.m_BudgetMaxTokens  = std::max(1.0, m_Settings.m_RetryExtra * kBudgetShare / routers);
        cfg.m_ReservedTokens   = std::min(cfg.m_BudgetMaxTokens * kBudgetReserveShare, cfg.m_BudgetMaxTokens - 1); // leaves one token for any request
        cfg.m_MinRemaining     = kMinTimeForAttempt;
        b                      = std::make_unique<RetryBudget>(cfg);
    }
    return *b;
}

bool DirectServe::Impl::CheckBlocked(Call& call, TimePoint now)
{
    call.m_BlockCheckedAt = now;
    if (m_CrashHistory.Empty() || !m_CrashHistory.CheckBlocked(call.Suspects(), now))
        return false;
    NoteBlocked(call, now);
    return true;
}

bool DirectServe::Impl::CheckBlockedSince(Call& call, TimePoint now)
{
    if (m_CrashHistory.Empty() || !m_CrashHistory.IsBlockedSince(call.Suspects(), call.m_BlockCheckedAt, now))
        return false;
    NoteBlocked(call, now);
    return true;
}

void DirectServe::Impl::WithdrawTrial(Call& call, AttemptEnd end)
{
    if (!m_CrashHistory.Empty())
        m_CrashHistory.WithdrawTrial(call.Suspects(), call.m_BlockCheckedAt, end == AttemptEnd_NotRun);
}

void DirectServe::Impl::NoteBlocked(Call& call, TimePoint now) const
{
    static Counter& blocked = Metrics().GetCounter("aldervale_requests_blocked_total");
    blocked.Add(1);
    const CrashRecord& record = *m_CrashHistory.FindBlocked(call.Suspects(), now);
    call.m_BlockedRetryAfter  = m_CrashHistory.RetryAfter(record, now);
    LogEvent(Event_RequestBlocked, {{"id", call.m_Caller.m_Id},
                                    {"hash", record.m_Request},
                                    {"part", record.m_Kind == SuspectKind_PromptPart},
                                    {"crashes", record.UnclearedCount()},
                                    {"last_crash_age_ms", ToMs(now - record.m_Crashes.back().m_At)}});
}

// If one more crash would block the request, waits for the crash check of the server whose connection was lost, so that no other server receives the
// request meanwhile.
awaitable<void> DirectServe::Impl::AwaitCrashCheck(Call& call) const
{
    if (call.m_Cause != FailureCause_Closed || m_CrashHistory.Empty())
        co_return;
    if (!m_CrashHistory.OneCrashFromBlock(call.Suspects()))
        co_return;
    const TimePoint until = AttemptEndTime(call.m_Deadline, call.m_HeadSent);
    while (m_CrashDetector.CheckPending(call.m_LastServer) && !call.m_Abort.Aborted() && Now() < until)
        co_await SleepUntil(Now() + kCrashCheckPoll, call.m_Abort);
}

bool DirectServe::Impl::CanAnswerBeforeEnd(const Route& route, const Service& service, const CallerRequest& caller, Duration left,
                                           TimePoint now) const
{
    if (m_EndsAt == TimePoint::max())
        return true;
    const auto               of_route   = m_RouteTimes.find(route.m_Name);
    const auto               of_service = m_ServiceTimes.find(service.m_Name);
    static const AnswerTimes none;
    const AnswerTimes*       times = &none;
    if (of_route != m_RouteTimes.end() && of_route->second.IsKnown())
        times = &of_route->second;
    else if (of_service != m_ServiceTimes.end())
        times = &of_service->second;
    const Duration       unknown = route.m_Kind == RouteKind_Stream ? left : route.m_Goal;
    const DrainedRequest request = {times->Expected(caller.m_MaxAnswerTokens, unknown), left, route.m_Kind == RouteKind_Stream, route.MayRepeat()};
    return CanAnswerInTime(request, m_EndsAt - now, m_EndsAt - m_DrainBeganAt);
}

// One that may have run, or whose answer has begun, goes on: refusing it would be untrue or lose what its caller has.
bool DirectServe::Impl::MustRefuseLate(const Call& call, TimePoint now) const
{
    return !call.m_MayHaveRun && !call.m_HeadSent && call.m_StalledAttempts.empty() &&
           !CanAnswerBeforeEnd(*call.m_Route, *call.m_Service, call.m_Caller, call.TimeLeft(now), now);
}

void DirectServe::Impl::NoteAnswerTimes(const Call& call, TimePoint now)
{
    if (call.m_FirstByteAt == TimePoint{})
        return;
    if (m_RouteTimesOf != m_World.m_Routes)
        m_RouteTimes.clear(); // routes that are gone would stay
    m_RouteTimesOf = m_World.m_Routes;
    if (call.m_Routes == m_World.m_Routes)
        m_RouteTimes[call.m_Route->m_Name].OnAnswered(call.m_Caller.m_MaxAnswerTokens, now - call.m_StartedAt);
    m_ServiceTimes[call.m_Service->m_Name].OnAnswered(call.m_Caller.m_MaxAnswerTokens, now - call.m_StartedAt);
}

//-----------------------------------------------------------------------------
// Identify
//-----------------------------------------------------------------------------

HttpResponse DirectServe::Impl::Refuse(Call& call, unsigned status, std::string_view why, Duration retry) const
{
    call.m_FailureText = why;
    return m_Protocol.MakeLocalResponse(call.m_Caller, status, why, retry);
}

// Answers 503 instead of `status` while the declarations may be outdated. A caller of a new route that gets 404 gives up a request that could be
// served. The cost: while nobody can reach the store, callers of wrong URLs get 503, too, and retry in vain.
HttpResponse DirectServe::Impl::Deny(Call& call, unsigned status, std::string_view why) const
{
    if (DeclarationsMayBeStale(call.m_DeclarationsAtArrival, call.m_StartedAt))
        return Refuse(call, 503, "declarations are being fetched", kNotReadyRetryAfter);
    return Refuse(call, status, why, {});
}

std::optional<HttpResponse> DirectServe::Impl::Identify(Call& call)
{
    call.m_DeclarationsAtArrival = m_World.m_Freshness;
    auto decoded                 = m_Protocol.DecodeRequest(call.m_Request);
    if (!decoded)
        return Refuse(call, 400, decoded.error().m_Message, {});
    call.m_Caller      = std::move(decoded.value());
    call.m_LastEventId = call.m_Caller.m_ResumeAfter;
    call.m_Routes      = m_World.m_Routes;
    if (!call.m_Routes || !m_World.m_ServerListRead)
        return Refuse(call, 503, "declarations not known yet", kNotReadyRetryAfter);
    call.m_Route = call.m_Routes->FindRoute(call.m_Caller.m_Host, call.m_Request.Path());
    if (call.m_Route == nullptr)
        return Deny(call, 404, "no route");
    if (call.m_Routes->NeedsKey(*call.m_Route))
    {
        call.m_Account = call.m_Routes->FindAccount(call.m_Caller.m_ApiKey);
        if (call.m_Account == nullptr)
            return Deny(call, 401, "unknown key");
    }
    call.m_Service = call.m_Routes->FindService(PickTarget(*call.m_Route, call.m_Caller.m_Id).m_Service);
    if (call.m_Service == nullptr)
        return Refuse(call, 503, "route names a service that isn't declared", kNotReadyRetryAfter);
    const Duration  limit = std::min(call.m_Route->m_Timeout, call.m_Caller.m_Remaining.value_or(call.m_Route->m_Timeout));
    const TimePoint begun = call.m_Request.m_BegunAt != TimePoint{} ? call.m_Request.m_BegunAt : call.m_StartedAt;
    call.m_Deadline       = begun + limit; // a slow upload of the body counts against the deadline
    if (limit > kMinTimeForAttempt && call.TimeLeft(call.m_StartedAt) < kMinTimeForAttempt)
        return Refuse(call, 408, "request arrived too slowly for its deadline", {});
    if (MustRefuseLate(call, call.m_StartedAt))
        return Refuse(call, 503, kEndingText, kEndingRetryAfter);
    if (CheckBlocked(call, call.m_StartedAt)) // last, as a request that it lets through may be a trial
        return Refuse(call, 503, kBlockedText, call.m_BlockedRetryAfter);
    return std::nullopt;
}

//-----------------------------------------------------------------------------
// Admit
//-----------------------------------------------------------------------------

std::vector<WeightsDeadline> DirectServe::Impl::WeightsDeadlines(const Call& call) const
{
    std::vector<WeightsDeadline> out;
    const auto it = call.m_Service->m_Engine ? m_World.m_TargetVersions.find(call.m_Service->m_Engine->m_Model) : m_World.m_TargetVersions.end();
    if (it == m_World.m_TargetVersions.end())
        return out;
    for (const auto& [version, naming] : it->second)
        out.push_back({version, naming.m_At + FromMs(m_Settings.m_WeightsDeadlineMs)});
    return out;
}

uint64_t DirectServe::Impl::FingerprintOf(Call& call) const
{
    if (call.m_Fingerprint == 0)
    {
        const RequestContent content = {call.AccountName(), call.m_Request.m_Method, call.m_Caller.m_Host, call.m_Request.m_Target,
                                        call.m_Request.m_Body};
        call.m_Fingerprint = RetryFingerprint(content, call.m_Caller.m_ListedParts, call.m_Caller.m_PromptTokens, call.m_Caller.m_MaxAnswerTokens);
    }
    return call.m_Fingerprint;
}

// Where callers have limits of their own, the routers' records tell a retry. They are asked now and answer while boxes are asked for a place.
void DirectServe::Impl::DetectRetry(Call& call)
{
    if (!call.m_Service->m_Engine)
        return;
    const Duration left = call.m_Caller.m_Remaining.value_or(call.m_Route->m_Timeout);
    call.m_LikelyRetry  = m_RetryEstimate.OnAttempt(call.m_Route->m_Timeout, left, call.m_StartedAt);
    if (m_Refusals != nullptr && !m_RetryEstimate.Trusted() && m_Refusals->ShouldAsk())
        call.m_RefusalQuery = m_Refusals->Ask(FingerprintOf(call));
}

void DirectServe::Impl::RecordRefusal(Call& call)
{
    if (call.m_Service->m_Engine && m_Refusals != nullptr && !m_RetryEstimate.Trusted())
        m_Refusals->OnRefused(FingerprintOf(call), call.TimeLeft(Now()));
}

// Shortly before a weights deadline and after it the server itself is asked to check its version: the router's information may be outdated.
uint64_t DirectServe::Impl::ExpectedWeights(const Call& call, TimePoint now) const
{
    for (const WeightsDeadline& d : WeightsDeadlines(call))
        if (now > d.m_At - kWeightsCheckLead)
            return call.m_Choice.m_Weights;
    return 0;
}

//-----------------------------------------------------------------------------
// Attempts
//-----------------------------------------------------------------------------

NoRetryReason DirectServe::Impl::FindNoRetryReason(const Call& call, AttemptEnd end, TimePoint now) const
{
    if (call.TimeLeft(now) < kMinTimeForAttempt)
        return NoRetryReason_DeadlineNear;
    if (call.m_Tried.size() >= call.m_Route->m_MaxAttempts || call.m_AttemptCount > call.m_Route->m_MaxAttempts + 1)
        return NoRetryReason_MaxAttempts;
    return end != AttemptEnd_NotRun && !call.m_Route->MayRepeat() ? NoRetryReason_NotRepeatable : NoRetryReason_None;
}

bool DirectServe::Impl::TakeRetry(Call& call, AttemptEnd end, TimePoint now)
{
    if (end == AttemptEnd_Answered || end == AttemptEnd_CallerGone || call.m_Abort.Aborted())
        return false;
    call.m_NoRetryReason = FindNoRetryReason(call, end, now);
    WithdrawTrial(call, end);
    if (call.m_NoRetryReason == NoRetryReason_None && CheckBlocked(call, now))
        call.m_NoRetryReason = NoRetryReason_CrashBlocked;
    if (call.m_NoRetryReason != NoRetryReason_None)
        return false;
    // The budget is charged only if the request reached a server before: unreachable servers did no work for it.
    const bool allowed = call.m_Tried.empty() || Budget(call.m_Service->m_Name).TryTake(call.m_HeadSent);
    if (!allowed)
        call.m_NoRetryReason = NoRetryReason_Budget;
    return allowed;
}

// Returns the token to the retry budget if no server takes the request, as nothing was sent again.
awaitable<std::optional<ServerEntry>> DirectServe::Impl::FindNextServer(Call& call, AttemptEnd end)
{
    const bool charged     = !call.m_Tried.empty();
    const bool allowed     = TakeRetry(call, end, Now());
    call.m_TryNextServerAt = std::max<TimePoint>(call.m_TryNextServerAt, Now() + kStalledSearchInterval);
    if (!allowed)
        co_return std::nullopt;
    CancelLateAttempts(call, Now());
    std::optional<ServerEntry> server = co_await Admit(call);
    if (server)
        co_return server;
    call.m_NoRetryReason = NoRetryReason_NoServer;
    if (charged)
        Budget(call.m_Service->m_Name).ReturnToken();
    co_return std::nullopt;
}

// A stream that has begun and lost its server keeps searching for as long as its caller tolerates the pause: a full pool has room again within some
// tenths of a second, and otherwise the caller would lose what it has received. Requests that haven't begun are refused instead.
bool DirectServe::Impl::MayKeepSearching(const Call& call, TimePoint now) const
{
    const bool refused = call.m_NoRetryReason == NoRetryReason_NoServer || call.m_NoRetryReason == NoRetryReason_Budget;
    return refused && call.m_HeadSent && call.m_StalledAttempts.empty() && call.m_Route->MayRepeat() && now < SearchEnd(call);
}

TimePoint DirectServe::Impl::SearchEnd(const Call& call)
{
    const TimePoint caller_waits_until = call.m_LastEventAt + MaxToleratedPause(call.m_Route->m_Goal, call.m_Route->m_MaxGap);
    return std::min<TimePoint>(caller_waits_until, call.m_Deadline - kMinTimeForAttempt - kLostSearchMinPause);
}

awaitable<std::optional<ServerEntry>> DirectServe::Impl::FindNextServerWithWait(Call& call, AttemptEnd end)
{
    std::optional<ServerEntry> server = co_await FindNextServer(call, end);
    // The pause doubles because each search asks up to nine boxes.
    for (Duration pause = kLostSearchMinPause; !server && !call.m_Abort.Aborted() && MayKeepSearching(call, Now()); pause *= 2)
    {
        co_await SleepUntil(std::min<TimePoint>(Now() + pause, SearchEnd(call)), call.m_Abort);
        server = co_await FindNextServer(call, end);
    }
    co_return server;
}

static void CountCaller(const Call& call)
{
    static Counter& first    = Metrics().GetCounter("aldervale_callers_total", "taken_for=\"first\"");
    static Counter& returned = Metrics().GetCounter("aldervale_callers_total", "taken_for=\"returned\"");
    if (call.m_Service->m_Engine)
        (call.m_LikelyRetry || call.m_KnownRetry ? returned : first).Add(1);
}

awaitable<void> DirectServe::Impl::Serve(Call& call)
{
    Budget(call.m_Service->m_Name).OnRequest();
    DetectRetry(call);
    AttemptEnd                 end    = AttemptEnd_NotRun;
    std::optional<ServerEntry> server = co_await Admit(call); // a copy: the server directory may change during the attempt
    CountCaller(call);
    if (!server)
        call.m_NoRetryReason = NoRetryReason_NoServer;
    while ((server || !call.m_StalledAttempts.empty()) && !call.m_Abort.Aborted())
    {
        const bool blocked = server && CheckBlockedSince(call, Now());
        if (server && (blocked || MustRefuseLate(call, Now())))
        {
            server.reset();
            if (!call.m_Tried.empty())
                Budget(call.m_Service->m_Name).ReturnToken();
            call.m_NoRetryReason = blocked ? NoRetryReason_CrashBlocked : NoRetryReason_RouterEnds;
            call.m_FailureText   = blocked ? kBlockedText : kEndingText;
            continue;
        }
        call.m_AttemptCount += server ? 1 : 0;
        if (server)
            end = co_await Attempt(call, *server);
        else
            end = co_await ReadStalledAttempts(call);
        if (end == AttemptEnd_Answered || end == AttemptEnd_CallerGone)
            break;
        server.reset();
        co_await AwaitCrashCheck(call);
        const bool search = end != AttemptEnd_Stalled || Now() >= call.m_TryNextServerAt;
        if (search)
            server = co_await FindNextServerWithWait(call, end);
        if (server)
            LogEvent(Event_RequestRetried,
                     {{"id", call.m_Caller.m_Id}, {"server", server->m_Id}, {"why", call.m_FailureText}, {"events", call.m_EventsSent}});
    }
    if (call.CallerGone())
        end = AttemptEnd_CallerGone;
    if (end == AttemptEnd_Answered || call.m_Cause == FailureCause_Deadline)
        NoteAnswerTimes(call, Now());
    if (end == AttemptEnd_Answered)
    {
        // A server refuses a request as invalid without beginning an answer on its prompt.
        m_CrashHistory.OnAnswered(call.m_Status < 300 ? call.Suspects() : call.Suspects().first(1));
        call.m_Cause         = FailureCause_None;
        call.m_NoRetryReason = NoRetryReason_None;
    }
    else if (call.m_CutOff)
    {
        call.m_NoRetryReason = NoRetryReason_RouterEnds;
        call.m_FailureText   = kEndingText;
    }
    WithdrawTrial(call, end);
    CancelStalledAttempts(call);
    co_await SendFinalAnswer(call, end);
}

//-----------------------------------------------------------------------------
// Final answer, log and counters
//-----------------------------------------------------------------------------

awaitable<void> DirectServe::Impl::SendAnswer(Call& call, HttpResponse res)
{
    call.m_Status = res.m_Status;
    co_await call.m_Reply.Send(res);
}

static void LogAbortedAnswer(const Call& call)
{
    Metrics().GetCounter("aldervale_answers_broken_total", "cause=\"" + std::string(FailureCauseName(call.m_Cause)) + "\"").Add(1);
    LogEvent(Event_AnswerBroken, {{"id", call.m_Caller.m_Id},
                                  {"server", call.m_LastServer},
                                  {"cause", FailureCauseName(call.m_Cause)},
                                  {"quiet_ms", ToMs(call.m_SilenceAtEnd)},
                                  {"given_up", NoRetryReasonName(call.m_NoRetryReason)},
                                  {"events", call.m_EventsSent},
                                  {"left_ms", ToMs(call.TimeLeft(Now()))}});
}

static Duration RetryAfterOf(const Call& call)
{
    if (call.m_NoRetryReason == NoRetryReason_CrashBlocked)
        return call.m_BlockedRetryAfter;
    if (call.m_NoRetryReason == NoRetryReason_RouterEnds)
        return kEndingRetryAfter;
    return call.m_Choice.m_RetryAfter > Duration::zero() ? call.m_Choice.m_RetryAfter : Duration(kNotReadyRetryAfter);
}

awaitable<void> DirectServe::Impl::SendFinalAnswer(Call& call, AttemptEnd end)
{
    if (end == AttemptEnd_Answered || end == AttemptEnd_CallerGone)
        co_return;
    if (call.m_HeadSent)
    {
        call.m_AnswerAborted = true;
        LogAbortedAnswer(call);
        call.m_Reply.Abort(); // the caller sees an incomplete answer, and may resume it after the last event
        co_return;
    }
    if (call.m_ServerErrorAnswer)
    {
        co_await SendAnswer(call, std::move(*call.m_ServerErrorAnswer));
        co_return;
    }
    if (call.m_MayHaveRun)
    {
        const unsigned     status = call.TimeLeft(Now()) < kMinTimeForAttempt ? 504 : 502;
        const HttpResponse res    = m_Protocol.MakeLocalResponse(call.m_Caller, status, call.m_FailureText, {});
        co_await SendAnswer(call, res);
        co_return;
    }
    const HttpResponse res = m_Protocol.MakeLocalResponse(call.m_Caller, 503, call.m_FailureText, RetryAfterOf(call));
    if (call.m_NoRetryReason != NoRetryReason_CrashBlocked && call.m_NoRetryReason != NoRetryReason_RouterEnds)
        RecordRefusal(call);
    co_await SendAnswer(call, res);
}

static boost::json::array TriedIds(const Call& call)
{
    boost::json::array out;
    for (const ServerLife& life : call.m_Tried)
        out.emplace_back(life.m_Id);
    return out;
}

static void LogCall(const Call& call, const RoutingState& world, TimePoint now)
{
    const auto             ms      = [](Duration d) { return d == Duration::max() ? -1 : ToMs(d); };
    const auto             since   = [&](TimePoint at) { return at == TimePoint{} ? -1 : ToMs(at - call.m_StartedAt); };
    const std::string_view verdict = call.m_MayHaveRun || call.m_EventsSent > 0 || call.m_Status == 200 ? "may-have-run" : "not-run";
    LogEvent(Event_RequestSettled, {{"id", call.m_Caller.m_Id},
                                    {"route", call.m_Route != nullptr ? call.m_Route->m_Name : std::string()},
                                    {"account", call.m_Account != nullptr ? call.m_Account->m_Name : std::string()},
                                    {"declared", call.m_Routes ? call.m_Routes->Version() : 0},
                                    {"declared_age_ms", call.m_Routes ? ms(now - world.m_RoutesReceivedAt) : -1},
                                    {"row", call.m_DeclarationsAtArrival.m_HeldRow},
                                    {"row_heard", call.m_DeclarationsAtArrival.m_NewestRow},
                                    {"checked_age_ms", AgeOrNever(call.m_DeclarationsAtArrival.m_ConfirmedAt, call.m_StartedAt)},
                                    {"status", call.m_Status},
                                    {"verdict", verdict},
                                    {"why", call.m_FailureText},
                                    {"cause", FailureCauseName(call.m_Cause)},
                                    {"given_up", NoRetryReasonName(call.m_NoRetryReason)},
                                    {"quiet_ms", ms(call.m_SilenceAtEnd)},
                                    {"broken_off", call.m_AnswerAborted},
                                    {"pauses", call.m_StallCount},
                                    {"servers", TriedIds(call)},
                                    {"predicted_ms", ms(call.m_Choice.m_Predicted)},
                                    {"report_age_ms", ms(call.m_Choice.m_ReportAge)},
                                    {"in_flight", call.m_Choice.m_InFlight},
                                    {"candidates", call.m_Choice.m_Candidates},
                                    {"boxes_asked", call.m_BoxesAsked},
                                    {"boxes_answered", call.m_BoxesAnswered},
                                    {"ask_ms", ToMsReal(call.m_AskDuration)},
                                    {"boxes_claimed", call.m_BoxesClaimed},
                                    {"granted", call.m_ClaimGranted},
                                    {"claim_ms", ToMsReal(call.m_ClaimDuration)},
                                    {"weights", call.m_WeightsSent},
                                    {"weights_left_ms", call.m_WeightsTimeLeft ? ToMs(*call.m_WeightsTimeLeft) : -1},
                                    {"attempt_sent_ms", since(call.m_AttemptSentAt)},
                                    {"attempt_ended_ms", since(call.m_AttemptEndedAt)},
                                    {"goal_ms", call.m_Route != nullptr ? ToMs(call.m_Route->m_Goal) : -1},
                                    {"came_back", call.m_AdmittedAsRetry},
                                    {"fingerprint", call.m_Fingerprint},
                                    {"rank", call.m_Rank},
                                    {"prompt", call.m_Caller.m_PromptTokens},
                                    {"events", call.m_EventsSent},
                                    {"first_ms", since(call.m_FirstByteAt)},
                                    {"gap_ms", ms(call.m_LongestSentGap)},
                                    {"ms", ms(now - call.m_StartedAt)}});
}

static void CountCall(const Call& call, TimePoint now)
{
    static HistogramMetric& whole   = Metrics().GetHistogram("aldervale_request_seconds");
    static HistogramMetric& first   = Metrics().GetHistogram("aldervale_first_byte_seconds");
    static Counter&         ok      = OutcomeCounter("answered");
    static Counter&         refused = OutcomeCounter("refused");
    static Counter&         denied  = OutcomeCounter("denied");
    static Counter&         failed  = OutcomeCounter("failed");
    static Counter&         gone    = OutcomeCounter("caller_gone");
    whole.Record(ToSeconds(now - call.m_StartedAt));
    if (call.m_FirstByteAt != TimePoint{})
        first.Record(ToSeconds(call.m_FirstByteAt - call.m_StartedAt));
    Counter& c = call.CallerGone()                                                    ? gone
                 : call.m_Status == 503                                               ? refused
                 : call.m_Status >= 400 && call.m_Status < 500                        ? denied
                 : call.m_Status >= 500 || call.m_Status == 0 || call.m_AnswerAborted ? failed
                                                                                      : ok;
    c.Add(1);
}

//-----------------------------------------------------------------------------
// DirectServe
//-----------------------------------------------------------------------------

DirectServe::DirectServe(Daemon& daemon, const DirectServeSettings& s, RoutingState& world, const RequestProtocol& protocol)
    : m_Impl(std::make_shared<Impl>(daemon, s, world, protocol))
{
}

void DirectServe::UsePlaceChannel(PlaceChannel& places, uint16_t port)
{
    m_Impl->m_PlaceChannel = &places;
    m_Impl->m_PlacePort    = port;
}

void DirectServe::UseRefusalChannel(RefusalChannel& refusals)
{
    m_Impl->m_Refusals = &refusals;
}

DirectServe::~DirectServe() = default;

awaitable<void> DirectServe::Handle(HttpRequest& req, HttpReply& reply)
{
    const std::shared_ptr<Impl> impl = m_Impl;
    Call                        call(req, reply);
    call.m_StartedAt = Now();
    impl->m_InFlight.insert(&call);
    std::optional<HttpResponse> answer = impl->Identify(call);
    if (answer)
        co_await impl->SendAnswer(call, std::move(*answer));
    else
    {
        reply.OnCallerGone([&call] { call.m_Abort.Abort(); });
        co_await impl->Serve(call);
    }
    impl->m_InFlight.erase(&call);
    const TimePoint now = Now();
    CountCall(call, now);
    LogCall(call, impl->m_World, now);
}

void DirectServe::OnReport(const asio::ip::address& box, const LoadReport& report)
{
    const TimePoint now  = Now();
    const auto      note = [&](const Service& s, const ServerEntry& e)
    {
        if (!s.m_Engine || e.m_Address.m_Address != box)
            return;
        if (ServerLife::Earlier(report.m_BornMs, e.m_BornMs))
            return; // report of an earlier incarnation of the server
        m_Impl->m_Choice.OnReport({e.m_Id, report.m_BornMs}, report, now);
        RecordReportedVersions(m_Impl->m_World, s.m_Engine->m_Model, report.m_Named, FromMs(m_Impl->m_Settings.m_WeightsDeadlineMs), now);
    };
    ForEachServer(m_Impl->m_World, note);
}

void DirectServe::Impl::UpdateColdServers(TimePoint now)
{
    std::vector<ColdServer> cold;
    const auto              add = [&](const Service& s, const ServerEntry& e)
    {
        if (e.m_ColdUntil > now && s.m_ColdPerSecond > 0)
            cold.push_back({LifeHash(e.Life()), s.m_ColdPerSecond, e.m_ColdUntil});
    };
    ForEachServer(m_World, add);
    m_Limits.SetColdServers(cold, now);
}

void DirectServe::OnServersChanged()
{
    if (!m_Impl->m_World.m_Routes)
        return;
    std::vector<const ServerEntry*> all;
    ForEachServer(m_Impl->m_World, [&](const Service&, const ServerEntry& e) { all.push_back(&e); });
    m_Impl->m_Choice.Forget(all);
    m_Impl->UpdateColdServers(Now());
    if (m_Impl->m_Limits.Empty())
        return;
    std::vector<uint64_t> listed;
    listed.reserve(all.size());
    for (const ServerEntry* e : all)
        listed.push_back(LifeHash(e->Life()));
    m_Impl->m_Limits.RemoveUnlisted(listed);
}

void DirectServe::SetSettings(const DirectServeSettings& s)
{
    const DirectServeSettings& before         = m_Impl->m_Settings;
    const bool                 budget_changed = s.m_RetryRatio != before.m_RetryRatio || s.m_RetryExtra != before.m_RetryExtra;
    m_Impl->m_Settings                        = s;
    if (budget_changed) // only then: rebuilt budgets are full, so a settings file that is rewritten often would lift the bound
        m_Impl->m_Budgets.clear();
}

CrashHistory& DirectServe::GetCrashHistory()
{
    return m_Impl->m_CrashHistory;
}

void DirectServe::SetOnTrial(std::function<void()> on_trial)
{
    m_Impl->m_OnTrial = std::move(on_trial);
}

ServerLimits& DirectServe::GetServerLimits()
{
    return m_Impl->m_Limits;
}

uint32_t DirectServe::RoutersHint() const
{
    return m_Impl->m_Choice.RoutersHint();
}

uint64_t DirectServe::InFlight() const
{
    return m_Impl->m_InFlight.size();
}

void DirectServe::SetEnd(TimePoint at)
{
    m_Impl->m_DrainBeganAt = Now();
    m_Impl->m_EndsAt       = at;
}

std::optional<HttpResponse> DirectServe::RefuseLate(const HttpRequest& head) const
{
    const auto        caller  = m_Impl->m_Protocol.DecodeRequest(head);
    const RouteTable* routes  = m_Impl->m_World.m_Routes.get();
    const Route*      route   = caller && routes != nullptr ? routes->FindRoute(caller.value().m_Host, head.Path()) : nullptr;
    const Service*    service = route != nullptr ? routes->FindService(PickTarget(*route, caller.value().m_Id).m_Service) : nullptr;
    if (service == nullptr)
        return std::nullopt; // Identify() judges it once it is whole
    const TimePoint now   = Now();
    const Duration  limit = std::min(route->m_Timeout, caller.value().m_Remaining.value_or(route->m_Timeout));
    if (m_Impl->CanAnswerBeforeEnd(*route, *service, caller.value(), head.m_BegunAt + limit - now, now))
        return std::nullopt;
    OutcomeCounter("refused").Add(1);
    LogEvent(Event_UploadRefused, {{"id", caller.value().m_Id}, {"route", route->m_Name}, {"upload_ms", ToMs(now - head.m_BegunAt)}});
    return m_Impl->m_Protocol.MakeLocalResponse(caller.value(), 503, kEndingText, kEndingRetryAfter);
}

static void LogRequestCutOff(const Call& call, TimePoint now)
{
    const auto since = [now](TimePoint at) { return at == TimePoint{} ? -1 : ToMs(now - at); };
    LogEvent(Event_RequestCutOff, {{"id", call.m_Caller.m_Id},
                                   {"route", call.m_Route != nullptr ? call.m_Route->m_Name : std::string()},
                                   {"ms", since(call.m_StartedAt)},
                                   {"upload_ms", call.m_Request.m_BegunAt == TimePoint{} ? -1 : ToMs(call.m_StartedAt - call.m_Request.m_BegunAt)},
                                   {"left_ms", call.m_Deadline == TimePoint{} ? -1 : ToMs(call.TimeLeft(now))},
                                   {"servers", TriedIds(call)},
                                   {"attempt_ms", since(call.m_LastSentAt)},
                                   {"quiet_ms", since(std::max(call.m_LastSentAt, call.m_LastEventAt))},
                                   {"events", call.m_EventsSent}});
}

void DirectServe::CutOff()
{
    const TimePoint now = Now();
    for (Call* call : m_Impl->m_InFlight)
    {
        if (call->CallerGone())
            continue;
        LogRequestCutOff(*call, now);
        call->m_CutOff     = true;
        call->m_MayHaveRun = call->m_MayHaveRun || !call->m_StalledAttempts.empty();
        call->m_Abort.Abort(); // attempts end with an error, and SendFinalAnswer() tells the caller
    }
}

} // namespace aldervale
