// Asking boxes for a place. See place_channel.h.
#include "connection/place_channel.h"
#include "common/metrics.h"

namespace aldervale
{

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

PlaceChannel::PlaceChannel(asio::io_context& ioc, LoadListener& datagrams) : m_Ioc(ioc), m_Datagrams(datagrams)
{
    m_Datagrams.SetOnPlace([this](uint64_t number, const Endpoint& box, const LoadReport& state) { OnAnswer(number, box, state); });
}

awaitable<std::vector<PlaceAnswer>> PlaceChannel::Ask(std::vector<Endpoint> boxes)
{
    static HistogramMetric& took     = Metrics().GetHistogram("aldervale_place_answer_seconds");
    static Counter&         asked    = Metrics().GetCounter("aldervale_place_questions_total");
    static Counter&         answered = Metrics().GetCounter("aldervale_place_answers_total");
    const TimePoint         began    = Now();
    const uint64_t          number   = ++m_Number;
    Asked                   a(m_Ioc, boxes.size());
    m_Asked[number] = &a;
    for (const Endpoint& box : boxes)
        m_Datagrams.AskPlace(box, number);
    a.m_Timer.expires_after(kPlaceAnswerMax);
    while (a.m_Answers.size() < a.m_Boxes)
    {
        const auto [ec] = co_await a.m_Timer.async_wait(kNoThrow);
        if (!ec)
            break; // time is up; else an answer came, and the time may be another one
    }
    m_Asked.erase(number);
    asked.Add(boxes.size());
    answered.Add(a.m_Answers.size());
    took.Record(ToSeconds(Now() - began));
    co_return std::move(a.m_Answers);
}

void PlaceChannel::OnAnswer(uint64_t number, const Endpoint& box, const LoadReport& state)
{
    const auto it = m_Asked.find(number);
    if (it == m_Asked.end())
        return; // it came too late
    Asked& a = *it->second;
    a.m_Answers.push_back({box.m_Address, state});
    if (a.m_Answers.size() >= a.m_Boxes)
        a.m_Timer.cancel();
    else if (a.m_Answers.size() == 1)
        a.m_Timer.expires_after(kPlaceFurtherMax);
}

void PlaceChannel::Take(const Endpoint& box, double reading_ms)
{
    m_Datagrams.TakePlace(box, reading_ms);
}

} // namespace aldervale
