// aldervale: what the agent of one model server does next about its weights
//
// Pure. An agent is the only one that gives orders to its server, so no lease or fencing is needed: a rule that each applies alone takes
// the place of a controller.
//
// Rules:
//   - The newest named version is the target. When a newer one is named while an older one is being fetched, the older one is given up,
//     unless it was named kKeepFetching or longer before the newer one: then it is nearly whole, and serving it bridges the time until the
//     newer one is there.
//   - A server that holds nothing starts as soon as its pieces are whole. One that serves an older version waits for its turn: boxes are
//     put in waves by a hash of box and version, so that not all leave the pool at once.
//   - Pieces are checked where they lie right before each start.

#pragma once
#include "common/clock.h"
#include "common/hash.h"
#include <cstdint>
#include <map>

namespace aldervale
{

struct StartPlanConfig
{
    Duration m_KeepFetching = milliseconds(3000); // see the rules
    Duration m_FirstWave    = milliseconds(2600); // after a version was named
    Duration m_WaveEvery    = milliseconds(900);  //
    unsigned m_Waves        = 4;                  //
    Duration m_OrderPause   = milliseconds(300);  // after an order that was refused or not answered
};

enum PlanStep
{
    PlanStep_Idle,  // the server holds the target, or can't be reached
    PlanStep_Fetch, // get the pieces of m_Version
    PlanStep_Wait,  // all pieces are there, its turn is not yet; or an order is under way
    PlanStep_Start, // check the pieces, then order the start
};

struct Plan
{
    PlanStep m_Step    = PlanStep_Idle; //
    uint64_t m_Version = 0;             // that is fetched or started
};

struct PlanInput
{
    bool     m_Reachable   = false; // the own server answered lately
    bool     m_Busy        = false; // an order is under way there
    uint64_t m_Held        = 0;     // version that it holds whole; 0: none
    uint64_t m_Fetching    = 0;     // version being fetched, or fetched last; 0: none
    bool     m_FetchWhole  = false; // all its pieces are there
};

class StartPlan
{
public:
    StartPlan(const StartPlanConfig& cfg, uint64_t box_hash) : m_Config(cfg), m_Box(box_hash) {}

    void     OnNamed(uint64_t version, TimePoint now); // older ones than the newest known are ignored
    void     OnOrderFailed(TimePoint now) { m_OrderAfter = now + m_Config.m_OrderPause; }
    uint64_t Target() const { return m_Named.empty() ? 1 : m_Named.rbegin()->first; } // versions begin at 1

    Plan Next(const PlanInput& in, TimePoint now) const;

private:
    uint64_t  Wanted(const PlanInput& in) const;
    TimePoint TurnOf(uint64_t version) const;

    StartPlanConfig               m_Config;       //
    uint64_t                      m_Box;          // hash of the box's name
    std::map<uint64_t, TimePoint> m_Named;        // when each version became known here
    TimePoint                     m_OrderAfter{}; // no order before
};

} // namespace aldervale
