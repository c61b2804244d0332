// aldervale: which backend server answers a request, or that none can in time
//
// Pure: what this router sent and got back, reports of the servers' boxes, and times go in; a server or a refusal comes out.
//
// How it decides:
//   - For model services the time to the first event is predicted from the declared costs (engine_prediction.h). Requests in flight are the
//     last report's, plus what this router sent since, less what ended since, plus what the other routers are believed to have sent since;
//     without a fresh report, the router's own times m_BlindFactor.
//   - What others sent since a report isn't known, but they choose as this router does: the better a server looks, the more of them chose it.
//     Their requests are handed out over the servers of each data centre, each to the one that looks best then, prompts unread.
//     Else all routers would send to a server that has just been started until its next report, and it would be late for a second.
//   - A server that doesn't report while others do costs m_BlindPenalty more: its box may be frozen, cut off or overloaded.
//   - For plain services the mean time of recent answers is used, times the requests ahead over the slots.
//   - Failures raise a server's cost by the share of them among recent outcomes, and answers that came much later than predicted, or with too
//     long a pause, by half as much: its box's link may be narrow. Both fade with time, or a server that is well again would not be asked.
//     A server that can't be connected to is left out for a time that doubles. When all are left out, all are candidates again: no view of
//     ours may empty a service.
//   - A server whose weights are older than a named version is left out when the request would begin after that version's deadline. Servers
//     that aren't slow drop out at the same time: dropping out one by one, the last ones would get what all routers send.
//   - In the last m_OldFrom before a deadline of weights a server with older ones costs m_OldPenalty more: what waits there may begin too late.
//   - A server in another data centre costs m_FarPenalty more.
//   - Whether a request is taken at all, and when a refused caller may return, is admission.h's part. For it a request counts with the usual
//     prompt, not its own, so that long ones aren't refused before short ones. The server that looks best of many is believed to be m_ToMean
//     of the way to their mean: under overload 14.7 requests were believed there and 17 were, which is the mean of all.
//
// Usage:
//   ServerChoice c(config, seed);
//   Choice x = c.Choose(candidates, need, now);
//   if (x.m_Server) { c.OnSent(id, prompt, now); ... c.OnFirstEvent(id, prompt); ... c.OnEnd(id, ServerOutcome_Good, 0, took, now); }

#pragma once
#include "common/hash.h"
#include "common/load_report.h"
#include "process/server_directory.h"
#include "request/admission.h"
#include "version/route_table.h"
#include <optional>
#include <span>
#include <unordered_map>

namespace aldervale
{

struct ServerChoiceConfig
{
    AdmissionConfig m_Admission;                         //
    Duration        m_ReportMax    = milliseconds(1200); // older reports say nothing
    Duration        m_FarPenalty   = milliseconds(20);   // priced bytes between data centres against waiting
    Duration        m_SuspendMin   = milliseconds(300);  // first time that an unreachable server is left out; doubles
    Duration        m_SuspendMax   = milliseconds(2400); //
    double          m_TieMs        = 25;                 // random part of a cost: routers with the same view don't all choose alike
    double          m_OthersShare  = 0.5; // of what other routers send: believed to go to the server that looks best; the rest by chance
    double          m_BlindFactor  = 3.0; // own requests in flight stand for this many when no report is fresh
    Duration        m_BlindPenalty = milliseconds(200); // of a server without a fresh report beside others with one: half a usual objective
    Duration        m_OldPenalty   = milliseconds(100); // of a server with weights that may be used for no longer than m_OldFrom: some two requests
    Duration        m_OldFrom      = seconds(3);        // a longer one lets the first servers with newer weights get what all routers send
    Duration m_BeginMargin = milliseconds(1100); // kept before a deadline of weights: naming is learned late, and waits are longer than predicted
    Duration m_BeginLeast  = milliseconds(400);  // predicted waits count as this at least: servers then drop out together, or the last would get all
    Duration m_BeginBlind  = milliseconds(2000); // and as this without a fresh report: the way to such a box was seen to take 1.8 s
    double   m_BeginFactor = 1.5;                // predicted waits are taken this much longer for it
    double   m_ToMean      = 0.5;                // see above; lasting overload: mean worth 0.54 to 0.56
    double   m_FailWeight  = 3.0;                // objectives that a server's cost rises by when all its recent outcomes failed
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
    const Service*                   m_Service = nullptr;     //
    Duration                         m_Goal    = seconds(1);  // latency objective
    double                           m_Prompt  = 0;           // tokens in
    double                           m_Answer  = 0;           // tokens out
    Duration                         m_StrictestGoal{};       // of the service's routes; zero: as m_Goal
    Duration                         m_Left     = seconds(6); // until the caller's deadline
    bool                             m_CameBack = false;      // the caller was refused before
    std::span<const WeightsDeadline> m_WeightsDeadlines;      // of versions named for this model, oldest first
    std::string_view                 m_DataCentre;            // of this router
    std::span<const std::string>     m_Tried;                 // ids that this request reached already
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

