// One attempt of a request at one backend server, and passing its answer on. See direct_serve.h.
#include "request/direct_serve_internal.h"

namespace aldervale
{

namespace
{

constexpr auto     kIdleRepeatable = seconds(4);        // a connection that rested longer isn't used: its server may have forgotten it
constexpr auto     kIdleOnce       = milliseconds(0);   // a server may have forgotten a resting connection: a request that runs once gets a new one
constexpr auto     kTurn           = milliseconds(50);  // that one of several servers is listened to while all pause
constexpr auto     kWithdrawn      = milliseconds(150); // a reset is at the server this much before it must not begin; beyond the way there
constexpr auto     kLookTakes = milliseconds(700); // for asking boxes and connecting elsewhere, at most; paused attempts aren't listened to meanwhile
constexpr unsigned kPriorityResumed = 0;           // a stream that broke: its caller sees the pause until it goes on
constexpr auto     kStaleMax        = milliseconds(250); // after sending; a server that ends a kept connection later broke off its work
constexpr size_t   kAnswerMax       = 64 * 1024 * 1024;  // bytes of an answer that is held until it is whole

bool IsServerFault(unsigned status)
{
    return status >= 500;
}

void NoteEvent(StreamPace& pace, TimePoint before, TimePoint heard)
{
    if (pace.m_Begun)
        pace.m_Gap = std::max(pace.m_Gap, heard - before);
    else
        pace.m_First = heard - pace.m_SentAt;
    pace.m_Begun = true;
}

// By a whole objective later than predicted: waits vary by less than that while the view of the servers is right.
bool IsSlow(const Call& call, const RequestAttempt& attempt)
{
    return attempt.m_Pace.m_Begun &&
           (attempt.m_Pace.m_First > attempt.m_Predicted + call.m_Route->m_Goal || attempt.m_Pace.m_Gap > call.m_Route->m_MaxGap);
}

AttemptCause CauseOf(const Error& e)
{
    if (e.m_Verdict == Verdict_NotRun)
        return AttemptCause_Unreachable;
    return e.m_Code == ErrorCode_Timeout ? AttemptCause_Silence : AttemptCause_Closed;
}

void NoteFailure(Call& call, AttemptCause cause, std::string why)
{
    call.m_Cause = cause;
    call.m_Why   = std::move(why);
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

// Drops the rest of an answer, so that its connection can be kept.
awaitable<void> ReadToEnd(HttpStream& stream, TimePoint deadline)
{
    for (;;)
    {
        const auto piece = co_await stream.Read(deadline);
        if (!piece || piece.value().m_Done)
            co_return;
    }
}

} // namespace

//-----------------------------------------------------------------------------
// The exchange
//-----------------------------------------------------------------------------

ForwardFields DirectServe::Impl::FieldsFor(const Call& call, std::string_view server_id, TimePoint now) const
{
    const unsigned of_route = call.m_Route->m_Priority;
    const unsigned declared = call.m_Account != nullptr ? call.m_Account->m_Priority.value_or(of_route) : of_route;
    ForwardFields  add;
    add.m_ServerId       = server_id;
    add.m_Account        = call.m_Account != nullptr ? call.m_Account->m_Name : std::string();
    add.m_Remaining      = call.Left(now);
    add.m_Priority       = call.m_Events > 0 ? kPriorityResumed : declared;
    add.m_WeightsVersion = ExpectedWeights(call, now);
    add.m_ResumeAfter    = call.m_LastEvent;
    return add;
}

HttpCallOptions DirectServe::Impl::OptionsFor(Call& call) const
{
    HttpCallOptions options;
    options.m_ConnectMax = milliseconds(m_Settings.m_ConnectMs);
    options.m_IdleMax    = call.m_Route->MayRepeat() ? Duration(kIdleRepeatable) : Duration(kIdleOnce);
    options.m_Abort      = &call.m_Abort;
    options.m_IsOurs     = [this, &call](const HttpResponse& head) { return m_Protocol.DecodeAnswer(head).m_RequestId == call.m_Caller.m_Id; };
    return options;
}

// After this the attempt must not begin any more: its server's weights are too old then. Default: any time.
TimePoint DirectServe::Impl::BeginBy(const Call& call, const RequestAttempt& attempt) const
{
    for (const WeightsDeadline& d : WeightsDeadlines(call))
        if (attempt.m_Weights > 0 && d.m_Version > attempt.m_Weights)
            return d.m_At - kWithdrawn;
    return TimePoint::max();
}

TimePoint DirectServe::Impl::EndAt(const Call& call, const RequestAttempt& attempt) const
{
    const TimePoint end_at   = AttemptEndTime(call.m_Deadline, call.m_HeadSent);
    const bool      may_wait = attempt.m_Pace.m_Begun || !call.IsStream() || !call.m_Route->MayRepeat();
    return may_wait ? end_at : std::min(end_at, BeginBy(call, attempt));
}

// Only a stream that may be sent again is looked for elsewhere while its server is at work on it.
TimePoint DirectServe::Impl::QuietUntil(const Call& call, const RequestAttempt& attempt) const
{
    const TimePoint end_at = EndAt(call, attempt);
    if (!call.IsStream() || !call.m_Route->MayRepeat())
        return end_at;
    const TimePoint look_at = call.m_Paused.empty() ? call.m_LookAt : std::min(call.m_LookAt, attempt.m_TurnEnd);
    return std::min(end_at, look_at);
}

awaitable<AttemptEnd> DirectServe::Impl::Attempt(Call& call, ServerEntry server)
{
    const TimePoint       sent_at = Now();
    const HttpRequest     forward = m_Protocol.Forward(call.m_Request, FieldsFor(call, server.m_Id, sent_at));
    const HttpCallOptions options = OptionsFor(call);
    RequestAttemptPtr     attempt = std::make_unique<RequestAttempt>(server.Life(), server.m_Address);
    attempt->m_Weights            = call.m_Choice.m_Weights;
    attempt->m_Predicted          = call.m_Choice.m_Predicted;
    attempt->m_Pace.m_SentAt      = sent_at;
    call.m_LookAt                 = sent_at + milliseconds(m_Settings.m_FirstEventMs);

    m_Choice.OnSent(attempt->m_Server, call.m_Caller.m_PromptTokens, sent_at);
    m_Limits.OnSent(attempt->m_Server, sent_at);
    // A server that doesn't take the request has nothing to go on with: it is waited for no longer than for a first event.
    const bool      elsewhere = call.IsStream() && call.m_Route->MayRepeat();
    const TimePoint end_at    = EndAt(call, *attempt);
    const TimePoint sent_by   = elsewhere ? std::min(end_at, call.m_LookAt) : end_at;
    auto            sent      = co_await m_Client.Send(server.m_Address, forward, sent_by, options);
    if (!sent)
    {
        const bool reached = sent.error().m_Verdict != Verdict_NotRun; // the request may have arrived
        NoteFailure(call, CauseOf(sent.error()), sent.error().m_Message);
        if (reached)
            call.m_Tried.push_back(attempt->m_Server);
        co_return Conclude(call, *attempt, reached ? AttemptEnd_MayHaveRun : AttemptEnd_NotRun, reached);
    }
    call.m_Tried.push_back(attempt->m_Server);
    attempt->m_Stream = std::move(sent.value());
    co_return co_await Follow(call, std::move(attempt));
}

// A server may end a kept connection while a request is on its way there. That says nothing of the server, so a request that may be repeated is sent
// to it again, once. It counts as a repeat: whether it ran isn't known.
bool DirectServe::Impl::MayResend(Call& call, const RequestAttempt& attempt)
{
    const TimePoint now = Now();
    if (!attempt.m_Stream->Stale() || attempt.m_Resent || !call.m_Route->MayRepeat() || call.m_Abort.Aborted())
        return false;
    const bool crossed = now - attempt.m_Pace.m_SentAt < kStaleMax;
    const bool in_time = EndAt(call, attempt) - now > kMinLeft;
    if (!crossed || !in_time || !IsUsable(attempt.m_Server, now) || m_CrashHistory.IsBlocked(call.ContentHash(), now))
        return false;
    return Budget(call.m_Service->m_Name).TryTake(call.m_HeadSent);
}

awaitable<bool> DirectServe::Impl::Resend(Call& call, RequestAttempt& attempt)
{
    static Counter&   resent  = Metrics().GetCounter("aldervale_requests_resent_total");
    const TimePoint   now     = Now();
    const HttpRequest forward = m_Protocol.Forward(call.m_Request, FieldsFor(call, attempt.m_Server.m_Id, now));
    HttpCallOptions   options = OptionsFor(call);
    options.m_Fresh           = true;
    attempt.m_Resent          = true;
    auto sent                 = co_await m_Client.Send(attempt.m_Address, forward, EndAt(call, attempt), options);
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
             {{"id", call.m_Caller.m_Id}, {"server", attempt.m_Server.m_Id}, {"why", "kept connection ended"}, {"events", call.m_Events}});
    co_return true;
}

// A server that says nothing may go on yet, and what it has done can't be had elsewhere for nothing: its attempt is only set aside, and ends when
// another server has an event to pass on. Ended at once, streams were broken off that no other server took.
awaitable<AttemptEnd> DirectServe::Impl::Follow(Call& call, RequestAttemptPtr attempt)
{
    attempt->m_TurnEnd   = Now() + kTurn;
    const AttemptEnd end = co_await Relay(call, *attempt);
    if (end != AttemptEnd_Paused || call.m_Abort.Aborted())
        co_return Conclude(call, *attempt, end, true);
    if (!attempt->m_WasQuiet && Now() >= call.m_LookAt)
    {
        attempt->m_WasQuiet = true;
        call.m_Pauses++;
        call.m_Why = "server " + attempt->m_Server.m_Id + " pauses";
        m_Choice.OnPause(attempt->m_Server, Now());
    }
    call.m_Paused.push_back(std::move(attempt));
    co_return end;
}

// While another server is looked for nobody listens to them, and their weights may become too old to begin with.
void DirectServe::Impl::WithdrawLate(Call& call, TimePoint now)
{
    std::deque<RequestAttemptPtr> kept;
    for (RequestAttemptPtr& attempt : call.m_Paused)
    {
        if (attempt->m_Pace.m_Begun || BeginBy(call, *attempt) > now + kLookTakes)
            kept.push_back(std::move(attempt));
        else
        {
            call.m_MayHaveRun = true; // it was sent
            m_Choice.OnEnd(attempt->m_Server, ServerOutcome_Cancelled, call.m_Caller.m_PromptTokens, now - attempt->m_Pace.m_SentAt, now);
        }
    }
    call.m_Paused = std::move(kept);
}

awaitable<AttemptEnd> DirectServe::Impl::GoOn(Call& call)
{
    AttemptEnd end = AttemptEnd_Paused;
    while (end == AttemptEnd_Paused && !call.m_Paused.empty() && Now() < call.m_LookAt)
    {
        RequestAttemptPtr attempt = std::move(call.m_Paused.front());
        call.m_Paused.pop_front();
        end = co_await Follow(call, std::move(attempt));
    }
    co_return end;
}

void DirectServe::Impl::DropPaused(Call& call)
{
    const TimePoint now = Now();
    for (const RequestAttemptPtr& attempt : call.m_Paused)
    {
        const double unread = attempt->m_Pace.m_Begun ? 0 : call.m_Caller.m_PromptTokens;
        m_Choice.OnEnd(attempt->m_Server, ServerOutcome_Cancelled, unread, now - attempt->m_Pace.m_SentAt, now); // the pause was counted as it came
    }
    call.m_Paused.clear();
}

AttemptEnd DirectServe::Impl::Conclude(Call& call, const RequestAttempt& attempt, AttemptEnd end, bool reached)
{
    const StreamPace& pace = attempt.m_Pace;
    if (call.m_Abort.Aborted())
        end = AttemptEnd_CallerGone;
    if (end == AttemptEnd_CallerGone)
        call.m_Cause = AttemptCause_CallerGone;
    if (end == AttemptEnd_MayHaveRun || end == AttemptEnd_ServerFault)
        call.m_MayHaveRun = true;
    if (end == AttemptEnd_MayHaveRun && call.m_Cause == AttemptCause_Closed)
        m_CrashDetector.OnConnectionLost(attempt.m_Server, attempt.m_Address, {call.m_Caller.m_Id, call.ContentHash()});
    call.m_LastServer   = attempt.m_Server.m_Id;
    const TimePoint now = Now();
    const bool      too_late =
        now >= AttemptEndTime(call.m_Deadline, false) && end == AttemptEnd_MayHaveRun; // the deadline ended it: no fault of the server
    if (too_late)
        NoteFailure(call, AttemptCause_Deadline, "deadline reached");
    call.m_Quiet                = now - std::max(pace.m_SentAt, pace.m_HeardAt);
    const ServerOutcome outcome = too_late ? ServerOutcome_Cancelled : OutcomeOf(end, call, reached, attempt);
    const double        unread  = pace.m_Begun ? 0 : call.m_Caller.m_PromptTokens;
    m_Choice.OnEnd(attempt.m_Server, outcome, unread, now - pace.m_SentAt, now);
    return end;
}

//-----------------------------------------------------------------------------
// Passing the answer on
//-----------------------------------------------------------------------------

// A 421 comes from a different server that now has the address, so it says nothing about the limit of the expected one.
void DirectServe::Impl::NoteLimit(const RequestAttempt& attempt, const ServerAnswer& answer)
{
    if (attempt.m_Stream->Head().m_Status == 421)
        return;
    const bool changed = m_Limits.OnAnswer(attempt.m_Server, answer.m_RateLimit, attempt.m_Pace.m_SentAt, Now());
    if (changed)
        LogEvent(Event_ServerLimitChanged, {{"server", attempt.m_Server.m_Id}, {"per_s", answer.m_RateLimit.value_or(-1)}});
}

awaitable<AttemptEnd> DirectServe::Impl::Relay(Call& call, RequestAttempt& attempt)
{
    if (!attempt.m_Headed)
    {
        auto head   = co_await attempt.m_Stream->ReadHead(QuietUntil(call, attempt), EndAt(call, attempt));
        bool resent = false;
        if (!head && MayResend(call, attempt))
            resent = co_await Resend(call, attempt);
        if (resent)
            head = co_await attempt.m_Stream->ReadHead(QuietUntil(call, attempt), EndAt(call, attempt));
        if (!head)
        {
            NoteFailure(call, CauseOf(head.error()), head.error().m_Message);
            co_return AttemptEnd_MayHaveRun;
        }
        if (!head.value())
            co_return AttemptEnd_Paused;
    }
    const unsigned     status = attempt.m_Stream->Head().m_Status;
    const ServerAnswer answer = m_Protocol.DecodeAnswer(attempt.m_Stream->Head());
    if (!attempt.m_Headed)
        NoteLimit(attempt, answer);
    attempt.m_Headed = true;
    if (answer.m_NotRun)
    {
        NoteFailure(call, AttemptCause_Refused, "server " + attempt.m_Server.m_Id + " refused with " + std::to_string(status));
        co_await ReadToEnd(*attempt.m_Stream, Now() + milliseconds(m_Settings.m_ConnectMs));
        co_return AttemptEnd_NotRun;
    }
    if (answer.m_Stream && status == 200)
        co_return co_await RelayStream(call, attempt);
    co_return co_await RelayWhole(call, attempt);
}

awaitable<AttemptEnd> DirectServe::Impl::RelayWhole(Call& call, RequestAttempt& attempt)
{
    HttpStream& stream = *attempt.m_Stream;
    for (;;)
    {
        const auto piece = co_await stream.Read(QuietUntil(call, attempt), EndAt(call, attempt));
        if (!piece)
        {
            NoteFailure(call, CauseOf(piece.error()), piece.error().m_Message);
            co_return AttemptEnd_MayHaveRun;
        }
        if (piece.value().m_Quiet)
            co_return AttemptEnd_Paused;
        if (piece.value().m_Done)
            break;
        attempt.m_Body.append(piece.value().m_Bytes);
        if (attempt.m_Body.size() > kAnswerMax)
        {
            NoteFailure(call, AttemptCause_Spoilt, "answer over the bound");
            co_return AttemptEnd_MayHaveRun;
        }
    }
    HttpResponse res = {stream.Head().m_Status, m_Protocol.CallerFields(stream.Head()), std::move(attempt.m_Body)};
    if (call.m_HeadSent) // a stream that was to be taken up ended in another answer
    {
        NoteFailure(call, AttemptCause_Fault, "server answered " + std::to_string(res.m_Status) + " to a resumed stream");
        co_return AttemptEnd_MayHaveRun;
    }
    const bool hopeful = res.m_Status >= 400 && !call.m_Paused.empty(); // a server that pauses may still do better
    if (IsServerFault(res.m_Status) || hopeful)
    {
        NoteFailure(call, AttemptCause_Fault, "server answered " + std::to_string(res.m_Status));
        call.m_Fault = std::move(res);
        co_return AttemptEnd_ServerFault;
    }
    call.m_FirstAt    = Now();
    call.m_MayHaveRun = true; // for the log: the answer is a server's, whatever its status
    co_await Answer(call, std::move(res));
    co_return AttemptEnd_Answered;
}

// Takes all whole events that have come: those of one read go on together.
static std::string TakeEvents(Call& call, EventSplitter& events)
{
    std::string out;
    while (std::optional<StreamEvent> e = events.Next())
    {
        out += e->m_Bytes;
        call.m_LastEvent = e->m_Id.empty() ? call.m_LastEvent : e->m_Id;
        call.m_Events++;
    }
    return out;
}

awaitable<bool> DirectServe::Impl::PassOn(Call& call, const HttpResponse& head, const std::string& events, TimePoint heard)
{
    if (!call.m_HeadSent)
    {
        call.m_HeadSent         = true;
        call.m_Status           = head.m_Status;
        call.m_FirstAt          = heard;
        const HttpFields fields = m_Protocol.CallerFields(head);
        const bool       begun  = co_await call.m_Reply.Start(call.m_Status, fields);
        if (!begun)
            co_return false;
    }
    else
        call.m_WorstGap = std::max(call.m_WorstGap, heard - call.m_EventAt);
    call.m_EventAt = heard;
    co_return co_await call.m_Reply.Write(events);
}

awaitable<AttemptEnd> DirectServe::Impl::RelayStream(Call& call, RequestAttempt& attempt)
{
    StreamPace& pace = attempt.m_Pace;
    for (;;)
    {
        const auto piece = co_await attempt.m_Stream->Read(QuietUntil(call, attempt), EndAt(call, attempt));
        if (!piece)
        {
            NoteFailure(call, CauseOf(piece.error()), piece.error().m_Message);
            co_return AttemptEnd_MayHaveRun;
        }
        if (piece.value().m_Quiet)
            co_return AttemptEnd_Paused;
        if (piece.value().m_Done)
            break;
        const TimePoint before = pace.m_Begun ? pace.m_HeardAt : pace.m_SentAt;
        attempt.m_Events.Feed(piece.value().m_Bytes);
        const std::string out = TakeEvents(call, attempt.m_Events);
        if (out.empty())
            continue;
        pace.m_HeardAt     = Now();
        attempt.m_WasQuiet = false;
        call.m_LookAt      = pace.m_HeardAt + milliseconds(m_Settings.m_NextEventMs);
        DropPaused(call); // what they would say comes again from here
        if (!pace.m_Begun)
            m_Choice.OnFirstEvent(attempt.m_Server, call.m_Caller.m_PromptTokens);
        NoteEvent(pace, before, pace.m_HeardAt);
        const bool written = co_await PassOn(call, attempt.m_Stream->Head(), out, pace.m_HeardAt);
        if (!written)
            co_return AttemptEnd_CallerGone;
    }
    if (attempt.m_Events.Left() > 0 || !call.m_HeadSent)
    {
        NoteFailure(call, AttemptCause_Closed, "stream ended inside an event");
        co_return AttemptEnd_MayHaveRun;
    }
    co_await call.m_Reply.Finish({});
    co_return AttemptEnd_Answered;
}

} // namespace aldervale
