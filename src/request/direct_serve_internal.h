// Internal to direct_serve.cpp, direct_attempt.cpp and direct_place.cpp: the state of one request and the functions that serve it. A place is
// capacity for one more concurrent request at a model server.
#pragma once
#include "common/log.h"
#include "common/metrics.h"
#include "request/crash_detector.h"
#include "request/crash_history.h"
#include "request/direct_serve.h"
#include "request/drain_admission.h"
#include "request/event_splitter.h"
#include "request/held_answers.h"
#include "request/return_guess.h"
#include "request/urgency.h"
#include <deque>
#include <set>

namespace aldervale
{

enum AttemptEnd
{
    AttemptEnd_Answered,    // the caller has the complete answer
    AttemptEnd_NotRun,      // the server reported that it did not run the request, or was not reached
    AttemptEnd_MayHaveRun,  // no complete answer; the server may have run the request
    AttemptEnd_ServerError, // complete answer with an error status; kept in Call::m_ServerErrorAnswer
    AttemptEnd_Stalled,     // nothing was received for too long; the attempt is kept in Call::m_StalledAttempts
    AttemptEnd_CallerGone,  // the caller disconnected
};

enum FailureCause // why the last attempt failed; logged and counted by FailureCauseName()
{
    FailureCause_None,          // no attempt was made, or the last one was answered
    FailureCause_Timeout,       // the server sent nothing within the allowed time ("silence")
    FailureCause_Closed,        // the connection was closed or reset
    FailureCause_Refused,       // the server reported that it did not run the request
    FailureCause_Unreachable,   // no connection could be opened
    FailureCause_ServerError,   // the server answered with an error status ("fault")
    FailureCause_InvalidAnswer, // the answer exceeds the size bound ("spoilt")
    FailureCause_Deadline,      // the deadline of the request was reached
    FailureCause_CallerGone,    // the caller disconnected
    FailureCause_RouterEnds,    // this process ends
};

enum NoRetryReason // why no other server was tried after the last attempt; logged by NoRetryReasonName()
{
    NoRetryReason_None,          // no retry was needed
    NoRetryReason_NoServer,      // no server would take the request
    NoRetryReason_MaxAttempts,   // the route's maximum number of attempts was reached
    NoRetryReason_Budget,        // the retry budget is used up
    NoRetryReason_DeadlineNear,  // less than kMinTimeForAttempt is left ("no-time")
    NoRetryReason_NotRepeatable, // the request may have run, and its route forbids a second run ("runs-once")
    NoRetryReason_CrashBlocked,  // the request is blocked because it crashed servers ("crashes")
    NoRetryReason_RouterEnds,    // this process ends before the answer would be whole
};

constexpr auto kMinTimeForAttempt = milliseconds(40); // no attempt is started with less time before the deadline

constexpr std::string_view kEndingText = "this router ends before it could answer";

std::string_view FailureCauseName(FailureCause c);
std::string_view NoRetryReasonName(NoRetryReason r);

struct EventTiming // timing of the events of one attempt
{
    TimePoint m_SentAt{};                   // when the request was sent
    bool      m_FirstEventReceived = false; // an event was received
    Duration  m_TimeToFirst{};              // from sending to the first event
    Duration  m_LongestGap{};               // longest time between two events
    unsigned  m_Events = 0;                 // events received
    TimePoint m_LastReceivedAt{};           // when the last whole events were received; default: none were
};

struct RequestAttempt // one exchange with one server, from the sending of the request on
{
    RequestAttempt(ServerLife server, Endpoint address, MemoryShare& memory) : m_Server(std::move(server)), m_Address(address), m_Body(memory) {}

