// Internal to direct_serve.cpp and direct_attempt.cpp: one request under way.
#pragma once
#include "common/log.h"
#include "common/metrics.h"
#include "request/crash_detector.h"
#include "request/crash_history.h"
#include "request/direct_serve.h"
#include "request/event_splitter.h"
#include "request/return_guess.h"
#include <deque>

namespace aldervale
{

enum AttemptEnd
{
    AttemptEnd_Answered,    // the caller has its answer, or was cut off because nothing better is possible
    AttemptEnd_NotRun,      // the server did not run it, or was not reached
    AttemptEnd_MayHaveRun,  // no whole answer
    AttemptEnd_ServerError, // a whole answer that says that the server failed; kept in Call::m_ServerErrorAnswer
    AttemptEnd_Stalled,     // nothing came for too long; the attempt is kept in Call::m_StalledAttempts
    AttemptEnd_CallerGone,  //
};

enum FailureCause // what ended the last attempt; for the log
{
    FailureCause_None,          // it was answered whole, or there was none
    FailureCause_Timeout,       // nothing came from the server for as long as we wait
    FailureCause_Closed,        // the server, or the way there, ended the connection
    FailureCause_Refused,       // the server said that it did not run it
    FailureCause_Unreachable,   // no connection
    FailureCause_ServerError,   // the server answered that it failed
    FailureCause_InvalidAnswer, // what came is no answer
    FailureCause_Deadline,      //
    FailureCause_CallerGone,    //
};

enum NoRetryReason // why no other server was tried after the last attempt; for the log
{
    NoRetryReason_None,          // none was needed, or none was tried at all
    NoRetryReason_NoServer,      // none would take it
    NoRetryReason_MaxAttempts,   // as many as the route allows were made
    NoRetryReason_Budget,        // retries would be too many
    NoRetryReason_DeadlineNear,  //
    NoRetryReason_NotRepeatable, // it may have run, and must not run again
    NoRetryReason_CrashBlocked,  // blocked because it crashed servers
};

constexpr auto kMinTimeForAttempt = milliseconds(40); // time before the deadline below which no attempt is begun

std::string_view FailureCauseName(FailureCause c);
std::string_view NoRetryReasonName(NoRetryReason g);

struct EventTiming // how quickly the events of one attempt came
{
    TimePoint m_SentAt{};                   //
    bool      m_FirstEventReceived = false; // an event came
    Duration  m_TimeToFirst{};              // until the first event
    Duration  m_LongestGap{};               // longest pause between events
    TimePoint m_LastReceivedAt{};           // when its last bytes came; default: none did
};

struct RequestAttempt // at one server, from the sending of the request on
{
    RequestAttempt(ServerLife server, Endpoint address) : m_Server(std::move(server)), m_Address(address) {}

    ServerLife    m_Server;                //
    Endpoint      m_Address;               // of m_Server
    uint64_t      m_WeightsVersion = 0;    // version that it is believed to hold; 0: no model server
    Duration      m_PredictedFirstEvent{}; // time to the first event, when it was chosen
    HttpStreamPtr m_Stream;                //
    EventTiming   m_Timing;                //
    EventSplitter m_Splitter;              // what has come and is no whole event yet
    bool          m_HeadReceived = false;  // the head of its answer has come
    bool          m_StallCounted = false;  // it has paused for too long before
    bool          m_Resent       = false;  // it met a stale connection and was sent once more
    TimePoint     m_ReadTurnEnd{};         // others that pause are listened to after it
    std::string   m_Body;                  // of an answer that is passed on whole
};
using RequestAttemptPtr = std::unique_ptr<RequestAttempt>;

struct Call // one caller's request, from its head to its last byte
{
    Call(HttpRequest& request, HttpReply& reply) : m_Request(request), m_Reply(reply) {}

