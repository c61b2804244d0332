// aldervale: activation, which versions a box holds and which one its engine serves
//
// Pure: orders, results and times in, actions out. One version at a time is active. A version may become active only when all its
// chunks are verified, the running requests of the former one have ended, and the engine has confirmed the digest. Orders below the
// highest fencing number seen are refused; the agent checks for engines that don't.
//
// Life of a version:
//   Absent -> Fetching -> Verified -> Loading -> Servable -> Verified (another one took its place) -> Absent
//                 any of them -> Failed (a new order tries again)
//
// Usage (shell):
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
    OrderKind_Prepare, // fetch and verify, keep serving what is active
    OrderKind_Commit,  // make a verified version active
    OrderKind_Unload,  // drop a version that is not active
};

struct Order
{
    uint64_t    m_Fencing = 0;                 // of the controller's lease
    uint64_t    m_Id      = 0;                 // unique; a repeated order is answered again, not carried out again
    OrderKind   m_Kind    = OrderKind_Prepare; //
    std::string m_Digest;                      // slice digest of a version or adapter
    std::string m_Base;                        // adapters: digest of the active version that they go on
};

enum OrderOutcome
{
    OrderOutcome_Started,
    OrderOutcome_Done,  // nothing left to do
    OrderOutcome_Stale, // fencing number outdated: nothing changed
    OrderOutcome_Failed,
};

enum ActivationActionType
{
    ActivationAction_Fetch,      // fetch and verify all chunks, then OnVerified() or OnFetchFailed()
    ActivationAction_StopFetch,  // a newer order made it pointless
    ActivationAction_EngineLoad, // load into the engine, then OnLoaded() or OnLoadFailed()
    ActivationAction_Drop,       // release staging
};

struct ActivationAction
{
    ActivationActionType m_Type = ActivationAction_Fetch; //
    std::string          m_Digest;                        //
    std::string          m_Base;                          // adapters only
    uint64_t             m_Fencing = 0;                   // to hand on to the engine
};

struct HeldVersion
{
    VersionState m_State = VersionState_Absent; //
    std::string  m_Base;                        // adapters: digest they go on; empty for versions
    std::string  m_Error;                       // why it failed last
    unsigned     m_Failures = 0;                // since this box holds it; halts a rollout
};

class Activation
{
public:
    OrderOutcome OnOrder(const Order& o);
    void         OnFencing(uint64_t fencing); // heard from peers; raises the bar for orders

    void OnVerified(const std::string& digest);
    void OnFetchFailed(const std::string& digest, std::string_view error);
    void OnLoaded(const std::string& digest, const std::string& confirmed); // `confirmed`: what the engine says it loaded
    void OnLoadFailed(const std::string& digest, std::string_view error);
    void OnEngineRestart(); // the engine restarted: nothing is loaded any more

    bool RequestBegin(const std::string& digest, const std::string& adapter); // false: not servable; true: counts as running
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
    void StartPendingLoad(); // when nothing runs any more
    void Fail(HeldVersion& v, std::string_view error);
    void RunDeferredCommits();
    void DeactivateAdapters();

    std::map<std::string, HeldVersion> m_Versions;              // by slice digest; Absent ones are not kept
    std::string                        m_Active;                // version that the engine serves; empty: none
    std::string                        m_Pending;               // version waiting for running requests to end, or loading; empty: none
    bool                               m_LoadRequested = false; // the engine was asked to load m_Pending
    std::vector<std::string>           m_DeferredCommits;       // digests committed while still fetching
    uint64_t                           m_Fencing     = 0;       // never falls
    uint64_t                           m_LastOrderId = 0;       // id of the last order carried out under m_Fencing
    uint64_t                           m_Running     = 0;       // requests handed to the engine
    std::vector<ActivationAction>      m_Actions;               // not yet taken
};

} // namespace aldervale
