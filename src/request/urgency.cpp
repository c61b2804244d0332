// Ranks of requests by their priority. See urgency.h.
#include "request/urgency.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

double Urgency::Keep(const Counts& counts, TimePoint now) const
{
    if (now - counts.m_At >= m_Config.m_JudgedFor)
        return 0;
    if (counts.m_Decided <= m_Config.m_DecisionsMin)
        return 1;
    return std::max(std::exp(-ToSeconds(now - counts.m_At) / ToSeconds(m_Config.m_Window)), m_Config.m_DecisionsMin / counts.m_Decided);
}

void Urgency::Count(Counts& counts, bool admitted, TimePoint now) const
{
    const double keep = Keep(counts, now);
    counts.m_Decided  = counts.m_Decided * keep + 1;
    counts.m_Admitted = counts.m_Admitted * keep + (admitted ? 1 : 0);
    counts.m_At       = now;
}

bool Urgency::IsStarved(const Counts& counts, TimePoint now) const
{
    const bool judged = counts.m_Decided >= m_Config.m_DecisionsMin && now - counts.m_At < m_Config.m_JudgedFor;
    return judged && counts.Share() < m_Config.m_RaisedBelowShare * m_All.Share();
}

bool Urgency::IsStarved(unsigned level, std::string_view account, TimePoint now) const
{
    const auto kind  = m_ByLevel.find(level);
    const auto owner = m_ByAccount.find(account);
    return (kind != m_ByLevel.end() && IsStarved(kind->second, now)) || (owner != m_ByAccount.end() && IsStarved(owner->second, now));
}

unsigned Urgency::RankOf(unsigned level, std::string_view account, TimePoint now) const
{
    const auto more_urgent = [&](const auto& item) { return item.first < level && now - item.second.m_At < m_Config.m_LevelMaxAge; };
    const auto rank        = std::count_if(m_ByLevel.begin(), m_ByLevel.end(), more_urgent);
    return rank == 0 || IsStarved(level, account, now) ? 0 : static_cast<unsigned>(rank);
}

void Urgency::OnDecided(unsigned level, std::string_view account, bool admitted, TimePoint now)
{
    Count(m_All, admitted, now);
    Count(m_ByLevel[level], admitted, now);
    if (m_ByAccount.size() >= m_Config.m_AccountsMax && m_ByAccount.find(account) == m_ByAccount.end())
        m_ByAccount.erase(
            std::min_element(m_ByAccount.begin(), m_ByAccount.end(), [](const auto& a, const auto& b) { return a.second.m_At < b.second.m_At; }));
    Count(m_ByAccount[std::string(account)], admitted, now);
}

} // namespace aldervale
