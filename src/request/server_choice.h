// aldervale: chooses the backend server that answers a request, or refuses the request when no server can answer it in time
//
// Pure logic without I/O or clocks. Input: what this router sent and received, load reports of the servers' boxes, and times. Output: a server
// or a refusal.
//
// Terms: an incarnation of a server is one run of its process, from start to exit (ServerLife). A place is capacity of a model server for one
// more concurrent request; a reserved place is taken by a request that is still on its way. A claim asks a box to reserve the next free place
// (place_line.h). A report is the load of one server as its box sends it regularly; an answer is the load that a box sends when it is asked.
//
// How it decides:
//   - For model services the time to the first event is predicted from the declared costs (engine_prediction.h). The requests in flight at a
//     server are those of the last report, plus what this router sent since, less what ended since, plus an estimate of what the other routers
//     sent since. Without a fresh report they are this router's own requests times m_NoReportFactor.
//   - Boxes are asked first (ServersToAsk(), place_promise.h). An answer counts the places reserved by all routers, so nothing has to be
//     estimated. Choose() with m_FreshAnswersOnly set takes the best of the servers whose boxes answered just now.
//   - Where the best server has fewer than m_MinFreeWithoutClaim free places, a place is claimed at a few boxes (ServersToClaim(), place_line.h).
//     The request goes to the box that grants it, or is refused: otherwise several routers would send to the same free place. At 1.4 times the
//     load that the servers can take the mean value of a request was 0.46 without claims and 0.50 with them (one day each); without them 21 in
//     100 of the admitted streams were late.
//   - Where capacities are learned (server_capacity.h, RequestNeed::m_LearnedCapacity), the capacity that a server's box reports takes the place of
//     its slots.
//   - A retry that is on record (refusal_records.h) claims a place, too, while many requests are refused, but without waiting for one: sent without a
//     claim it would take the place that the box has reserved for a first attempt.
//   - Where no box answers, reports decide. Requests that other routers sent since a report aren't known, but those routers choose by the same
//     rules: the better a server looks, the more of them chose it. Their estimated requests are assigned to the servers of each data centre
//     one by one, each to the server that looks best at that point, and their prompts count as unread.
//   - Of many servers a random sample is considered for each request (m_LocalSampleSize, m_RemoteSampleSize): routers with similar views would
//     all choose the same server. With 149 routers and 204 servers 9 in 100 streams were late in calm seconds when each router considered all
//     servers, 2.5 in 100 when it considered ten.
//   - A server without a fresh report costs m_NoReportPenalty more while others report: its box may be frozen, cut off or overloaded.
//   - For plain services the cost is the mean time of recent answers, increased by the requests ahead per slot.
//   - Failures raise a server's cost by their share among recent outcomes. Answers that came much later than predicted, or with too long a
//     pause, count half as much: the link of the server's box may be slow. Both decay with time, since otherwise a server that has recovered
//     would not be tried again. A server that can't be connected to is suspended for a time that doubles. When all are suspended, all are
//     candidates again: this router's own view must not leave a service without servers.
//   - A server with weights older than a target version is left out when the request would start after that version's weights deadline. Servers
//     with short predicted waits are left out at the same time: if they dropped out one by one, the last ones would get all routers' requests.
//   - In the last m_OldWeightsWindow before a weights deadline a server with older weights costs m_OldWeightsPenalty more, since a request that
//     waits there may start too late.
//   - A server in another data centre costs m_RemotePenalty more, but not when a place is claimed and no server that answered has a free one: with
//     the penalty nearly all claims stayed in the own data centre. One with 1.3 times the load of another refused 31 in 100 attempts, the other 21.
//   - Admission (admission.h) decides whether a request is taken at all, and when a refused caller may retry. It counts every request with the
//     usual prompt length instead of its own, so that long prompts aren't refused before short ones. The requests in flight at the server that
//     looks best of many are corrected towards the mean of all servers by m_MeanInFlightWeight: under overload 14.7 requests were estimated
//     there and 17 were present, which is the mean of all servers.
//
// Usage:
//   ServerChoice c(config, seed);
//   Choice x = c.Choose(candidates, need, now);
//   if (x.m_Server) { c.OnSent(life, prompt, now); ... c.OnFirstEvent(life, prompt); ... c.OnEnd(life, ServerOutcome_Good, 0, took, now); }
// Usage, claiming a place:
//   if (c.NeedsClaim(best, need)) for (const Choice& x : c.ServersToClaim(answered, need, now)) ...
//   x = granted ? c.OnClaimGranted(x, need, now) : c.Refuse(x, need, now);
// Usage, asking boxes:
//   for (const ServerEntry* s : c.ServersToAsk(candidates, need, {}, now)) ...     // each answer: c.OnReport(life, answer, now)
//   need.m_FreshAnswersOnly = true;
//   Choice x = c.Choose(answered, need, now);

