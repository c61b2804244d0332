// Who is here for the first time. See return_guess.h.
#include "request/return_guess.h"

namespace aldervale
{

double ReturnGuess::WrongShare() const
{
    return m_Calm > 0 ? m_Wrong / m_Calm : 0;
}

bool ReturnGuess::Trusted() const
{
    return m_Calm >= m_Config.m_Least && WrongShare() < m_Config.m_WrongMost;
}

void ReturnGuess::CountCalm(bool shorter)
{
    const double keep = 1 - 1 / m_Config.m_Most;
    m_Calm            = m_Calm * keep + 1;
    m_Wrong           = m_Wrong * keep + (shorter ? 1 : 0);
}

bool ReturnGuess::OnAttempt(Duration limit, Duration left, TimePoint now)
{
    const bool shorter = left + m_Config.m_Slack < limit;
    const bool calm    = m_RefusedAt == TimePoint{} || now - m_RefusedAt >= m_Config.m_CalmFor;
    if (calm)
        CountCalm(shorter);
    return shorter && Trusted();
}

} // namespace aldervale
