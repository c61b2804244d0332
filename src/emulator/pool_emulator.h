// aldervale: a pool of model servers under a load pattern, in virtual time
//
// Several routers, each with the product's own ServerChoice, choose among engines that are modelled by their costs. Reports lag, callers have
// a deadline and come back once after a refusal. Seeded; no socket, no clock of the machine.
//
// In `Bound` one router sees the true and present state of every server: how much of the credit lies in the policy, how much in what routers
// can't know. It isn't told of arrivals to come.
//
// Usage:
//   PoolResult r = EmulatePool(pattern, ServerChoiceConfig{}, PoolView_Reports, seed);
//   double share = r.Credit();

#pragma once
#include "emulator/load_pattern.h"
#include "request/server_choice.h"

namespace aldervale
{

enum PoolView
{
    PoolView_Reports, // routers hear reports, late
    PoolView_Asked,   // routers hear reports, and ask a few boxes for a place for each request
    PoolView_Claimed, // and claim a place where there are few
    PoolView_Bound,   // one router knows everything
};

struct PoolSecond // requests whose first attempt was in this second
{
    unsigned m_Asked   = 0; //
    unsigned m_InTime  = 0; // first event within the objective, counted from the first attempt
    unsigned m_Late    = 0; //
    unsigned m_Refused = 0; // at last
    unsigned m_Back    = 0; // came back after a refusal
    double   m_Owed    = 0; // credit
    double   m_Earned  = 0; // a late answer earns kLateCredit of its worth
    double   m_ErrorMs = 0; // sum over answers of |true - predicted| time to the first event
};

struct PoolResult
{
    std::vector<PoolSecond> m_Seconds;      //
    std::vector<unsigned>   m_Capacities;   // learned, by server, at the end; 0: not known
    std::vector<double>     m_KindEarned;   // by kind, share of its credit
    double                  Credit() const; // share of what is owed
    PoolSecond              Total() const;  //
};

constexpr double kLateCredit = 0.25; // of an answer after its objective

PoolResult EmulatePool(const LoadPattern& pattern, const ServerChoiceConfig& config, PoolView view, uint64_t seed);

} // namespace aldervale
