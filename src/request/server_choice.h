// aldervale: which backend server answers a request, or that none can in time
//
// Pure: what this router sent and got back, reports of the servers' boxes, and times go in; a server or a refusal comes out.
//
// How it decides:
//   - For model services the time to the first event is predicted from the declared costs (engine_prediction.h). Requests in flight are the
//     last report's, plus what this router sent since, less what ended since, plus what the other routers are believed to have sent since;
//     without a fresh report, the router's own times m_NoReportFactor.
//   - Boxes are asked first (ServersToAsk(), place_promise.h): an answer counts what all routers were promised there, so nothing is guessed.
//     Choose() with m_Asked set takes the best of those that answered just now.
//   - Where the best server has fewer than m_MinFreeWithoutClaim free places, one is claimed at a few boxes (ServersToClaim(), place_line.h), and the
//   request
//     goes where it is granted or is refused: several routers hear of the same free place. 1.4 times of what the servers can do: worth 0.46 without
//     claims, 0.50 with them (one day each); 21 in 100 of the admitted streams came late without them.
//   - Where no box answers, reports decide. What others sent since a report isn't known, but they choose as this router does: the better a
//     server looks, the more of them chose it. Their requests are handed out over the servers of each data centre, each to the one that looks
//     best then, prompts unread.
//   - Of many servers a few are drawn by chance for each request (m_LocalSampleSize, m_RemoteSampleSize): routers with like views would all take the
//   same one.
//     149 routers before 204 servers answered 9 in 100 streams late in calm seconds when each looked at all servers, 2.5 when at ten.
//   - A server that doesn't report while others do costs m_NoReportPenalty more: its box may be frozen, cut off or overloaded.
//   - For plain services the mean time of recent answers is used, times the requests ahead over the slots.
//   - Failures raise a server's cost by the share of them among recent outcomes, and answers that came much later than predicted, or with too
//     long a pause, by half as much: its box's link may be narrow. Both fade with time, or a server that is well again would not be asked.
//     A server that can't be connected to is left out for a time that doubles. When all are left out, all are candidates again: no view of
//     ours may empty a service.
//   - A server whose weights are older than a named version is left out when the request would begin after that version's deadline. Servers
//     that aren't slow drop out at the same time: dropping out one by one, the last ones would get what all routers send.
//   - In the last m_OldWeightsWindow before a deadline of weights a server with older ones costs m_OldWeightsPenalty more: what waits there may begin
//   too late.
//   - A server in another data centre costs m_RemotePenalty more.
//   - Whether a request is taken at all, and when a refused caller may return, is admission.h's part. For it a request counts with the usual
//     prompt, not its own, so that long ones aren't refused before short ones. The server that looks best of many is believed to be
//     m_MeanInFlightWeight of the way to their mean: under overload 14.7 requests were believed there and 17 were, which is the mean of all.
//
// Usage:
//   ServerChoice c(config, seed);
//   Choice x = c.Choose(candidates, need, now);
//   if (x.m_Server) { c.OnSent(life, prompt, now); ... c.OnFirstEvent(life, prompt); ... c.OnEnd(life, ServerOutcome_Good, 0, took, now); }
// Usage, claiming a place:
//   if (c.NeedsClaim(best, need)) for (const Choice& x : c.ServersToClaim(answered, need, now)) ...
//   x = granted ? c.OnClaimGranted(x, need, now) : c.Refuse(x, need, now);
// Usage, asking boxes:
//   for (const ServerEntry* s : c.ServersToAsk(candidates, need, {}, now)) ...        // each answer: c.OnReport(life, answer, now)
//   need.m_FreshAnswersOnly = true;
//   Choice x = c.Choose(answered, need, now);

#pragma once
#include "common/hash.h"
#include "common/load_report.h"
#include "process/server_directory.h"
#include "request/admission.h"
#include "request/server_limits.h"
#include "version/route_table.h"
#include <optional>
#include <span>
#include <unordered_map>

