// Answers to routers that ask for a place. See place_answers.h.
#include "version/place_answers.h"
#include "common/metrics.h"

namespace aldervale
{

PlaceAnswers::PlaceAnswers(LoadPublisher& publisher, std::function<void()> want_report) : m_Publisher(publisher), m_WantReport(std::move(want_report))
{
    m_Publisher.SetOnAsk([this](const PlaceQuestion& question) { OnAsk(question); });
    m_Publisher.SetOnTake([this](double reading_ms) { m_Places.Take(reading_ms, Now()); });
}

void PlaceAnswers::OnAsk(const PlaceQuestion& question)
{
    static Counter& asked = Metrics().GetCounter("aldervale_places_asked_total");
    asked.Add(1);
    const TimePoint now = Now();
    if (m_AskedAt != TimePoint{} && now - m_AskedAt <= kFreshReport)
        return Answer(question, now);
    m_Waiting.push_back({question, now});
    m_WantReport();
}

void PlaceAnswers::OnReport(const LoadReport& load, TimePoint asked_at)
{
    const TimePoint now = Now();
    m_Load              = load;
    m_AskedAt           = asked_at;
    m_Places.OnReport(load.m_Running, load.m_Waiting, asked_at, now);
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
