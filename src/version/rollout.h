// aldervale: rollouts, the orders that bring the boxes of a placement to its declared version
//
// Pure: the declaration, the boxes' reports and the stored state of the rollout go in; orders come out. Prepare orders (fetch and verify)
// go to all boxes at once, because they don't interrupt serving. Commit orders (load into the engine, the local model server) go out in
// waves: to replicas that serve nothing yet at any time, to others only while at most m_MaxUnavailable boxes of the data centre are out of
// service. The boxes of a replica are committed together, and only when all of them have verified their slices. After m_HaltAfterFailed
// failures the rollout halts and all boxes return to the previous version, which stays staged.
//
// A placement declares which model's weights are held by how many replicas in each data centre. A replica is one copy of the model on
// m_BoxesPerReplica boxes, each of which holds a slice of the version; see manifest.h.
//
// Usage:
//   RolloutPlan plan = PlanRollout(input);
//   for (const PlannedOrder& o : plan.m_Orders) Send(o);
//   if (plan.m_Halt) store it, and pass it as m_Halted next time;

#pragma once
#include "version/activation.h"
#include <set>
#include <span>

namespace aldervale
{

struct BoxObservation // from the newest heartbeat of one box
{
    std::string                        m_Name;              //
    bool                               m_Reachable = false; // a recent heartbeat was received, and the box isn't shutting down
    std::string                        m_Active;            // slice digest that it serves; empty: none
    std::map<std::string, HeldVersion> m_Versions;          // by slice digest
};

struct RolloutInput
{
    std::string                 m_Wanted;                  // digest of the declared version's manifest
    std::string                 m_Previous;                // digest of the previous version's manifest; empty: none
    std::vector<std::string>    m_Adapters;                // manifest digests of the adapters to load on top of m_Wanted
    std::vector<BoxObservation> m_Boxes;                   // in placement order
    size_t                      m_BoxesPerReplica = 1;     //
    size_t                      m_MaxUnavailable  = 1;     // boxes out of service at once; one whole replica is always allowed
    size_t                      m_HaltAfterFailed = 2;     // failures of m_Wanted, summed over all boxes; one box may fail more than once
    bool                        m_Paused          = false; // no replica that serves is interrupted
    bool                        m_Halted          = false; // m_Halt of an earlier plan for m_Wanted
};

struct PlannedOrder
{
    std::string m_Box;                      //
    OrderKind   m_Kind = OrderKind_Prepare; //
    std::string m_Digest;                   // slice digest
    std::string m_Base;                     // adapters only: slice digest of the version to load it on
};

struct RolloutPlan
{
    std::vector<PlannedOrder> m_Orders;                //
    bool                      m_Halt          = false; // m_Wanted has failed m_HaltAfterFailed times; to be stored
    size_t                    m_ServableBoxes = 0;     // boxes that serve the target
    std::string               m_Target;                // version that the orders lead to: m_Wanted, or m_Previous after a halt
};

RolloutPlan PlanRollout(const RolloutInput& in);

} // namespace aldervale