namespace aldervale
{

struct ServerChoiceConfig
{
    AdmissionConfig m_Admission;                              //
    Duration        m_ReportMaxAge      = milliseconds(1200); // older reports say nothing
    Duration        m_RemotePenalty     = milliseconds(20);   // priced bytes between data centres against waiting
    Duration        m_SuspendMin        = milliseconds(300);  // first time that an unreachable server is left out; doubles
    Duration        m_SuspendMax        = milliseconds(2400); //
    double          m_TieBreakMs        = 25;                 // random part of a cost: routers with the same view don't all choose alike
    double          m_OthersToBestShare = 0.5; // of what other routers send: believed to go to the server that looks best; the rest by chance
    double          m_NoReportFactor    = 3.0; // own requests in flight stand for this many when no report is fresh
    Duration        m_NoReportPenalty   = milliseconds(200); // of a server without a fresh report beside others with one: half a usual objective
    Duration        m_OldWeightsPenalty =
        milliseconds(100);                    // of a server with weights that may be used for no longer than m_OldWeightsWindow: some two requests
    Duration m_OldWeightsWindow = seconds(3); // a longer one lets the first servers with newer weights get what all routers send
    Duration m_DeadlineMargin = milliseconds(1100); // kept before a deadline of weights: naming is learned late, and waits are longer than predicted
    Duration m_DeadlineMinWait =
        milliseconds(400); // predicted waits count as this at least: servers then drop out together, or the last would get all
    Duration m_DeadlineNoReportMinWait  = milliseconds(2000); // and as this without a fresh report: the way to such a box was seen to take 1.8 s
    double   m_DeadlineWaitFactor       = 1.5;                // predicted waits are taken this much longer for it
    double   m_MeanInFlightWeight       = 0.5;                // see above; lasting overload: mean worth 0.54 to 0.56
    double   m_FailurePenaltyObjectives = 3.0;                // objectives that a server's cost rises by when all its recent outcomes failed
    size_t   m_LocalSampleSize          = 12; // servers of the own data centre that a request looks at; more make routers choose alike again
    size_t   m_RemoteSampleSize         = 6;  // and of all others
    size_t   m_QueriesAtOnce            = 3;  // boxes asked at once; two find a server with room less often, four cost a third more datagrams
    Duration m_BoxAnswerMaxAge          = milliseconds(60); // older answers of boxes count as reports
    Duration m_NoAnswerDemotion    = milliseconds(1500); // a box that didn't answer is asked last for this long: it is frozen, cut off or overloaded
    uint32_t m_MinFreeWithoutClaim = 2;                  // places that the best server must have free for a request to be sent without a claim
    size_t   m_ClaimsAtOnce        = 3;                  // boxes at which a place is claimed at once
    double   m_QueueWaitMaxShare   = 0.2;                // of the objective, that a request stands in line at most
    double   m_AskMoreAboveShare   = 0.5; // of the objective: a better server is looked for when the best that answered would take longer
};

struct WeightsDeadline
{
    uint64_t  m_Version = 0; //
    TimePoint m_At{};        // no older version may begin a request after this
};

enum ServerOutcome
{
    ServerOutcome_Good,        //
    ServerOutcome_Slow,        // a whole answer, but far later than predicted, or with a pause over what is allowed
    ServerOutcome_Refused,     // it said that it did not run the request
    ServerOutcome_Failed,      // reset, cut short, stalled, or an error of its own
    ServerOutcome_Unreachable, // no connection
    ServerOutcome_Cancelled,   // ended by the caller or a deadline of ours: says nothing of the server
};

struct RequestNeed
{
    const Service*                   m_Service      = nullptr;      //
    Duration                         m_Objective    = seconds(1);   // latency objective
    double                           m_PromptTokens = 0;            // tokens in
    double                           m_AnswerTokens = 0;            // tokens out
    Duration                         m_StrictestObjective{};        // of the service's routes; zero: as m_Goal
    Duration                         m_TimeToDeadline = seconds(6); // until the caller's deadline
    bool                             m_IsRetry        = false;      // the caller was refused before
    Duration                         m_ToleratedWait{};             // see AdmissionNeed
    bool                             m_FreshAnswersOnly = false;    // candidates have answered just now: nothing else counts
    bool                             m_AssumeFreePlace  = false;    // a slot is free for it wherever it goes: else it isn't sent
    std::span<const WeightsDeadline> m_WeightsDeadlines;            // of versions named for this model, oldest first
    std::string_view                 m_DataCentre;                  // of this router
    ServerLimits*                    m_Limits = nullptr;            // rate limits of all servers; null: unlimited
    std::span<const ServerLife>      m_Tried;                       // lifetimes of servers that this request reached already
};

struct Choice
{
    const ServerEntry* m_Server = nullptr;             // null: refused
    Duration           m_Predicted{};                  // time to the first event, or whole answer, of the best server
    Duration           m_RetryAfter{};                 // refusals only
    Duration           m_ReportAge  = Duration::max(); // of the report that decided; max: none
    uint32_t           m_InFlight   = 0;               // requests believed at that server
    uint64_t           m_Weights    = 0;               // version that it is believed to hold; 0: no model server
    size_t             m_Candidates = 0;               //
};

class ServerChoice
{
public:
    ServerChoice(const ServerChoiceConfig& cfg, uint64_t seed) : m_Config(cfg), m_Random(seed), m_Admission(cfg.m_Admission) {}

