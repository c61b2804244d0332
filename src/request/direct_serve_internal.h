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
    AttemptEnd_ServerFault, // a whole answer that says that the server failed; kept in Call::m_Fault
    AttemptEnd_Paused,      // nothing came for too long; the attempt is kept in Call::m_Paused
    AttemptEnd_CallerGone,  //
};

enum AttemptCause // what ended the last attempt; for the log
{
    AttemptCause_None,        // it was answered whole, or there was none
    AttemptCause_Silence,     // nothing came from the server for as long as we wait
    AttemptCause_Closed,      // the server, or the way there, ended the connection
    AttemptCause_Refused,     // the server said that it did not run it
    AttemptCause_Unreachable, // no connection
    AttemptCause_Fault,       // the server answered that it failed
    AttemptCause_Spoilt,      // what came is no answer
    AttemptCause_Deadline,    //
    AttemptCause_CallerGone,  //
};

enum GivenUp // why no other server was tried after the last attempt; for the log
{
    GivenUp_No,       // none was needed, or none was tried at all
    GivenUp_NoServer, // none would take it
    GivenUp_Attempts, // as many as the route allows were made
    GivenUp_Budget,   // retries would be too many
    GivenUp_NoTime,   //
    GivenUp_RunsOnce, // it may have run, and must not run again
    GivenUp_Crashes,  // blocked because it crashed servers
};

constexpr auto kMinLeft = milliseconds(40); // time before the deadline below which no attempt is begun

std::string_view CauseName(AttemptCause c);
std::string_view GivenUpName(GivenUp g);

struct StreamPace // how quickly the events of one attempt came
{
    TimePoint m_SentAt{};      //
    bool      m_Begun = false; // an event came
    Duration  m_First{};       // until the first event
    Duration  m_Gap{};         // longest pause between events
    TimePoint m_HeardAt{};     // when its last bytes came; default: none did
};

struct RequestAttempt // at one server, from the sending of the request on
{
    RequestAttempt(ServerLife server, Endpoint address) : m_Server(std::move(server)), m_Address(address) {}

    ServerLife    m_Server;           //
    Endpoint      m_Address;          // of m_Server
    uint64_t      m_Weights = 0;      // version that it is believed to hold; 0: no model server
    Duration      m_Predicted{};      // time to the first event, when it was chosen
    HttpStreamPtr m_Stream;           //
    StreamPace    m_Pace;             //
    EventSplitter m_Events;           // what has come and is no whole event yet
    bool          m_Headed   = false; // the head of its answer has come
    bool          m_WasQuiet = false; // it has paused for too long before
    bool          m_Resent   = false; // it met a stale connection and was sent once more
    TimePoint     m_TurnEnd{};        // others that pause are listened to after it
    std::string   m_Body;             // of an answer that is passed on whole
};
using RequestAttemptPtr = std::unique_ptr<RequestAttempt>;

struct Call // one caller's request, from its head to its last byte
{
    Call(HttpRequest& request, HttpReply& reply) : m_Request(request), m_Reply(reply) {}

