// Keeps one model server at the target version of its weights. See weight_keeper.h.
#include "version/weight_keeper.h"
#include "common/log.h"

namespace aldervale
{

namespace
{

constexpr auto     kReportInterval     = milliseconds(75);  // between reports of the local server
constexpr auto     kReportTimeout      = milliseconds(400); // for one report
constexpr unsigned kMissedReportsMax   = 2;                 // missed reports in a row after which the server counts as unreachable
constexpr auto     kPlanInterval       = milliseconds(100); // between looks at what to fetch and to start
constexpr auto     kPieceTimeout       = milliseconds(800); // for staging or reading one piece
constexpr auto     kOrderEffectTimeout = seconds(6);        // an order without a visible effect is repeated after this time
constexpr auto     kDrainTimeout =
    milliseconds(1400); // from the notice to routers until the order, which cuts off running requests: a typical stream takes about 1.2 s
constexpr auto kStopEffectTimeout = seconds(1);        // an order to stop is repeated if no report has shown its effect by then
constexpr auto kStopOrderTimeout  = milliseconds(120); // for the answer to it: three tries fit into the time between stop and deadline
constexpr int  kStopOrderTries    = 3;
constexpr auto kStopTickMin       = milliseconds(5);
static_assert(kStopOrderTimeout * kStopOrderTries < kStopLead);
constexpr int  kDrainTries         = 3;                // drains of the server in one start, if the checks of its pieces grow stale meanwhile
constexpr auto kRouterNotifyDelay  = milliseconds(25); // shortest drain: the transit time of a datagram to routers
constexpr auto kDrainPollInterval  = milliseconds(25); // between looks whether the server is idle
constexpr auto kReportPollInterval = milliseconds(5);  // between looks whether a report has come

const char* TextOf(StopBasis basis)
{
    constexpr const char* kTexts[] = {"none", "bound", "learned", "heard", "corrupt"};
    return kTexts[basis];
}

} // namespace

WeightKeeper::WeightKeeper(Daemon& daemon, const StartPlanConfig& plan, ModelServer& server, PieceTransfer& transfer, LoadPublisher& publisher)
    : m_Daemon(daemon), m_Server(server), m_Transfer(transfer), m_Publisher(publisher), m_ReportTimer(daemon.Ioc()),
      m_Places(publisher, [this] { m_ReportTimer.cancel(); }), m_Plan(plan)
{
}

void WeightKeeper::SetModel(const std::string& model)
{
    m_Model = model;
    m_Transfer.SetModel(model);
}

void WeightKeeper::Start()
{
    asio::co_spawn(
        m_Daemon.Ioc(), [this] { return ReportLoop(); }, asio::detached);
    asio::co_spawn(
        m_Daemon.Ioc(), [this] { return PlanLoop(); }, asio::detached);
}

void WeightKeeper::OnTargetVersion(uint64_t version, TimePoint declared_at, bool told, std::string_view by)
{
    const bool newer = version > m_Plan.Target();
    m_Plan.OnTargetVersion(version, declared_at, told, Now());
    if (newer)
        LogEvent(Event_WeightsNamed, {{"model", m_Model}, {"version", version}, {"held", m_Report.m_Weights}, {"by", by}});
}

void WeightKeeper::OnDeclaredNotBefore(uint64_t version, TimePoint bound)
{
    m_Plan.OnDeclaredNotBefore(version, bound);
}

json::object WeightKeeper::Describe() const
{
    return {{"model", m_Model},         {"held", m_Report.m_Weights},       {"target", m_Plan.Target()},
            {"reachable", m_Reachable}, {"fetching", m_Transfer.Version()}, {"whole", m_Transfer.IsComplete()}};
}

LoadReport WeightKeeper::Load() const
{
    LoadReport r;
    r.m_Running  = m_Report.m_Running;
    r.m_Waiting  = m_Report.m_Waiting;
    r.m_Pace     = static_cast<float>(std::max(m_Report.m_Pace, m_Transfer.Slowdown())); // the larger value: a request also waits on the link
    r.m_Weights  = m_Reachable && !m_Stopping && !HidesLoaded() ? m_Report.m_Weights : 0;
    r.m_BornMs   = m_Report.m_BornMs;
    r.m_Capacity = m_Places.Capacity();
    r.m_Starting = m_StartInProgress && m_Draining;
    r.m_Named    = m_Plan.DeclaredAges(r.m_Weights, Now());
    return r;
}

void WeightKeeper::Publish()
{
    m_Publisher.Publish(Load());
}

// A restarted server has no weights loaded: an order from before its restart is neither in progress nor done, and the staged pieces have to be
// checked again.
bool WeightKeeper::AcceptReport(const ServerReport& report)
{
    if (ServerLife::Earlier(report.m_BornMs, m_Report.m_BornMs))
        return false;
    if (ServerLife::Earlier(m_Report.m_BornMs, report.m_BornMs))
    {
        LogEvent(Event_OwnServerStarted, {{"born_ms", report.m_BornMs}, {"before_ms", m_Report.m_BornMs}, {"held_before", m_Report.m_Weights}});
        m_Places.OnServerStarted();
        m_Stopping  = false;
        m_Confirmed = 0;
        if (m_OrderedAt != TimePoint{})
            m_StartInProgress = false;
    }
    m_Report = report;
    return true;
}

awaitable<void> WeightKeeper::ReportLoop()
{
    for (;;)
    {
        const TimePoint asked         = Now();
        const auto      report        = co_await m_Server.Report(asked + kReportTimeout);
        const bool      was_reachable = m_Reachable;
        const uint64_t  held_before   = m_Report.m_Weights;
        const bool      taken         = report && AcceptReport(report.value());
        m_ReportAskedAt               = taken ? asked : m_ReportAskedAt;
        m_MissedReports               = taken ? 0 : m_MissedReports + 1;
        m_Reachable                   = taken || (m_Reachable && m_MissedReports < kMissedReportsMax);
        if (was_reachable && !m_Reachable)
            LogEvent(Event_OwnServerLost, {{"why", report ? std::string("only reports of an earlier incarnation") : report.error().m_Message}});
        if (!was_reachable && m_Reachable)
            LogEvent(Event_OwnServerBack, {{"held", m_Report.m_Weights}, {"orders", m_Report.m_Orders}});
        if (held_before != m_Report.m_Weights)
            LogEvent(Event_WeightsServing, {{"version", m_Report.m_Weights}, {"before", held_before}});
        const bool stopped = m_Stopping && taken && asked > m_StopOrderedAt && (m_Report.m_Weights == 0 || !m_Report.m_Busy);
        if (stopped)
            m_Stopping = false;
        const bool done = m_StartInProgress && m_OrderedAt != TimePoint{} && !m_Report.m_Busy &&
                          (m_Report.m_Weights >= m_OrderedVersion || !m_Reachable || Now() - m_OrderedAt > kOrderEffectTimeout);
        if (done)
            m_StartInProgress = false;
        if (taken)
            NoteConfirmed();
        if (taken && LoadedUnknown())
            TakeOverStart();
        if (taken && LoadedUnconfirmed())
            ConfirmStart();
        if (taken && m_Report.m_Weights > m_Plan.Target() && m_OnNewerHeld)
            m_OnNewerHeld(m_Report.m_Weights); // started before this process, so it was declared
        m_Transfer.SetLoadedVersion(m_Reachable ? m_Report.m_Weights : 0);
        Publish();
        if (taken || !m_Reachable)
            m_Places.OnReport(Load(), asked);
        m_ReportTimer.expires_after(m_Places.HasQueue() ? kQueuePollInterval : kReportInterval);
        co_await m_ReportTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

awaitable<void> WeightKeeper::PlanLoop()
{
    for (;;)
    {
        co_await SleepFor(PlanPause());
        if (m_Model.empty())
            continue;
        RepeatLostStop();
        const PlanInput in    = PlanInputNow();
        const uint64_t  fetch = m_Plan.NextFetch(in, Now());
        if (fetch > 0)
            m_Transfer.StartFetch(fetch);
        if (!m_Stopping && m_Plan.MustStop(in, Now()))
        {
            m_Stopping = true;
            asio::co_spawn(
                m_Daemon.Ioc(), [this] { return StopServer(); }, asio::detached);
        }
        const bool     busy  = m_StartInProgress || m_Stopping || ReadingStarted();
        const uint64_t start = busy ? 0 : m_Plan.NextStart(in, Now());
        if (start > 0)
            asio::co_spawn(
                m_Daemon.Ioc(), [this, start] { return StageAndStart(start); }, asio::detached);
    }
}

// Shorter if the server has to be stopped before the next regular look.
Duration WeightKeeper::PlanPause() const
{
    const TimePoint now  = Now();
    const TimePoint stop = m_Report.m_Weights > 0 ? m_Plan.StopTime(m_Report.m_Weights) : TimePoint::max();
    return stop > now && stop < now + kPlanInterval ? std::max<Duration>(stop - now, kStopTickMin) : Duration(kPlanInterval);
}

// An order to stop may have been lost, and while the server doesn't answer requests for its report nothing shows that.
void WeightKeeper::RepeatLostStop()
{
    if (!m_Stopping || m_StopOrderedAt == TimePoint::max() || Now() - m_StopOrderedAt < kStopEffectTimeout || m_ReportAskedAt > m_StopOrderedAt)
        return;
    m_Stopping      = false;
    m_Report.m_Busy = false;
}

PlanInput WeightKeeper::PlanInputNow() const
{
    PlanInput in;
    in.m_Reachable      = m_Reachable;
    in.m_Busy           = m_Report.m_Busy && (m_Reachable || Now() - m_ReportAskedAt < kStopEffectTimeout); // what was reported long ago may be over
    in.m_LoadedVersion  = m_Report.m_Weights;
    const bool corrupt  = LoadedUnconfirmed() && m_Unconfirmed->m_Stage == ConfirmStage_Corrupt;
    in.m_LoadedCorrupt  = corrupt && !m_Unconfirmed->m_Earlier;
    in.m_StagedWrongAt  = corrupt && m_Unconfirmed->m_Earlier ? m_Unconfirmed->m_WrongAt : TimePoint{};
    in.m_LoadedUnknown  = LoadedUnknown() && !m_Transfer.CannotCompare(m_Report.m_Weights);
    in.m_FetchVersion   = m_Transfer.Version();
    in.m_FetchComplete  = m_Transfer.IsComplete();
    in.m_SinceLastPiece = m_Transfer.TimeSinceLastPiece();
    in.m_NewestPartial  = m_Transfer.NewestPartial(m_Plan.Target());
    in.m_NewestComplete = m_Transfer.NewestComplete();
    in.m_StartRank      = m_Transfer.StartRank(in.m_NewestComplete);
    in.m_BoxCount       = m_Transfer.Boxes();
    return in;
}

awaitable<void> WeightKeeper::StopServer()
{
    if (!m_Plan.MustStop(PlanInputNow(), Now())) // a report may have come since
    {
        m_Stopping = false;
        co_return;
    }
    m_StopOrderedAt = TimePoint::max(); // until then no report shows the order's effect
    Publish();                          // routers send nothing more
    if (m_Plan.MustReload(PlanInputNow(), Now()))
    {
        co_await DrainServer();
        if (!m_Plan.MustStop(PlanInputNow(), Now()))
        {
            m_Stopping = false;
            co_return;
        }
    }
    const PlanInput    in      = PlanInputNow();
    const bool         corrupt = in.m_LoadedCorrupt || m_Plan.MustReload(in, Now());
    const StopOrder    order{m_Model, m_Report.m_Weights, m_Report.m_Orders, corrupt};
    const TimePoint    ordered = Now();
    const StopTimeInfo stop    = corrupt ? StopTimeInfo{ordered, StopBasis_Corrupt} : m_Plan.Stop(order.m_Version);
    StartOutcome       outcome = co_await m_Server.Stop(order, ordered + kStopOrderTimeout);
    for (int tries = 1; outcome == StartOutcome_Unknown && tries < kStopOrderTries; tries++)
    {
        outcome = co_await m_Server.Stop(order, Now() + kStopOrderTimeout);
        if (outcome == StartOutcome_Refused)
            outcome = StartOutcome_Unknown; // a try before it may have been taken
    }
    const bool taken = outcome == StartOutcome_Begun || outcome == StartOutcome_Holds;
    m_StopOrderedAt  = Now();
    if (taken || m_Reachable) // else a dead server would be logged at every try
        LogEvent(Event_ServerStopped, {{"model", m_Model},
                                       {"version", order.m_Version},
                                       {"answered", taken},
                                       {"counted_from", TextOf(stop.m_Basis)},
                                       {"late_ms", ToMs(ordered - stop.m_At)}});
    if (taken || outcome == StartOutcome_Unknown)
    {
        m_Report.m_Busy = true; // until the next report
        co_return;
    }
    m_Plan.OnStopFailed(m_Reachable ? Now() : Now() + kStopEffectTimeout); // a dead server isn't asked ten times a second
    m_Stopping = false;
}

// The last wrong piece is replaced only after a report has shown that the server hasn't taken the version: an order that an agent process before this
// one gave may be taken at any time, and once all pieces are right nothing tells a further process that the server loaded others.
awaitable<bool> WeightKeeper::CheckStaged(const PieceSet& set, StagedCheck& check)
{
    std::optional<uint32_t> wrong; // the last one, not replaced yet
    for (uint32_t n = 0; n < set.m_Pieces.size(); n++)
    {
        const TimePoint asked = Now();
        if (!check.IsStale(n, asked))
            continue;
        const auto staged = co_await m_Server.GetPiece(m_Model, n, asked + kPieceTimeout);
        if (!staged && staged.error().m_Code != ErrorCode_NotFound)
            co_return false;
        check.OnChecked(n, asked);
        if (staged && staged.value() == *set.m_Pieces[n])
            continue;
        bool replaced = true;
        if (wrong)
            replaced = co_await ReplaceStaged(set, *wrong);
        if (!replaced)
            co_return false;
        wrong = n;
    }
    if (!wrong)
        co_return true;
    const bool free = co_await HasNotTaken(set.m_List->m_Version);
    if (!free)
        co_return false;
    const bool replaced = co_await ReplaceStaged(set, *wrong);
    co_return replaced;
}

awaitable<bool> WeightKeeper::ReplaceStaged(const PieceSet& set, uint32_t n)
{
    if (m_Unconfirmed)
        m_Unconfirmed->m_Replaced = true;
    m_ReplacedVersion = set.m_List->m_Version;
    const Status put  = co_await m_Server.PutPiece(m_Model, n, *set.m_Pieces[n], Now() + kPieceTimeout);
    co_return put.has_value();
}

// By a report that is requested after this call. A busy server may be loading it.
awaitable<bool> WeightKeeper::HasNotTaken(uint64_t version)
{
    const TimePoint begun = Now();
    m_ReportTimer.cancel();
    while (m_Reachable && m_ReportAskedAt < begun)
        co_await SleepFor(kReportPollInterval);
    co_return m_Reachable && !m_Report.m_Busy && m_Report.m_Weights != version;
}

awaitable<void> WeightKeeper::DrainServer()
{
    m_Draining = true;
    Publish();
    co_await SleepFor(kRouterNotifyDelay);
    // A report that was requested before this moment may be older than the last request that arrived.
    const TimePoint notified = Now();
    const TimePoint end      = notified + kDrainTimeout;
    const auto      idle     = [&] { return m_ReportAskedAt >= notified && m_Report.m_Running + m_Report.m_Waiting == 0; };
    while (m_Reachable && m_Report.m_Weights > 0 && !idle() && Now() < end)
        co_await SleepFor(kDrainPollInterval);
}

// Waiting for running requests may outlast the checks, and so may any step in which this process stands still. Routers send requests again after
// that, so the server is drained again.
awaitable<bool> WeightKeeper::DrainAndRecheck(const PieceSet& set, StagedCheck& check)
{
    for (int tries = 1;; tries++)
    {
        co_await DrainServer();
        const TimePoint now = Now();
        if (check.AllowsOrder(now))
            co_return true;
        LogEvent(Event_StagedCheckStale,
                 {{"model", m_Model}, {"version", set.m_List->m_Version}, {"age_ms", ToMs(check.Age(now))}, {"tries", tries}});
        if (tries == kDrainTries) // reading all pieces takes longer than a check holds: the start is confirmed afterwards
            co_return true;
        const bool staged = co_await CheckStaged(set, check);
        if (!staged)
            co_return false;
    }
}

awaitable<void> WeightKeeper::StageAndStart(uint64_t version)
{
    const PieceSet* found = m_Transfer.Find(version);
    if (found == nullptr || !found->IsComplete())
        co_return;
    const PieceSet set = *found; // shares the bytes; the transfer may drop its set meanwhile
    m_StartInProgress  = true;
    m_OrderedVersion   = version;
    m_OrderedAt        = {};
    m_Draining         = false;
    const int64_t born = m_Report.m_BornMs;
    StagedCheck   check(set.m_Pieces.size());
    bool          ready = co_await CheckStaged(set, check); // while the server still serves
    if (ready)
        ready = co_await DrainAndRecheck(set, check);
    ready = ready && !ServerLife::Earlier(born, m_Report.m_BornMs) && !ReadingStarted(); // a restarted server has to be staged again
    if (!ready || !m_Plan.MayStart(version, Now())) // staging and draining take time: a newer version may be known since, or their own stop time over
    {
        m_Plan.OnOrderFailed(Now());
        m_StartInProgress = false;
        co_return;
    }
    LogEvent(Event_WeightsStaged, {{"model", m_Model}, {"version", version}});
    const StartOrder   order{m_Model, version, true, m_Report.m_Orders};
    const auto         before  = std::exchange(m_Unconfirmed, UnconfirmedStart{set, check, born});
    const StartOutcome outcome = co_await m_Server.Start(order, Now() + kStartOrderTimeout);
    m_Unconfirmed->m_Stage     = ConfirmStage_Sent;
    if (outcome == StartOutcome_Begun || outcome == StartOutcome_Unknown)
    {
        LogEvent(Event_StartOrdered, {{"model", m_Model}, {"version", version}, {"answered", outcome == StartOutcome_Begun}});
        m_OrderedAt     = Now();
        m_Report.m_Busy = true; // until the next report
        if (outcome == StartOutcome_Begun)
            m_Unconfirmed->m_TakenBy = m_OrderedAt;
        co_return;
    }
    m_Unconfirmed = before; // an earlier order may still be taken, or was
    if (outcome == StartOutcome_Refused)
        LogEvent(Event_StartRefused, {{"model", m_Model}, {"version", version}, {"orders", order.m_Orders}});
    m_Plan.OnOrderFailed(Now());
    m_StartInProgress = false;
}

//-----------------------------------------------------------------------------
// After an order: whether the server took whole pieces
//-----------------------------------------------------------------------------

bool WeightKeeper::LoadedUnconfirmed() const
{
    return m_Unconfirmed && m_Report.m_Weights > 0 && m_Report.m_Weights == m_Unconfirmed->m_Set.m_List->m_Version;
}

bool WeightKeeper::ReadingStarted() const
{
    return m_Unconfirmed && m_Unconfirmed->m_Stage == ConfirmStage_Reading;
}

// This process may have stood still between the last look at its checks and the order, and the server may have taken the order late, or in another
// lifetime. Only what the server tells afterwards bounds when it took the pieces.
void WeightKeeper::ConfirmStart()
{
    UnconfirmedStart& s = *m_Unconfirmed;
    if (s.m_Stage != ConfirmStage_Sent)
        return;
    const TimePoint taken_by  = std::min(s.m_TakenBy, Now());
    const bool      same_life = !ServerLife::Earlier(s.m_BornMs, m_Report.m_BornMs);
    if (same_life && !s.m_Replaced && s.m_Check.Covers(taken_by))
    {
        m_Unconfirmed.reset();
        m_Confirmed = m_Report.m_Weights;
        return;
    }
    if (!s.m_Earlier)
        LogEvent(Event_StagedCheckStale, {{"model", m_Model},
                                          {"version", m_Report.m_Weights},
                                          {"age_ms", ToMs(s.m_Check.Age(taken_by))},
                                          {"same_life", same_life},
                                          {"taken", true}});
    s.m_Stage = ConfirmStage_Reading;
    asio::co_spawn(
        m_Daemon.Ioc(), [this] { return ReadStarted(); }, asio::detached);
}

// Pieces that are right now, and that nobody has written since, were right when the server took them.
awaitable<void> WeightKeeper::ReadStarted()
{
    const PieceSet set   = m_Unconfirmed->m_Set;
    bool           whole = true;
    bool           told  = true;
    for (uint32_t n = 0; n < set.m_Pieces.size() && whole && told; n++)
    {
        const auto staged = co_await m_Server.GetPiece(m_Model, n, Now() + kPieceTimeout);
        told              = staged || staged.error().m_Code == ErrorCode_NotFound;
        whole             = staged && staged.value() == *set.m_Pieces[n];
    }
    whole = whole && !m_Unconfirmed->m_Replaced;
    if (told && whole)
    {
        m_Unconfirmed.reset();
        m_Confirmed = set.m_List->m_Version; // the next report drops it if the server holds another one by now
    }
    else
    {
        m_Unconfirmed->m_Stage   = told ? ConfirmStage_Corrupt : ConfirmStage_Sent; // Sent: the next report has it tried again
        m_Unconfirmed->m_WrongAt = Now();
        if (told && m_Unconfirmed->m_Earlier)
            LogEvent(Event_StagedCheckStale, {{"model", m_Model}, {"version", set.m_List->m_Version}, {"earlier", "wrong"}});
    }
    Publish();
}

//-----------------------------------------------------------------------------
// Weights that a process before this one had started
//-----------------------------------------------------------------------------

bool WeightKeeper::HidesLoaded() const
{
    return LoadedUnconfirmed() && !m_Unconfirmed->m_Earlier;
}

bool WeightKeeper::LoadedUnknown() const
{
    return m_Report.m_Weights > 0 && m_Report.m_Weights != m_Confirmed && !LoadedUnconfirmed();
}

// A server that has taken no order holds what it was born with.
void WeightKeeper::NoteConfirmed()
{
    if (m_Report.m_Orders == 0)
        m_Confirmed = m_Report.m_Weights;
    if (m_Report.m_Weights != m_Confirmed)
        m_Confirmed = 0;
}

void WeightKeeper::TakeOverStart()
{
    const uint64_t  version = m_Report.m_Weights;
    const PieceSet* set     = m_Transfer.Find(version);
    if (m_Transfer.CannotCompare(version))
    {
        m_Confirmed = version;
        LogEvent(Event_StagedCheckStale, {{"model", m_Model}, {"version", version}, {"earlier", "unknown"}});
    }
    else if (set != nullptr && set->IsComplete() && !m_Unconfirmed && !m_StartInProgress)
    {
        m_Unconfirmed             = UnconfirmedStart{*set, StagedCheck(set->m_Pieces.size()), m_Report.m_BornMs, ConfirmStage_Sent};
        m_Unconfirmed->m_Earlier  = true;
        m_Unconfirmed->m_Replaced = m_ReplacedVersion == version;
    }
}

} // namespace aldervale