    using Servers = std::span<const ServerEntry* const>;

    // Servers whose boxes are to be asked for a place, the best first; none of `asked`. Empty: nobody is left that could take it.
    std::vector<const ServerEntry*> ServersToAsk(Servers candidates, const RequestNeed& need, std::span<const ServerLife> asked, TimePoint now);

    bool   ShouldAskMore(const Choice& best, const RequestNeed& need) const; // others are worth asking, too
    Choice Choose(Servers candidates, const RequestNeed& need, TimePoint now);
    Choice Decide(Choice best, const RequestNeed& need, TimePoint now); // takes or refuses; once for each admission, after the last Best()
    Choice Best(Servers candidates, const RequestNeed& need, TimePoint now);

    // Where places are scarce one is claimed (place_line.h): at whose boxes, the best first, and how long it may stand in line there. Each is as it
    // will be when its box grants a place. None: it can't be in time even then.
    bool                NeedsClaim(const Choice& best, const RequestNeed& need) const;
    std::vector<Choice> ServersToClaim(Servers answered, RequestNeed need, TimePoint now);
    Duration            ClaimQueueWait(const Choice& best, const RequestNeed& need) const;
    Choice              OnClaimGranted(const Choice& granted, const RequestNeed& need, TimePoint now);
    Choice              Refuse(Choice best, const RequestNeed& need, TimePoint now); // `best` may have no server

    void OnSent(const ServerLife& life, double prompt, TimePoint now); // prompt: tokens, 0 at plain services
    void OnFirstEvent(const ServerLife& life, double prompt);          // its prompt is read
    void OnEnd(const ServerLife& life, ServerOutcome outcome, double unread_prompt, Duration took, TimePoint now); // every OnSent() once
    void OnPause(const ServerLife& life, TimePoint now);                       // it has said nothing for too long; the request is still there
    void OnReport(const ServerLife& life, const LoadReport& r, TimePoint now); // or an answer of its box
    void OnNoAnswer(const ServerLife& life, TimePoint now);                    // its box was asked and didn't answer
    void Forget(Servers keep);                                                 // drops what is known of servers not in `keep`

    uint32_t RoutersHint() const { return m_Routers; } // routers that share the servers, as last reported; 0: unknown

private:
    struct Server
    {
        int64_t    m_BornMs       = 0;      // of the lifetime that all of this is of; only rises
        uint32_t   m_InFlight     = 0;      // of this router
        double     m_UnreadTokens = 0;      // prompt tokens of this router that no event has answered yet
        LoadReport m_Report;                //
        TimePoint  m_ReportAt{};            // default: never
        uint32_t   m_SentSinceReport  = 0;  // by this router since the report
        uint32_t   m_EndedSinceReport = 0;  //
        double     m_FailureShare     = 0;  // moving mean of outcomes, 0 to 1, as of m_FailureAt
        TimePoint  m_FailureAt{};           // of the last outcome
        double     m_MeanAnswerMs      = 0; // moving mean of whole answers' times; plain services
        unsigned   m_UnreachableInARow = 0; // in a row
        TimePoint  m_SuspendedUntil{};      //
        TimePoint  m_DemotedUntil{};        // its box didn't answer lately
    };

