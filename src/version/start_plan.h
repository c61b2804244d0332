// aldervale: decides which version of a model's weights the agent of one model server fetches, and which one it starts
//
// Pure: no input or output, and the time is passed in. An agent is the only process that orders its server to start a version, so no lease and no
// fencing is needed. Each agent applies the rules below by itself; there is no controller.
//
// Terms:
//   - Target version: the version of the model's weights that operators declared last.
//   - Weights deadline: the time after the declaration of a version from which no server may start a request on an older version.
//   - Piece: one of the numbered parts that a version's weights are cut into. A version is complete on a box when all its pieces are there.
//   - Neighbour: an agent of the same service on another box. Neighbours hand pieces to each other.
//
// Rules for fetching:
//   - The agent fetches the target version. If a newer version is declared during a fetch, the fetch is given up and the newer version is fetched.
//   - Exception: a fetch is finished first if its version was declared m_KeepFetchMinLead or longer before the newer one. It is nearly complete
//     then, and serving it bridges the time until the newer version is complete.
//   - The exception ends when m_KeepFetchShare of the version's weights deadline has passed and it still isn't complete: the origin is failing, and
//     waiting longer would make the newer version late as well.
//   - When no piece of the target has arrived for m_StallTimeout (the origin is unreachable), the agent falls back to an older version of which it
//     has some pieces and fetches the others from neighbours, until that version is complete or stalls too. It may serve until the target's weights
//     deadline. Without this rule, when version 2 was given up as version 3 was declared and the origin then stopped answering for 6 s, no server
//     could start a request for 5 s.
//
// Rules for starting:
//   - The newest complete version is started. A server without any version starts it at once.
//   - A version is not started any more once a server that holds it would have to stop, nor while the time of a newer one is unknown.
//   - A server that serves an older version waits for its scheduled start. The starts of all boxes are spread evenly over a part of the weights
//     deadline, in an order that every box computes alike, so that only few servers are out of service at the same time.
//
// Rules for stopping: shortly before the weights deadline of a newer version (m_StopLead) the server has to stop beginning requests. A router can't
// ensure that: a request may be on its way to the server for any time, and so may the reset of one that the router gave up.
//   - The deadline counts from a time that isn't after the declaration of the version: the latest such bound that routers told. Without one it is the
//     time at which the first router learned of the declaration, less m_LearnLagMax. A bound after the time of learning is ignored: the row was
//     written again.
//   - If no router told the time, the deadline may be near or over, however the version was heard of. Routers tell it within a second; a server whose
//     agent isn't told is stopped m_UnknownTimeGrace after the version was first heard of.
//   - A server that doesn't answer requests for its report is ordered to stop as well: it may still begin requests.
//   - A server that loaded a corrupt piece has to stop at once.
//   - A process before this one may have had the server start what it serves, and nobody knows whether the pieces were right then. They are compared
//     where they are staged, while the server goes on. A wrong one may have turned corrupt before the start or after it: the server is drained,
//     stopped and started again. Boxes do this in the order of starts and at its pace, for all agents may have been restarted together.
//
// Usage:
//   StartPlan p(config);
//   p.OnTargetVersion(7, declared_at, true, now); p.OnDeclaredNotBefore(7, bound);
//   uint64_t fetch = p.NextFetch(input, now);  uint64_t start = p.NextStart(input, now);      // 0: nothing to do

#pragma once
#include "common/clock.h"
#include "common/load_report.h"
#include <cstdint>
#include <map>
#include <set>

