// aldervale: answers routers that ask a box for a place at its model server, or claim one
//
// The shell around PlacePromises and PlaceLine: takes questions from the load channel, has the own server's report read again where the last one is
// older than kReportMaxAge, and answers. A question that waited for longer than kQuestionMaxAge is dropped: its router went by reports.
//
// Usage (src/version/weight_keeper.cpp):
//   PlaceAnswers answers(publisher, [this] { m_Wake.cancel(); });
//   answers.OnReport(load, asked_at);          // after each report

#pragma once
#include "connection/load_channel.h"
#include "request/place_line.h"
#include <unordered_map>

namespace aldervale
{

constexpr auto kReportMaxAge      = milliseconds(15); // a request comes to a server each 200 ms, one ends as often
constexpr auto kQuestionMaxAge    = milliseconds(50); // a router waits for less
constexpr auto kQueuePollInterval = milliseconds(10); // between reports while claims stand in line: a slot stays empty for half of it

class PlaceAnswers // touched on one thread
{
public:
    PlaceAnswers(LoadPublisher& publisher, std::function<void()> want_report);

    void OnReport(const LoadReport& load, TimePoint asked_at);
    void OnServerStarted() { m_Places.Clear(); }       // a new lifetime of it
    bool HasQueue() const { return !m_Queue.Empty(); } // reports are wanted each kQueuePollInterval

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
    void HandleClaim(const ReceivedClaim& claim, TimePoint now);
    void Settle(TimePoint now);
    bool Fresh(TimePoint now) const { return m_ReportAskedAt != TimePoint{} && now - m_ReportAskedAt <= kReportMaxAge; }
    bool RefusesRequests() const { return m_Load.m_Starting || m_Load.m_Weights == 0; }
    void Answer(const PlaceQuestion& question, TimePoint now);

    LoadPublisher&               m_Publisher;        //
    std::function<void()>        m_RequestReport;    // soon
    PlacePromises                m_Places;           //
    PlaceLine                    m_Queue;            //
    LoadReport                   m_Load;             // as last reported
    TimePoint                    m_ReportAskedAt{};  // when that report was asked for; default: there was none
    std::vector<PendingQuestion> m_PendingQuestions; // for a report; each less than kQuestionMaxAge
    std::vector<ReceivedClaim>   m_PendingClaims;    // the same

    std::unordered_map<std::string, PlaceQuestion> m_QueuedClaims; // whom to tell, by the claim's key; of m_Queue
};

} // namespace aldervale