    ServerLife    m_Server;                 // the incarnation that the request was sent to
    Endpoint      m_Address;                // address of m_Server
    uint64_t      m_WeightsVersion = 0;     // version of the weights that the server is assumed to hold; 0: not a model server
    uint32_t      m_InFlight       = 0;     // requests at the server when it was chosen, as its box told
    bool          m_BoxTold        = false; // m_InFlight is an answer of the server's box, not an estimate
    Duration      m_PredictedFirstEvent{};  // predicted time to the first event, when the server was chosen
    HttpStreamPtr m_Stream;                 // the exchange; null until the request was sent
    EventTiming   m_Timing;                 //
    EventSplitter m_Splitter;               // holds received bytes that are no whole event yet
    bool          m_HeadReceived = false;   // the head of the answer was received
    bool          m_BegunNoted   = false;   // its server sent events for kAnswerBegunAfter: it didn't crash as it began to answer
    bool          m_StallCounted = false;   // the current stall was counted
    bool          m_Resent       = false;   // the kept connection was stale and the request was sent once more
    TimePoint     m_ReadTurnEnd{};          // until when this attempt is read while others are stalled, too; see kStalledReadTurn
    HeldAnswer    m_Body;                   // body received so far of an answer that is forwarded when complete
};
using RequestAttemptPtr = std::unique_ptr<RequestAttempt>;

struct Call // one caller's request, from its head to its last byte
{
    Call(HttpRequest& request, HttpReply& reply) : m_Request(request), m_Reply(reply) {}

    HttpRequest&            m_Request;               //
    HttpReply&              m_Reply;                 //
    CallerRequest           m_Caller;                // fields decoded from the request
    TimePoint               m_StartedAt;             // when Handle() was called
    TimePoint               m_Deadline;              // the earlier of the caller's and the route's deadline
    DeclarationsFreshness   m_DeclarationsAtArrival; // how current the declarations were when the request arrived
    RouteTablePtr           m_Routes;                // the declarations that the request is served under; owns m_Route, m_Account and m_Service
    const Route*            m_Route   = nullptr;     //
    const ClientAccount*    m_Account = nullptr;     // null: the route is public, or no account needs a key
    const Service*          m_Service = nullptr;     //
    CallAbort               m_Abort;                 // cancels all attempts when the caller disconnects
    std::vector<ServerLife> m_Tried;                 // servers that the request was sent to
    bool                    m_MayHaveRun    = false; // some server may have run it
    bool                    m_AnswerAborted = false; // the answer was begun and cut off
    bool                    m_CutOff        = false; // all attempts were cancelled because the process ends; m_Abort is set, too
    bool                    m_HeadSent      = false; // the head of the answer was sent to the caller
    bool                    m_LikelyRetry   = false; // estimate: the caller was refused before and retries
    bool                    m_KnownRetry    = false; // its refusal is on record (refusal_records.h)
    uint64_t    m_RefusalQuery    = 0;     // of the RefusalChannel, whether its refusal is on record; 0: nothing was asked, or the answer was taken
    uint64_t    m_Fingerprint     = 0;     // RetryFingerprint(); 0: not needed yet
    bool        m_AdmittedAsRetry = false; // at the last admission: the caller was likely refused before, or the request was tried at a server
    unsigned    m_Rank            = 0;     // of its claims, at the last admission
    unsigned    m_EventsSent      = 0;     // streams: number of events sent to the caller
    std::string m_LastEventId;             // streams: id of the last event sent, or the one that the caller asked to resume after
    TimePoint   m_FirstByteAt{};           // when the first event or the complete answer was received for the caller
    Duration    m_LongestSentGap{};        // streams: longest time between events sent to the caller
    TimePoint   m_LastEventAt{};           // streams: when the last event sent to the caller was received
    std::optional<HttpResponse>   m_ServerErrorAnswer;                  // complete error answer of a server, sent if no better one is received
    Choice                        m_Choice;                             // last choice of a server
    size_t                        m_BoxesAsked    = 0;                  // boxes asked for a place at the last admission
    size_t                        m_BoxesAnswered = 0;                  // how many of these answered
    Duration                      m_AskDuration{};                      // time that asking took
    size_t                        m_BoxesClaimed = 0;                   // boxes at which a place was claimed at the last admission
    bool                          m_ClaimGranted = false;               // one of the claims was granted
    Duration                      m_ClaimDuration{};                    // time until a claim was granted or all were refused
    std::string                   m_FailureText;                        // last failure or refusal, sent to the caller and logged
    FailureCause                  m_Cause         = FailureCause_None;  // why the last attempt failed
    NoRetryReason                 m_NoRetryReason = NoRetryReason_None; // why no other server was tried
    TimePoint                     m_LastSentAt{};                       // when the last attempt was sent; default: none was
    TimePoint                     m_AttemptSentAt{};                    // when the attempt that ended last was sent; default: none ended
    TimePoint                     m_AttemptEndedAt{};                   // when it ended
    Duration                      m_SilenceAtEnd{};                     // from the last receipt (or the sending) to the end of the last attempt
    unsigned                      m_Status = 0;                         // status sent to the caller; 0: none yet
    std::deque<RequestAttemptPtr> m_StalledAttempts;                    // attempts whose servers are stalled, kept until any server sends an event
    TimePoint                     m_TryNextServerAt{};                  // when the next server is tried, unless an event is received first
    unsigned                      m_AttemptCount = 0;                   // attempts made, unreachable servers included
    std::string                   m_LastServer;                         // id of the server whose attempt ended last
    uint64_t                      m_WeightsSent = 0;                    // version of the weights at the server of the last attempt; 0: none known
    std::optional<Duration>       m_WeightsTimeLeft;                    // from its sending until newer weights' deadline; none: they have none
    unsigned                      m_StallCount = 0;                     // stalls after which another server was searched for
    TimePoint                     m_BlockCheckedAt{};                   // when CheckBlocked() last let it through
    Duration                      m_BlockedRetryAfter{};                // Retry-After of a request that was blocked
    std::vector<Suspect>          m_Suspects;                           // computed on first use