#pragma once
#include "common/hash.h"
#include "common/load_report.h"
#include "process/server_directory.h"
#include "request/admission.h"
#include "request/server_limits.h"
#include "version/route_table.h"
#include "version/start_plan.h"
#include <optional>
#include <span>
#include <unordered_map>

namespace aldervale
{

struct ServerChoiceConfig
{
    AdmissionConfig m_Admission;                              //
    Duration        m_ReportMaxAge      = milliseconds(1200); // older reports are ignored
    Duration        m_RemotePenalty     = milliseconds(20);   // cost of another data centre: transferred bytes are paid for
    Duration        m_SuspendMin        = milliseconds(300);  // first suspension of an unreachable server; doubles with each further failure
    Duration        m_SuspendMax        = milliseconds(2400); // longest suspension
    double          m_TieBreakMs        = 25;                 // random part of a cost: keeps routers from choosing alike
    double          m_OthersToBestShare = 0.5;                // share of other routers' requests assumed to go to the best server; the rest is random
    double          m_NoReportFactor    = 3.0;                // requests assumed in flight for each own one when no report is fresh
    Duration        m_NoReportPenalty   = milliseconds(200);  // cost of a server without a fresh report while others have one: half a usual objective
    Duration        m_OldWeightsPenalty = milliseconds(100);  // cost of a server with older weights near a weights deadline: some two requests
    Duration        m_OldWeightsWindow  = seconds(3);         // a longer one sends all requests to the first servers with newer weights
    Duration m_DeadlineMargin  = kStopLead + milliseconds(200); // before a weights deadline: servers stop then, and requests take some time to them
    Duration m_DeadlineMinWait = milliseconds(400); // least predicted wait assumed for the deadline: servers then drop out together, see above
    Duration m_DeadlineNoReportMinWait  = milliseconds(2000); // the same if its agent doesn't know the deadline: requests took up to 1.8 s
    double   m_DeadlineWaitFactor       = 1.5;                // safety factor on predicted waits for the deadline
    double   m_MeanInFlightWeight       = 0.5;                // see above; raised the mean value under lasting overload from 0.54 to 0.56
    double   m_FailurePenaltyObjectives = 3.0;                // cost, in latency objectives, of a server whose recent outcomes all failed
    size_t   m_LocalSampleSize          = 12; // servers of the own data centre considered for a request; with more, routers choose alike again
    size_t   m_RemoteSampleSize         = 6;  // servers of all other data centres together considered for a request
    size_t   m_QueriesAtOnce            = 3;  // boxes asked at once; two find a free server less often, four cost a third more datagrams
    Duration m_BoxAnswerMaxAge          = milliseconds(60);   // older answers of boxes count as reports
    Duration m_NoAnswerDemotion         = milliseconds(1500); // a box that didn't answer is asked last for this long: frozen, cut off or overloaded
    uint32_t m_MinFreeWithoutClaim      = 2;                  // free places that the best server must have for a request to be sent without a claim
    size_t   m_ClaimsAtOnce             = 3;                  // boxes at which a place is claimed at once
    double   m_QueueWaitMaxShare        = 0.2;                // longest wait in the queue for a place, as a share of the latency objective
    double   m_AskMoreAboveShare        = 0.5;                // predicted wait, as a share of the latency objective, above which more boxes are asked
};

struct WeightsDeadline
{
    uint64_t  m_Version = 0; //
    TimePoint m_At{};        // after it no older version may start a request
};

enum ServerOutcome
{
    ServerOutcome_Good,        //
    ServerOutcome_Slow,        // a complete answer, but far later than predicted, or with a pause longer than allowed
    ServerOutcome_Refused,     // the server reported that it did not run the request
    ServerOutcome_Failed,      // connection reset, answer truncated or stalled, or a server error
    ServerOutcome_Unreachable, // could not be connected to
    ServerOutcome_Cancelled,   // ended by the caller or by a deadline of this router: says nothing about the server
};

constexpr auto kClaimedTimeMin = milliseconds(40); // that a request must have left when its claim is granted

struct RequestNeed
{
    const Service*                   m_Service      = nullptr;      //
    Duration                         m_Objective    = seconds(1);   // latency objective of the request's route
    double                           m_PromptTokens = 0;            // prompt length
    double                           m_AnswerTokens = 0;            // expected length of the answer
    Duration                         m_StrictestObjective{};        // strictest of the service's routes; zero: use m_Objective
    Duration                         m_TimeToDeadline = seconds(6); // until the caller's deadline
    bool                             m_IsRetry        = false;      // the caller was refused before, or the request was tried on another server
    bool                             m_KnownRetry     = false;      // m_IsRetry, by a record of the refusal; not tried at any server
    Duration                         m_ToleratedWait{};             // see AdmissionNeed
    unsigned                         m_Rank             = 0;        // of its claims (urgency.h)
    bool                             m_FreshAnswersOnly = false;    // only servers whose boxes answered just now are considered
    bool                             m_LearnedCapacity  = false;    // capacities that boxes report count in place of the slots (server_capacity.h)
    bool                             m_AssumeFreePlace  = false;    // predict as if a slot were free: it is sent only when a claim is granted
    std::span<const WeightsDeadline> m_WeightsDeadlines;            // of the target versions of this model, oldest first
    std::string_view                 m_DataCentre;                  // of this router
    ServerLimits*                    m_Limits       = nullptr;      // rate limits of all servers; null: unlimited
    bool                             m_ClaimsAtCold = false;        // places at cold servers are claimed: the box counts, and no share is needed
    std::span<const ServerLife>      m_Tried;                       // server incarnations that this request was already sent to
};

struct Choice
{
    const ServerEntry* m_Server = nullptr;                // null: the request is refused
    Duration           m_Predicted{};                     // time to the first event, or whole answer, of the best server
    Duration           m_RetryAfter{};                    // refusals only
    Duration           m_ReportAge     = Duration::max(); // age of the report that the decision is based on; max: none
    uint32_t           m_InFlight      = 0;               // estimated requests in flight at that server
    uint32_t           m_Places        = 0;               // requests that it takes at once: its slots, or its learned capacity
    uint64_t           m_Weights       = 0;               // version of its weights, as last reported; 0: no model server
    size_t             m_Candidates    = 0;               // servers considered
    double             m_ColdPerSecond = 0;               // requests per second that the server bears, as it is cold; 0: it isn't
    Duration           m_FirstPauseLeft{};                // all servers asked for a pause: until the first one ends; zero: not all did
};

class ServerChoice
{
public:
    ServerChoice(const ServerChoiceConfig& cfg, uint64_t seed) : m_Config(cfg), m_Random(seed), m_Admission(cfg.m_Admission) {}

