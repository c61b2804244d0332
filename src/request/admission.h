// aldervale: admission of requests, and the delay after which a refused caller should retry
//
// Pure logic without I/O or clocks. Input: predicted waits, the time until the caller's deadline, and times. Output: admitted or refused. The
// choice of the server is server_choice.h's part.
//
// Intended load: more requests than the servers can take, for two seconds until new servers serve, for six seconds after all were killed, or all
// day. An answer that misses its latency objective has a quarter of the value, and takes the capacity of one that would have been in time.
//
// How it decides:
//   - All kinds of request of a service are held to the strictest latency objective among its routes. With each kind held to its own, the kind
//     with the shortest objective was nearly always refused while others were admitted. Under lasting overload this raised the mean value of a
//     request from 0.51 to 0.56 (three days).
//   - A first attempt is admitted when its predicted wait is at most m_FirstAttemptShare of that objective.
//   - A caller that was refused before has missed its objective already. While few callers are refused it is admitted with a predicted wait of up
//     to m_LenientRetryMax. While many are refused it is admitted only up to m_StrictRetryShare of the objective, which means spare capacity.
//     Admitted like first attempts, retries took half of the servers' work, and as many first attempts were refused instead. Under lasting
//     overload this raised the mean value from 0.39 to 0.50.
//   - A request that was admitted here and lost its server, by a crash or a start of new weights, is admitted again for as long as its caller
//     tolerates the wait (m_ToleratedWait): refusing it would break off an answer that has begun. MaxToleratedPause() has the callers' rule.
//   - A refusal tells the caller when to retry. While few are refused, that is when the queue has become shorter. While many are refused, it is up
//     to m_RetryShare of the time until the caller's deadline, random over the last third of it: an early retry would meet the same overload.
//
// Usage:
//   Admission a(config);
//   const bool admitted = a.Admits(need, predicted);
//   if (!need.m_IsRetry) a.OnFirstAttempt(!admitted, now);
//   if (!admitted) delay = a.RetryAfter(need, predicted, random);    // random: 0 to 1

#pragma once
#include "common/clock.h"

namespace aldervale
{

struct AdmissionConfig
{
    double   m_FirstAttemptShare          = 0.8;                // largest predicted wait of a first attempt, as a share of the objective
    double   m_StrictRetryShare           = 0.45;               // the same for a retry while many are refused
    Duration m_LenientRetryMax            = milliseconds(1800); // largest predicted wait of a retry while none is refused
    double   m_StrictAboveRefusedShare    = 0.1;                // share of refused first attempts from which on m_StrictRetryShare applies to retries
    double   m_LongDelayAboveRefusedShare = 0.15;               // share of refused first attempts from which on retry delays are as long as possible
    double   m_RetryShare                 = 1.0 / 3; // longest retry delay, as a share of the time to the deadline: time for the answer must remain
    Duration m_RetryMin                   = milliseconds(150);  // shortest retry delay
    Duration m_RetryMax                   = milliseconds(2000); // longest retry delay
};

struct AdmissionNeed
{
    Duration m_StrictestObjective = seconds(1); // strictest latency objective of the service
    Duration m_TimeToDeadline     = seconds(6); // until the caller's deadline
    bool     m_IsRetry            = false;      // the caller was refused before, or the request was tried on another server
    Duration m_ToleratedWait{}; // if positive, the request was admitted before: maximum wait for the next event that the caller tolerates
};

// Longest wait for the next event of a stream, including the first one, that callers tolerate before they give up the request.
Duration MaxToleratedPause(Duration objective, Duration max_gap);

class Admission
{
public:
    explicit Admission(const AdmissionConfig& cfg) : m_Config(cfg) {}

    bool     Admits(const AdmissionNeed& need, Duration predicted) const;
    void     OnFirstAttempt(bool refused, TimePoint now); // call for each first attempt
    Duration RetryAfter(const AdmissionNeed& need, Duration predicted, double random) const;
    bool     IsStrict() const { return RefusedShare() >= m_Config.m_StrictAboveRefusedShare; } // retries take spare capacity only
    double   RefusedShare() const; // share of refused ones among recent first attempts; low while there were few

private:
    Duration MaxWait(const AdmissionNeed& need) const; // largest predicted wait with which it is admitted

    AdmissionConfig m_Config;                   //
    double          m_FirstAttempts        = 0; // first attempts, with exponential decay
    double          m_RefusedFirstAttempts = 0; // refused first attempts, with the same decay; at most m_FirstAttempts
    TimePoint       m_At{};                     // time of the last change of both counts
};

} // namespace aldervale