    HttpRequest&                  m_Request;                            //
    HttpReply&                    m_Reply;                              //
    CallerRequest                 m_Caller;                             //
    TimePoint                     m_StartedAt;                          //
    TimePoint                     m_Deadline;                           // the caller's or the route's, whichever is first
    DeclarationsBelief            m_DeclarationsAtArrival;              // when it came
    RouteTablePtr                 m_Routes;                             // keeps m_Route, m_Account and m_Service alive
    const Route*                  m_Route   = nullptr;                  //
    const ClientAccount*          m_Account = nullptr;                  // null: the route is public, or nobody needs a key
    const Service*                m_Service = nullptr;                  //
    HttpAbort                     m_Abort;                              // ends all attempts when the caller leaves
    std::vector<ServerLife>       m_Tried;                              // servers that the request was sent to
    bool                          m_MayHaveRun      = false;            // some server may have run it
    bool                          m_AnswerAborted   = false;            // the answer was begun and ended before its end
    bool                          m_HeadSent        = false;            // the answer's head went to the caller
    bool                          m_LikelyRetry     = false;            // the caller is taken for one that was refused before
    bool                          m_AdmittedAsRetry = false;            // when it was last admitted: refused before, or tried elsewhere
    unsigned                      m_EventsSent      = 0;                // streams: events passed on
    std::string                   m_LastEventId;                        // streams: id of the last event passed on, or where the caller asked to go on
    TimePoint                     m_FirstByteAt{};                      // when the first event or answer went to the caller
    Duration                      m_LongestSentGap{};                   // streams: longest pause between events
    TimePoint                     m_LastEventAt{};                      // when the last event went to the caller
    std::optional<HttpResponse>   m_ServerErrorAnswer;                  // whole answer of a server that failed, if nothing better comes
    Choice                        m_Choice;                             // the last one made
    size_t                        m_BoxesAsked    = 0;                  // boxes asked for a place, when it was last admitted
    size_t                        m_BoxesAnswered = 0;                  // of these
    Duration                      m_AskDuration{};                      // until enough had answered
    size_t                        m_BoxesClaimed = 0;                   // boxes at which a place was claimed, when it was last admitted
    bool                          m_ClaimGranted = false;               // one of them granted it
    Duration                      m_ClaimDuration{};                    // until then, or until none was left
    std::string                   m_FailureText;                        // last thing that went wrong
    FailureCause                  m_Cause         = FailureCause_None;  // of the last attempt's end
    NoRetryReason                 m_NoRetryReason = NoRetryReason_None; //
    Duration                      m_SilenceAtEnd{};    // from the last bytes of the last attempt's server, or its sending, to its end
    unsigned                      m_Status = 0;        // answered to the caller
    std::deque<RequestAttemptPtr> m_StalledAttempts;   // attempts whose servers say nothing, until any server has an event
    TimePoint                     m_TryNextServerAt{}; // when another server is looked for next, unless an event comes
    unsigned                      m_AttemptCount = 0;  // attempts, unreachable servers included
    std::string                   m_LastServer;        // of the attempt that ended last
    unsigned                      m_StallCount = 0;    // that made it look for another server
    std::optional<uint64_t>       m_ContentHash;       // computed on first use

    Duration TimeLeft(TimePoint now) const { return m_Deadline - now; }
    uint64_t ContentHash();
    bool     IsStream() const { return m_Route->m_Kind == RouteKind_Stream; }
};

struct DirectServe::Impl
{
    Daemon&                                             m_Daemon;                      //
    DirectServeSettings                                 m_Settings;                    //
    RoutingWorld&                                       m_World;                       //
    const RequestProtocol&                              m_Protocol;                    //
    HttpClient                                          m_Client;                      //
    ServerChoice                                        m_Choice;                      //
    ServerLimits                                        m_Limits{RandomSeed()};        // divided among all routers
    CrashDetector                                       m_CrashDetector;               //
    CrashHistory                                        m_CrashHistory;                // merged with the records of other routers
    ReturnGuess                                         m_RetryEstimate;               // of callers of model services
    std::map<std::string, std::unique_ptr<RetryBudget>> m_Budgets;                     // by service
    uint32_t                                            m_BudgetRouterCount = 0;       // routers that m_Budgets were built for; 0: assumed
    PlaceChannel*                                       m_PlaceChannel      = nullptr; // null: boxes aren't asked
    uint16_t                                            m_PlacePort         = 0;       // of m_PlaceChannel
    uint64_t                                            m_InFlight          = 0;       // requests from their head to their last byte

    Impl(Daemon& daemon, const DirectServeSettings& s, RoutingWorld& world, const RequestProtocol& protocol);