    using Servers = std::span<const ServerEntry* const>;

    // Servers whose boxes to ask for their load, best first, without those in `asked`. Empty: no candidate is left.
    std::vector<const ServerEntry*> ServersToAsk(Servers candidates, const RequestNeed& need, std::span<const ServerLife> asked, TimePoint now);

    bool   ShouldAskMore(const Choice& best, const RequestNeed& need) const; // true: ask more boxes
    Choice Choose(Servers candidates, const RequestNeed& need, TimePoint now);
    Choice Decide(Choice best, const RequestNeed& need, TimePoint now); // admits or refuses; call once for each admission, after the last Best()
    Choice Best(Servers candidates, const RequestNeed& need, TimePoint now);

    // Claims of places (place_line.h). ServersToClaim() returns where to claim, best first, each with the prediction that holds once its box
    // grants a place; empty: the request would be late even then. ClaimQueueWait() is how long a claim may wait in a box's queue.
    bool                NeedsClaim(const Choice& best, const RequestNeed& need) const;
    std::vector<Choice> ServersToClaim(Servers answered, RequestNeed need, TimePoint now);
    Duration            ClaimQueueWait(const Choice& best, const RequestNeed& need) const;
    Choice              OnClaimGranted(const Choice& granted, const RequestNeed& need, TimePoint now);
    Choice              Refuse(Choice best, const RequestNeed& need, TimePoint now); // `best` may have no server

