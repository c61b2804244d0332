// How far a process is behind. See declarations_lag.h.
#include "process/declarations_lag.h"

namespace aldervale
{

void DeclarationsLag::Note(uint64_t held, uint64_t heard, TimePoint now)
{
    while (!m_Missing.empty() && m_Missing.front().m_Version <= held)
        m_Missing.pop_front();
    if (heard <= held || (!m_Missing.empty() && m_Missing.back().m_Version >= heard))
        return;
    if (m_Missing.size() < kMissingMax)
        m_Missing.push_back({heard, now});
    else
        m_Missing.back().m_Version = heard;
}

LagTurn DeclarationsLag::Look(TimePoint now)
{
    const Duration behind = Behind(now);
    const bool     before = m_Long;
    m_Long                = behind > kLagLong;
    if (m_Long)
        m_Worst = before ? std::max(m_Worst, behind) : behind;
    if (m_Long == before)
        return LagTurn_None;
    return m_Long ? LagTurn_Behind : LagTurn_CaughtUp;
}

Duration DeclarationsLag::Behind(TimePoint now) const
{
    return m_Missing.empty() ? Duration::zero() : now - m_Missing.front().m_At;
}

int64_t AgeOrNever(TimePoint at, TimePoint now)
{
    return at == TimePoint{} ? -1 : ToMs(now - at);
}

} // namespace aldervale
