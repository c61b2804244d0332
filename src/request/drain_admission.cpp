// Whether a draining router can still answer a request. See drain_admission.h.
#include "request/drain_admission.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

template <class ValueT> static ValueT Quantile(std::vector<ValueT> values)
{
    const size_t rank = static_cast<size_t>(std::ceil(kAnswerQuantile * static_cast<double>(values.size()))) - 1;
    const auto   at   = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

void AnswerTimes::OnAnswered(double tokens, Duration to_first, Duration whole)
{
    const Answer answer = {to_first, ToSeconds(std::max<Duration>(whole - to_first, {})) * 1000 / std::max(1.0, tokens)};
    if (m_Last.size() < kAnswersKept)
        m_Last.push_back(answer);
    else
        m_Last[m_Next] = answer;
    m_Next = (m_Next + 1) % kAnswersKept;
}

std::optional<Duration> AnswerTimes::Expected(double tokens) const
{
    if (m_Last.empty())
        return std::nullopt;
    std::vector<Duration> first;
    std::vector<double>   rest;
    for (const Answer& a : m_Last)
    {
        first.push_back(a.m_ToFirst);
        rest.push_back(a.m_RestMs);
    }
    return Quantile(std::move(first)) + FromSeconds(Quantile(std::move(rest)) * std::max(1.0, tokens) / 1000);
}

bool CanAnswerInTime(std::optional<Duration> expected, Duration time_left, Duration until_end)
{
    if (time_left <= until_end)
        return true;
    return expected && *expected + kAnswerTransit <= until_end;
}

} // namespace aldervale
