// aldervale: keeps the weights of one box's model server at the target version
//
// The target version is the version of the model's weights that operators declared last. WeightKeeper connects the decisions of StartPlan to
// PieceTransfer and the model server: it polls the local server's report, which costs little on the same box, publishes it to routers, fetches the
// version that the plan chooses, checks every staged piece while the server still serves, has routers send no new requests for a short while, and
// orders the server to start the version. A server whose weights are about to pass their deadline is ordered to stop.
//
// A check of a piece holds for a limited time (staged_check.h). Stale ones are repeated before the order, a few times. When the server took the
// pieces is known only from its answer: until that shows that every check held, routers aren't told of the version; the pieces are read again, and a
// server that took corrupt ones is ordered to stop.
//
// A process before this one may have been killed between its order and that answer. Weights that the server got by an order which this process didn't
// give are compared, too, but the server serves meanwhile: if no list of digests is to be had, it goes on.
//
// Usage (src/programs/platform_agent.cpp):
//   WeightKeeper k(daemon, plan, server, transfer, publisher);
//   k.SetModel("model"); k.OnTargetVersion(version, declared_at, true, "router"); k.Start();

#pragma once
#include "common/server_life.h"
#include "process/daemon.h"
#include "version/piece_transfer.h"
#include "version/place_answers.h"
#include "version/staged_check.h"
#include "version/start_plan.h"

namespace aldervale
{

class WeightKeeper
{
public:
    WeightKeeper(Daemon& daemon, const StartPlanConfig& plan, ModelServer& server, PieceTransfer& transfer, LoadPublisher& publisher);

    void Start();
    void SetModel(const std::string& model); // empty: not known yet, nothing is fetched or started
    // Default declared_at: unknown, long ago; its scheduled start has passed. told: a router told the time. by: who told the version, for the log.
    void         OnTargetVersion(uint64_t version, TimePoint declared_at, bool told, std::string_view by);
    void         OnDeclaredNotBefore(uint64_t version, TimePoint bound);                             // `version` was not declared before `bound`
    bool         Serving() const { return m_Reachable && m_Report.m_Weights > 0 && !HidesLoaded(); } // reachable, with whole weights loaded
    bool         LacksWeights() const { return m_Reachable && m_Report.m_Weights == 0; }             // the server is reachable and has none loaded
    void         SetOnNewerHeld(std::function<void(uint64_t version)> fn) { m_OnNewerHeld = std::move(fn); } // the server holds one above the target
    json::object Describe() const;
    void         LearnCapacity(bool on) { m_Places.LearnCapacity(on); } // of the server, from outcomes that routers report

private:
    enum ConfirmStage
    {
        ConfirmStage_Sending, // the order isn't answered yet
        ConfirmStage_Sent,    // a report has to show that the server took it
        ConfirmStage_Reading, // the pieces are being read again
        ConfirmStage_Corrupt, // one of them was wrong, or was replaced since
    };

    struct UnconfirmedStart // an order to start of which it isn't known yet that the server took whole pieces
    {
        PieceSet     m_Set;                             // complete, with its list
        StagedCheck  m_Check;                           // before the order
        int64_t      m_BornMs   = 0;                    // of the server's lifetime in which the pieces were checked
        ConfirmStage m_Stage    = ConfirmStage_Sending; //
        TimePoint    m_TakenBy  = TimePoint::max();     // when the server's answer came; max: it didn't
        bool         m_Replaced = false;                // a piece was staged anew since: what lies there says nothing of what was taken
        bool         m_Earlier  = false;                // a process before this one gave the order; nothing was checked before it
        TimePoint    m_WrongAt{};                       // when ConfirmStage_Corrupt was reached
    };

    awaitable<void> ReportLoop();
    bool            AcceptReport(const ServerReport& report); // false: the report is from an earlier incarnation of the server
    awaitable<void> PlanLoop();
    PlanInput       PlanInputNow() const;
    awaitable<void> StageAndStart(uint64_t version);
    awaitable<bool> DrainAndRecheck(const PieceSet& set, StagedCheck& check); // false: the server doesn't answer
    Duration        PlanPause() const;                                        // until the next look at what to fetch, to start or to stop
    void            RepeatLostStop();                                         //
    awaitable<void> StopServer();                                             // the server begins no more requests
    awaitable<void> DrainServer();                                            // routers send no new requests, and short requests end meanwhile
    awaitable<bool> CheckStaged(const PieceSet& set, StagedCheck& check);     // replaces wrong pieces; false: no answer, or an order was taken
    awaitable<bool> ReplaceStaged(const PieceSet& set, uint32_t n);           // false: the server doesn't answer
    awaitable<bool> HasNotTaken(uint64_t version);                            // the server neither holds it nor may be loading it
    bool            LoadedUnconfirmed() const;                                // the server holds the version of m_Unconfirmed
    bool            ReadingStarted() const;                                   // ReadStarted() is under way
    void            ConfirmStart();                                           // after a report that shows LoadedUnconfirmed()
    awaitable<void> ReadStarted();                                            // reads the pieces of m_Unconfirmed again
    bool            HidesLoaded() const;                                      // what the server holds may be corrupt by an order of this process
    bool            LoadedUnknown() const;                                    // this process neither ordered nor confirmed what the server holds
    void            NoteConfirmed();                                          // after each report
    void            TakeOverStart();                                          // after a report that shows LoadedUnknown()
    LoadReport      Load() const;
    void            Publish();

    Daemon&            m_Daemon;                  //
    ModelServer&       m_Server;                  //
    PieceTransfer&     m_Transfer;                //
    LoadPublisher&     m_Publisher;               //
    asio::steady_timer m_ReportTimer;             // of ReportLoop(); cancelled when a router's question needs a fresh report
    PlaceAnswers       m_Places;                  //
    StartPlan          m_Plan;                    //
    std::string        m_Model;                   //
    ServerReport       m_Report;                  // last report of the server
    TimePoint          m_ReportAskedAt{};         // when m_Report was requested
    bool               m_Reachable       = false; // fewer than kMissedReportsMax reports in a row were missed
    unsigned           m_MissedReports   = 0;     // requests for a report in a row without a usable answer
    bool               m_StartInProgress = false; // pieces are being checked for a start, or it was ordered and hasn't finished
    bool               m_Draining        = false; // routers are asked to send no new requests; valid only with m_StartInProgress
    bool               m_Stopping        = false; // the server was ordered to stop, or is about to be, and still holds its weights
    TimePoint          m_StopOrderedAt{};         // when the last order to stop was answered; max: not yet
    uint64_t           m_OrderedVersion = 0;      // version of the start in progress
    TimePoint          m_OrderedAt{};             // when the order was sent; default: not yet
    uint64_t           m_Confirmed       = 0;     // version that the server holds and about which nothing is left to find out; 0: none
    uint64_t           m_ReplacedVersion = 0;     // version of the last piece that this process staged; 0: none yet

    std::function<void(uint64_t)>   m_OnNewerHeld; // may be empty
    std::optional<UnconfirmedStart> m_Unconfirmed; // the last one that may have been taken; empty: every start is confirmed
};

} // namespace aldervale
