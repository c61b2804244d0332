// For how long a check of staged pieces holds. See staged_check.h.
#include "version/staged_check.h"
#include <algorithm>

namespace aldervale
{

static_assert(kStartOrderTimeout < kStagedCheckMax);

bool StagedCheck::IsStale(size_t n, TimePoint now) const
{
    return m_AskedAt[n] == TimePoint{} || now + kStartOrderTimeout > m_AskedAt[n] + kStagedCheckMax;
}

bool StagedCheck::AllowsOrder(TimePoint now) const
{
    for (size_t n = 0; n < m_AskedAt.size(); n++)
        if (IsStale(n, now))
            return false;
    return true;
}

bool StagedCheck::Covers(TimePoint taken_by) const
{
    return Oldest() != TimePoint{} && taken_by <= Oldest() + kStagedCheckMax;
}

Duration StagedCheck::Age(TimePoint now) const
{
    return now - Oldest();
}

TimePoint StagedCheck::Oldest() const
{
    return m_AskedAt.empty() ? TimePoint{} : *std::min_element(m_AskedAt.begin(), m_AskedAt.end());
}

} // namespace aldervale
