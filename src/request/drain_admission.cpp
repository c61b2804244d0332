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

bool CanAnswerInTime(Duration expected, Duration time_left, Duration until_end)
{
    if (until_end <= Duration::zero())
        return false;
    return time_left <= until_end || expected + kAnswerTransit <= until_end;
}

} // namespace aldervale
