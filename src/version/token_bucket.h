// aldervale: a token bucket for bytes or requests; pure, the caller passes the time
//
// Usage:
//   TokenBucket b(8 * 1024 * 1024, 256 * 1024, now);    // bytes a second, burst
//   TimePoint go = b.Reserve(262144, now);              // always granted; wait until `go`, in the order of the calls

#pragma once
#include "common/clock.h"
#include <algorithm>

namespace aldervale
{

class TokenBucket
{
public:
    TokenBucket(double rate, double burst, TimePoint now) : m_Rate(rate), m_Burst(burst), m_Tokens(burst), m_RefilledAt(now) {}

    // Takes n tokens, below zero if need be; returns the time when the bucket is back at zero. A rate of 0 means no limit.
    TimePoint Reserve(double n, TimePoint now)
    {
        if (m_Rate <= 0)
            return now;
        Refill(now);
        m_Tokens -= n;
        return m_Tokens >= 0 ? now : now + FromSeconds(-m_Tokens / m_Rate);
    }

    // Takes n tokens only if the bucket holds as many.
    bool TryTake(double n, TimePoint now)
    {
        if (m_Rate <= 0)
            return true;
        Refill(now);
        if (m_Tokens < n)
            return false;
        m_Tokens -= n;
        return true;
    }

    // Returns when the bucket will hold n tokens; takes none.
    TimePoint AvailableAt(double n, TimePoint now)
    {
        if (m_Rate <= 0)
            return now;
        Refill(now);
        return m_Tokens >= n ? now : now + FromSeconds((n - m_Tokens) / m_Rate);
    }

    void SetRate(double rate, double burst, TimePoint now)
    {
        Refill(now);
        m_Rate   = rate;
        m_Burst  = burst;
        m_Tokens = std::min(m_Tokens, burst);
    }

    double Rate() const { return m_Rate; }

private:
    void Refill(TimePoint now)
    {
        if (now <= m_RefilledAt)
            return;
        m_Tokens     = std::min(m_Burst, m_Tokens + m_Rate * ToSeconds(now - m_RefilledAt));
        m_RefilledAt = now;
    }

    double    m_Rate;       // tokens a second; 0: no limit
    double    m_Burst;      // capacity, tokens
    double    m_Tokens;     // below 0: taken in advance
    TimePoint m_RefilledAt; // time of the last refill; never goes back
};

} // namespace aldervale
