// aldervale: when a failed attempt may be made again
//
// Pure. A retry needs all of: the verdict allows it (NotRun always, MayHaveRun only for repeatable requests of which no byte of answer
// reached the caller), time before the deadline, attempts left, and a token of the budget. The budget gains a part of a token with each
// request, so that retries can't multiply an overload.

#pragma once
#include "common/clock.h"
#include "common/verdict.h"
#include <algorithm>
#include <mutex>

namespace aldervale
{

struct RetryConfig
{
    unsigned m_MaxAttempts      = 3;               // first one included
    double   m_TokensPerRequest = 0.2;             // tokens gained with each request
    double   m_BudgetMaxTokens  = 20;              // tokens that may gather
    double   m_ReservedTokens   = 0;               // of these, left for answers that have answer_begun: their callers lose what they have
    Duration m_MinRemaining     = milliseconds(5); // time before the deadline below which no attempt is answer_begun
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

    bool TryTake(bool answer_begun = false) // answer_begun: some of the answer went to the caller
    {
        std::lock_guard lock(m_Mutex);
        if (m_Tokens < 1 + (answer_begun ? 0 : m_Config.m_ReservedTokens))
            return false;
        m_Tokens -= 1;
        return true;
    }

    void ReturnToken() // a token that was taken for a retry that wasn't made
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

// When an attempt ends for its deadline. One that has no answer yet ends a little before, so that its caller can still be told; one whose answer has
// answer_begun has nothing to be told but its last bytes, which may be on their way for a little longer.
inline TimePoint AttemptDeadline(TimePoint deadline, bool answer_begun)
{
    constexpr auto kErrorReplyTime = milliseconds(20);
    constexpr auto kLastBytesTime  = milliseconds(50); // a way between data centres and a wait on a busy link
    return answer_begun ? deadline + kLastBytesTime : deadline - kErrorReplyTime;
}

struct AttemptOutcome
{
    Verdict  m_Verdict     = Verdict_NotRun; //
    bool     m_Repeatable  = false;          // by the service's declaration
    bool     m_AnswerBegun = false;          // a byte of the answer reached the caller
    unsigned m_Attempts    = 1;              // made so far
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
