// aldervale: estimates whether an attempt is a retry by a caller that was refused before
//
// Pure logic without I/O or clocks. Input: the times until callers' deadlines, refusals and times. Output: an estimate. No header says that a
// caller was refused before, perhaps by another router. Where all callers of a route start with the route's timeout, one with less time left
// is a retry. Where callers have limits of their own, less time says nothing, and first attempts that are mistaken for retries are neither
// counted nor held to the latency objective.
//
// Intended load: a lasting overload, in which retries take the places of first attempts (admission.h). The estimate is used where it is right
// and ignored where it is wrong, and each router finds out by itself which one holds:
//   - While this router has refused nobody for m_CalmAfterRefusal, hardly any attempt is a retry. One with less time than the route's limit is
//     then a first attempt for which the estimate is wrong (a calm attempt is one at such a time).
//   - The estimate is used once m_CalmAttemptsMin calm attempts were seen and it was wrong about less than m_WrongShareMax of them.
//
// Callers with the route's limit: mean value of a request 0.614, 0.684, 0.583 on three days of lasting overload with the estimate, 0.553, 0.650,
// 0.532 without it. Callers with limits of their own: 0.618 and 0.333 with the estimate, 0.723 and 0.455 without, on days at
// 1.2 and 1.4 times the load that the servers can take.
//
// Usage:
//   RetryEstimate e(config);
//   const bool retry = e.OnAttempt(limit, left, now);      // once for each attempt of a caller
//   e.OnRefused(now);                                      // each refusal

#pragma once
#include "common/clock.h"

namespace aldervale
{

struct RetryEstimateConfig
{
    Duration m_TransitAllowance = milliseconds(60); // a first attempt arrives with up to this much less than the limit, due to network latency
    Duration m_CalmAfterRefusal =
        seconds(8);                 // calm time starts this long after the last refusal: callers wait six seconds in all, and retry within two
    double m_CalmAttemptsMin = 30;  // calm attempts below which the estimate is not used
    double m_CalmAttemptsMax = 300; // calm attempts that count; older ones decay
    double m_WrongShareMax   = 0.2; // share of them that may look like retries: a few are, after a server failed them
};

class RetryEstimate
{
public:
    explicit RetryEstimate(const RetryEstimateConfig& cfg = {}) : m_Config(cfg) {}

    bool   OnAttempt(Duration limit, Duration left, TimePoint now); // true: a retry. limit: of the route; left: until the caller's deadline
    void   OnRefused(TimePoint now) { m_RefusedAt = now; }
    bool   Trusted() const;    // true: calm attempts show that the estimate is right
    double WrongShare() const; // share of calm attempts that looked like retries; 0 without calm attempts

private:
    void RecordCalmAttempt(bool shorter);

    RetryEstimateConfig m_Config;            //
    TimePoint           m_RefusedAt{};       // last refusal of this router; default: none
    double              m_CalmAttempts  = 0; // calm attempts, with exponential decay; at most m_Config.m_CalmAttemptsMax
    double              m_WrongAttempts = 0; // those with less time than the limit; at most m_CalmAttempts
};

} // namespace aldervale
