// One attempt of a request at one backend server, and forwarding its answer to the caller. See direct_serve.h.
//
// Terms: an attempt is "stalled" when its server has sent nothing for longer than server.first_event_ms or server.next_event_ms. It is kept, with its
// connection open, while another server is tried; the first event from any server cancels the attempts at the others.
#include "request/direct_serve_internal.h"
#include "request/server_capacity.h"

namespace aldervale
{

namespace
{

constexpr auto     kMaxIdleRepeatable    = seconds(4);        // idle connections older than this aren't reused: the server may have dropped them
constexpr auto     kMaxIdleNotRepeatable = milliseconds(0);   // no reuse: whether a request sent on a dropped connection ran is unknown
constexpr auto     kStalledReadTurn      = milliseconds(50);  // for this long one stalled attempt is read before the next one is
constexpr auto     kCancelLeadTime       = milliseconds(150); // a cancelling reset is sent this long before the weights deadline, to arrive in time
constexpr auto     kNextServerSearchMax  = milliseconds(700); // upper bound of asking boxes and connecting; stalled attempts aren't read meanwhile
constexpr unsigned kPriorityResumed      = 0;                 // of a stream that broke: its caller sees a pause until it resumes
constexpr auto     kStaleConnectionMax   = milliseconds(250); // after sending; a kept connection that closes later wasn't stale: the work was aborted
constexpr auto     kAnswerBegunAfter     = milliseconds(200); // first event: a server that crashes on a request does so as it begins to answer
constexpr size_t   kDiscardMax           = 256 * 1024;        // bytes of a refusal that are read to keep its connection
constexpr size_t   kEventMax             = 1024 * 1024;       // bytes of an event that isn't complete

bool IsServerError(unsigned status)
{
    return status >= 500;
}

void RecordEvent(EventTiming& timing, TimePoint before, TimePoint received)
{
    if (timing.m_FirstEventReceived)
        timing.m_LongestGap = std::max(timing.m_LongestGap, received - before);
    else
        timing.m_TimeToFirst = received - timing.m_SentAt;
    timing.m_FirstEventReceived = true;
}

// Whether the first event came later than predicted by more than the route's latency objective, or a gap exceeded the route's maximum. While the
// estimates of the servers are right, waits vary by less than one objective.
bool IsSlow(const Call& call, const RequestAttempt& attempt)
{
    return attempt.m_Timing.m_FirstEventReceived && (attempt.m_Timing.m_TimeToFirst > attempt.m_PredictedFirstEvent + call.m_Route->m_Goal ||
                                                     attempt.m_Timing.m_LongestGap > call.m_Route->m_MaxGap);
}

FailureCause FailureCauseOf(const Error& e)
{
    if (e.m_Verdict == Verdict_NotRun)
        return FailureCause_Unreachable;
    return e.m_Code == ErrorCode_Timeout ? FailureCause_Timeout : FailureCause_Closed;
}

void RecordFailure(Call& call, FailureCause cause, std::string why)
{
    call.m_Cause       = cause;
    call.m_FailureText = std::move(why);
}

ServerOutcome OutcomeOf(AttemptEnd end, const Call& call, bool reached, const RequestAttempt& attempt)
{
    if (end == AttemptEnd_CallerGone || call.m_Abort.Aborted())
        return ServerOutcome_Cancelled;
    if (!reached)
        return ServerOutcome_Unreachable;
    if (end == AttemptEnd_NotRun)
        return ServerOutcome_Refused;
    if (end != AttemptEnd_Answered)
        return ServerOutcome_Failed;
    return IsSlow(call, attempt) ? ServerOutcome_Slow : ServerOutcome_Good;
}

// Discards the rest of an answer, so that its connection can be reused. The rest of a long one isn't worth its bytes.
awaitable<void> ReadToEnd(HttpStream& stream, TimePoint deadline)
{
    for (size_t got = 0; got < kDiscardMax;)
    {
        const auto piece = co_await stream.Read(deadline);
        if (!piece || piece.value().m_Done)
            co_return;
        got += piece.value().m_Bytes.size();
    }
}

} // namespace

//-----------------------------------------------------------------------------
// The exchange with a server
//-----------------------------------------------------------------------------

ForwardFields DirectServe::Impl::ForwardFieldsFor(const Call& call, std::string_view server_id, TimePoint now) const
{
    ForwardFields fields;
    fields.m_ServerId       = server_id;
    fields.m_Account        = call.m_Account != nullptr ? call.m_Account->m_Name : std::string();
    fields.m_Remaining      = call.TimeLeft(now);
    fields.m_Priority       = call.m_EventsSent > 0 ? kPriorityResumed : call.Priority();
    fields.m_WeightsVersion = ExpectedWeights(call, now);
    fields.m_ResumeAfter    = call.m_LastEventId;
    return fields;
}

HttpCallOptions DirectServe::Impl::CallOptionsFor(Call& call) const
{
    HttpCallOptions options;
    options.m_ConnectMax = milliseconds(m_Settings.m_ConnectMs);
    options.m_IdleMax    = call.m_Route->MayRepeat() ? Duration(kMaxIdleRepeatable) : Duration(kMaxIdleNotRepeatable);
    options.m_Abort      = &call.m_Abort;
    options.m_IsOurs     = [this, &call](const HttpResponse& head) { return m_Protocol.DecodeAnswer(head).m_RequestId == call.m_Caller.m_Id; };
    return options;
}

// The server of the attempt may not start the request after this time. nullopt: no newer weights have a deadline.
std::optional<TimePoint> DirectServe::Impl::DeadlineOfNewerWeights(const Call& call, const RequestAttempt& attempt) const
{
    for (const WeightsDeadline& d : WeightsDeadlines(call))
        if (attempt.m_WeightsVersion > 0 && d.m_Version > attempt.m_WeightsVersion)
            return d.m_At;
    return std::nullopt;
}

void DirectServe::Impl::NoteWeights(Call& call, const RequestAttempt& attempt) const
{
    static HistogramMetric&        time_left = Metrics().GetHistogram("aldervale_old_weights_time_left_seconds");
    const std::optional<TimePoint> deadline  = DeadlineOfNewerWeights(call, attempt);
    call.m_WeightsSent                       = attempt.m_WeightsVersion;
    call.m_WeightsTimeLeft                   = deadline ? std::optional(*deadline - Now()) : std::nullopt;
    if (call.m_WeightsTimeLeft)
        time_left.Record(std::max(0.0, ToSeconds(*call.m_WeightsTimeLeft)));
}

// An attempt whose server hasn't sent an event must be cancelled by this time: its weights may not start a request after the deadline of newer ones.
// max: no newer weights have a deadline.
TimePoint DirectServe::Impl::LatestBegin(const Call& call, const RequestAttempt& attempt) const
{
    const std::optional<TimePoint> deadline = DeadlineOfNewerWeights(call, attempt);
    return deadline ? *deadline - kCancelLeadTime : TimePoint::max();
}

// A repeatable stream that hasn't begun ends at LatestBegin(), as it can run on another server; all other attempts end at the deadline of the
// request.
TimePoint DirectServe::Impl::AttemptDeadline(const Call& call, const RequestAttempt& attempt) const
{
    const TimePoint end_at         = AttemptEndTime(call.m_Deadline, call.m_HeadSent);
    const bool      until_deadline = attempt.m_Timing.m_FirstEventReceived || !call.IsStream() || !call.m_Route->MayRepeat();
    return until_deadline ? end_at : std::min(end_at, LatestBegin(call, attempt));
}

// Only a repeatable stream can stall: any other request isn't sent to another server while its own may still work on it. While other attempts are
// stalled, this one is read for one turn only.
TimePoint DirectServe::Impl::StallDeadline(const Call& call, const RequestAttempt& attempt) const
{
    const TimePoint end_at = AttemptDeadline(call, attempt);
    if (!call.IsStream() || !call.m_Route->MayRepeat())
        return end_at;
    const TimePoint stalled_at = call.m_StalledAttempts.empty() ? call.m_TryNextServerAt : std::min(call.m_TryNextServerAt, attempt.m_ReadTurnEnd);
    return std::min(end_at, stalled_at);
}

// The server may run the request from now on.
void DirectServe::Impl::NoteReached(Call& call, const RequestAttempt& attempt)
{
    call.m_Tried.push_back(attempt.m_Server);
    if (!m_CrashHistory.Empty() && m_CrashHistory.OnTrialSent(call.Suspects(), call.m_BlockCheckedAt) && m_OnTrial)
        m_OnTrial();
}

awaitable<AttemptEnd> DirectServe::Impl::Attempt(Call& call, ServerEntry server)
{
    const TimePoint       sent_at  = Now();
    const HttpRequest     forward  = m_Protocol.Forward(call.m_Request, ForwardFieldsFor(call, server.m_Id, sent_at));
    const HttpCallOptions options  = CallOptionsFor(call);
    RequestAttemptPtr     attempt  = std::make_unique<RequestAttempt>(server.Life(), server.m_Address, call.m_Reply.Memory());
    attempt->m_WeightsVersion      = call.m_Choice.m_Weights;
    attempt->m_PredictedFirstEvent = call.m_Choice.m_Predicted;
    attempt->m_InFlight            = call.m_Choice.m_InFlight;
    attempt->m_BoxTold             = call.m_BoxesAnswered > 0;
    if (call.m_ClaimGranted) // the claim may have waited for its place
        attempt->m_InFlight = std::min(attempt->m_InFlight, std::max(1u, call.m_Choice.m_Places) - 1);
    attempt->m_Timing.m_SentAt = sent_at;
    call.m_TryNextServerAt     = sent_at + milliseconds(m_Settings.m_FirstEventMs);

    m_Choice.OnSent(attempt->m_Server, call.m_Caller.m_PromptTokens, sent_at);
    m_Limits.OnSent(attempt->m_Server, sent_at);
    // An attempt can be kept as stalled only once the request was sent, so a server that doesn't take it gets no longer than for a first event.
    const bool      can_stall = call.IsStream() && call.m_Route->MayRepeat();
    const TimePoint end_at    = AttemptDeadline(call, *attempt);
    const TimePoint sent_by   = can_stall ? std::min(end_at, call.m_TryNextServerAt) : end_at;
    auto            sent      = co_await m_Client.Send(server.m_Address, forward, sent_by, options);
    if (!sent)
    {
        const bool reached = sent.error().m_Verdict != Verdict_NotRun; // the request may have reached the server
        RecordFailure(call, FailureCauseOf(sent.error()), sent.error().m_Message);
        if (reached)
            NoteReached(call, *attempt);
        co_return FinishAttempt(call, *attempt, reached ? AttemptEnd_MayHaveRun : AttemptEnd_NotRun, reached);
    }
    NoteReached(call, *attempt);
    call.m_LastSentAt = sent_at;
    NoteWeights(call, *attempt);
    attempt->m_Stream = std::move(sent.value());
    co_return co_await RelayUntilStall(call, std::move(attempt));
}

// A server may close a kept connection while a request is in transit to it. That doesn't indicate a fault of the server, so a repeatable request is
// sent to it once more. It is charged to the retry budget like any retry, because whether the first one ran is unknown.
bool DirectServe::Impl::MayResend(Call& call, const RequestAttempt& attempt)
{
    const TimePoint now = Now();
    if (!attempt.m_Stream->Stale() || attempt.m_Resent || !call.m_Route->MayRepeat() || call.m_Abort.Aborted())
        return false;
    const bool just_sent = now - attempt.m_Timing.m_SentAt < kStaleConnectionMax;
    const bool in_time   = AttemptDeadline(call, attempt) - now > kMinTimeForAttempt;
    if (!just_sent || !in_time || !IsUsable(call, attempt.m_Server, now) || !m_Limits.Allows(attempt.m_Server, now) ||
        m_CrashHistory.IsBlocked(call.Suspects(), now))
        return false;
    return Budget(call.m_Service->m_Name).TryTake(call.m_HeadSent);
}

awaitable<bool> DirectServe::Impl::Resend(Call& call, RequestAttempt& attempt)
{
    static Counter&   resent  = Metrics().GetCounter("aldervale_requests_resent_total");
    const TimePoint   now     = Now();
    const HttpRequest forward = m_Protocol.Forward(call.m_Request, ForwardFieldsFor(call, attempt.m_Server.m_Id, now));
    HttpCallOptions   options = CallOptionsFor(call);
    options.m_Fresh           = true;
    attempt.m_Resent          = true;
    auto sent                 = co_await m_Client.Send(attempt.m_Address, forward, AttemptDeadline(call, attempt), options);
    if (!sent)
    {
        if (sent.error().m_Verdict == Verdict_NotRun)
            Budget(call.m_Service->m_Name).ReturnToken();
        co_return false;
    }
    resent.Add(1);
    m_Limits.OnSent(attempt.m_Server, now);
    attempt.m_Stream = std::move(sent.value());
    LogEvent(Event_RequestRetried,
             {{"id", call.m_Caller.m_Id}, {"server", attempt.m_Server.m_Id}, {"why", "kept connection ended"}, {"events", call.m_EventsSent}});
    co_return true;
}

// A stalled server may still continue, and another one would have to repeat its work. So a stalled attempt is kept, and cancelled only when another
// server sends an event. When stalled attempts were cancelled at once, streams broke off that no other server took.
awaitable<AttemptEnd> DirectServe::Impl::RelayUntilStall(Call& call, RequestAttemptPtr attempt)
{
    attempt->m_ReadTurnEnd = Now() + kStalledReadTurn;
    const AttemptEnd end   = co_await Relay(call, *attempt);
    if (end != AttemptEnd_Stalled || call.m_Abort.Aborted())
        co_return FinishAttempt(call, *attempt, end, true);
    if (!attempt->m_StallCounted && Now() >= call.m_TryNextServerAt)
    {
        attempt->m_StallCounted = true;
        call.m_StallCount++;
        call.m_FailureText = "server " + attempt->m_Server.m_Id + " stalled";
        m_Choice.OnPause(attempt->m_Server, Now());
    }
    call.m_StalledAttempts.push_back(std::move(attempt));
    co_return end;
}

// Cancels stalled attempts whose server could start the request after its LatestBegin() while another server is searched for: attempts aren't read
// during the search.
void DirectServe::Impl::CancelLateAttempts(Call& call, TimePoint now)
{
    std::deque<RequestAttemptPtr> kept;
    for (RequestAttemptPtr& attempt : call.m_StalledAttempts)
    {
        if (attempt->m_Timing.m_FirstEventReceived || LatestBegin(call, *attempt) > now + kNextServerSearchMax)
            kept.push_back(std::move(attempt));
        else
        {
            call.m_MayHaveRun = true; // the request was sent
            m_Choice.OnEnd(attempt->m_Server, ServerOutcome_Cancelled, call.m_Caller.m_PromptTokens, now - attempt->m_Timing.m_SentAt, now);
        }
    }
    call.m_StalledAttempts = std::move(kept);
}

// Reads from the stalled attempts in turn until one ends or the next server may be tried.
awaitable<AttemptEnd> DirectServe::Impl::ReadStalledAttempts(Call& call)
{
    AttemptEnd end = AttemptEnd_Stalled;
    while (end == AttemptEnd_Stalled && !call.m_StalledAttempts.empty() && Now() < call.m_TryNextServerAt)
    {
        RequestAttemptPtr attempt = std::move(call.m_StalledAttempts.front());
        call.m_StalledAttempts.pop_front();
        end = co_await RelayUntilStall(call, std::move(attempt));
    }
    co_return end;
}

void DirectServe::Impl::CancelStalledAttempts(Call& call)
{
    const TimePoint now = Now();
    for (const RequestAttemptPtr& attempt : call.m_StalledAttempts)
    {
        const double unread = attempt->m_Timing.m_FirstEventReceived ? 0 : call.m_Caller.m_PromptTokens;
        // Not a failure: OnPause() has counted the stall already.
        m_Choice.OnEnd(attempt->m_Server, ServerOutcome_Cancelled, unread, now - attempt->m_Timing.m_SentAt, now);
    }
    call.m_StalledAttempts.clear();
}

// Only whole answers: what ended an exchange early may lie outside the server.
void DirectServe::Impl::TellOutcome(const Call& call, const RequestAttempt& attempt) const
{
    static Counter&    told   = Metrics().GetCounter("aldervale_outcomes_told_total");
    const EventTiming& timing = attempt.m_Timing;
    if (!m_Settings.m_LearnCapacity || m_PlaceChannel == nullptr || !call.m_Service->m_Engine || !attempt.m_BoxTold || !timing.m_FirstEventReceived)
        return;
    ServedOutcome out;
    out.m_InFlight       = attempt.m_InFlight;
    out.m_TimeToFirst    = timing.m_TimeToFirst;
    out.m_PredictedFirst = attempt.m_PredictedFirstEvent;
    if (timing.m_Events > 1)
        out.m_EventInterval = (timing.m_LastReceivedAt - timing.m_SentAt - timing.m_TimeToFirst) / (timing.m_Events - 1);
    out.m_Late = CountsAsLate(timing.m_TimeToFirst, attempt.m_PredictedFirstEvent, call.m_Route->m_Goal, timing.m_LongestGap, call.m_Route->m_MaxGap);
    m_PlaceChannel->Tell({attempt.m_Address.m_Address, m_PlacePort}, out);
    told.Add(1);
}

AttemptEnd DirectServe::Impl::FinishAttempt(Call& call, const RequestAttempt& attempt, AttemptEnd end, bool reached)
{
    const EventTiming& timing = attempt.m_Timing;
    if (call.CallerGone())
        end = AttemptEnd_CallerGone;
    if (end == AttemptEnd_CallerGone)
        call.m_Cause = FailureCause_CallerGone;
    if (call.m_CutOff && end == AttemptEnd_Stalled)
        end = AttemptEnd_MayHaveRun;
    if (call.m_CutOff && end != AttemptEnd_Answered)
        RecordFailure(call, FailureCause_RouterEnds, std::string(kEndingText));
    if (end == AttemptEnd_MayHaveRun || end == AttemptEnd_ServerError)
        call.m_MayHaveRun = true;
    if (end == AttemptEnd_MayHaveRun && call.m_Cause == FailureCause_Closed)
    {
        const auto suspects = attempt.m_BegunNoted ? call.Suspects().first(1) : call.Suspects(); // the content is cleared by whole answers only
        m_CrashDetector.OnConnectionLost(attempt.m_Server, attempt.m_Address, {call.m_Caller.m_Id, {suspects.begin(), suspects.end()}});
    }
    call.m_LastServer        = attempt.m_Server.m_Id;
    const TimePoint now      = Now();
    const bool      too_late = now >= AttemptEndTime(call.m_Deadline, false) && end == AttemptEnd_MayHaveRun; // not the server's failure
    if (too_late)
        RecordFailure(call, FailureCause_Deadline, "deadline reached");
    call.m_AttemptSentAt        = timing.m_SentAt;
    call.m_AttemptEndedAt       = now;
    call.m_SilenceAtEnd         = now - std::max(timing.m_SentAt, timing.m_LastReceivedAt);
    const ServerOutcome outcome = too_late ? ServerOutcome_Cancelled : OutcomeOf(end, call, reached, attempt);
    const double        unread  = timing.m_FirstEventReceived ? 0 : call.m_Caller.m_PromptTokens;
    m_Choice.OnEnd(attempt.m_Server, outcome, unread, now - timing.m_SentAt, now);
    if (outcome == ServerOutcome_Good || outcome == ServerOutcome_Slow)
        TellOutcome(call, attempt);
    return end;
}

//-----------------------------------------------------------------------------
// Forwarding the answer
//-----------------------------------------------------------------------------

void DirectServe::Impl::NoteAnswerBegun(Call& call, RequestAttempt& attempt, TimePoint now)
{
    const EventTiming& timing = attempt.m_Timing;
    if (attempt.m_BegunNoted || now - (timing.m_SentAt + timing.m_TimeToFirst) < kAnswerBegunAfter)
        return;
    attempt.m_BegunNoted = true;
    m_CrashHistory.OnAnswerBegun(call.Suspects());
}

// A 421 comes from another server that now has the address, so it says nothing about the expected server.
void DirectServe::Impl::ApplyServerStatements(const RequestAttempt& attempt, const ServerAnswer& answer)
{
    if (attempt.m_Stream->Head().m_Status == 421)
        return;
    const TimePoint now = Now();
    if (answer.m_Leaving && m_World.m_Servers.OnLeaving(attempt.m_Server))
        LogEvent(Event_ServerLeaving, {{"server", attempt.m_Server.m_Id}, {"status", attempt.m_Stream->Head().m_Status}});
    if (answer.m_Pause > Duration::zero())
    {
        static Counter& pauses = Metrics().GetCounter("aldervale_server_pauses_total");
        m_Limits.OnPause(attempt.m_Server, now + answer.m_Pause, now);
        pauses.Add(1);
        LogEvent(Event_ServerPaused, {{"server", attempt.m_Server.m_Id}, {"pause_ms", ToMs(answer.m_Pause)}});
    }
    const bool changed = m_Limits.OnAnswer(attempt.m_Server, answer.m_RateLimit, attempt.m_Timing.m_SentAt, now);
    if (changed)
        LogEvent(Event_ServerLimitChanged, {{"server", attempt.m_Server.m_Id}, {"per_s", answer.m_RateLimit.value_or(-1)}});
}

awaitable<AttemptEnd> DirectServe::Impl::Relay(Call& call, RequestAttempt& attempt)
{
    if (!attempt.m_HeadReceived)
    {
        auto head   = co_await attempt.m_Stream->ReadHead(StallDeadline(call, attempt), AttemptDeadline(call, attempt));
        bool resent = false;
        if (!head && MayResend(call, attempt))
            resent = co_await Resend(call, attempt);
        if (resent)
            head = co_await attempt.m_Stream->ReadHead(StallDeadline(call, attempt), AttemptDeadline(call, attempt));
        if (!head)
        {
            RecordFailure(call, FailureCauseOf(head.error()), head.error().m_Message);
            co_return AttemptEnd_MayHaveRun;
        }
        if (!head.value())
            co_return AttemptEnd_Stalled;
    }
    const unsigned     status = attempt.m_Stream->Head().m_Status;
    const ServerAnswer answer = m_Protocol.DecodeAnswer(attempt.m_Stream->Head());
    if (!attempt.m_HeadReceived)
        ApplyServerStatements(attempt, answer);
    attempt.m_HeadReceived = true;
    if (answer.m_NotRun)
    {
        RecordFailure(call, FailureCause_Refused, "server " + attempt.m_Server.m_Id + " refused with " + std::to_string(status));
        co_await ReadToEnd(*attempt.m_Stream, std::min<TimePoint>(Now() + milliseconds(m_Settings.m_ConnectMs), AttemptDeadline(call, attempt)));
        co_return AttemptEnd_NotRun;
    }
    if (answer.m_Stream && status == 200)
        co_return co_await RelayStream(call, attempt);
    co_return co_await RelayWhole(call, attempt);
}

// False: the answer is too long, or there is no memory for it.
static awaitable<bool> Hold(HeldAnswer& answer, std::string_view bytes, TimePoint until, CallAbort& abort)
{
    MemoryGrant grant = answer.Append(bytes, Now());
    while (grant == MemoryGrant_Wait && Now() < until && !abort.Aborted())
    {
        co_await SleepUntil(Now() + kMemoryPoll, abort);
        grant = answer.Append(bytes, Now());
    }
    co_return grant == MemoryGrant_Taken;
}

awaitable<AttemptEnd> DirectServe::Impl::RelayWhole(Call& call, RequestAttempt& attempt)
{
    HttpStream& stream = *attempt.m_Stream;
    for (;;)
    {
        const auto piece = co_await stream.Read(StallDeadline(call, attempt), AttemptDeadline(call, attempt));
        if (!piece)
        {
            RecordFailure(call, FailureCauseOf(piece.error()), piece.error().m_Message);
            co_return AttemptEnd_MayHaveRun;
        }
        if (piece.value().m_Quiet)
            co_return AttemptEnd_Stalled;
        if (piece.value().m_Done)
            break;
        const bool held = co_await Hold(attempt.m_Body, piece.value().m_Bytes, AttemptDeadline(call, attempt), call.m_Abort);
        if (!held)
        {
            RecordFailure(call, FailureCause_InvalidAnswer, "answer exceeds the size limit, or memory for answers is used up");
            co_return AttemptEnd_MayHaveRun;
        }
    }
    HttpResponse res = {stream.Head().m_Status, m_Protocol.CallerFields(stream.Head()), attempt.m_Body.Take()};
    if (call.m_HeadSent) // a resumed stream can't continue with an answer of another kind
    {
        RecordFailure(call, FailureCause_ServerError, "server answered " + std::to_string(res.m_Status) + " to a resumed stream");
        co_return AttemptEnd_MayHaveRun;
    }
    const bool await_stalled = res.m_Status >= 400 && !call.m_StalledAttempts.empty(); // a stalled server may still send a better answer
    if (IsServerError(res.m_Status) || await_stalled)
    {
        RecordFailure(call, FailureCause_ServerError, "server answered " + std::to_string(res.m_Status));
        call.m_ServerErrorAnswer = std::move(res);
        co_return AttemptEnd_ServerError;
    }
    call.m_FirstByteAt = Now();
    call.m_MayHaveRun  = true; // for the log: a server gave the answer, whatever its status
    co_await SendAnswer(call, std::move(res));
    co_return AttemptEnd_Answered;
}

// Returns the bytes of all whole events received; the events of one read are forwarded together.
static std::string TakeEvents(Call& call, EventSplitter& events)
{
    std::string out;
    while (std::optional<StreamEvent> e = events.Next())
    {
        out += e->m_Bytes;
        call.m_LastEventId = e->m_Id.empty() ? call.m_LastEventId : e->m_Id;
        call.m_EventsSent++;
    }
    return out;
}

awaitable<bool> DirectServe::Impl::SendEvents(Call& call, const HttpResponse& head, const std::string& events, TimePoint received)
{
    if (!call.m_HeadSent)
    {
        call.m_HeadSent         = true;
        call.m_Status           = head.m_Status;
        call.m_FirstByteAt      = received;
        const HttpFields fields = m_Protocol.CallerFields(head);
        const bool       begun  = co_await call.m_Reply.Start(call.m_Status, fields);
        if (!begun)
            co_return false;
    }
    else
        call.m_LongestSentGap = std::max(call.m_LongestSentGap, received - call.m_LastEventAt);
    call.m_LastEventAt = received;
    co_return co_await call.m_Reply.Write(events);
}

awaitable<AttemptEnd> DirectServe::Impl::RelayStream(Call& call, RequestAttempt& attempt)
{
    EventTiming& timing = attempt.m_Timing;
    for (;;)
    {
        const auto piece = co_await attempt.m_Stream->Read(StallDeadline(call, attempt), AttemptDeadline(call, attempt));
        if (!piece)
        {
            RecordFailure(call, FailureCauseOf(piece.error()), piece.error().m_Message);
            co_return AttemptEnd_MayHaveRun;
        }
        if (piece.value().m_Quiet)
            co_return AttemptEnd_Stalled;
        if (piece.value().m_Done)
            break;
        const TimePoint before = timing.m_FirstEventReceived ? timing.m_LastReceivedAt : timing.m_SentAt;
        attempt.m_Splitter.Feed(piece.value().m_Bytes);
        const unsigned    sent_before = call.m_EventsSent;
        const std::string out         = TakeEvents(call, attempt.m_Splitter);
        if (attempt.m_Splitter.PendingBytes() > kEventMax)
        {
            RecordFailure(call, FailureCause_InvalidAnswer, "event exceeds the size limit");
            co_return AttemptEnd_MayHaveRun;
        }
        if (out.empty())
            continue;
        timing.m_Events += call.m_EventsSent - sent_before;
        timing.m_LastReceivedAt = Now();
        attempt.m_StallCounted  = false;
        call.m_TryNextServerAt  = timing.m_LastReceivedAt + milliseconds(m_Settings.m_NextEventMs);
        CancelStalledAttempts(call); // this server sends all further events
        if (!timing.m_FirstEventReceived)
            m_Choice.OnFirstEvent(attempt.m_Server, call.m_Caller.m_PromptTokens);
        RecordEvent(timing, before, timing.m_LastReceivedAt);
        NoteAnswerBegun(call, attempt, timing.m_LastReceivedAt);
        const bool written = co_await SendEvents(call, attempt.m_Stream->Head(), out, timing.m_LastReceivedAt);
        if (!written)
            co_return AttemptEnd_CallerGone;
    }
    if (attempt.m_Splitter.PendingBytes() > 0 || !call.m_HeadSent)
    {
        RecordFailure(call, FailureCause_Closed, "stream ended inside an event");
        co_return AttemptEnd_MayHaveRun;
    }
    co_await call.m_Reply.Finish({});
    co_return AttemptEnd_Answered;
}

} // namespace aldervale
