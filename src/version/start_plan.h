// aldervale: what the agent of one model server does next about its weights
//
// Pure. An agent is the only one that gives orders to its server, so no lease or fencing is needed: a rule that each applies alone takes
// the place of a controller.
//
// Rules:
//   - The newest named version is the target. A version that is being fetched when a newer one is named is given up, unless it was named
//     m_KeepFetchMinLead or longer before the newer one: then it is nearly whole, and serving it bridges the time until the newer one is there.
//     It is given up all the same when it isn't whole m_KeepFetchShare into its time: the origin fails, and the newer one would come too late too.
//   - When no piece of the target has come for m_StallTimeout (the origin is away) a version before it of which pieces are here is fetched
//     on from the neighbours, until it is whole or stalls too: it may serve until the target's deadline. With version 2 given up at 3's
//     naming and the origin silent for the 6 s after, no server might begin a request for 5 s.
//   - Of the versions that are whole here the newest is started. A server that holds nothing starts at once. One that serves an older
//     version waits for its turn: turns are spread evenly, in an order that every box computes alike, so that few leave the pool at once.
//     They lie within the time that a version has to come into force.
//
// Usage:
//   StartPlan p(config);
//   p.OnTargetVersion(7, now);
//   uint64_t fetch = p.NextFetch(input);  uint64_t start = p.NextStart(input, now);      // 0: nothing to do

#pragma once
#include "common/clock.h"
#include "common/load_report.h"
#include <cstdint>
#include <map>

namespace aldervale
{

constexpr double kWeightsDeadlineMaxMs = 3'600'000; // a setting's bound: an hour; weights named longer ago are everywhere

struct StartPlanConfig
{
    Duration m_WeightsDeadline  = milliseconds(8000); // from naming a version until no older one may begin a request
    double   m_FirstStartShare  = 0.42; // part of m_WeightsDeadline at which the first box's turn comes: pieces are whole some 3.4 s after a naming
    double   m_LastStartShare   = 0.80; // and the last one's
    Duration m_KeepFetchMinLead = milliseconds(2500); // see the rules
    double   m_KeepFetchShare   = 0.7;                // part of m_WeightsDeadline; see the rules
    Duration m_StallTimeout     = milliseconds(900);  // without a piece: one takes 0.25 s on a full link, and waits some 0.12 s in a queue
    Duration m_OrderRetryDelay  = milliseconds(300);  // after an order that was refused or not answered
};

struct PlanInput
{
    bool     m_Reachable     = false; // the own server answered lately
    bool     m_Busy          = false; // an order is under way there
    uint64_t m_LoadedVersion = 0;     // version that the server holds whole; 0: none
    uint64_t m_FetchVersion  = 0;     // version being fetched, or fetched last; 0: none
    bool     m_FetchComplete = false; // all its pieces are here
    Duration m_SinceLastPiece{};      // since the last piece of what is fetched
    uint64_t m_NewestPartial  = 0;    // newest version before the target of which some pieces are here, not all; 0: none
    uint64_t m_NewestComplete = 0;    // newest version of which all pieces are here; 0: none
    size_t   m_StartRank      = 0;    // of this box in the order of turns for m_NewestComplete
    size_t   m_BoxCount       = 1;    // that take turns
};

class StartPlan
{
public:
    explicit StartPlan(const StartPlanConfig& cfg) : m_Config(cfg) {}

    void                  OnTargetVersion(uint64_t version, TimePoint declared_at); // older ones than the newest known are ignored
    void                  OnOrderFailed(TimePoint now) { m_NextOrderAt = now + m_Config.m_OrderRetryDelay; }
    std::vector<NamedAge> DeclaredAges(uint64_t  loaded_version,
                                       TimePoint now) const; // the newest version named, and each other one newer than `held`
    uint64_t              Target() const { return m_DeclaredAt.empty() ? 1 : m_DeclaredAt.rbegin()->first; } // versions begin at 1

    uint64_t  NextFetch(const PlanInput& in, TimePoint now);       // version whose pieces to get
    uint64_t  NextStart(const PlanInput& in, TimePoint now) const; // version to start
    TimePoint ScheduledStart(const PlanInput& in) const;           // when this box may leave the pool for in.m_NewestComplete

private:
    StartPlanConfig               m_Config;              //
    std::map<uint64_t, TimePoint> m_DeclaredAt;          // when each version became known here
    TimePoint                     m_NextOrderAt{};       // no order before
    uint64_t                      m_FallbackVersion = 0; // version that is fetched because the target stalled; 0: none

    uint64_t NextFallback(const PlanInput& in, TimePoint now) const; // 0: none
};

} // namespace aldervale
