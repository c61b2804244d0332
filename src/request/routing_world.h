// aldervale: the state from which a router routes requests: declarations, list of servers, target versions of weights and evacuations
//
// The state is filled from the platform's tables and from the reports of agents. The target version is the version of a model's weights that
// operators declared last. From the time of its declaration until the weights deadline, servers may still start requests with older versions.
//
// Usage:
//   RoutingState state;
//   RecordTargetVersion(state, "model-a", 7, {Now(), true}, Now());
//   ForEachServer(state, [](const Service& s, const ServerEntry& e) { ... });

#pragma once
#include "common/load_report.h"
#include "process/server_directory.h"
#include "request/server_eligibility.h"
#include "version/route_table.h"
#include <span>

namespace aldervale
{

// Declarations whose last confirmation is older may be stale. In normal operation it is at most 1.2 s old.
constexpr auto kConfirmationMaxAge = milliseconds(1500);

// Estimate of the time when a version of weights was declared as target version. The time is observed if a process saw the declaration happen, or
// assumed for a version that was declared before this process started. Processes that read the store pause between two reads, so when one learns of
// a version the declaration may be most of a second old.
struct DeclarationTime
{
    TimePoint m_At{};             // if m_Observed, not before the true time, unless m_IsBound
    bool      m_Observed = false; // false: m_At is assumed
    bool      m_IsBound  = false; // m_At isn't after the true time; only if m_Observed
    TimePoint m_LearnedAt{};      // if m_IsBound or assumed: when the first process learned of the version; default: unknown
    uint64_t  m_RowVersion = 0;   // if m_IsBound or assumed: of the row in the store that declared it; 0: unknown
};

// Returns the time to assume for a version that was declared at an unknown time, so that older versions may be used only for a short time from now.
// `deadline` is the weights deadline: the time from the declaration after which no older version may start a request.
DeclarationTime AssumeDeclarationTime(TimePoint now, Duration deadline);

// Returns the time to take for a version that is new since `not_before`, when the store was last asked and didn't have it; default: unknown. After a
// long gap between reads, or if that is unknown, the time is assumed.
DeclarationTime EstimateDeclarationTime(TimePoint not_before, TimePoint learned, TimePoint now, Duration deadline);

// Declaration times by version. A newer target version does not change the deadlines set by earlier ones.
using DeclaredVersions = std::map<uint64_t, DeclarationTime>;

// Whether the declarations of a router are the newest. Rows are identified by their version in the store.
struct DeclarationsFreshness
{
    uint64_t    m_HeldRow   = 0; // version of the newest row that this router has
    uint64_t    m_NewestRow = 0; // version of the newest row reported by any router; above m_HeldRow: this router is behind and fetches it
    TimePoint   m_ConfirmedAt{}; // last time the store confirmed m_HeldRow as the newest, to this router or to one that reported it
    std::string m_Source;        // where m_HeldRow came from: "store" or the address of a router
};

struct RoutingState // used on one thread
{
    RouteTablePtr                           m_Routes;                 // null until the first declarations are received; its version never falls
    TimePoint                               m_RoutesReceivedAt{};     // time when m_Routes was received
    DeclarationsFreshness                   m_Freshness;              // of m_Routes
    ServerDirectory                         m_Servers;                //
    bool                                    m_ServerListRead = false; // the list of servers has been read at least once
    std::map<std::string, DeclaredVersions> m_TargetVersions;         // by model; only the newest versions of each
    EvacuatedDataCentres                    m_Evacuated;              // their servers get no new requests
    RegionsOfDataCentres                    m_Regions;                // from the settings
};

// Records that `version` was declared as target version. An observed time replaces an assumed one, and an earlier observed time replaces a later one,
// because the first observer is closest to the true time. A bound replaces other times, unless one of them was observed before it: then the row was
// written again, or the version was learned before it. The first bound is kept. An assumed time is ignored for a version older than the newest
// recorded one.
// Returns whether boxes have to be told: the version is new and the newest, or the time of a known one is a better one now. A row that names a
// version which an earlier row named doesn't tell when it was declared.
bool RecordTargetVersion(RoutingState& state, const std::string& model, uint64_t version, DeclarationTime declared, TimePoint now);

// Records a later bound of the time at which the row was written, which replaces an earlier bound or an assumed time. Returns whether a version's
// time changed.
bool RefineDeclarationTime(RoutingState& state, uint64_t row_version, TimePoint not_before);

// Records the versions that a model server's agent reports. The agent may reach the store when this process can't, and may have observed declarations
// made before this process started.
void RecordReportedVersions(RoutingState& state, const std::string& model, std::span<const NamedAge> reported, Duration deadline, TimePoint now);

// Returns whether a route or key that this router does not find in its declarations may have been declared since: a newer row was reported, or the
// row that this router has was not confirmed as the newest for kConfirmationMaxAge. False if the process does not follow the declarations (m_HeldRow
// is 0).
bool DeclarationsMayBeStale(const DeclarationsFreshness& freshness, TimePoint now);

// Calls fn(service, entry) for each server of each declared service, including draining servers.
template <class FnT> void ForEachServer(const RoutingState& state, FnT fn)
{
    if (!state.m_Routes)
        return;
    for (const Service& s : state.m_Routes->Spec().m_Services)
        for (const ServerEntry* e : state.m_Servers.All(s.m_Name))
            fn(s, *e);
}

} // namespace aldervale
