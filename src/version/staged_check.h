// aldervale: for how long a check of the pieces that are staged at a model server holds
//
// Pure: no input or output, and the time is passed in. A server checks nothing that it loads, and a piece may turn corrupt where it lies at any time
// after the agent has read it. A process can stand still between any two of its steps, and a server may take an order long after it was sent. So a
// check holds for a limited time, counted from the request for the piece until the server has taken the order.
//
// Load pattern: all servers of a service start a new version within seconds, each once its running requests have ended; machines that freeze for
// seconds, and servers that answer late, at any step of it.
//
// Usage:
//   StagedCheck check(pieces);
//   for (n : pieces) if (check.IsStale(n, Now())) { const TimePoint asked = Now(); Read(n); check.OnChecked(n, asked); }
//   if (check.AllowsOrder(Now())) Order();
//   if (!check.Covers(answered)) ReadAgain(); // once the server has told that it took the order

#pragma once
#include "common/clock.h"
#include <vector>

namespace aldervale
{

constexpr auto kStagedCheckMax    = milliseconds(3000); // a piece that turned corrupt longer before the server took it must not be loaded
constexpr auto kStartOrderTimeout = milliseconds(800);  // for the answer to an order to start

class StagedCheck
{
public:
    explicit StagedCheck(size_t pieces) : m_AskedAt(pieces) {}

    void     OnChecked(size_t n, TimePoint asked) { m_AskedAt[n] = asked; } // found right, or replaced; asked: when that was requested
    bool     IsStale(size_t n, TimePoint now) const;                        // piece n has to be read again before an order is sent
    bool     AllowsOrder(TimePoint now) const;                              // every check holds until an order that is sent now has to be answered
    bool     Covers(TimePoint taken_by) const; // every check held when the server took the pieces, `taken_by` at the latest
    Duration Age(TimePoint now) const;         // of the oldest check

private:
    TimePoint Oldest() const;

    std::vector<TimePoint> m_AskedAt; // by piece; default: never checked
};

} // namespace aldervale
