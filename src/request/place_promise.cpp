// Requests on their way to a box's server. See place_promise.h.
#include "request/place_promise.h"
#include <algorithm>

namespace aldervale
{

void PlacePromises::Lapse(TimePoint now)
{
    std::erase_if(m_Taken, [&](TimePoint at) { return now - at > m_Config.m_LapseAfter; });
}

void PlacePromises::OnReport(uint32_t running, uint32_t waiting, TimePoint asked_at, TimePoint now)
{
    m_Running = running;
    m_Waiting = waiting;
    std::erase_if(m_Taken, [&](TimePoint at) { return asked_at - at >= m_Config.m_ArriveMax; });
    Lapse(now);
    if (m_Running + m_Waiting == 0 && m_Taken.empty())
        m_ReadAt = now; // nothing is there, whatever was counted of requests that never came
}

PlaceState PlacePromises::State(TimePoint now)
{
    Lapse(now);
    PlaceState s;
    s.m_Running  = m_Running;
    s.m_Waiting  = m_Waiting;
    s.m_Promised = static_cast<uint32_t>(m_Taken.size());
    s.m_UnreadMs = ToMsReal(std::max(Duration::zero(), m_ReadAt - now));
    return s;
}

void PlacePromises::Take(double reading_ms, TimePoint now)
{
    if (m_Taken.size() >= m_Config.m_Most)
        m_Taken.erase(m_Taken.begin());
    m_Taken.push_back(now);
    m_ReadAt = std::max(m_ReadAt, now) + FromMs(reading_ms);
}

void PlacePromises::GiveBack(double reading_ms, TimePoint taken_at)
{
    const auto taken = std::find(m_Taken.begin(), m_Taken.end(), taken_at);
    if (taken != m_Taken.end()) // else a report took its place: that counts only what is there
        m_Taken.erase(taken);
    m_ReadAt -= FromMs(reading_ms);
}

void PlacePromises::Clear()
{
    m_Taken.clear();
    m_Running = 0;
    m_Waiting = 0;
    m_ReadAt  = {};
}

} // namespace aldervale
