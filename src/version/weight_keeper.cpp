// Keeps one model server at the newest named weights. See weight_keeper.h.
#include "version/weight_keeper.h"
#include "common/log.h"

namespace aldervale
{

namespace
{

constexpr auto     kReportEvery = milliseconds(75);  // of the own server
constexpr auto     kReportMax   = milliseconds(400); //
constexpr unsigned kMissedMax   = 2;                 // reports in a row without an answer after which the server counts as lost
constexpr auto     kPlanEvery   = milliseconds(100); //
constexpr auto     kPieceMax    = milliseconds(800); // for putting or reading one piece
constexpr auto     kOrderMax    = milliseconds(800); // for the answer to an order
constexpr auto     kOrderDone   = seconds(6);        // an order that shows no effect for this long is given again
constexpr auto     kDrainMax =
    milliseconds(1400); // from telling routers that nothing new is taken to the order, which cuts what still runs: a usual stream takes some 1.2 s
constexpr auto kTellRouters = milliseconds(25); // least of it: a datagram's way
constexpr auto kDrainPoll   = milliseconds(25); //

} // namespace

WeightKeeper::WeightKeeper(Daemon& daemon, const StartPlanConfig& plan, ModelServer& server, PieceTransfer& transfer, LoadPublisher& publisher)
    : m_Daemon(daemon), m_Server(server), m_Transfer(transfer), m_Publisher(publisher), m_Wake(daemon.Ioc()),
      m_Places(publisher, [this] { m_Wake.cancel(); }), m_Plan(plan)
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

void WeightKeeper::OnNamed(uint64_t version, TimePoint named_at)
{
    if (version <= m_Plan.Target())
        return;
    m_Plan.OnNamed(version, named_at);
    LogEvent(Event_WeightsNamed, {{"model", m_Model}, {"version", version}, {"held", m_Report.m_Weights}});
}

json::object WeightKeeper::Describe() const
{
    return {{"model", m_Model},         {"held", m_Report.m_Weights},       {"target", m_Plan.Target()},
            {"reachable", m_Reachable}, {"fetching", m_Transfer.Version()}, {"whole", m_Transfer.Whole()}};
}

LoadReport WeightKeeper::Load() const
{
    LoadReport r;
    r.m_Running  = m_Report.m_Running;
    r.m_Waiting  = m_Report.m_Waiting;
    r.m_Pace     = static_cast<float>(std::max(m_Report.m_Pace, m_Transfer.Pace())); // a request waits on the link as well
    r.m_Weights  = m_Reachable ? m_Report.m_Weights : 0;
    r.m_BornMs   = m_Report.m_BornMs;
    r.m_Starting = m_Ordering && m_Draining;
    r.m_Named    = m_Plan.NamedAfter(r.m_Weights, Now());
    return r;
}

void WeightKeeper::Publish()
{
    m_Publisher.Publish(Load());
}

// A server that started again holds nothing of before: an order that it was given then is neither under way nor carried out, and what was put
// beside it has to be looked at again.
bool WeightKeeper::TakeReport(const ServerReport& report)
{
    if (ServerLife::Earlier(report.m_BornMs, m_Report.m_BornMs))
        return false;
    if (ServerLife::Earlier(m_Report.m_BornMs, report.m_BornMs))
    {
        LogEvent(Event_OwnServerStarted, {{"born_ms", report.m_BornMs}, {"before_ms", m_Report.m_BornMs}, {"held_before", m_Report.m_Weights}});
        m_Places.OnServerStarted();
        if (m_OrderedAt != TimePoint{})
            m_Ordering = false;
    }
    m_Report = report;
    return true;
}

awaitable<void> WeightKeeper::ReportLoop()
{
    for (;;)
    {
        const TimePoint asked  = Now();
        const auto      report = co_await m_Server.Report(asked + kReportMax);
        const bool      was    = m_Reachable;
        const uint64_t  held   = m_Report.m_Weights;
        const bool      taken  = report && TakeReport(report.value());
        m_ReportAsked          = taken ? asked : m_ReportAsked;
        m_Missed               = taken ? 0 : m_Missed + 1;
        m_Reachable            = taken || (m_Reachable && m_Missed < kMissedMax);
        if (was && !m_Reachable)
            LogEvent(Event_OwnServerLost, {{"why", report ? std::string("only reports of an earlier lifetime") : report.error().m_Message}});
        if (!was && m_Reachable)
            LogEvent(Event_OwnServerBack, {{"held", m_Report.m_Weights}, {"orders", m_Report.m_Orders}});
        if (held != m_Report.m_Weights)
            LogEvent(Event_WeightsServing, {{"version", m_Report.m_Weights}, {"before", held}});
        const bool done = m_Ordering && m_OrderedAt != TimePoint{} && !m_Report.m_Busy &&
                          (m_Report.m_Weights >= m_Ordered || !m_Reachable || Now() - m_OrderedAt > kOrderDone);
        if (done)
            m_Ordering = false;
        m_Transfer.SetHeld(m_Reachable ? m_Report.m_Weights : 0);
        Publish();
        if (taken || !m_Reachable)
            m_Places.OnReport(Load(), asked);
        m_Wake.expires_after(m_Places.HasLine() ? kLinePoll : kReportEvery);
        co_await m_Wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

awaitable<void> WeightKeeper::PlanLoop()
{
    for (;;)
    {
        co_await SleepFor(kPlanEvery);
        if (m_Model.empty())
            continue;
        PlanInput in;
        in.m_Reachable       = m_Reachable;
        in.m_Busy            = m_Report.m_Busy;
        in.m_Held            = m_Report.m_Weights;
        in.m_Fetching        = m_Transfer.Version();
        in.m_FetchWhole      = m_Transfer.Whole();
        in.m_FetchQuiet      = m_Transfer.QuietFor();
        in.m_Partial         = m_Transfer.NewestPartial(m_Plan.Target());
        in.m_Whole           = m_Transfer.NewestWhole();
        in.m_Rank            = m_Transfer.RankOf(in.m_Whole);
        in.m_Boxes           = m_Transfer.Boxes();
        const uint64_t fetch = m_Plan.NextFetch(in, Now());
        if (fetch > 0)
            m_Transfer.Want(fetch);
        const uint64_t start = m_Ordering ? 0 : m_Plan.NextStart(in, Now());
        if (start > 0)
            asio::co_spawn(
                m_Daemon.Ioc(), [this, start] { return StageAndStart(start); }, asio::detached);
    }
}

awaitable<bool> WeightKeeper::CheckStaged(const PieceSet& set)
{
    for (uint32_t n = 0; n < set.m_Pieces.size(); n++)
    {
        const PieceBytes want = set.m_Pieces[n];
        const auto       lies = co_await m_Server.GetPiece(m_Model, n, Now() + kPieceMax);
        if (!lies && lies.error().m_Code != ErrorCode_NotFound)
            co_return false;
        if (lies && lies.value() == *want)
            continue;
        const Status put = co_await m_Server.PutPiece(m_Model, n, *want, Now() + kPieceMax);
        if (!put)
            co_return false;
    }
    co_return true;
}

awaitable<void> WeightKeeper::DrainBriefly()
{
    m_Draining = true;
    Publish();
    co_await SleepFor(kTellRouters);
    // A report that was asked for earlier may be older than the last request that came.
    const TimePoint told = Now();
    const TimePoint end  = told + kDrainMax;
    const auto      idle = [&] { return m_ReportAsked >= told && m_Report.m_Running + m_Report.m_Waiting == 0; };
    while (m_Reachable && m_Report.m_Weights > 0 && !idle() && Now() < end)
        co_await SleepFor(kDrainPoll);
}

awaitable<void> WeightKeeper::StageAndStart(uint64_t version)
{
    const PieceSet* found = m_Transfer.Find(version);
    if (found == nullptr || !found->Whole())
        co_return;
    const PieceSet set = *found; // shares the bytes; the transfer may drop its own
    m_Ordering         = true;
    m_Ordered          = version;
    m_OrderedAt        = {};
    m_Draining         = false;
    const int64_t born = m_Report.m_BornMs;
    bool          lies = co_await CheckStaged(set); // while the server still serves: what turns bad after it has no time to matter
    if (lies)
        co_await DrainBriefly();
    lies = lies && !ServerLife::Earlier(born, m_Report.m_BornMs); // a new lifetime holds nothing of it
    if (!lies)
    {
        m_Plan.OnOrderFailed(Now());
        m_Ordering = false;
        co_return;
    }
    LogEvent(Event_WeightsStaged, {{"model", m_Model}, {"version", version}});
    const StartOrder   order{m_Model, version, true, m_Report.m_Orders};
    const StartOutcome outcome = co_await m_Server.Start(order, Now() + kOrderMax);
    if (outcome == StartOutcome_Begun || outcome == StartOutcome_Unknown)
    {
        LogEvent(Event_StartOrdered, {{"model", m_Model}, {"version", version}, {"answered", outcome == StartOutcome_Begun}});
        m_OrderedAt     = Now();
        m_Report.m_Busy = true; // until a report says otherwise
        co_return;
    }
    if (outcome == StartOutcome_Refused)
        LogEvent(Event_StartRefused, {{"model", m_Model}, {"version", version}, {"orders", order.m_Orders}});
    m_Plan.OnOrderFailed(Now());
    m_Ordering = false;
}

} // namespace aldervale
