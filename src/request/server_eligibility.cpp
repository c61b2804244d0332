// Servers that a request may be sent to. See server_eligibility.h.
#include "request/server_eligibility.h"
#include <algorithm>

namespace aldervale
{

RegionsOfDataCentres ParseRegions(std::string_view text)
{
    RegionsOfDataCentres out;
    while (!text.empty())
    {
        const size_t           comma = std::min(text.find(','), text.size());
        const std::string_view pair  = text.substr(0, comma);
        const size_t           equal = pair.find('=');
        if (equal != std::string_view::npos)
            out[std::string(pair.substr(0, equal))] = pair.substr(equal + 1);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return out;
}

void ServerEligibility::LimitRegions(std::span<const std::string> allowed)
{
    if (!allowed.empty())
        m_Limits.push_back(allowed);
}

bool ServerEligibility::IsEligible(std::string_view data_centre) const
{
    if (m_Evacuated.contains(data_centre))
        return false;
    if (m_Limits.empty())
        return true;
    const auto region = m_Regions.find(data_centre);
    if (region == m_Regions.end())
        return false;
    const auto allows = [&](std::span<const std::string> allowed)
    { return std::find(allowed.begin(), allowed.end(), region->second) != allowed.end(); };
    return std::all_of(m_Limits.begin(), m_Limits.end(), allows);
}

} // namespace aldervale