    Duration                 TimeLeft(TimePoint now) const { return m_Deadline - now; }
    std::span<const Suspect> Suspects(); // what a server that crashes may crash on: the content, then the parts of the prompt
    uint64_t                 ContentHash() { return Suspects().front().m_Hash; }
    unsigned         Priority() const { return m_Account != nullptr ? m_Account->m_Priority.value_or(m_Route->m_Priority) : m_Route->m_Priority; }
    unsigned         UrgencyLevel() const { return LevelOf(Priority(), m_Route->m_Priority); }
    std::string_view AccountName() const { return m_Account != nullptr ? std::string_view(m_Account->m_Name) : std::string_view(); }
    bool             IsStream() const { return m_Route->m_Kind == RouteKind_Stream; }
    bool             CallerGone() const { return m_Abort.Aborted() && !m_CutOff; }
};

struct DirectServe::Impl
{
    Daemon&                m_Daemon;               //
    DirectServeSettings    m_Settings;             //
    RoutingState&          m_World;                //
    const RequestProtocol& m_Protocol;             //
    HttpClient             m_Client;               //
    ServerChoice           m_Choice;               //
    ServerLimits           m_Limits{RandomSeed()}; // this router's shares of the servers' rate limits
    CrashDetector          m_CrashDetector;        //
    CrashHistory           m_CrashHistory{Duration(kTrialStaggerMax) * (RandomSeed() % 1000) / 1000}; // merged with other routers' records
    std::function<void()>  m_OnTrial;                                            // as a server has a trial of m_CrashHistory; may be empty
    TimePoint              m_EndsAt = TimePoint::max();                          // the process ends then; max: it wasn't told to end
    TimePoint              m_DrainBeganAt{};                                     // when it was told to
    std::map<std::string, AnswerTimes>                  m_RouteTimes;            // by route of m_RouteTimesOf
    RouteTablePtr                                       m_RouteTimesOf;          // the declarations that m_RouteTimes is kept for
    std::map<std::string, AnswerTimes>                  m_ServiceTimes;          // by service
    std::map<std::string, Urgency>                      m_Urgency;               // by model service
    RetryEstimate                                       m_RetryEstimate;         // which callers of model services were refused before
    std::map<std::string, std::unique_ptr<RetryBudget>> m_Budgets;               // retry budgets by service
    uint32_t                                            m_BudgetRouterCount = 0; // router count that m_Budgets were built for; 0: kAssumedRouters
    PlaceChannel*                                       m_PlaceChannel      = nullptr; // null: boxes aren't asked for places
    uint16_t                                            m_PlacePort         = 0;       // port at which the boxes answer m_PlaceChannel
    RefusalChannel*                                     m_Refusals          = nullptr; // null: retries aren't recognized by records
    std::set<Call*>                                     m_InFlight;                    // requests that were read whole and aren't settled

