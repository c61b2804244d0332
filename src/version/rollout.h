// aldervale: rollouts, which orders bring a placement's boxes to its declared version
//
// Pure: what is declared, what the boxes report and what was remembered go in; orders come out. Preparing (fetch, verify) goes to all
// boxes at once and disturbs nobody. Committing (swap in the engine) goes in waves: replicas that serve nothing yet are free, others only
// while no more than m_MaxUnavailable boxes of the data centre are out of service. A replica's boxes are committed together and only when
// all of them have verified. Enough failures halt the rollout and turn everything back to the former version, which stays staged.
//
// Usage:
//   RolloutPlan plan = PlanRollout(input);
//   for (const PlannedOrder& o : plan.m_Orders) Send(o);
//   if (plan.m_Halt) remember it;

#pragma once
#include "version/activation.h"
#include <set>
#include <span>

namespace aldervale
{

struct BoxObservation // newest heartbeat of one box
{
    std::string                        m_Name;              //
    bool                               m_Reachable = false; // heard lately, not leaving
    std::string                        m_Active;            // slice digest it serves
    std::map<std::string, HeldVersion> m_Versions;          // by slice digest
};

struct RolloutInput
{
    std::string                 m_Wanted;              // manifest digest that is declared
    std::string                 m_Previous;            // manifest digest served before; empty: none
    std::vector<std::string>    m_Adapters;            // manifest digests that go on m_Wanted
    std::vector<BoxObservation> m_Boxes;               // in placement order
    size_t                      m_BoxesPerReplica = 1; //
    size_t                      m_MaxUnavailable  = 1; // boxes
    size_t                      m_HaltAfterFailed = 2; // failures of m_Wanted over all boxes; one box may fail more than once
    bool                        m_Paused          = false;
    bool                        m_Halted          = false; // m_Wanted was halted before
};

struct PlannedOrder
{
    std::string m_Box;                      //
    OrderKind   m_Kind = OrderKind_Prepare; //
    std::string m_Digest;                   // slice digest
    std::string m_Base;                     // adapters only
};

struct RolloutPlan
{
    std::vector<PlannedOrder> m_Orders;                //
    bool                      m_Halt          = false; // m_Wanted failed often enough; remember it as halted
    size_t                    m_ServableBoxes = 0;     // boxes that serve the target
    std::string               m_Target;                // what the orders lead to: m_Wanted, or m_Previous after a halt
};

RolloutPlan PlanRollout(const RolloutInput& in);

} // namespace aldervale
