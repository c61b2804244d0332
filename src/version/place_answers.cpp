// Answers to routers that ask for a place or claim one. See place_answers.h.
#include "version/place_answers.h"
#include "common/hash.h"
#include "common/log.h"
#include "common/metrics.h"

namespace aldervale
{

static std::string KeyOf(const PlaceQuestion& q)
{
    return q.m_Router.ToString() + "#" + std::to_string(q.m_Number);
}

PlaceAnswers::PlaceAnswers(LoadPublisher& publisher, std::function<void()> want_report)
    : m_Publisher(publisher), m_RequestReport(std::move(want_report))
{
    m_Publisher.SetOnAsk([this](const PlaceQuestion& question) { OnAsk(question); });
    m_Publisher.SetOnTake([this](double reading_ms) { m_Places.Take(reading_ms, Now()); });
    m_Publisher.SetOnClaim([this](const ClaimMessage& claim) { OnClaim(claim); });
    m_Publisher.SetOnRelease([this](const PlaceQuestion& question) { OnRelease(question); });
    m_Publisher.SetOnOutcome([this](const ServedOutcome& outcome, const Endpoint& router) { OnOutcome(outcome, router); });
}

void PlaceAnswers::OnAsk(const PlaceQuestion& question)
{
    static Counter& asked = Metrics().GetCounter("aldervale_places_asked_total");
    asked.Add(1);
    const TimePoint now = Now();
    if (Fresh(now))
        return Answer(question, now);
    m_PendingQuestions.push_back({question, now});
    m_RequestReport();
}

void PlaceAnswers::OnClaim(const ClaimMessage& claim)
{
    const TimePoint now = Now();
    if (Fresh(now))
        return HandleClaim({claim, now}, now);
    m_PendingClaims.push_back({claim, now});
    m_RequestReport();
}

void PlaceAnswers::OnRelease(const PlaceQuestion& question)
{
    const std::string key = KeyOf(question);
    std::erase_if(m_PendingClaims, [&](const ReceivedClaim& c) { return KeyOf(c.m_Claim.m_Question) == key; });
    m_QueuedClaims.erase(key);
    m_Queue.Release(key, m_Places, Now());
}

void PlaceAnswers::OnServerStarted()
{
    m_Places.Clear();
    m_Capacity.Clear();
    UseCapacity(Now());
}

void PlaceAnswers::LearnCapacity(bool on)
{
    if (on == m_LearnCapacity)
        return;
    m_LearnCapacity = on;
    m_Capacity.Clear();
    UseCapacity(Now());
}

unsigned PlaceAnswers::Capacity() const
{
    return m_LearnCapacity ? m_Capacity.Capacity(Now()) : 0;
}

void PlaceAnswers::OnOutcome(const ServedOutcome& outcome, const Endpoint& router)
{
    static Counter& received = Metrics().GetCounter("aldervale_outcomes_received_total");
    if (!m_LearnCapacity)
        return;
    received.Add(1);
    m_Capacity.OnOutcome({Hash64(router.m_Address.to_string()), outcome.m_InFlight, outcome.m_TimeToFirst, outcome.m_PredictedFirst,
                          outcome.m_EventInterval, outcome.m_Late},
                         Now());
    UseCapacity(Now());
}

void PlaceAnswers::UseCapacity(TimePoint now)
{
    const unsigned capacity = Capacity();
    m_Queue.SetCapacity(capacity);
    if (!m_LearnCapacity)
        return;
    static Gauge& learned  = Metrics().GetGauge("aldervale_server_capacity");
    static Gauge& slowdown = Metrics().GetGauge("aldervale_server_slowdown");
    learned.Set(capacity);
    slowdown.Set(m_Capacity.Slowdown(now));
    const unsigned difference = std::max(capacity, m_LoggedCapacity) - std::min(capacity, m_LoggedCapacity);
    if (capacity == 0 || difference <= 1)
        return;
    if (m_LoggedCapacity > 0 || capacity < m_Capacity.Slots())
        LogEvent(Event_ServerCapacityChanged, {{"capacity", capacity}, {"before", m_LoggedCapacity}, {"slowdown", m_Capacity.Slowdown(now)}});
    m_LoggedCapacity = capacity;
}

void PlaceAnswers::HandleClaim(const ReceivedClaim& claim, TimePoint now)
{
    static Counter& granted = Metrics().GetCounter("aldervale_place_claims_total", "answer=\"granted\"");
    static Counter& denied  = Metrics().GetCounter("aldervale_place_claims_total", "answer=\"denied\"");
    static Counter& waits   = Metrics().GetCounter("aldervale_place_claims_total", "answer=\"waits\"");
    if (RefusesRequests())
    {
        denied.Add(1);
        return m_Publisher.Grant(claim.m_Claim.m_Question, false);
    }
    m_Capacity.OnSlots(claim.m_Claim.m_Most);
    UseCapacity(now);
    const std::string key    = KeyOf(claim.m_Claim.m_Question);
    const PlaceClaim  wanted = {key,
                                claim.m_Claim.m_Most,
                                claim.m_ReceivedAt + claim.m_Claim.m_Wait,
                                claim.m_Claim.m_ReadingMs,
                                claim.m_Claim.m_MaxPerSecond,
                                claim.m_Claim.m_Rank};
    const ClaimAnswer answer = m_Queue.Claim(wanted, m_Places, now);
    Tell(m_Queue.TakeDisplaced());
    (answer == ClaimAnswer_Granted ? granted : answer == ClaimAnswer_Denied ? denied : waits).Add(1);
    if (answer != ClaimAnswer_Queued)
        return m_Publisher.Grant(claim.m_Claim.m_Question, answer == ClaimAnswer_Granted);
    m_QueuedClaims[key] = claim.m_Claim.m_Question;
    m_RequestReport();
}

void PlaceAnswers::Settle(TimePoint now)
{
    Tell(RefusesRequests() ? m_Queue.DenyAll() : m_Queue.Settle(m_Places, now));
}

void PlaceAnswers::Tell(std::span<const SettledClaim> settled)
{
    for (const SettledClaim& s : settled)
    {
        m_Publisher.Grant(m_QueuedClaims.at(s.m_Claim.m_Key), s.m_Granted);
        m_QueuedClaims.erase(s.m_Claim.m_Key);
    }
}

void PlaceAnswers::OnReport(const LoadReport& load, TimePoint asked_at)
{
    const TimePoint now = Now();
    m_Load              = load;
    m_ReportAskedAt     = asked_at;
    m_Places.OnReport(load.m_Running, load.m_Waiting, asked_at, now);
    UseCapacity(now);
    Settle(now);
    const std::vector<ReceivedClaim> claims = std::move(m_PendingClaims);
    m_PendingClaims.clear();
    for (const ReceivedClaim& c : claims)
        if (now - c.m_ReceivedAt <= kQuestionMaxAge)
            HandleClaim(c, now);
    const std::vector<PendingQuestion> waiting = std::move(m_PendingQuestions);
    m_PendingQuestions.clear();
    for (const PendingQuestion& w : waiting)
        if (now - w.m_ReceivedAt <= kQuestionMaxAge)
            Answer(w.m_Question, now);
}

void PlaceAnswers::Answer(const PlaceQuestion& question, TimePoint now)
{
    const PlaceState s     = m_Places.State(now);
    LoadReport       state = m_Load;
    state.m_Promised       = s.m_Promised;
    state.m_UnreadMs       = static_cast<float>(s.m_UnreadMs);
    state.m_Capacity       = Capacity();
    m_Publisher.Answer(question, state);
}

} // namespace aldervale