    Impl(Daemon& daemon, const DirectServeSettings& s, RoutingState& world, const RequestProtocol& protocol);

    // Identify (direct_serve.cpp)
    HttpResponse                 Refuse(Call& call, unsigned status, std::string_view why, Duration retry) const; // retry: zero: no Retry-After
    HttpResponse                 Deny(Call& call, unsigned status, std::string_view why) const; // 503 instead while declarations may be outdated
    std::optional<HttpResponse>  Identify(Call& call);                                          // an answer: the request is refused with it
    std::vector<WeightsDeadline> WeightsDeadlines(const Call& call) const;
    uint64_t                     ExpectedWeights(const Call& call, TimePoint now) const; // version that the server must check; 0: any
    void                         DetectRetry(Call& call);                                // call once for each request: it updates m_RetryEstimate
    uint64_t                     FingerprintOf(Call& call) const;
    void                         RecordRefusal(Call& call); // its caller is told that the request did not run, and may retry
    void                         OnCrash(const ServerCrash& crash);
    void                         UpdateColdServers(TimePoint now);
    bool                         CheckBlocked(Call& call, TimePoint now);      // logs the refusal; call once for each attempt
    bool                         CheckBlockedSince(Call& call, TimePoint now); // by what was learned after CheckBlocked(); logs the refusal
    void                         NoteBlocked(Call& call, TimePoint now) const;
    void                         WithdrawTrial(Call& call, AttemptEnd end); // unless a server may have run it since CheckBlocked()
    RetryBudget&                 Budget(const std::string& service);
    bool            CanAnswerBeforeEnd(const Route& route, const Service& service, const CallerRequest& caller, Duration left, TimePoint now) const;
    bool            MustRefuseLate(const Call& call, TimePoint now) const; // it wasn't passed on, and can't be answered any more
    void            NoteAnswerTimes(const Call& call, TimePoint now);
    awaitable<void> AwaitCrashCheck(Call& call) const;
    awaitable<void> Serve(Call& call);

    // Choice of a server (direct_place.cpp)
    struct PlaceQuery;

    awaitable<std::optional<ServerEntry>> Admit(Call& call); // nullopt: refused
    awaitable<std::optional<ServerEntry>> FindServer(Call& call, RequestNeed need);
    void                                  CountDecision(const Call& call, bool admitted);                       // of a first attempt
    awaitable<void>                       AwaitRetryDetection(Call& call, RequestNeed& need, bool boxes_asked); // the answer to m_RefusalQuery
    awaitable<void>                       AskOneRound(Call& call, const RequestNeed& need, PlaceQuery& query);
    ServerEligibility                     EligibilityOf(const Call& call) const; // by the declarations at its arrival and by the newest ones
    std::vector<const ServerEntry*>       EligibleServers(const Call& call) const;
    bool                                  ClaimsAtCold(const Call& call) const; // places at cold servers are claimed at their boxes
    bool                            IsUsable(const Call& call, const ServerLife& server, TimePoint now); // still listed, eligible, accepts requests
    std::vector<const ServerEntry*> UsableServers(const Call& call, const PlaceQuery& query);
    Choice                          BestAnswered(const Call& call, const PlaceQuery& query, RequestNeed need, TimePoint now);
    awaitable<Choice>               ClaimPlace(Call& call, const RequestNeed& need, const PlaceQuery& query);
    RequestNeed                     NeedOf(const Call& call, std::span<const WeightsDeadline> deadlines, TimePoint now);
    Endpoint                        PlaceEndpoint(const ServerEntry& server) const;

