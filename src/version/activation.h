// aldervale: activation, the state of the versions that a box holds and of the one that its engine (the local model server) serves
//
// Pure: orders and results go in, actions come out. One version at a time is active. A version becomes active only when all its chunks are
// verified, the requests running on the previous one have ended, and the engine has confirmed the digest. Orders with a fencing number
// (it grows with each new lease of a controller) below the highest one seen are refused; the agent does this check also for engines
// that don't.
//
// An adapter is a small set of weights that is loaded on top of an active version, its base; it has the same states.
//
// States of a version:
//   Absent -> Fetching -> Verified -> Loading -> Servable -> Verified (replaced by another) -> Absent
//                 Fetching, Loading -> Failed (a new order tries again)
//
// Usage:
//   OrderOutcome r = act.OnOrder(order);
//   for (const ActivationAction& a : act.TakeActions()) Run(a);        // fetch, stop a fetch, load, drop
//   if (!act.MayServe(digest)) refuse;

#pragma once
#include "common/verdict.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace aldervale
{

enum VersionState
{
    VersionState_Absent,
    VersionState_Fetching,
    VersionState_Verified,
    VersionState_Loading,
    VersionState_Servable,
    VersionState_Failed,
};

std::string_view VersionStateName(VersionState s);

enum OrderKind
{
    OrderKind_Prepare, // fetch and verify; the active version keeps serving
    OrderKind_Commit,  // make a verified version active
    OrderKind_Unload,  // drop a version that is not active
};

struct Order
{
    uint64_t    m_Fencing = 0;                 // of the controller's lease; grows with each new lease
    uint64_t    m_Id      = 0;                 // unique, grows within a lease; repeated and overtaken orders are answered, not carried out
    OrderKind   m_Kind    = OrderKind_Prepare; //
    std::string m_Digest;                      // slice digest of a version or adapter
    std::string m_Base;                        // adapters only: digest of the version to load it on
};

enum OrderOutcome
{
    OrderOutcome_Started,
    OrderOutcome_Done,  // repeated or overtaken order: nothing to do
    OrderOutcome_Stale, // the fencing number is too low: nothing changed
    OrderOutcome_Failed,
};

enum ActivationActionType
{
    ActivationAction_Fetch,      // fetch and verify all chunks, then call OnVerified() or OnFetchFailed()
    ActivationAction_StopFetch,  // a newer order made the fetch unnecessary
    ActivationAction_EngineLoad, // load into the engine, then call OnLoaded() or OnLoadFailed()
    ActivationAction_Drop,       // release the staging memory
};

struct ActivationAction
{
    ActivationActionType m_Type = ActivationAction_Fetch; //
    std::string          m_Digest;                        //
    std::string          m_Base;                          // adapters only
    uint64_t             m_Fencing = 0;                   // to pass to the engine
};

struct HeldVersion
{
    VersionState m_State = VersionState_Absent; //
    std::string  m_Base;                        // adapters: digest of the base; empty for versions
    std::string  m_Error;                       // of the last failure
    unsigned     m_Failures = 0;                // since this box holds it; enough of them halt a rollout
};

class Activation
{
public:
    OrderOutcome OnOrder(const Order& o);
    void         OnFencing(uint64_t fencing); // received from other boxes; orders below it are refused from now on

    void OnVerified(const std::string& digest);
    void OnFetchFailed(const std::string& digest, std::string_view error);
    void OnLoaded(const std::string& digest, const std::string& confirmed); // `confirmed`: digest that the engine reports as loaded
    void OnLoadFailed(const std::string& digest, std::string_view error);
    void OnEngineRestart(); // nothing is loaded any more; loads the active version again

    bool RequestBegin(const std::string& digest, const std::string& adapter); // true: counts as running until RequestEnd(); false: not servable
    void RequestEnd();

    std::vector<ActivationAction>             TakeActions();
    bool                                      MayServe(const std::string& digest, const std::string& adapter = {}) const;
    uint64_t                                  Fencing() const { return m_Fencing; }
    uint64_t                                  Running() const { return m_Running; }
    const std::string&                        Active() const { return m_Active; }
    const std::map<std::string, HeldVersion>& Versions() const { return m_Versions; }

private:
    void Prepare(const Order& o);
    void Commit(const Order& o);
    void Unload(const Order& o);
    void StartPendingLoad(); // does nothing while requests are running
    void Fail(HeldVersion& v, std::string_view error);
    void RunDeferredCommits();
    void DeactivateAdapters();

    std::map<std::string, HeldVersion> m_Versions;              // by slice digest; absent ones are not kept
    std::string                        m_Active;                // version that the engine serves; empty: none
    std::string                        m_Pending;               // version that waits for running requests to end, or is loading; empty: none
    bool                               m_LoadRequested = false; // the action to load m_Pending was issued
    std::vector<std::string>           m_DeferredCommits;       // digests committed while they were fetched or while the engine was loading
    uint64_t                           m_Fencing     = 0;       // highest number seen
    uint64_t                           m_LastOrderId = 0;       // id of the last order carried out with m_Fencing
    uint64_t                           m_Running     = 0;       // requests passed to the engine and not ended
    std::vector<ActivationAction>      m_Actions;               // not yet taken
};

} // namespace aldervale