namespace aldervale
{

constexpr double kWeightsDeadlineMaxMs = 3'600'000; // 1 hour, the upper bound of the setting: weights declared longer ago have reached every box

// From the order to stop until the weights deadline: the longest time that a request which the server has taken waits for its first token.
constexpr auto kStopLead = milliseconds(400);

struct StartPlanConfig
{
    Duration m_WeightsDeadline  = milliseconds(8000); // see the terms
    double   m_FirstStartShare  = 0.42;               // of m_WeightsDeadline, start of the first box: pieces are complete after about 3.4 s
    double   m_LastStartShare   = 0.80;               // of m_WeightsDeadline, start of the last box
    Duration m_KeepFetchMinLead = milliseconds(2500); // a fetch is finished if its version was declared this much earlier than the newer one
    double   m_KeepFetchShare   = 0.7;                // of m_WeightsDeadline, until which an older version is still fetched
    Duration m_StallTimeout     = milliseconds(900);  // without a piece: one takes 0.25 s on a full link and queues for about 0.12 s
    Duration m_StopLead         = kStopLead;          // before the weights deadline
    Duration m_LearnLagMax      = milliseconds(1500); // from a declaration until it is learned, if nothing bounds its time
    Duration m_UnknownTimeGrace = milliseconds(1500); // for routers to tell when a version was declared; they send an update every second
    Duration m_StopRetryDelay   = milliseconds(75);   // after an order to stop that the server refused: its report may be that old
    Duration m_OrderRetryDelay  = milliseconds(300);  // after an order that the server refused or didn't answer
};

struct PlanInput // state of the box at the time of a decision
{
    bool      m_Reachable     = false; // the server answers requests for its report
    bool      m_Busy          = false; // the server is carrying out an order
    uint64_t  m_LoadedVersion = 0;     // version that the server serves; 0: none
    bool      m_LoadedCorrupt = false; // it was loaded from a corrupt piece
    bool      m_LoadedUnknown = false; // a process before this one had it started, and its staged pieces haven't been compared yet
    TimePoint m_StagedWrongAt{};       // when one of those proved wrong; default: none did
    uint64_t  m_FetchVersion  = 0;     // version being fetched, or fetched last; 0: none
    bool      m_FetchComplete = false; // all pieces of m_FetchVersion are here
    Duration  m_SinceLastPiece{};      // time since the last piece of m_FetchVersion arrived
    uint64_t  m_NewestPartial  = 0;    // newest version older than the target of which some pieces are here, but not all; 0: none
    uint64_t  m_NewestComplete = 0;    // newest version of which all pieces are here; 0: none
    size_t    m_StartRank      = 0;    // position of this box in the order of starts of m_NewestComplete, from 0
    size_t    m_BoxCount       = 1;    // boxes in that order, this one included
};

enum StopBasis // what a stop time is counted from
{
    StopBasis_None,    // no newer version is known
    StopBasis_Bound,   // a bound of the declaration's time, told by a router
    StopBasis_Learned, // when the first router learned of the declaration
    StopBasis_Heard,   // no router told the time: when this process first heard of the version
    StopBasis_Corrupt, // the server loaded a corrupt piece: at once
};

struct StopTimeInfo
{
    TimePoint m_At    = TimePoint::max();
    StopBasis m_Basis = StopBasis_None;
};

class StartPlan
{
public:
    explicit StartPlan(const StartPlanConfig& cfg) : m_Config(cfg) {}

    // Ignored unless newer than all before, or the first known time of a version. Default declared_at: unknown. `told`: by a router.
    void OnTargetVersion(uint64_t version, TimePoint declared_at, bool told, TimePoint now);
    void OnDeclaredNotBefore(uint64_t version, TimePoint bound); // ignored if later than the time at which it was learned
    void OnStopFailed(TimePoint now) { m_NextStopAt = now + m_Config.m_StopRetryDelay; }
    void OnOrderFailed(TimePoint now) { m_NextOrderAt = now + m_Config.m_OrderRetryDelay; }
    // Of the target and of each version newer than the loaded one. Only times that routers told, bounds before others: routers that lack a version's
    // time take it from here, and count on the stop where it is known.
    std::vector<NamedAge> DeclaredAges(uint64_t loaded_version, TimePoint now) const;
    uint64_t              Target() const { return m_DeclaredAt.empty() ? 1 : m_DeclaredAt.rbegin()->first; } // versions begin at 1

    uint64_t     NextFetch(const PlanInput& in, TimePoint now);                  // version to fetch; 0: none
    uint64_t     NextStart(const PlanInput& in, TimePoint now) const;            // version to order the server to start; 0: none
    bool         MayStart(uint64_t version, TimePoint now) const;                // false: a server that takes it now would have to stop, or may
    bool         MustStop(const PlanInput& in, TimePoint now) const;             // true: order the server to begin no more requests
    bool         MustReload(const PlanInput& in, TimePoint now) const;           // true: drain it before, and start the same version again
    TimePoint    StopTime(uint64_t version) const { return Stop(version).m_At; } // of a server that holds `version`; max: no newer one is known
    StopTimeInfo Stop(uint64_t version) const;                                   // the same with its basis
    TimePoint    ScheduledStart(const PlanInput& in) const; // earliest start of in.m_NewestComplete on a server that serves an older version

private:
    StartPlanConfig               m_Config;              //
    std::map<uint64_t, TimePoint> m_NotBefore;           // not after the declaration, by version; also of versions that were missed
    std::map<uint64_t, TimePoint> m_DeclaredAt;          // time of declaration by version; default: unknown, before this process started
    std::set<uint64_t>            m_Told;                // versions whose time a router told; among the keys of m_DeclaredAt
    std::map<uint64_t, TimePoint> m_HeardAt;             // when this process first heard of a version; the same keys as m_DeclaredAt
    TimePoint                     m_NextOrderAt{};       // no order to start is given before this time
    TimePoint                     m_NextStopAt{};        // no order to stop is given before this time
    uint64_t                      m_FallbackVersion = 0; // older version that is fetched because the target stalled; 0: none

    uint64_t NextFallback(const PlanInput& in, TimePoint now) const; // older version to fetch while the target stalls; 0: none
    Duration StartTurn(const PlanInput& in) const;                   // of this box, after the first one in the order of starts
};

} // namespace aldervale
