// aldervale: when the platform's store was at which version, and so since when a row can have been written
//
// Pure. Each answer of the store about rows names its newest version, which rises with every transaction of any table, and the time of the store's
// own steady clock. A row with a higher version was written after that answer was made. So every answer to any process, about any table, is a bound
// for the rows after it. Bounds of other processes are told by the store's clock: a time on the way doesn't falsify them, as it would an age.
//
// The store's clock is related to this process's clock by own exchanges: an answer is made after it was asked for, so the difference of the clocks is
// at most that between the answer's time and the time of asking; the shortest exchange gives the closest limit.
//
// Rules, so that a bound is never after the true time:
//   - The clocks may run at slightly different speeds: the limit of the difference is widened by kDriftShare of its age.
//   - An answer that took longer than was asked for, by more than kPromptMax, isn't a bound: a store that is slow may state the time of sending an
//     answer that it made before. Others count kAnswerMade earlier.
//   - Two answers that contradict each other (a higher version at an earlier time, an answer from the future) mean that a clock was reset or stood
//     still. All that was known is dropped then.
//
// Usage:
//   StoreTimes t;
//   t.OnAnswer({version, store_ms}, asked, longest_wait, Now()); t.OnTold({version, store_ms});
//   TimePoint bound = t.NotBefore(row_version, Now()); // default: unknown

#pragma once
#include "common/clock.h"
#include <map>
#include <optional>

namespace aldervale
{

constexpr auto   kPromptMax  = milliseconds(150); // for an answer beyond the wait that was asked for
constexpr auto   kAnswerMade = milliseconds(20);  // from looking at rows until the clock is read, at most, in a prompt answer
constexpr double kDriftShare = 6e-4;              // of the age of a clock difference: clocks that are being adjusted differ by less

struct StoreMoment
{
    uint64_t m_Version = 0;  // of the store; 0: unknown
    int64_t  m_StoreMs = -1; // time of the store's clock at which that was its newest version; negative: not told
};

class StoreTimes // used on one thread
{
public:
    // An answer to this process. `wait` is the longest time that the store was asked to wait for changes. Returns a time not after the answer was
    // made, and not before `asked`.
    TimePoint   OnAnswer(const StoreMoment& answered, TimePoint asked, Duration wait, TimePoint received);
    void        OnTold(const StoreMoment& told);                      // an answer to another process
    TimePoint   NotBefore(uint64_t row_version, TimePoint now) const; // the row wasn't written before; default: unknown
    StoreMoment Newest() const;                                       // of the known moments, for other processes

private:
    struct ClockDifference // store's clock less own clock; an upper limit
    {
        Duration  m_Most{};
        TimePoint m_At{}; // when it was measured

        Duration MostAt(TimePoint now) const { return m_Most + std::chrono::duration_cast<Duration>((now - m_At) * kDriftShare); }
    };

    bool      Add(const StoreMoment& moment); // false: it contradicts a known one
    void      Reset();
    TimePoint ToOwnClock(int64_t store_ms, TimePoint now) const; // not after the true time; only with m_Difference

    std::map<uint64_t, int64_t>    m_Moments;    // latest known time at which a version was the newest; rises with the version
    std::optional<ClockDifference> m_Difference; // nullopt: no own exchange yet
};

} // namespace aldervale
