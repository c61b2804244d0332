// aldervale: whether a caller is here for the first time
//
// Pure: what callers' deadlines say, refusals and times go in; a guess comes out. No header says that a caller was refused before, perhaps by
// another router. Where all callers of a route begin with the route's limit, one with less was here before. Where callers have limits of their
// own, that says nothing, and first attempts that are taken for returned ones are neither counted nor held to the objective.
//
// The load it answers: a lasting overload, in which returned callers take the places of first attempts (admission.h). So the guess is kept where
// it is right and dropped where it is wrong, and each router finds out by itself which holds:
//   - While this router has refused nobody for m_CalmAfterRefusal, hardly anybody has come back. Who has less than the route's limit then is a first
//     attempt that the guess is wrong about.
//   - The guess is used once m_CalmAttemptsMin calm attempts were seen of which it was wrong about less than m_WrongShareMax.
//
// Callers with the route's limit: worth 0.614, 0.684, 0.583 on three days of lasting overload with the guess, 0.553, 0.650, 0.532 without any.
// Callers with limits of their own: 0.618 and 0.333 with the guess, 0.723 and 0.455 without, on days at 1.2 and 1.4 of what the servers can do.
//
// Usage:
//   RetryEstimate g(config);
//   const bool back = g.OnAttempt(limit, left, now);       // each attempt of a caller, once
//   g.OnRefused(now);                                      // each refusal

#pragma once
#include "common/clock.h"

namespace aldervale
{

struct RetryEstimateConfig
{
    Duration m_TransitAllowance = milliseconds(60); // less than the limit by up to this is the way of a first attempt
    Duration m_CalmAfterRefusal = seconds(8);       // after the last refusal: callers wait for six seconds in all, and come back within two
    double   m_CalmAttemptsMin  = 30;               // calm attempts below which nothing is known of the callers
    double   m_CalmAttemptsMax  = 300;              // calm attempts that count; older ones fade
    double   m_WrongShareMax    = 0.2;              // share of them that may look returned: a few are, after a server failed them
};

class RetryEstimate
{
public:
    explicit RetryEstimate(const RetryEstimateConfig& cfg = {}) : m_Config(cfg) {}

    bool   OnAttempt(Duration limit, Duration left, TimePoint now); // true: here before. limit: of the route; left: until the caller's deadline
    void   OnRefused(TimePoint now) { m_RefusedAt = now; }
    bool   Trusted() const;    // by what calm attempts showed
    double WrongShare() const; // of calm attempts; 0 while there were none

private:
    void RecordCalmAttempt(bool shorter);

    RetryEstimateConfig m_Config;            //
    TimePoint           m_RefusedAt{};       // last refusal of this router; default: none
    double              m_CalmAttempts  = 0; // calm attempts, older ones counting less; at most m_Config.m_CalmAttemptsMax
    double              m_WrongAttempts = 0; // those of them with less than the limit; at most m_CalmAttempts
};

} // namespace aldervale
