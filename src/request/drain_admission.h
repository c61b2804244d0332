// aldervale: whether a router that was told to end can still answer a request
//
// Pure logic without I/O or clocks. Input: how long answers took, and times. Output: admitted or refused. A router ends some seconds after it was
// told to, whatever is in progress. A request that it passes on and can't answer by then runs at a server, and its caller gets a cut answer; refused
// as not run, the request is served by another router.
//
// Load pattern: requests that are whole seconds after the signal, as their bodies come slowly; callers that the balancer goes on sending, as it
// hasn't asked for readiness yet or as most routers of the data centre drain at once; answers from milliseconds up to longer than the whole drain;
// routers that have only just started.
//
// How it decides:
//   - An answer is expected to take as long as the longest of the last answers of its route, or of its service while the route has too few. Of those
//     only the ones that were allowed about as many tokens count, unless there are hardly any such. Refused without need, a request is served
//     elsewhere; passed on in vain, it is lost.
//   - While hardly any answers were seen, an answer that isn't a stream is expected to take the route's latency objective at least, and a stream
//     until the request's deadline.
//   - A request whose deadline is before the router's end is admitted, however long answers take.
//   - How long others took is a guess, not a bound: answers may take longer from one moment to the next. A wrong guess costs a whole answer that may
//   be
//     repeated its time: its caller is told, and sends it again. A stream breaks off inside its answer, and work that may not be repeated is lost.
//     For these the guess counts only at the beginning of the drain (kGuessShare), while callers still come; afterwards the deadline alone decides.
//     Where nothing may be repeated there has to be twice the time.
//
// Usage:
//   AnswerTimes times;                                       // one for each route, and one for each service
//   times.OnAnswered(tokens, whole);
//   if (!CanAnswerInTime({times.Expected(tokens, unknown), time_left, is_stream, may_repeat}, until_end, drain)) ...the request is refused

#pragma once
#include "common/clock.h"
#include <vector>

namespace aldervale
{

constexpr size_t kAnswersKept   = 64;  // last answers that count
constexpr size_t kAnswersMin    = 32;  // with fewer, none says how long others may take
constexpr size_t kSimilarMin    = 16;  // answers with about as many tokens from which on only such count
constexpr double kSimilarFactor = 2;   // about as many: up to so many times more or less
constexpr double kGuessShare    = 0.4; // of the drain, from its beginning, in which a guess counts for streams and what may not be repeated
constexpr int    kOnceMargin    = 2;   // times the expected time that must be left for what may not be repeated
constexpr auto   kAnswerTransit = milliseconds(100); // beyond what this router saw of an answer: until its caller has the last byte

class AnswerTimes
{
public:
    // tokens: most that the answer may have; 0: unknown. whole: from the whole request to the last byte of the answer.
    void     OnAnswered(double tokens, Duration whole);
    bool     IsKnown() const { return m_Last.size() >= kAnswersMin; }
    Duration Expected(double tokens, Duration unknown) const; // unknown: at least this is expected while hardly any answers were seen

private:
    struct Answer
    {
        double   m_Tokens = 0; // 0: unknown
        Duration m_Whole{};    //
    };

    std::vector<Answer> m_Last;     // at most kAnswersKept
    size_t              m_Next = 0; // index of the one that is replaced next
};

struct DrainedRequest // one that a draining router may pass on
{
    Duration m_Expected{};        // AnswerTimes::Expected()
    Duration m_TimeLeft{};        // until its deadline
    bool     m_IsStream  = false; //
    bool     m_MayRepeat = false; //
};

// until_end: of the router. drain: from when it was told to end until then.
bool CanAnswerInTime(const DrainedRequest& request, Duration until_end, Duration drain);

} // namespace aldervale
