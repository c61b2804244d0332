// aldervale: decides whether a failed attempt may be retried
//
// Performs no I/O and reads no clock. A retry requires all of: a verdict that allows it (NotRun always; MayHaveRun only if the request is repeatable
// and no byte of the answer has reached the caller), time before the deadline, a remaining attempt, and a token of the budget. The budget gains a
// fraction of a token with each request, so that retries can't multiply the load of an overload.

#pragma once
#include "common/clock.h"
#include "common/verdict.h"
#include <algorithm>
#include <mutex>

namespace aldervale
{

struct RetryConfig
{
    unsigned m_MaxAttempts      = 3;   // including the first
    double   m_TokensPerRequest = 0.2; // tokens gained with each request
    double   m_BudgetMaxTokens  = 20;  // maximum number of tokens
    double   m_ReservedTokens   = 0;   // tokens reserved for attempts whose answer has begun, as a failure loses what the caller has received
    Duration m_MinRemaining     = milliseconds(5); // minimum time before the deadline for a new attempt
};

class RetryBudget // thread-safe
{
public:
    explicit RetryBudget(const RetryConfig& cfg) : m_Config(cfg), m_Tokens(cfg.m_BudgetMaxTokens) {}

    void OnRequest()
    {
        std::lock_guard lock(m_Mutex);
        m_Tokens = std::min(m_Config.m_BudgetMaxTokens, m_Tokens + m_Config.m_TokensPerRequest);
    }

    bool TryTake(bool answer_begun = false) // answer_begun: a part of the answer was sent to the caller
    {
        std::lock_guard lock(m_Mutex);
        if (m_Tokens < 1 + (answer_begun ? 0 : m_Config.m_ReservedTokens))
            return false;
        m_Tokens -= 1;
        return true;
    }

    void ReturnToken() // returns a token that was taken for a retry that was not made
    {
        std::lock_guard lock(m_Mutex);
        m_Tokens = std::min(m_Config.m_BudgetMaxTokens, m_Tokens + 1);
    }

    const RetryConfig& Config() const { return m_Config; }

private:
    RetryConfig m_Config; //
    std::mutex  m_Mutex;  // guards m_Tokens
    double      m_Tokens; // 0 to m_BudgetMaxTokens
};

// Returns the time at which an attempt is ended because of its deadline. Without an answer, an attempt ends slightly before the deadline, so that an
// error response still reaches the caller in time. Once the answer has begun, no error response is possible; the attempt ends slightly after the
// deadline, because the last bytes may still be in transit.
inline TimePoint AttemptEndTime(TimePoint deadline, bool answer_begun)
{
    constexpr auto kErrorReplyTime = milliseconds(20);
    constexpr auto kLastBytesTime  = milliseconds(50); // transit between data centres and queueing on a busy link
    return answer_begun ? deadline + kLastBytesTime : deadline - kErrorReplyTime;
}

struct AttemptOutcome
{
    Verdict  m_Verdict     = Verdict_NotRun; //
    bool     m_Repeatable  = false;          // as declared for the service
    bool     m_AnswerBegun = false;          // at least one byte of the answer reached the caller
    unsigned m_Attempts    = 1;              // attempts made so far
};

inline bool MayRetry(const AttemptOutcome& o, TimePoint deadline, TimePoint now, RetryBudget& budget)
{
    if (o.m_AnswerBegun || o.m_Verdict == Verdict_Ran)
        return false;
    if (o.m_Verdict == Verdict_MayHaveRun && !o.m_Repeatable)
        return false;
    if (o.m_Attempts >= budget.Config().m_MaxAttempts || deadline - now < budget.Config().m_MinRemaining)
        return false;
    return budget.TryTake();
}

} // namespace aldervale
