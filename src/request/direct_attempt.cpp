// One attempt of a request at one backend server, and passing its answer on. See direct_serve.h.
#include "request/direct_serve_internal.h"

namespace aldervale
{

namespace
{

constexpr auto     kIdleRepeatable  = seconds(4);       // a connection that rested longer isn't used: its server may have forgotten it
constexpr auto     kIdleOnce        = milliseconds(0);  // a server may have forgotten a resting connection: a request that runs once gets a new one
constexpr auto     kEndSlack        = milliseconds(20); // an exchange ends this long before the deadline, so that our answer is in time
constexpr unsigned kPriorityResumed = 0;                // a stream that broke: its caller sees the pause until it goes on
constexpr size_t   kAnswerMax       = 64 * 1024 * 1024; // bytes of an answer that is held until it is whole

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
bool IsSlow(const Call& call, const StreamPace& pace)
{
    return pace.m_Begun && (pace.m_First > call.m_Choice.m_Predicted + call.m_Route->m_Goal || pace.m_Gap > call.m_Route->m_MaxGap);
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

ServerOutcome OutcomeOf(AttemptEnd end, const Call& call, bool reached, const StreamPace& pace)
{
    if (end == AttemptEnd_CallerGone || call.m_Abort.Aborted())
        return ServerOutcome_Cancelled;
    if (!reached)
        return ServerOutcome_Unreachable;
    if (end == AttemptEnd_NotRun)
        return ServerOutcome_Refused;
    if (end != AttemptEnd_Answered)
        return ServerOutcome_Failed;
    return IsSlow(call, pace) ? ServerOutcome_Slow : ServerOutcome_Good;
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

ForwardFields DirectServe::Impl::FieldsFor(const Call& call, const ServerEntry& server, TimePoint now) const
{
    const unsigned of_route = call.m_Route->m_Priority;
    const unsigned declared = call.m_Account != nullptr ? call.m_Account->m_Priority.value_or(of_route) : of_route;
    ForwardFields  add;
    add.m_ServerId    = server.m_Id;
    add.m_Account     = call.m_Account != nullptr ? call.m_Account->m_Name : std::string();
    add.m_Remaining   = call.Left(now);
    add.m_Priority    = call.m_Events > 0 ? kPriorityResumed : declared;
    add.m_Weights     = ExpectedWeights(call, now);
    add.m_ResumeAfter = call.m_LastEvent;
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

// Only a stream that may be sent again is given up early for want of a first event.
TimePoint DirectServe::Impl::HeadUntil(const Call& call, TimePoint sent_at) const
{
    const TimePoint end_at     = call.m_Deadline - kEndSlack;
    const bool      may_resume = call.IsStream() && call.m_Route->MayRepeat();
    return may_resume ? std::min(end_at, sent_at + milliseconds(m_Settings.m_FirstEventMs)) : end_at;
}

awaitable<AttemptEnd> DirectServe::Impl::Attempt(Call& call, ServerEntry server)
{
    const ServerLife      life       = server.Life();
    const TimePoint       sent_at    = Now();
    const HttpRequest     forward    = m_Protocol.Forward(call.m_Request, FieldsFor(call, server, sent_at));
    const HttpCallOptions options    = OptionsFor(call);
    const TimePoint       head_until = HeadUntil(call, sent_at);

    m_Choice.OnSent(life, call.m_Caller.m_Prompt, sent_at);
    StreamPace pace{sent_at};
    bool       reached = true; // the request may have arrived
    AttemptEnd end     = AttemptEnd_MayHaveRun;
    auto       opened  = co_await m_Client.Open(server.m_Address, forward, head_until, options);
    if (!opened)
    {
        reached = opened.error().m_Verdict != Verdict_NotRun;
        end     = reached ? AttemptEnd_MayHaveRun : AttemptEnd_NotRun;
        NoteFailure(call, CauseOf(opened.error()), opened.error().m_Message);
    }
    if (reached)
        call.m_Tried.push_back(life);
    if (opened)
    {
        const HttpStreamPtr stream = std::move(opened.value());
        end                        = co_await Relay(call, *stream, life, pace);
    }
    co_return Conclude(call, life, end, reached, pace);
}

AttemptEnd DirectServe::Impl::Conclude(Call& call, const ServerLife& server, AttemptEnd end, bool reached, const StreamPace& pace)
{
    if (call.m_Abort.Aborted())
        end = AttemptEnd_CallerGone;
    if (end == AttemptEnd_CallerGone)
        call.m_Cause = AttemptCause_CallerGone;
    if (end == AttemptEnd_MayHaveRun || end == AttemptEnd_ServerFault)
        call.m_MayHaveRun = true;
    const TimePoint now      = Now();
    const bool      too_late = now >= call.m_Deadline - kEndSlack && end == AttemptEnd_MayHaveRun; // the deadline ended it: no fault of the server
    if (too_late)
        NoteFailure(call, AttemptCause_Deadline, "deadline reached");
    call.m_Quiet                = now - std::max(pace.m_SentAt, pace.m_HeardAt);
    const ServerOutcome outcome = too_late ? ServerOutcome_Cancelled : OutcomeOf(end, call, reached, pace);
    const double        unread  = pace.m_Begun ? 0 : call.m_Caller.m_Prompt;
    m_Choice.OnEnd(server, outcome, unread, now - pace.m_SentAt, now);
    return end;
}

//-----------------------------------------------------------------------------
// Passing the answer on
//-----------------------------------------------------------------------------

awaitable<AttemptEnd> DirectServe::Impl::Relay(Call& call, HttpStream& stream, const ServerLife& server, StreamPace& pace)
{
    const unsigned     status = stream.Head().m_Status;
    const ServerAnswer answer = m_Protocol.DecodeAnswer(stream.Head());
    if (answer.m_NotRun)
    {
        NoteFailure(call, AttemptCause_Refused, "server " + server.m_Id + " refused with " + std::to_string(status));
        co_await ReadToEnd(stream, Now() + milliseconds(m_Settings.m_ConnectMs));
        co_return AttemptEnd_NotRun;
    }
    if (answer.m_Stream && status == 200)
        co_return co_await RelayStream(call, stream, server, pace);
    co_return co_await RelayWhole(call, stream);
}

awaitable<AttemptEnd> DirectServe::Impl::RelayWhole(Call& call, HttpStream& stream)
{
    HttpResponse res = {stream.Head().m_Status, m_Protocol.CallerFields(stream.Head()), {}};
    for (;;)
    {
        const auto piece = co_await stream.Read(call.m_Deadline - kEndSlack);
        if (!piece)
        {
            NoteFailure(call, CauseOf(piece.error()), piece.error().m_Message);
            co_return AttemptEnd_MayHaveRun;
        }
        if (piece.value().m_Done)
            break;
        res.m_Body.append(piece.value().m_Bytes);
        if (res.m_Body.size() > kAnswerMax)
        {
            NoteFailure(call, AttemptCause_Spoilt, "answer over the bound");
            co_return AttemptEnd_MayHaveRun;
        }
    }
    if (call.m_HeadSent) // a stream that was to be taken up ended in another answer
    {
        NoteFailure(call, AttemptCause_Fault, "server answered " + std::to_string(res.m_Status) + " to a resumed stream");
        co_return AttemptEnd_MayHaveRun;
    }
    if (IsServerFault(res.m_Status))
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

awaitable<AttemptEnd> DirectServe::Impl::RelayStream(Call& call, HttpStream& stream, const ServerLife& server, StreamPace& pace)
{
    EventSplitter   events;
    const TimePoint end_at = call.m_Deadline - kEndSlack;
    const bool      resume = call.m_Route->MayRepeat();
    TimePoint       heard  = Now();
    for (;;)
    {
        const Duration patience = milliseconds(pace.m_Begun ? m_Settings.m_NextEventMs : m_Settings.m_FirstEventMs);
        const auto     piece    = co_await stream.Read(resume ? std::min(end_at, heard + patience) : end_at);
        if (!piece)
        {
            NoteFailure(call, CauseOf(piece.error()), piece.error().m_Message);
            co_return AttemptEnd_MayHaveRun;
        }
        if (piece.value().m_Done)
            break;
        pace.m_HeardAt = Now();
        events.Feed(piece.value().m_Bytes);
        const std::string out = TakeEvents(call, events);
        if (out.empty())
            continue;
        const TimePoint before = heard;
        heard                  = Now();
        if (!pace.m_Begun)
            m_Choice.OnFirstEvent(server, call.m_Caller.m_Prompt);
        NoteEvent(pace, before, heard);
        const bool written = co_await PassOn(call, stream.Head(), out, heard);
        if (!written)
            co_return AttemptEnd_CallerGone;
    }
    if (events.Left() > 0 || !call.m_HeadSent)
    {
        NoteFailure(call, AttemptCause_Closed, "stream ended inside an event");
        co_return AttemptEnd_MayHaveRun;
    }
    co_await call.m_Reply.Finish({});
    co_return AttemptEnd_Answered;
}

} // namespace aldervale
