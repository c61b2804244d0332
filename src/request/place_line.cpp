// Claims of places at a box. See place_line.h.
#include "request/place_line.h"
#include <algorithm>

namespace aldervale
{

bool PlaceLine::Free(const PlaceClaim& claim, PlacePromises& places, TimePoint now) const
{
    const PlaceState s = places.State(now);
    return s.m_Running + s.m_Waiting + s.m_Promised < claim.m_Most;
}

void PlaceLine::Give(const PlaceClaim& claim, PlacePromises& places, TimePoint now)
{
    places.Take(claim.m_ReadingMs, now);
    if (m_Given.size() >= m_Config.m_GivenMost)
        m_Given.erase(m_Given.begin());
    m_Given.push_back({claim.m_Key, claim.m_ReadingMs, now});
}

ClaimAnswer PlaceLine::Claim(const PlaceClaim& claim, PlacePromises& places, TimePoint now)
{
    if (m_Line.empty() && Free(claim, places, now))
    {
        Give(claim, places, now);
        return ClaimAnswer_Granted;
    }
    if (claim.m_Until <= now || m_Line.size() >= m_Config.m_Most)
        return ClaimAnswer_Denied;
    const auto later = std::find_if(m_Line.begin(), m_Line.end(), [&](const PlaceClaim& c) { return c.m_Until > claim.m_Until; });
    m_Line.insert(later, claim);
    return ClaimAnswer_Waits;
}

std::vector<SettledClaim> PlaceLine::Settle(PlacePromises& places, TimePoint now)
{
    std::vector<SettledClaim> out;
    while (!m_Line.empty())
    {
        const PlaceClaim first = m_Line.front();
        const bool       over  = first.m_Until <= now;
        if (!over && !Free(first, places, now))
            break;
        if (!over)
            Give(first, places, now);
        out.push_back({first, !over});
        m_Line.erase(m_Line.begin());
    }
    return out;
}

std::vector<SettledClaim> PlaceLine::DenyAll()
{
    std::vector<SettledClaim> out;
    for (const PlaceClaim& c : m_Line)
        out.push_back({c, false});
    m_Line.clear();
    return out;
}

void PlaceLine::Release(const std::string& key, PlacePromises& places, TimePoint now)
{
    std::erase_if(m_Line, [&](const PlaceClaim& c) { return c.m_Key == key; });
    const auto given = std::find_if(m_Given.begin(), m_Given.end(), [&](const Given& g) { return g.m_Key == key; });
    if (given == m_Given.end())
        return;
    if (now - given->m_At <= m_Config.m_GivenFor)
        places.GiveBack(given->m_ReadingMs, given->m_At);
    m_Given.erase(given);
}

} // namespace aldervale
