// Whether a draining router can still answer a request. See drain_admission.h.
#include "request/drain_admission.h"
#include <algorithm>

namespace aldervale
{

void AnswerTimes::OnAnswered(double tokens, Duration whole)
{
    if (m_Last.size() < kAnswersKept)
        m_Last.push_back({tokens, whole});
    else
        m_Last[m_Next] = {tokens, whole};
    m_Next = (m_Next + 1) % kAnswersKept;
}

Duration AnswerTimes::Expected(double tokens, Duration unknown) const
{
    Duration longest{};
    Duration longest_similar{};
    size_t   similar = 0;
    for (const Answer& a : m_Last)
    {
        longest = std::max(longest, a.m_Whole);
        if (a.m_Tokens < tokens / kSimilarFactor || a.m_Tokens > tokens * kSimilarFactor)
            continue;
        longest_similar = std::max(longest_similar, a.m_Whole);
        similar++;
    }
    const Duration expected = similar >= kSimilarMin ? longest_similar : longest;
    return IsKnown() ? expected : std::max(expected, unknown);
}

bool CanAnswerInTime(const DrainedRequest& request, Duration until_end, Duration drain)
{
    if (until_end <= Duration::zero())
        return false;
    if (request.m_TimeLeft <= until_end)
        return true;
    const bool losable   = request.m_IsStream || !request.m_MayRepeat;
    const bool may_guess = !losable || ToSeconds(until_end) >= ToSeconds(drain) * (1 - kGuessShare);
    return may_guess && request.m_Expected * (request.m_MayRepeat ? 1 : kOnceMargin) + kAnswerTransit <= until_end;
}

} // namespace aldervale