    HttpRequest&                  m_Request;                     //
    HttpReply&                    m_Reply;                       //
    CallerRequest                 m_Caller;                      //
    TimePoint                     m_StartedAt;                   //
    TimePoint                     m_Deadline;                    // the caller's or the route's, whichever is first
    DeclarationsFreshness         m_Freshness;                   // when it came
    RouteTablePtr                 m_Routes;                      // keeps m_Route, m_Account and m_Service alive
    const Route*                  m_Route   = nullptr;           //
    const ClientAccount*          m_Account = nullptr;           // null: the route is public, or nobody needs a key
    const Service*                m_Service = nullptr;           //
    HttpAbort                     m_Abort;                       // ends all attempts when the caller leaves
    std::vector<ServerLife>       m_Tried;                       // servers that the request was sent to
    bool                          m_MayHaveRun = false;          // some server may have run it
    bool                          m_BrokenOff  = false;          // the answer was begun and ended before its end
    bool                          m_HeadSent   = false;          // the answer's head went to the caller
    bool                          m_Returned   = false;          // the caller is taken for one that was refused before
    bool                          m_IsRetry    = false;          // when it was last admitted: refused before, or tried elsewhere
    unsigned                      m_Events     = 0;              // streams: events passed on
    std::string                   m_LastEvent;                   // streams: id of the last event passed on, or where the caller asked to go on
    TimePoint                     m_FirstAt{};                   // when the first event or answer went to the caller
    Duration                      m_WorstGap{};                  // streams: longest pause between events
    TimePoint                     m_EventAt{};                   // when the last event went to the caller
    std::optional<HttpResponse>   m_Fault;                       // whole answer of a server that failed, if nothing better comes
    Choice                        m_Choice;                      // the last one made
    size_t                        m_Asked    = 0;                // boxes asked for a place, when it was last admitted
    size_t                        m_Answered = 0;                // of these
    Duration                      m_AskTook{};                   // until enough had answered
    size_t                        m_Claimed = 0;                 // boxes at which a place was claimed, when it was last admitted
    bool                          m_Granted = false;             // one of them granted it
    Duration                      m_ClaimTook{};                 // until then, or until none was left
    std::string                   m_Why;                         // last thing that went wrong
    AttemptCause                  m_Cause   = AttemptCause_None; // of the last attempt's end
    GivenUp                       m_GivenUp = GivenUp_No;        //
    Duration                      m_Quiet{};                     // from the last bytes of the last attempt's server, or its sending, to its end
    unsigned                      m_Status = 0;                  // answered to the caller
    std::deque<RequestAttemptPtr> m_Paused;                      // attempts whose servers say nothing, until any server has an event
    TimePoint                     m_LookAt{};                    // when another server is looked for next, unless an event comes
    unsigned                      m_Made = 0;                    // attempts, unreachable servers included
    std::string                   m_LastServer;                  // of the attempt that ended last
    unsigned                      m_Pauses = 0;                  // that made it look for another server
    std::optional<uint64_t>       m_ContentHash;                 // computed on first use

    Duration Left(TimePoint now) const { return m_Deadline - now; }
    uint64_t ContentHash();
    bool     IsStream() const { return m_Route->m_Kind == RouteKind_Stream; }
};

struct DirectServe::Impl
{
    Daemon&                                             m_Daemon;                  //
    DirectServeSettings                                 m_Settings;                //
    RoutingState&                                       m_World;                   //
    const RequestProtocol&                              m_Protocol;                //
    HttpClient                                          m_Client;                  //
    ServerChoice                                        m_Choice;                  //
    ServerLimits                                        m_Limits{RandomSeed()};    // divided among all routers
    CrashDetector                                       m_CrashDetector;           //
    CrashHistory                                        m_CrashHistory;            // merged with the records of other routers
    RetryEstimate                                       m_Returns;                 // of callers of model services
    std::map<std::string, std::unique_ptr<RetryBudget>> m_Budgets;                 // by service
    uint32_t                                            m_BudgetRouters = 0;       // routers that m_Budgets were built for; 0: assumed
    PlaceChannel*                                       m_Places        = nullptr; // null: boxes aren't asked
    uint16_t                                            m_BoxPort       = 0;       // of m_Places
    uint64_t                                            m_InFlight      = 0;       // requests from their head to their last byte

    Impl(Daemon& daemon, const DirectServeSettings& s, RoutingState& world, const RequestProtocol& protocol);

