// Asking boxes for a place. See place_channel.h.
#include "connection/place_channel.h"
#include "common/metrics.h"

namespace aldervale
{

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

PlaceChannel::PlaceChannel(asio::io_context& ioc, LoadListener& datagrams) : m_Ioc(ioc), m_Datagrams(datagrams)
{
    m_Datagrams.SetOnPlace([this](uint64_t number, const Endpoint& box, const LoadReport& state) { OnAnswer(number, box, state); });
    m_Datagrams.SetOnGrant([this](uint64_t number, const Endpoint& box, bool granted) { OnGrant(number, box, granted); });
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

void PlaceChannel::Tell(const Endpoint& box, const ServedOutcome& outcome)
{
    m_Datagrams.TellOutcome(box, outcome);
}

awaitable<ClaimOutcome> PlaceChannel::Claim(std::vector<Endpoint> boxes, PlaceWanted wanted, CallAbort& abort)
{
    static HistogramMetric& took   = Metrics().GetHistogram("aldervale_place_claim_seconds");
    const TimePoint         began  = Now();
    const uint64_t          number = ++m_Number;
    Claiming                c(m_Ioc, boxes.size());
    m_Claiming[number] = &c;
    for (const Endpoint& box : boxes)
    {
        const auto   limit      = wanted.m_MaxPerSecond.find(box);
        const double per_second = limit == wanted.m_MaxPerSecond.end() ? 0 : limit->second;
        m_Datagrams.ClaimPlace(box, {{{}, number}, wanted.m_Most, wanted.m_Wait, wanted.m_ReadingMs, per_second, wanted.m_Rank});
    }
    c.m_Timer.expires_after(wanted.m_Wait + kPlaceAnswerMax);
    abort.Arm(&c, [&c] { c.m_Timer.cancel(); });
    if (c.m_Open > 0 && !abort.Aborted())
        co_await c.m_Timer.async_wait(kNoThrow);
    abort.Disarm(&c);
    if (abort.Aborted()) // nobody will use the place
        c.m_Outcome.m_Granted.reset();
    m_Claiming.erase(number);
    for (const Endpoint& box : boxes)
        if (c.m_Outcome.m_Granted != box.m_Address)
            m_Datagrams.ReleasePlace(box, number);
    took.Record(ToSeconds(Now() - began));
    co_return c.m_Outcome;
}

void PlaceChannel::OnGrant(uint64_t number, const Endpoint& box, bool granted)
{
    const auto it = m_Claiming.find(number);
    if (it == m_Claiming.end())
    {
        if (granted) // another box was first, or its request is gone
            m_Datagrams.ReleasePlace(box, number);
        return;
    }
    Claiming& c         = *it->second;
    c.m_Outcome.m_Heard = true;
    if (granted && !c.m_Outcome.m_Granted)
        c.m_Outcome.m_Granted = box.m_Address;
    if (!granted && c.m_Open > 0)
        c.m_Open--;
    if (c.m_Outcome.m_Granted || c.m_Open == 0)
        c.m_Timer.cancel();
}

} // namespace aldervale
