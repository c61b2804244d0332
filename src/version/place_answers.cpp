// Answers to routers that ask for a place. See place_answers.h.
#include "version/place_answers.h"
#include "common/metrics.h"

namespace aldervale
{

static std::string KeyOf(const PlaceQuestion& q)
{
    return q.m_Router.ToString() + "#" + std::to_string(q.m_Number);
}

PlaceAnswers::PlaceAnswers(LoadPublisher& publisher, std::function<void()> want_report) : m_Publisher(publisher), m_WantReport(std::move(want_report))
{
    m_Publisher.SetOnAsk([this](const PlaceQuestion& question) { OnAsk(question); });
    m_Publisher.SetOnTake([this](double reading_ms) { m_Places.Take(reading_ms, Now()); });
    m_Publisher.SetOnClaim([this](const ClaimMessage& claim) { OnClaim(claim); });
    m_Publisher.SetOnRelease([this](const PlaceQuestion& question) { OnRelease(question); });
}

void PlaceAnswers::OnAsk(const PlaceQuestion& question)
{
    static Counter& asked = Metrics().GetCounter("aldervale_places_asked_total");
    asked.Add(1);
    const TimePoint now = Now();
    if (Fresh(now))
        return Answer(question, now);
    m_Waiting.push_back({question, now});
    m_WantReport();
}

void PlaceAnswers::OnClaim(const ClaimMessage& claim)
{
    const TimePoint now = Now();
    if (Fresh(now))
        return TakeClaim({claim, now}, now);
    m_Claims.push_back({claim, now});
    m_WantReport();
}

void PlaceAnswers::OnRelease(const PlaceQuestion& question)
{
    const std::string key = KeyOf(question);
    std::erase_if(m_Claims, [&](const HeardClaim& c) { return KeyOf(c.m_Claim.m_Question) == key; });
    m_InLine.erase(key);
    m_Line.Release(key, m_Places, Now());
}

void PlaceAnswers::TakeClaim(const HeardClaim& claim, TimePoint now)
{
    static Counter& granted = Metrics().GetCounter("aldervale_place_claims_total", "answer=\"granted\"");
    static Counter& denied  = Metrics().GetCounter("aldervale_place_claims_total", "answer=\"denied\"");
    static Counter& waits   = Metrics().GetCounter("aldervale_place_claims_total", "answer=\"waits\"");
    if (TakesNothing())
    {
        denied.Add(1);
        return m_Publisher.Grant(claim.m_Claim.m_Question, false);
    }
    const std::string key    = KeyOf(claim.m_Claim.m_Question);
    const PlaceClaim  wanted = {key, claim.m_Claim.m_Most, claim.m_HeardAt + claim.m_Claim.m_Wait, claim.m_Claim.m_ReadingMs};
    const ClaimAnswer answer = m_Line.Claim(wanted, m_Places, now);
    (answer == ClaimAnswer_Granted ? granted : answer == ClaimAnswer_Denied ? denied : waits).Add(1);
    if (answer != ClaimAnswer_Queued)
        return m_Publisher.Grant(claim.m_Claim.m_Question, answer == ClaimAnswer_Granted);
    m_InLine[key] = claim.m_Claim.m_Question;
    m_WantReport();
}

void PlaceAnswers::Settle(TimePoint now)
{
    const std::vector<SettledClaim> settled = TakesNothing() ? m_Line.DenyAll() : m_Line.Settle(m_Places, now);
    for (const SettledClaim& s : settled)
    {
        m_Publisher.Grant(m_InLine.at(s.m_Claim.m_Key), s.m_Granted);
        m_InLine.erase(s.m_Claim.m_Key);
    }
}

void PlaceAnswers::OnReport(const LoadReport& load, TimePoint asked_at)
{
    const TimePoint now = Now();
    m_Load              = load;
    m_AskedAt           = asked_at;
    m_Places.OnReport(load.m_Running, load.m_Waiting, asked_at, now);
    Settle(now);
    const std::vector<HeardClaim> claims = std::move(m_Claims);
    m_Claims.clear();
    for (const HeardClaim& c : claims)
        if (now - c.m_HeardAt <= kAskKept)
            TakeClaim(c, now);
    const std::vector<Waiting> waiting = std::move(m_Waiting);
    m_Waiting.clear();
    for (const Waiting& w : waiting)
        if (now - w.m_HeardAt <= kAskKept)
            Answer(w.m_Question, now);
}

void PlaceAnswers::Answer(const PlaceQuestion& question, TimePoint now)
{
    const PlaceState s     = m_Places.State(now);
    LoadReport       state = m_Load;
    state.m_Promised       = s.m_Promised;
    state.m_UnreadMs       = static_cast<float>(s.m_UnreadMs);
    m_Publisher.Answer(question, state);
}

} // namespace aldervale