    Choice Choose(std::span<const ServerEntry* const> candidates, const RequestNeed& need, TimePoint now);

    void OnSent(const std::string& id, double prompt, TimePoint now); // prompt: tokens, 0 at plain services
    void OnFirstEvent(const std::string& id, double prompt);          // its prompt is read
    void OnEnd(const std::string& id, ServerOutcome outcome, double unread_prompt, Duration took, TimePoint now); // every OnSent() once
    void OnReport(const std::string& id, const LoadReport& r, TimePoint now);
    void Forget(std::span<const ServerEntry* const> keep); // drops what is known of servers not in `keep`

    uint32_t RoutersHint() const { return m_Routers; } // routers that share the servers, as last reported; 0: unknown

private:
    struct Server
    {
        uint32_t   m_InFlight = 0;     // of this router
        double     m_Unread   = 0;     // prompt tokens of this router that no event has answered yet
        LoadReport m_Report;           //
        TimePoint  m_ReportAt{};       // default: never
        uint32_t   m_SentSince  = 0;   // by this router since the report
        uint32_t   m_EndedSince = 0;   //
        double     m_FailShare  = 0;   // moving mean of outcomes, 0 to 1, as of m_FailAt
        TimePoint  m_FailAt{};         // of the last outcome
        double     m_MeanMs      = 0;  // moving mean of whole answers' times; plain services
        unsigned   m_Unreachable = 0;  // in a row
        TimePoint  m_SuspendedUntil{}; //
    };

    struct Option // a server that may be chosen
    {
        const ServerEntry* m_Entry   = nullptr; //
        const Server*      m_Server  = nullptr; //
        uint64_t           m_Weights = 0;       // that it is believed to hold
        double             m_Others  = 0;       // requests that other routers are believed to have sent it since its report
        double             m_Unread  = 0;       // of these: requests whose prompts count as not read yet
        double             m_Ms      = 0;       // predicted
    };

    bool Fresh(const Server& s, TimePoint now) const { return s.m_ReportAt != TimePoint{} && now - s.m_ReportAt < m_Config.m_ReportMax; }

    // Prediction (server_prediction.cpp)
    double InFlight(const Option& o, TimePoint now) const;
    void   SpreadOthers(std::vector<Option>& options, const RequestNeed& need, TimePoint now) const;             // sets m_Others, sorts
    void   FillWithOthers(std::span<Option> options, double rate, const RequestNeed& need, TimePoint now) const; // of one data centre
    void   HandOut(std::span<Option* const> fresh, double requests, TimePoint sent_at, const RequestNeed& need, TimePoint now) const; // to one
    double PredictModel(const Option& o, const RequestNeed& need, TimePoint now) const; // ms to the first event
    double PredictPlain(const Option& o) const;                                         // ms to the answer
    double Predict(const Option& o, const RequestNeed& need, TimePoint now) const;
    double BelowMean(const Option& chosen, std::span<const Option> options, TimePoint now) const;
    double PredictAdmitted(const Option& chosen, std::span<const Option> options, const RequestNeed& need, TimePoint now) const;

    static std::vector<std::span<Option>> ByDataCentre(std::vector<Option>& options); // sorts

    // Choice
    std::vector<Option> Options(std::span<const ServerEntry* const> candidates, const RequestNeed& need, TimePoint now);
    const Option*       Cheapest(std::span<const Option> options, const RequestNeed& need, TimePoint now);
    double              CostOf(const Option& o, const RequestNeed& need, bool others_report, TimePoint now); // ms; lower is better
    double              RandomPart();                                                                        // 0 to 1
    bool                Excluded(const ServerEntry& entry, const Server& s, const RequestNeed& need, TimePoint now) const;
    bool                BeginsTooLate(const Option& o, const RequestNeed& need, TimePoint now) const;
    bool                SoonTooOld(const Option& o, const RequestNeed& need, TimePoint now) const;
    Choice              Admit(Choice best, const RequestNeed& need, TimePoint now);

    // What is learned from requests
    double FailShare(const Server& s, TimePoint now) const; // as faded since
    void   CountFailure(Server& s, double failure, TimePoint now) const;
    void   Suspend(Server& s, TimePoint now) const; // leaves it out for a while
    void   CountSent(TimePoint now);

    static void CountTook(Server& s, Duration took);

    ServerChoiceConfig                      m_Config;  //
    Random                                  m_Random;  // breaks ties
    std::unordered_map<std::string, Server> m_Servers; // by id
    uint32_t                                m_Routers = 0;
    Admission                               m_Admission;    // of model services
    double                                  m_SentRate = 0; // requests that this router sends to model servers, a second; moving mean
    TimePoint                               m_SentAt{};     // of m_SentRate
};

} // namespace aldervale
