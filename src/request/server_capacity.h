// aldervale: number of concurrent requests that a model server serves well, learned from the outcomes of its answers
//
// Pure logic without I/O or clocks. Input: outcomes of answers as routers report them, and times. Output: a bound on the requests at the server.
// It runs at the server's box, since each router sees a small part of the answers (38 routers, 76 servers: one in three seconds).
//
// Intended load: a full pool in which some servers are slower than declared, or slow down before all their slots are taken. Of 46 answers with a
// long pause or a late begin, 31 came from five servers of 76.
//
// Terms: the level of an answer is the number of requests at the server when it was chosen, including the new one. The bound is the highest level
// that is allowed. The yield of a bound is what callers get with it: the bound, times the mean value of an answer (1 in time, m_LateValue late),
// divided by the usual interval between events, for answers at the levels just up to the bound. The slowdown is the time to the first event relative
// to its prediction.
//
// How it decides:
//   - If answers up to the bound are slower than predicted by m_SlowdownMin, half the bound is tried. The prediction contains the wait that load
//     causes, so an overloaded pool of servers that are as declared doesn't reduce itself.
//   - The bound that yields more is kept. A server that is slow at any load yields less with half its requests, so it returns to the bound that it
//     had; the next try is after m_RetryLower.
//   - A kept bound rises by one, then by two, while it yields more, and returns to the last one otherwise; the next try is after m_RetryHigher.
//   - An answer counts as late only if its server was also slower than predicted, or paused for too long (CountsAsLate()).
//   - No router contributes more than m_RouterShareMax of the evidence. With fewer than four routers nothing is learned.
//
// Usage (src/version/place_answers.cpp):
//   ServerCapacity c;
//   c.OnOutcome(sample, now);
//   if (const unsigned most = c.Capacity(now)) ...       // 0: not known

#pragma once
#include "common/clock.h"
#include <array>
#include <cstdint>
#include <unordered_map>

namespace aldervale
{

struct ServerCapacityConfig
{
    Duration m_Memory          = seconds(6);         // time in which an outcome's weight decays to 1/e; a slow server gives 3 to 5 per second
    Duration m_KeepFor         = seconds(18);        // without outcomes for this long nothing is known: their weight is below 1/20
    Duration m_FirstAfter      = milliseconds(2500); // from the first outcome until the first decision; longer than a slow phase and its answers
    double   m_EvidenceMin     = 4;                  // weight of outcomes from which a yield is known
    double   m_GainMin         = 0.1;                // least gain in yield for which a lower bound is kept or returned to
    double   m_SlowdownMin     = 1.8;                // for a lower bound to be tried; servers 1.6 times slower at any load gained nothing by it
    double   m_SlowEvidenceMin = 8;                  // weight of outcomes for that; with 4, overloaded servers as declared were tried by chance
    double   m_LateValue       = 0.25;               // value of a late answer: 0.1 to 0.42 of one in time for the kinds of requests served so far
    double   m_RouterShareMax  = 1.0 / 3;            // of the evidence, from one router
    double   m_RouterMin       = 2;                  // weight that a router may contribute in any case
    Duration m_RetryHigher     = seconds(8);         // from the last outcome at a level: a server that has recovered is filled again within 20 s
    Duration m_RetryLower      = seconds(60);        // from when a bound was in force; a try costs up to half of what the server serves, for 3 s
    Duration m_ChangeInterval  = milliseconds(1000); // least time between two changes: an answer takes about as long
};

struct CapacitySample // the outcome of one answer
{
    uint64_t m_Router   = 0;     // who reported it
    uint32_t m_InFlight = 0;     // requests at the server when it was chosen, without the new one
    Duration m_TimeToFirst{};    //
    Duration m_PredictedFirst{}; //
    Duration m_EventInterval{};  // mean time between events; zero: unknown
    bool     m_Late = false;     // by CountsAsLate()
};

// Whether an answer lost value through its server: a pause was longer than allowed, or the first event missed the latency objective and came much
// later than predicted.
bool CountsAsLate(Duration time_to_first, Duration predicted, Duration objective, Duration longest_pause, Duration max_pause);

class ServerCapacity
{
public:
    explicit ServerCapacity(const ServerCapacityConfig& cfg = {}) : m_Config(cfg) {}

    void     OnSlots(unsigned slots); // declared slots, as claims state them
    void     OnOutcome(const CapacitySample& sample, TimePoint now);
    unsigned Capacity(TimePoint now) const;    // 0: not known
    unsigned Slots() const { return m_Slots; } // 0: not told
    double   Slowdown(TimePoint now) const;    // time to the first event relative to the prediction; 1: as predicted, or not known
    void     Clear();                          // a new incarnation of the server

private:
    static constexpr unsigned kLevelsMax = 64; // higher levels count as the highest

    struct Level // decayed sums over outcomes
    {
        double    m_Weight   = 0; //
        double    m_Late     = 0; // of those that were late
        double    m_LogRatio = 0; // sum of log(time to the first event / prediction)
        double    m_Timed    = 0; // of those with an event interval
        double    m_LogMs    = 0; // sum of log(interval in ms); the geometric mean, as a few extreme ones should count little
        double    m_Known    = 0; // largest m_Weight until m_LastAt, without decay since
        TimePoint m_LastAt{};     // of the last outcome; default: none
        TimePoint m_InForceAt{};  // when the bound was last this level; default: never
    };

    bool     IsKnown(TimePoint now) const { return m_LastAt != TimePoint{} && now - m_LastAt < m_Config.m_KeepFor; }
    void     Decay(TimePoint now);
    Level    Recent(unsigned bound, TimePoint now) const;  // outcomes at the levels just up to the bound
    double   YieldOf(unsigned bound, TimePoint now) const; // 0: not known
    bool     WasInForce(unsigned bound, TimePoint now) const;
    unsigned BestKnown(unsigned bound, TimePoint now) const; // of the bounds that were in force lately
    bool     IsSlow(unsigned bound, TimePoint now) const;
    unsigned Least() const; // of the bound
    void     Adjust(TimePoint now);
    void     Change(unsigned bound, TimePoint now);

    static unsigned FirstLevel(unsigned bound); // of the levels just up to a bound

    ServerCapacityConfig                 m_Config;          //
    std::array<Level, kLevelsMax + 1>    m_Levels{};        // by level; 0 is unused
    std::unordered_map<uint64_t, double> m_RouterWeight;    // by router; entries that have decayed are removed
    double                               m_Weight      = 0; // of all outcomes
    unsigned                             m_Slots       = 0; // 0: not told; nothing is decided then
    unsigned                             m_Bound       = 0; // 0: none
    unsigned                             m_RisesInARow = 0; // of m_Bound
    double                               m_LogSlowdown = 0; // moving mean of log(time / prediction)
    TimePoint                            m_FirstAt{};       // of the outcomes; default: none
    TimePoint                            m_LastAt{};        //
    TimePoint                            m_ChangedAt{};     // when m_Bound changed last
};

} // namespace aldervale
