// aldervale: whether a request is taken, and when a caller that was refused should come back
//
// Pure: predicted waits, what the caller has left and times go in; a decision comes out. Placement (server_choice.h) picks the server.
//
// The load it answers: more is asked than the servers can do, for two seconds until new servers serve, for six after everything was
// killed, or all day. Answers that come after their objective earn a quarter, and each takes the place of one that would have been in time.
//
// How it decides:
//   - All kinds of request of a service are held to the strictest objective among its routes. Held each to its own, the kind with the
//     shortest objective was refused nearly always while others were taken. Lasting overload: 0.51 to 0.56 (mean worth of three days).
//   - A first attempt is taken when it is predicted to be answered within m_FirstAttemptShare of that objective.
//   - A caller that was refused before has lost its objective by then. While few are refused it is taken, up to m_LenientRetryMax. While many are,
//     it is taken only where m_StrictRetryShare of the objective is enough: where there is room to spare. Taken like first attempts, those that
//     came back had half of the servers' work, and as many first attempts were refused in their place. Lasting overload: 0.39 to 0.50.
//   - A request that was taken here and lost its server, by a crash or a start of weights, is taken again as long as its caller bears the wait
//     (m_ToleratedWait): it isn't new, and refusing it breaks off what its caller has. Of what callers bear, MaxToleratedPause() knows the rule.
//   - A refusal tells when to come back. While few are refused, that is when the queue has become shorter; while many are, after up to
//     m_RetryShare of what the caller has left, by chance over the last third of that: who comes back into the same overload is refused again.
//
// Usage:
//   Admission a(config);
//   const bool taken = a.Admits(need, predicted);
//   if (!need.m_IsRetry) a.OnFirstAttempt(!taken, now);
//   if (!taken) retry = a.RetryAfter(need, predicted, random);       // random: 0 to 1

#pragma once
#include "common/clock.h"

namespace aldervale
{

struct AdmissionConfig
{
    double   m_FirstAttemptShare     = 0.8;                // part of the objective that the predicted wait may take for a first attempt
    double   m_StrictRetryShare      = 0.45;               // and for a caller that came back, while many are refused
    Duration m_LenientRetryMax       = milliseconds(1800); // predicted wait up to which a caller that came back is taken while none is refused
    double m_StrictAboveRefusedShare = 0.1; // share of refused first attempts from which on those that came back get no more than m_StrictRetryShare
    double m_LongDelayAboveRefusedShare = 0.15;    // share from which on callers are asked to stay away as long as they can
    double m_RetryShare                 = 1.0 / 3; // of what a caller has left, that it may be asked to wait: time for the answer must remain
    Duration m_RetryMin                 = milliseconds(150);  // shortest and longest wait that a refusal asks for
    Duration m_RetryMax                 = milliseconds(2000); //
};

struct AdmissionNeed
{
    Duration m_StrictestObjective = seconds(1); // strictest objective of the service
    Duration m_TimeToDeadline     = seconds(6); // until the caller's deadline
    bool     m_IsRetry            = false;      // refused before, or tried elsewhere
    Duration m_ToleratedWait{};                 // over zero: it was taken here before, and its caller waits this long for what comes next
};

// Longest wait for the next event of a stream, its first one included, after which callers give it up.
Duration MaxToleratedPause(Duration goal, Duration max_gap);

class Admission
{
public:
    explicit Admission(const AdmissionConfig& cfg) : m_Config(cfg) {}

    bool     Admits(const AdmissionNeed& need, Duration predicted) const;
    void     OnFirstAttempt(bool refused, TimePoint now); // of each first attempt
    Duration RetryAfter(const AdmissionNeed& need, Duration predicted, double random) const;
    double   RefusedShare() const; // of first attempts lately; low while there were few

private:
    Duration MaxWait(const AdmissionNeed& need) const; // longest predicted wait

    AdmissionConfig m_Config;                   //
    double          m_FirstAttempts        = 0; // first attempts, older ones counting less
    double          m_RefusedFirstAttempts = 0; // those of them that were refused; never over m_FirstAttempts
    TimePoint       m_At{};                     // of both counts
};

} // namespace aldervale
