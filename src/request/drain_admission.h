// aldervale: whether a router that was told to end can still answer a request
//
// Pure logic without I/O or clocks. Input: how long answers took, and times. Output: admitted or refused. A router ends some seconds after it was
// told to, whatever is in progress. A request that it passes on and can't answer by then runs at a server, and its caller gets a cut answer; refused
// as not run, the request is served by another router at once.
//
// Load pattern: requests that are whole seconds after the signal, as their bodies come slowly; callers that the balancer goes on sending, as it
// hasn't asked for readiness yet or as most routers of the data centre drain at once; answers from milliseconds up to longer than the whole drain.
//
// How it decides:
//   - The time that an answer takes is expected from the last answers of the service: kAnswerQuantile of their times to the first byte, and of the
//     further time for each token that the request allows.
//   - Without such answers a request is expected to use its whole time limit.
//   - A request whose time limit ends before the router does is admitted, however long answers take.
//
// Usage:
//   AnswerTimes times;                                       // one for each service
//   times.OnAnswered(tokens, to_first, whole);
//   if (!CanAnswerInTime(times.Expected(tokens), time_left, until_end)) ...the request is refused

#pragma once
#include "common/clock.h"
#include <vector>

namespace aldervale
{

constexpr size_t kAnswersKept    = 64;                // last answers of a service that count
constexpr double kAnswerQuantile = 0.95;              // share of them that took no longer than what is expected
constexpr auto   kAnswerTransit  = milliseconds(100); // beyond what this router saw of an answer: until its caller has the last byte

class AnswerTimes // of one service
{
public:
    // tokens: most that the answer may have; 0: unknown. to_first: from the whole request to the first byte of the answer. whole: to the last one.
    void                    OnAnswered(double tokens, Duration to_first, Duration whole);
    std::optional<Duration> Expected(double tokens) const; // from the whole request to the last byte of its answer; nullopt: no answers so far

private:
    struct Answer
    {
        Duration m_ToFirst{};  //
        double   m_RestMs = 0; // after the first byte, for each token
    };

    std::vector<Answer> m_Last;     // at most kAnswersKept
    size_t              m_Next = 0; // index of the one that is replaced next
};

// time_left: until the request's deadline. until_end: of the router.
bool CanAnswerInTime(std::optional<Duration> expected, Duration time_left, Duration until_end);

} // namespace aldervale