    HttpResponse                 Refuse(Call& call, unsigned status, std::string_view why, Duration retry) const; // retry: zero: says none
    HttpResponse                 Deny(Call& call, unsigned status, std::string_view why) const; // or 503, while declarations are doubted
    std::optional<HttpResponse>  Identify(Call& call);                                          // an answer when the request can't go on
    std::vector<WeightsDeadline> WeightsDeadlines(const Call& call) const;
    uint64_t                     ExpectedWeights(const Call& call, TimePoint now) const; // that the server must hold; 0: any
    bool                         Returned(const Call& call);                             // once for each call
    void                         OnCrash(const ServerCrash& crash);
    bool                         CheckBlocked(Call& call, TimePoint now); // logs the refusal; call once for each attempt
    RetryBudget&                 Budget(const std::string& service);
    awaitable<void>              AwaitCrashCheck(Call& call) const;
    awaitable<void>              Serve(Call& call);

    // A server for a request (direct_place.cpp)
    struct Asking;

    awaitable<std::optional<ServerEntry>> Admit(Call& call); // nothing: refused
    awaitable<std::optional<ServerEntry>> Place(Call& call, const RequestNeed& need);
    awaitable<void>                       AskRound(Call& call, const RequestNeed& need, Asking& a);
    bool                                  IsUsable(const ServerLife& server, TimePoint now); // still listed, and takes new work
    std::vector<const ServerEntry*>       UsableOf(const Asking& a);
    Choice                                BestAnswered(const Asking& a, RequestNeed need, TimePoint now);
    awaitable<Choice>                     Claim(Call& call, const RequestNeed& need, const Asking& a);
    RequestNeed                           NeedOf(const Call& call, std::span<const WeightsDeadline> deadlines, TimePoint now);
    Endpoint                              BoxOf(const ServerEntry& server) const;

    awaitable<AttemptEnd> Attempt(Call& call, ServerEntry server);
    bool                  MayResend(Call& call, const RequestAttempt& attempt);
    awaitable<bool>       Resend(Call& call, RequestAttempt& attempt); // to the same server on a new connection; false: not sent
    void                  NoteLimit(const RequestAttempt& attempt, const ServerAnswer& answer);
    void                  WithdrawLate(Call& call, TimePoint now);       // paused attempts that would soon begin too late
    awaitable<AttemptEnd> GoOn(Call& call);                              // with whichever paused server has something first
    awaitable<AttemptEnd> Follow(Call& call, RequestAttemptPtr attempt); // until it ends or pauses
    AttemptEnd            Conclude(Call& call, const RequestAttempt& attempt, AttemptEnd end, bool reached);
    void                  DropPaused(Call& call); // another server has an event, or the call is over
    TimePoint             BeginBy(const Call& call, const RequestAttempt& attempt) const;
    TimePoint             EndAt(const Call& call, const RequestAttempt& attempt) const;      // it is given up then
    TimePoint             QuietUntil(const Call& call, const RequestAttempt& attempt) const; // and set aside then, if nothing comes
    ForwardFields         FieldsFor(const Call& call, std::string_view server_id, TimePoint now) const;
    HttpCallOptions       OptionsFor(Call& call) const; // refers to the call
    awaitable<AttemptEnd> Relay(Call& call, RequestAttempt& attempt);
    awaitable<AttemptEnd> RelayWhole(Call& call, RequestAttempt& attempt);
    awaitable<AttemptEnd> RelayStream(Call& call, RequestAttempt& attempt);
    awaitable<bool>       PassOn(Call& call, const HttpResponse& head, const std::string& events, TimePoint heard); // false: caller gone
    awaitable<std::optional<ServerEntry>> Another(Call& call, AttemptEnd end); // nothing: none is allowed, or none takes it
    awaitable<std::optional<ServerEntry>> LookOn(Call& call, AttemptEnd end);  // the same, for as long as a begun stream's caller waits
    bool                                  MayLookOn(const Call& call, TimePoint now) const;
    awaitable<void>                       Settle(Call& call, AttemptEnd end);
    awaitable<void>                       Answer(Call& call, HttpResponse res);
    bool                                  TryAgain(Call& call, AttemptEnd end, TimePoint now);
    GivenUp                               WhyNotAgain(const Call& call, AttemptEnd end, TimePoint now) const; // but for the budget
};

} // namespace aldervale
