// Whether a draining router can still answer a request. See drain_admission.h.
#include "request/drain_admission.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

static Duration Quantile(std::vector<Duration> values)
{
    const size_t rank = static_cast<size_t>(std::ceil(kAnswerQuantile * static_cast<double>(values.size()))) - 1;
    const auto   at   = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

void AnswerTimes::OnAnswered(double tokens, Duration whole)
{
    if (m_Last.size() < kAnswersKept)
        m_Last.push_back({tokens, whole});
    else
        m_Last[m_Next] = {tokens, whole};
    m_Next = (m_Next + 1) % kAnswersKept;
}

std::optional<Duration> AnswerTimes::Expected(double tokens) const
{
    if (m_Last.empty())
        return std::nullopt;
    std::vector<Duration> all;
    std::vector<Duration> similar;
    for (const Answer& a : m_Last)
    {
        all.push_back(a.m_Whole);
        if (a.m_Tokens >= tokens / kSimilarFactor && a.m_Tokens <= tokens * kSimilarFactor)
            similar.push_back(a.m_Whole);
    }
    return Quantile(similar.size() >= kSimilarMin ? std::move(similar) : std::move(all));
}

bool CanAnswerInTime(Duration expected, Duration time_left, Duration until_end)
{
    if (until_end <= Duration::zero())
        return false;
    return time_left <= until_end || expected + kAnswerTransit <= until_end;
}

} // namespace aldervale
