// aldervale: keeps the weights of one box's model server at the newest named version
//
// The shell around StartPlan and PieceTransfer: watches the own server's report, which is fresh and free on its box, tells routers of it,
// fetches what the plan asks for, checks every piece where it lies while the server still serves, has routers send nothing new for a short
// while, and orders the start.
//
// Usage (src/programs/platform_agent.cpp):
//   WeightKeeper k(daemon, plan, server, transfer, publisher);
//   k.SetModel("model"); k.OnTargetVersion(version, Now()); k.Start();

#pragma once
#include "common/server_life.h"
#include "process/daemon.h"
#include "version/piece_transfer.h"
#include "version/place_answers.h"
#include "version/start_plan.h"

namespace aldervale
{

class WeightKeeper
{
public:
    WeightKeeper(Daemon& daemon, const StartPlanConfig& plan, ModelServer& server, PieceTransfer& transfer, LoadPublisher& publisher);

    void         Start();
    void         SetModel(const std::string& model);                    // empty: not known yet, nothing is done
    void         OnTargetVersion(uint64_t version, TimePoint named_at); // default: at an unknown time before this process began, its turn has come
    bool         Serving() const { return m_Reachable && m_Report.m_Weights > 0; }
    json::object Describe() const;

private:
    awaitable<void> ReportLoop();
    bool            AcceptReport(const ServerReport& report); // false: of an earlier lifetime than the known one
    awaitable<void> PlanLoop();
    awaitable<void> StageAndStart(uint64_t version);
    awaitable<void> DrainServer();                    // routers send nothing new; what is short ends by itself
    awaitable<bool> CheckStaged(const PieceSet& set); // true: every piece lies at the server as it should
    LoadReport      Load() const;
    void            Publish();

    Daemon&            m_Daemon;                  //
    ModelServer&       m_Server;                  //
    PieceTransfer&     m_Transfer;                //
    LoadPublisher&     m_Publisher;               //
    asio::steady_timer m_ReportTimer;             // of ReportLoop(): a router's question wants a fresh report
    PlaceAnswers       m_Places;                  //
    StartPlan          m_Plan;                    //
    std::string        m_Model;                   //
    ServerReport       m_Report;                  // last one
    TimePoint          m_ReportAskedAt{};         // when it was asked for
    bool               m_Reachable       = false; // reports come: fewer than kMissedReportsMax in a row were missed
    unsigned           m_MissedReports   = 0;     // reports in a row without an answer
    bool               m_StartInProgress = false; // pieces are being checked for a start, or it was ordered and isn't done
    bool               m_Draining        = false; // says something only with m_StartInProgress: routers are told to send nothing new
    uint64_t           m_OrderedVersion  = 0;     // version of that start
    TimePoint          m_OrderedAt{};             // when the order was given; default: not yet
};

} // namespace aldervale