    struct Option // a server that may be chosen
    {
        const ServerEntry* m_Entry          = nullptr; //
        const Server*      m_Server         = nullptr; //
        uint64_t           m_Weights        = 0;       // that it is believed to hold
        double             m_OthersInFlight = 0;       // requests that other routers are believed to have sent it since its report
        double             m_OthersUnread   = 0;       // of these: requests whose prompts count as not read yet
        double             m_PredictedMs    = 0;       // predicted
        double             m_SampledFrom    = 1;       // servers that it was drawn from, itself included
    };

    bool HasFreshReport(const Server& s, TimePoint now) const { return s.m_ReportAt != TimePoint{} && now - s.m_ReportAt < m_Config.m_ReportMaxAge; }

    // Null: what is said is of an earlier lifetime than the known one. A later one begins with nothing.
    Server* Find(const ServerLife& life);

    // Prediction (server_prediction.cpp)
    bool HasFreshAnswer(const Server& s, TimePoint now) const
    {
        return s.m_Report.m_UnreadMs >= 0 && now - s.m_ReportAt <= m_Config.m_BoxAnswerMaxAge;
    }
    double InFlight(const Option& o, TimePoint now) const;
    void   EstimateOthers(std::vector<Option>& options, const RequestNeed& need, TimePoint now) const;         // sets m_OthersInFlight, sorts
    void   AssignOthers(std::span<Option> options, double rate, const RequestNeed& need, TimePoint now) const; // of one data centre
    void   AssignToBest(std::span<Option* const> fresh, double requests, TimePoint sent_at, const RequestNeed& need, TimePoint now) const; // to one
    double PredictModel(const Option& o, const RequestNeed& need, TimePoint now) const; // ms to the first event
    double PredictPlain(const Option& o) const;                                         // ms to the answer
    double Predict(const Option& o, const RequestNeed& need, TimePoint now) const;
    double InFlightBelowMean(const Option& chosen, std::span<const Option> options, TimePoint now) const;
    double PredictAdmitted(const Option& chosen, std::span<const Option> options, const RequestNeed& need, TimePoint now) const;

    static std::vector<std::span<Option>> ByDataCentre(std::vector<Option>& options); // sorts

    // Choice
    std::vector<Option> Options(Servers candidates, const RequestNeed& need, TimePoint now);
    std::vector<Option> Eligible(Servers candidates, const RequestNeed& need, TimePoint now);
    void                SampleOptions(std::vector<Option>& options, const RequestNeed& need, TimePoint now);
    void                MoveSample(std::vector<Option>& from, size_t count, std::vector<Option>& out);
    const Option*       Cheapest(std::span<const Option> options, const RequestNeed& need, TimePoint now);
    double              CostOf(const Option& o, const RequestNeed& need, bool others_report, TimePoint now); // ms; lower is better
    double              RandomPart();                                                                        // 0 to 1
    bool                Excluded(const ServerEntry& entry, const Server& s, const RequestNeed& need, TimePoint now) const;
    bool                StartsAfterDeadline(const Option& o, const RequestNeed& need, TimePoint now) const;
    bool                NearWeightsDeadline(const Option& o, const RequestNeed& need, TimePoint now) const;

    Duration StrictestObjective(const RequestNeed& need) const
    {
        return need.m_StrictestObjective > Duration::zero() ? need.m_StrictestObjective : need.m_Objective;
    }
    AdmissionNeed AdmissionOf(const RequestNeed& need) const
    {
        return {StrictestObjective(need), need.m_TimeToDeadline, need.m_IsRetry, need.m_ToleratedWait};
    }
    Choice ChoiceOf(const Option& o, std::span<const Option> options, const RequestNeed& need, TimePoint now) const;

    // What is learned from requests
    double FailureShare(const Server& s, TimePoint now) const; // as faded since
    void   RecordFailure(Server& s, double failure, TimePoint now) const;
    void   Suspend(Server& s, TimePoint now) const; // leaves it out for a while
    void   RecordSent(TimePoint now);

    static void RecordAnswerTime(Server& s, Duration took);

    ServerChoiceConfig                      m_Config;  //
    Random                                  m_Random;  // breaks ties
    std::unordered_map<std::string, Server> m_Servers; // by id; of its latest lifetime
    uint32_t                                m_Routers = 0;
    Admission                               m_Admission;         // of model services
    double                                  m_SentPerSecond = 0; // requests that this router sends to model servers, a second; moving mean
    TimePoint                               m_LastSentAt{};      // of m_SentPerSecond
};

} // namespace aldervale
