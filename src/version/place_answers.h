// aldervale: answers routers that ask a box for a place at its model server, or claim one
//
// The shell around PlaceReservations and PlaceQueue: takes questions from the load channel, has the own server's report read again where the last one
// is older than kFreshReport, and answers. A question that waited for longer than kAskKept is dropped: its router went by reports.
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

constexpr auto kFreshReport = milliseconds(15); // a request comes to a server each 200 ms, one ends as often
constexpr auto kAskKept     = milliseconds(50); // a router waits for less
constexpr auto kLinePoll    = milliseconds(10); // between reports while claims stand in line: a slot stays empty for half of it

class PlaceAnswers // touched on one thread
{
public:
    PlaceAnswers(LoadPublisher& publisher, std::function<void()> want_report);

    void OnReport(const LoadReport& load, TimePoint asked_at);
    void OnServerStarted() { m_Places.Clear(); }     // a new lifetime of it
    bool HasLine() const { return !m_Line.Empty(); } // reports are wanted each kLinePoll

private:
    struct Waiting
    {
        PlaceQuestion m_Question;  //
        TimePoint     m_HeardAt{}; //
    };

    struct HeardClaim
    {
        ClaimMessage m_Claim;     //
        TimePoint    m_HeardAt{}; //
    };

    void OnAsk(const PlaceQuestion& question);
    void OnClaim(const ClaimMessage& claim);
    void OnRelease(const PlaceQuestion& question);
    void TakeClaim(const HeardClaim& claim, TimePoint now);
    void Settle(TimePoint now);
    bool Fresh(TimePoint now) const { return m_AskedAt != TimePoint{} && now - m_AskedAt <= kFreshReport; }
    bool TakesNothing() const { return m_Load.m_Starting || m_Load.m_Weights == 0; }
    void Answer(const PlaceQuestion& question, TimePoint now);

    LoadPublisher&          m_Publisher;  //
    std::function<void()>   m_WantReport; // soon
    PlaceReservations       m_Places;     //
    PlaceQueue              m_Line;       //
    LoadReport              m_Load;       // as last reported
    TimePoint               m_AskedAt{};  // when that report was asked for; default: there was none
    std::vector<Waiting>    m_Waiting;    // for a report; each less than kAskKept
    std::vector<HeardClaim> m_Claims;     // the same

    std::unordered_map<std::string, PlaceQuestion> m_InLine; // whom to tell, by the claim's key; of m_Line
};

} // namespace aldervale