    void OnSent(const ServerLife& life, double prompt, TimePoint now); // prompt: tokens; 0 at plain services
    void OnFirstEvent(const ServerLife& life, double prompt);          // the server has read the prompt
    void OnEnd(const ServerLife& life, ServerOutcome outcome, double unread_prompt, Duration took, TimePoint now); // once for each OnSent()
    void OnPause(const ServerLife& life, TimePoint now);                       // no data for too long; the request is still in flight
    void OnReport(const ServerLife& life, const LoadReport& r, TimePoint now); // a report, or an answer of its box
    void OnNoAnswer(const ServerLife& life, TimePoint now);                    // its box was asked and didn't answer
    void Forget(Servers keep);                                                 // drops the state of servers not in `keep`

    uint32_t RoutersHint() const { return m_Routers; } // number of routers that share the servers, as last reported; 0: unknown

private:
    struct Server
    {
        int64_t    m_BornMs       = 0;      // incarnation that this state belongs to; never decreases
        uint32_t   m_InFlight     = 0;      // requests of this router
        double     m_UnreadTokens = 0;      // prompt tokens of this router's requests that wait for their first event
        LoadReport m_Report;                //
        TimePoint  m_ReportAt{};            // default: never
        uint32_t   m_SentSinceReport  = 0;  // requests sent by this router since the report
        uint32_t   m_EndedSinceReport = 0;  // requests of this router that ended since the report
        double     m_FailureShare     = 0;  // moving mean of outcomes at m_FailureAt; 0: all good, 1: all failed
        TimePoint  m_FailureAt{};           // time of the last outcome
        double     m_MeanAnswerMs      = 0; // moving mean time of a complete answer; used for plain services
        unsigned   m_UnreachableInARow = 0; // failed connection attempts in a row
        TimePoint  m_SuspendedUntil{};      //
        TimePoint  m_DemotedUntil{};        // until then its box is asked last, because it didn't answer
    };

    struct Option // a server that may be chosen
    {
        const ServerEntry* m_Entry          = nullptr; //
        const Server*      m_Server         = nullptr; //
        uint64_t           m_Weights        = 0;       // version of its weights, as last reported
        double             m_OthersInFlight = 0;       // requests that other routers are estimated to have sent it since its report
        double             m_OthersUnread   = 0;       // how many of m_OthersInFlight have prompts that count as unread
        double             m_PredictedMs    = 0;       // predicted time to the first event, or of the answer
        double             m_SampledFrom    = 1;       // servers for each one in the sample that it was taken from (1: all were taken)
    };

    bool HasFreshReport(const Server& s, TimePoint now) const { return s.m_ReportAt != TimePoint{} && now - s.m_ReportAt < m_Config.m_ReportMaxAge; }

    // Null: `life` is an earlier incarnation than the current one. A later incarnation starts with empty state.
    Server* Find(const ServerLife& life);

