// aldervale: for how long a process has known of declarations that it doesn't hold
//
// Pure; for operators, who are told once when it gets long and once when that is over. Decisions don't depend on it.
//
// Usage:
//   DeclarationsLag lag;
//   lag.Note(held, heard, now);                          // at each change
//   if (lag.Look(now) == LagTurn_Behind) Log(lag.Worst());  // a few times a second

#pragma once
#include "common/clock.h"
#include <deque>

namespace aldervale
{

constexpr auto   kLagLong    = milliseconds(1000); // most versions come within some 0.2 s
constexpr size_t kMissingMax = 64;                 // versions told apart: a series of changes 0.2 s apart, 13 s long

enum LagTurn
{
    LagTurn_None,
    LagTurn_Behind,   // longer than kLagLong from now on
    LagTurn_CaughtUp, // no longer so
};

class DeclarationsLag // touched on one thread
{
public:
    void     Note(uint64_t held, uint64_t heard, TimePoint now); // neither ever falls
    LagTurn  Look(TimePoint now);                                // what has changed since the last look
    Duration Behind(TimePoint now) const;                        // since the oldest version that is missing was heard of; zero: none is
    Duration Worst() const { return m_Worst; }                   // at any look since the last LagTurn_Behind

private:
    struct Missing
    {
        uint64_t  m_Version = 0; //
        TimePoint m_At{};        // when it was heard of
    };

    std::deque<Missing> m_Missing;      // newer than what is held, rising; with kMissingMax the last one stands for all later ones
    bool                m_Long = false; // as told by the last look
    Duration            m_Worst{};      //
};

int64_t AgeOrNever(TimePoint at, TimePoint now); // ms; -1: `at` was never set

} // namespace aldervale