    HttpResponse                 Refuse(Call& call, unsigned status, std::string_view why, Duration retry) const; // retry: zero: says none
    HttpResponse                 Deny(Call& call, unsigned status, std::string_view why) const; // or 503, while declarations are doubted
    std::optional<HttpResponse>  Identify(Call& call);                                          // an answer when the request can't go on
    std::vector<WeightsDeadline> WeightsDeadlines(const Call& call) const;
    uint64_t                     ExpectedWeights(const Call& call, TimePoint now) const; // that the server must hold; 0: any
    bool                         DetectRetry(const Call& call);                          // once for each call
    void                         OnCrash(const ServerCrash& crash);
    bool                         CheckBlocked(Call& call, TimePoint now); // logs the refusal; call once for each attempt
    RetryBudget&                 Budget(const std::string& service);
    awaitable<void>              AwaitCrashCheck(Call& call) const;
    awaitable<void>              Serve(Call& call);

    // A server for a request (direct_place.cpp)
    struct PlaceQuery;

    awaitable<std::optional<ServerEntry>> Admit(Call& call); // nothing: refused
    awaitable<std::optional<ServerEntry>> FindServer(Call& call, const RequestNeed& need);
    awaitable<void>                       AskOneRound(Call& call, const RequestNeed& need, PlaceQuery& query);
    bool                                  IsUsable(const ServerLife& server, TimePoint now); // still listed, and takes new work
    std::vector<const ServerEntry*>       UsableServers(const PlaceQuery& query);
    Choice                                BestAnswered(const PlaceQuery& query, RequestNeed need, TimePoint now);
    awaitable<Choice>                     ClaimPlace(Call& call, const RequestNeed& need, const PlaceQuery& query);
    RequestNeed                           NeedOf(const Call& call, std::span<const WeightsDeadline> deadlines, TimePoint now);
    Endpoint                              PlaceEndpoint(const ServerEntry& server) const;

    awaitable<AttemptEnd> Attempt(Call& call, ServerEntry server);
    bool                  MayResend(Call& call, const RequestAttempt& attempt);
    awaitable<bool>       Resend(Call& call, RequestAttempt& attempt); // to the same server on a new connection; false: not sent
    void                  UpdateServerLimit(const RequestAttempt& attempt, const ServerAnswer& answer);
    void                  CancelLateAttempts(Call& call, TimePoint now);          // paused attempts that would soon begin too late
    awaitable<AttemptEnd> ReadStalledAttempts(Call& call);                        // with whichever paused server has something first
    awaitable<AttemptEnd> RelayUntilStall(Call& call, RequestAttemptPtr attempt); // until it ends or pauses
    AttemptEnd            FinishAttempt(Call& call, const RequestAttempt& attempt, AttemptEnd end, bool reached);
    void                  CancelStalledAttempts(Call& call); // another server has an event, or the call is over
    TimePoint             LatestBegin(const Call& call, const RequestAttempt& attempt) const;
    TimePoint             AttemptDeadline(const Call& call, const RequestAttempt& attempt) const; // it is given up then
    TimePoint             StallDeadline(const Call& call, const RequestAttempt& attempt) const;   // and set aside then, if nothing comes
    ForwardFields         ForwardFieldsFor(const Call& call, std::string_view server_id, TimePoint now) const;
    HttpCallOptions       CallOptionsFor(Call& call) const; // refers to the call
    awaitable<AttemptEnd> Relay(Call& call, RequestAttempt& attempt);
    awaitable<AttemptEnd> RelayWhole(Call& call, RequestAttempt& attempt);
    awaitable<AttemptEnd> RelayStream(Call& call, RequestAttempt& attempt);
    awaitable<bool>       SendEvents(Call& call, const HttpResponse& head, const std::string& events, TimePoint heard); // false: caller gone
    awaitable<std::optional<ServerEntry>> FindNextServer(Call& call, AttemptEnd end); // nothing: none is allowed, or none takes it
    awaitable<std::optional<ServerEntry>> FindNextServerWithWait(Call&      call,
                                                                 AttemptEnd end); // the same, for as long as a begun stream's caller waits
    bool                                  MayKeepSearching(const Call& call, TimePoint now) const;
    awaitable<void>                       SendFinalAnswer(Call& call, AttemptEnd end);
    awaitable<void>                       SendAnswer(Call& call, HttpResponse res);
    bool                                  TakeRetry(Call& call, AttemptEnd end, TimePoint now);
    NoRetryReason                         FindNoRetryReason(const Call& call, AttemptEnd end, TimePoint now) const; // but for the budget
};

} // namespace aldervale