    // One attempt (direct_attempt.cpp)
    void                     NoteReached(Call& call, const RequestAttempt& attempt);
    awaitable<AttemptEnd>    Attempt(Call& call, ServerEntry server);
    bool                     MayResend(Call& call, const RequestAttempt& attempt); // takes a token of the retry budget
    awaitable<bool>          Resend(Call& call, RequestAttempt& attempt);          // to the same server on a new connection; false: not sent
    void                     NoteAnswerBegun(Call& call, RequestAttempt& attempt, TimePoint now);
    void                     ApplyServerStatements(const RequestAttempt& attempt, const ServerAnswer& answer); // rate limit, pause, or that it leaves
    void                     CancelLateAttempts(Call& call, TimePoint now);          // stalled attempts that would soon pass their LatestBegin()
    awaitable<AttemptEnd>    ReadStalledAttempts(Call& call);                        // in turn, until one ends or another server may be tried
    awaitable<AttemptEnd>    RelayUntilStall(Call& call, RequestAttemptPtr attempt); // until it ends or stalls; keeps a stalled one
    AttemptEnd               FinishAttempt(Call& call, const RequestAttempt& attempt, AttemptEnd end, bool reached); // reports the outcome
    void                     TellOutcome(const Call& call, const RequestAttempt& attempt) const;                     // to the server's box
    void                     CancelStalledAttempts(Call& call); // another server sent an event, or the request is over
    std::optional<TimePoint> DeadlineOfNewerWeights(const Call& call, const RequestAttempt& attempt) const;
    void                     NoteWeights(Call& call, const RequestAttempt& attempt) const;           // just sent; for logs and metrics
    TimePoint                LatestBegin(const Call& call, const RequestAttempt& attempt) const;     // cancelled by then unless it has begun
    TimePoint                AttemptDeadline(const Call& call, const RequestAttempt& attempt) const; // the attempt fails then
    TimePoint                StallDeadline(const Call& call, const RequestAttempt& attempt) const;   // it counts as stalled if nothing comes by then
    ForwardFields            ForwardFieldsFor(const Call& call, std::string_view server_id, TimePoint now) const;
    HttpCallOptions          CallOptionsFor(Call& call) const; // the result refers to the call
    awaitable<AttemptEnd>    Relay(Call& call, RequestAttempt& attempt);
    awaitable<AttemptEnd>    RelayWhole(Call& call, RequestAttempt& attempt);
    awaitable<AttemptEnd>    RelayStream(Call& call, RequestAttempt& attempt);
    awaitable<bool>          SendEvents(Call& call, const HttpResponse& head, const std::string& events, TimePoint received); // false: caller gone

    // Retries and the final answer (direct_serve.cpp)
    awaitable<std::optional<ServerEntry>> FindNextServer(Call& call, AttemptEnd end);         // nullopt: no retry is allowed, or no server takes it
    awaitable<std::optional<ServerEntry>> FindNextServerWithWait(Call& call, AttemptEnd end); // repeats it while MayKeepSearching()
    bool                                  MayKeepSearching(const Call& call, TimePoint now) const;
    static TimePoint                      SearchEnd(const Call& call); // by then its caller has given up, or its time is over
    awaitable<void>                       SendFinalAnswer(Call& call, AttemptEnd end);
    awaitable<void>                       SendAnswer(Call& call, HttpResponse res);
    bool                                  TakeRetry(Call& call, AttemptEnd end, TimePoint now); // true: allowed, and the budget is charged
    NoRetryReason FindNoRetryReason(const Call& call, AttemptEnd end, TimePoint now) const;     // apart from blocks and the budget
};

} // namespace aldervale