    // Prediction (server_prediction.cpp)
    bool HasFreshAnswer(const Server& s, TimePoint now) const
    {
        return s.m_Report.m_UnreadMs >= 0 && now - s.m_ReportAt <= m_Config.m_BoxAnswerMaxAge;
    }
    double InFlight(const Option& o, TimePoint now) const;
    double PlacesOf(const Option& o, const RequestNeed& need, TimePoint now) const;                            // slots, or a lower learned capacity
    void   EstimateOthers(std::vector<Option>& options, const RequestNeed& need, TimePoint now) const;         // sets m_OthersInFlight; reorders
    void   AssignOthers(std::span<Option> options, double rate, const RequestNeed& need, TimePoint now) const; // options: of one data centre
    void   AssignToBest(std::span<Option* const> fresh, double requests, TimePoint sent_at, const RequestNeed& need,
                        TimePoint now) const;                                           // to one option
    double PredictModel(const Option& o, const RequestNeed& need, TimePoint now) const; // ms to the first event
    double PredictPlain(const Option& o) const;                                         // ms to the answer
    double Predict(const Option& o, const RequestNeed& need, TimePoint now) const;
    double InFlightBelowMean(const Option& chosen, std::span<const Option> options, TimePoint now) const;
    double PredictAdmitted(const Option& chosen, std::span<const Option> options, const RequestNeed& need, TimePoint now) const;

    static std::vector<std::span<Option>> ByDataCentre(std::vector<Option>& options); // reorders

    // Choice
    std::vector<Option> Options(Servers candidates, const RequestNeed& need, TimePoint now);
    std::vector<Option> Eligible(Servers candidates, const RequestNeed& need, TimePoint now);
    void                SampleOptions(std::vector<Option>& options, const RequestNeed& need, TimePoint now);
    void                MoveSample(std::vector<Option>& from, size_t count, std::vector<Option>& out);
    const Option*       Cheapest(std::span<const Option> options, const RequestNeed& need, TimePoint now);
    double              CostOf(const Option& o, const RequestNeed& need, bool others_report, TimePoint now); // ms; lower is better
    double              RemoteMs(const Option& o, const RequestNeed& need) const;                            // part of CostOf()
    double              RandomPart();                                                                        // 0 to 1
    bool                Excluded(const ServerEntry& entry, const Server& s, const RequestNeed& need, TimePoint now) const;
    bool                AgentKnowsDeadline(const Server& s, uint64_t version, TimePoint now) const; // by a fresh report; `version`: the newer one
    bool                StartsAfterDeadline(const Option& o, const RequestNeed& need, TimePoint now) const;
    bool                NearWeightsDeadline(const Option& o, const RequestNeed& need, TimePoint now) const;

    Duration StrictestObjective(const RequestNeed& need) const
    {
        return need.m_StrictestObjective > Duration::zero() ? need.m_StrictestObjective : need.m_Objective;
    }
    Duration      FirstPauseLeft(Servers candidates, const RequestNeed& need, TimePoint now) const; // see Choice::m_FirstPauseLeft
    AdmissionNeed AdmissionOf(const RequestNeed& need) const
    {
        return {StrictestObjective(need), need.m_TimeToDeadline, need.m_IsRetry, need.m_ToleratedWait};
    }
    Choice ChoiceOf(const Option& o, std::span<const Option> options, const RequestNeed& need, TimePoint now) const;

    // Outcomes of requests
    double FailureShare(const Server& s, TimePoint now) const; // decayed to `now`
    void   RecordFailure(Server& s, double failure, TimePoint now) const;
    void   Suspend(Server& s, TimePoint now) const; // leaves it out until m_SuspendedUntil
    void   RecordSent(TimePoint now);

    static void RecordAnswerTime(Server& s, Duration took);

    ServerChoiceConfig                      m_Config;  //
    Random                                  m_Random;  // for tie-breaking and sampling
    std::unordered_map<std::string, Server> m_Servers; // by server id; state of its latest incarnation
    uint32_t                                m_Routers = 0;
    Admission                               m_Admission;         // for model services
    double                                  m_SentPerSecond = 0; // requests that this router sends to model servers per second; moving mean
    TimePoint                               m_LastSentAt{};      // time of the last change of m_SentPerSecond
};

} // namespace aldervale
