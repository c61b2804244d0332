// aldervale: answers routers that ask a box for a place at its model server, or claim one
//
// A place is capacity for one more concurrent request at a model server. A claim is a request to reserve the next free place; it may wait in a queue.
// PlaceAnswers connects the logic in PlaceReservations (reserved places), PlaceQueue (queue of claims) and ServerCapacity (learned capacity) to the
// load channel: it receives questions, has the local server's report fetched again if the last one is older than kReportMaxAge, and answers. A
// question that has waited for longer than kQuestionMaxAge is dropped, because its router has decided by the last reports in the meantime.
//
// Usage (src/version/weight_keeper.cpp):
//   PlaceAnswers answers(publisher, [this] { m_ReportTimer.cancel(); });
//   answers.OnReport(load, asked_at);          // after each report

#pragma once
#include "connection/load_channel.h"
#include "request/place_line.h"
#include "request/server_capacity.h"
#include <unordered_map>

namespace aldervale
{

constexpr auto kReportMaxAge      = milliseconds(15); // a request arrives at a server about every 200 ms, and one ends as often
constexpr auto kQuestionMaxAge    = milliseconds(50); // a router waits for less than this
constexpr auto kQueuePollInterval = milliseconds(10); // between reports while claims are queued: a free slot stays empty for half of it on average

class PlaceAnswers // used on one thread only
{
public:
    PlaceAnswers(LoadPublisher& publisher, std::function<void()> want_report);

    void     OnReport(const LoadReport& load, TimePoint asked_at);
    void     OnServerStarted();                            // a new incarnation of the server
    void     LearnCapacity(bool on);                       // off at first: outcomes are ignored, and the capacity is unknown
    unsigned Capacity() const;                             // that the server was found to have; 0: not known
    bool     HasQueue() const { return !m_Queue.Empty(); } // true: reports are needed every kQueuePollInterval

private:
    struct PendingQuestion
    {
        PlaceQuestion m_Question;     //
        TimePoint     m_ReceivedAt{}; //
    };

    struct ReceivedClaim
    {
        ClaimMessage m_Claim;        //
        TimePoint    m_ReceivedAt{}; //
    };

    void OnAsk(const PlaceQuestion& question);
    void OnClaim(const ClaimMessage& claim);
    void OnRelease(const PlaceQuestion& question);
    void OnOutcome(const ServedOutcome& outcome, const Endpoint& router);
    void UseCapacity(TimePoint now); // for grants and in metrics
    void HandleClaim(const ReceivedClaim& claim, TimePoint now);
    void Settle(TimePoint now);
    void Tell(std::span<const SettledClaim> settled);
    bool Fresh(TimePoint now) const { return m_ReportAskedAt != TimePoint{} && now - m_ReportAskedAt <= kReportMaxAge; }
    bool RefusesRequests() const { return m_Load.m_Starting || m_Load.m_Weights == 0; }
    void Answer(const PlaceQuestion& question, TimePoint now);

    LoadPublisher&               m_Publisher;              //
    std::function<void()>        m_RequestReport;          // has the local server's report fetched without delay
    PlaceReservations            m_Places;                 // reserved places
    PlaceQueue                   m_Queue;                  // claims that wait for a place
    ServerCapacity               m_Capacity;               // learned from outcomes
    bool                         m_LearnCapacity  = false; //
    unsigned                     m_LoggedCapacity = 0;     // as of the last Event_ServerCapacityChanged; 0: none yet
    LoadReport                   m_Load;                   // last report
    TimePoint                    m_ReportAskedAt{};        // when m_Load was requested from the server; default: no report yet
    std::vector<PendingQuestion> m_PendingQuestions;       // wait for a report, each for at most kQuestionMaxAge
    std::vector<ReceivedClaim>   m_PendingClaims;          // likewise

    std::unordered_map<std::string, PlaceQuestion> m_QueuedClaims; // where the answers to the claims in m_Queue go, by the claim's key
};

} // namespace aldervale
