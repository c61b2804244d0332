// Detection of retries. See return_guess.h.
#include "request/return_guess.h"

namespace aldervale
{

double RetryEstimate::WrongShare() const
{
    return m_CalmAttempts > 0 ? m_WrongAttempts / m_CalmAttempts : 0;
}

bool RetryEstimate::Trusted() const
{
    return m_CalmAttempts >= m_Config.m_CalmAttemptsMin && WrongShare() < m_Config.m_WrongShareMax;
}

void RetryEstimate::RecordCalmAttempt(bool shorter)
{
    const double keep = 1 - 1 / m_Config.m_CalmAttemptsMax;
    m_CalmAttempts    = m_CalmAttempts * keep + 1;
    m_WrongAttempts   = m_WrongAttempts * keep + (shorter ? 1 : 0);
}

bool RetryEstimate::OnAttempt(Duration limit, Duration left, TimePoint now)
{
    const bool shorter = left + m_Config.m_TransitAllowance < limit;
    const bool calm    = m_RefusedAt == TimePoint{} || now - m_RefusedAt >= m_Config.m_CalmAfterRefusal;
    if (calm)
        RecordCalmAttempt(shorter);
    return shorter && Trusted();
}

} // namespace aldervale
