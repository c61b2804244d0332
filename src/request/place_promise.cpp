// Reserved places at a box's server. See place_promise.h.
#include "request/place_promise.h"
#include <algorithm>

namespace aldervale
{

void PlaceReservations::RemoveExpired(TimePoint now)
{
    std::erase_if(m_ReservedAt, [&](TimePoint at) { return now - at > m_Config.m_ExpireAfter; });
}

void PlaceReservations::OnReport(uint32_t running, uint32_t waiting, TimePoint asked_at, TimePoint now)
{
    m_Running = running;
    m_Waiting = waiting;
    std::erase_if(m_ReservedAt, [&](TimePoint at) { return asked_at - at >= m_Config.m_ArrivalMax; });
    RemoveExpired(now);
    if (m_Running + m_Waiting == 0 && m_ReservedAt.empty())
        m_PromptsReadAt = now; // the server is empty: drops the reading time of requests that never arrived
}

PlaceState PlaceReservations::State(TimePoint now)
{
    RemoveExpired(now);
    PlaceState s;
    s.m_Running  = m_Running;
    s.m_Waiting  = m_Waiting;
    s.m_Promised = static_cast<uint32_t>(m_ReservedAt.size());
    s.m_UnreadMs = ToMsReal(std::max(Duration::zero(), m_PromptsReadAt - now));
    return s;
}

void PlaceReservations::Take(double reading_ms, TimePoint now)
{
    if (m_ReservedAt.size() >= m_Config.m_ReservationsMax)
        m_ReservedAt.erase(m_ReservedAt.begin());
    m_ReservedAt.push_back(now);
    m_PromptsReadAt = std::max(m_PromptsReadAt, now) + FromMs(reading_ms);
}

void PlaceReservations::GiveBack(double reading_ms, TimePoint taken_at)
{
    const auto taken = std::find(m_ReservedAt.begin(), m_ReservedAt.end(), taken_at);
    if (taken != m_ReservedAt.end()) // otherwise a report has replaced the reservation already
        m_ReservedAt.erase(taken);
    m_PromptsReadAt -= FromMs(reading_ms);
}

void PlaceReservations::Clear()
{
    m_ReservedAt.clear();
    m_Running       = 0;
    m_Waiting       = 0;
    m_PromptsReadAt = {};
}

} // namespace aldervale
