// aldervale-controller: runs on every entry box; one of a data centre holds the lease and turns declarations into orders for the boxes
// of that data centre. Standbys only read the lease row. All decisions are in Lease and PlanRollout.
#include "common/log.h"
#include "external/table_service.h"
#include "process/lease.h"
#include "process/node.h"
#include "version/rollout.h"

using namespace aldervale;

namespace
{

constexpr auto   kTick         = milliseconds(100);
constexpr auto   kResendAfter  = milliseconds(2000); // an order without effect is sent again after this
constexpr auto   kReachableFor = milliseconds(3500); // silence after which a box gets no orders
constexpr auto   kStoreTimeout = milliseconds(1000);
constexpr auto   kSeldomRead   = seconds(15); // of standbys that are not among the first
constexpr size_t kOftenReaders = 3;

struct ControllerSettings
{
    std::vector<std::string> m_Routers;         // [routers]
    std::string              m_TableService;    // [table_service]
    int64_t                  m_LeaseMs  = 4000; // [lease.length_ms]
    int64_t                  m_MarginMs = 500;  // [lease.margin_ms]
};

struct Heard // newest heartbeat of a box
{
    BoxObservation m_Box;  //
    TimePoint      m_At{}; //
    bool           m_Leaving = false;
};

struct RolloutMemory // one row of the table service: what must outlive this process
{
    std::string m_Wanted;          // manifest digest
    std::string m_Previous;        // manifest digest served before
    bool        m_Halted  = false; //
    uint64_t    m_Version = 0;     // of the row
    bool        m_Loaded  = false; // the row was read under this lease
};

struct Controller // lives as long as the process
{
    ControllerSettings            m_Settings; //
    std::unique_ptr<TableService> m_Table;    //
    std::unique_ptr<Node>         m_Node;     //
    std::unique_ptr<Lease>        m_Lease;    // touched only by LeaseLoop(), but for what m_Mutex guards

    std::mutex                           m_Mutex;         // guards the members below
    std::map<std::string, Heard>         m_Heard;         // by box
    std::map<std::string, TimePoint>     m_SentAt;        // by box, kind and digest
    std::map<std::string, RolloutMemory> m_Memory;        // by placement
    std::set<std::string>                m_Linked;        // addresses of agents linked to
    uint64_t                             m_NextOrder = 1; // grows within one fencing number
    uint64_t                             m_Fencing   = 0; // of the lease held; 0: none
    TimePoint                            m_HeldUntil{};   // no order leaves after this
};

std::vector<SettingSpec> DescribeController(ControllerSettings& s)
{
    return {
        {"routers", SettingList{&s.m_Routers, true}, "routers of this data centre, the one on the own box first"},
        {"table_service", SettingAddress{&s.m_TableService, false, true}, "platform's table service"},
        {"lease.length_ms", SettingInt{&s.m_LeaseMs, 500, 600'000}, "length of the controller lease, ms"},
        {"lease.margin_ms", SettingInt{&s.m_MarginMs, 50, 60'000}, "the holder stops this much before the end, ms"},
    };
}

//-----------------------------------------------------------------------------
// Lease
//-----------------------------------------------------------------------------

LeaseRow ParseLeaseRow(const TableRow& row)
{
    LeaseRow          out;
    json::error_code  ec;
    const json::value v = json::parse(row.m_Value, ec);
    out.m_Version       = row.m_Version;
    if (ec || !v.is_object())
        return out;
    out.m_Holder  = std::string(v.at("holder").as_string());
    out.m_Fencing = v.at("fencing").to_number<uint64_t>();
    out.m_WriteId = std::string(v.at("write").as_string());
    return out;
}

awaitable<void> ReadLease(Controller& c, std::string key)
{
    auto scan = co_await c.m_Table->Scan(key, 0, Now() + kStoreTimeout);
    if (!scan)
    {
        c.m_Lease->OnReadFailed(Now());
        co_return;
    }
    LeaseRow row;
    for (const TableRow& r : scan.value().m_Rows)
        if (r.m_Key == key)
            row = ParseLeaseRow(r);
    c.m_Lease->OnRow(row, Now());
}

awaitable<void> WriteLease(Controller& c, std::string key, LeaseStep step)
{
    TableTxn txn;
    txn.m_If.push_back({key, step.m_Row.m_Version});
    txn.m_Put.push_back(
        {key, json::serialize(json::object{{"holder", step.m_Row.m_Holder}, {"fencing", step.m_Row.m_Fencing}, {"write", step.m_Row.m_WriteId}})});
    const TxnResult r = co_await c.m_Table->Commit(txn, Now() + kStoreTimeout);
    switch (r.m_Outcome)
    {
    case TxnOutcome_Committed:
        c.m_Lease->OnWrite(LeaseWrite_Done, step, r.m_Version);
        break;
    case TxnOutcome_Conflict:
        c.m_Lease->OnWrite(LeaseWrite_Conflict, step, 0);
        break;
    case TxnOutcome_Refused:
    case TxnOutcome_Unknown:
        c.m_Lease->OnWrite(LeaseWrite_Unknown, step, 0);
        co_await SleepFor(milliseconds(100));
        break;
    }
}

void FollowAgents(Controller& c, const DaemonSettings& d, bool holding)
{
    const ConfigPtr       config = c.m_Node->Config();
    std::set<std::string> wanted;
    for (const auto& [name, b] : config->m_Boxes)
        if (holding && b.m_Spec.m_Role == BoxRole_Backend && b.m_Spec.m_DataCentre == d.m_DataCentre)
            wanted.insert(b.m_Spec.m_Address);
    std::lock_guard lock(c.m_Mutex);
    for (const std::string& at : wanted)
        if (!c.m_Linked.contains(at))
            c.m_Node->KeepLink(ParseEndpoint(at).value());
    for (const std::string& at : c.m_Linked)
        if (!wanted.contains(at))
            c.m_Node->DropLink(ParseEndpoint(at).value());
    c.m_Linked = wanted;
}

// Publishes the lease's state to the tick loop; true while it is held.
bool PublishLease(Controller& c, const DaemonSettings& d)
{
    const bool     held    = c.m_Lease->Holds(Now());
    const uint64_t fencing = held ? c.m_Lease->Fencing() : 0;
    bool           changed = false;
    {
        std::lock_guard lock(c.m_Mutex);
        changed = fencing != c.m_Fencing;
        if (changed)
        {
            c.m_NextOrder = 1;
            c.m_SentAt.clear();
            c.m_Memory.clear();
        }
        c.m_Fencing   = fencing;
        c.m_HeldUntil = c.m_Lease->HeldUntil();
    }
    if (changed)
        LogEvent(held ? Event_LeaseTaken : Event_LeaseLost, {{"fencing", c.m_Lease->Fencing()}});
    if (held)
        c.m_Node->OfferLease(fencing, d.m_Name);
    return held;
}

// All entry boxes of a data centre may contend, but only the first few in a common order read the lease row often: the store's reads
// must not grow with the number of boxes. The others step in later, when those few are gone together.
bool ReadsOften(const Controller& c, const DaemonSettings& d)
{
    const ConfigPtr          config = c.m_Node->Config();
    std::vector<std::string> names;
    for (const auto& [name, b] : config->m_Boxes)
        if (b.m_Spec.m_Role == BoxRole_Entry && b.m_Spec.m_DataCentre == d.m_DataCentre)
            names.push_back(name);
    const std::vector<size_t> order = RendezvousOrder("controller", names);
    for (size_t place = kOftenReaders; place < order.size(); place++)
        if (names[order[place]] == d.m_Name)
            return false;
    return true;
}

awaitable<void> LeaseLoop(Controller& c, const DaemonSettings& d)
{
    const std::string key = std::string(kRowLeasePrefix) + d.m_DataCentre;
    TimePoint         read_at{};
    for (;;)
    {
        const LeaseStep step = c.m_Lease->Next(Now());
        const bool      due  = c.m_Lease->Fencing() != 0 || ReadsOften(c, d) || Now() - read_at > kSeldomRead;
        if (step.m_Action == LeaseAction_Read && due)
        {
            read_at = Now();
            co_await ReadLease(c, key);
        }
        else if (step.m_Action == LeaseAction_Write)
            co_await WriteLease(c, key, step);
        const bool held = PublishLease(c, d);
        FollowAgents(c, d, held);
        co_await SleepFor(std::clamp<Duration>(step.m_Until - Now(), milliseconds(20), kTick));
    }
}

//-----------------------------------------------------------------------------
// Rollouts
//-----------------------------------------------------------------------------

void OnHeartbeat(Controller& c, const LinkPtr& link, const wire::Heartbeat& hb)
{
    const wire::AgentState* s = hb.state();
    if (s == nullptr)
        return;
    Heard heard;
    heard.m_At           = Now();
    heard.m_Leaving      = s->leaving();
    heard.m_Box.m_Name   = link->Peer().m_Name;
    heard.m_Box.m_Active = s->active() != nullptr ? s->active()->str() : "";
    if (s->versions() != nullptr)
        for (const wire::VersionStatus* v : *s->versions())
            if (v->digest() != nullptr)
                heard.m_Box.m_Versions[v->digest()->str()] = {static_cast<VersionState>(v->state()), v->base() != nullptr ? v->base()->str() : "",
                                                              v->error() != nullptr ? v->error()->str() : "", v->failures()};
    std::lock_guard lock(c.m_Mutex);
    Heard&          slot = c.m_Heard[heard.m_Box.m_Name];
    if (s->brief())
        heard.m_Box.m_Versions = slot.m_Box.m_Versions; // unchanged since the last full state
    slot = std::move(heard);
}

std::string MemoryKey(const DaemonSettings& d, const std::string& placement)
{
    return "rollout/" + d.m_DataCentre + "/" + placement;
}

awaitable<bool> LoadMemory(Controller& c, const DaemonSettings& d, std::string placement)
{
    const std::string key  = MemoryKey(d, placement);
    auto              scan = co_await c.m_Table->Scan(key, 0, Now() + kStoreTimeout);
    if (!scan)
        co_return false;
    RolloutMemory m;
    m.m_Loaded = true;
    for (const TableRow& row : scan.value().m_Rows)
    {
        json::error_code  ec;
        const json::value v = json::parse(row.m_Value, ec);
        if (row.m_Key != key || ec || !v.is_object())
            continue;
        m.m_Wanted   = std::string(v.at("wanted").as_string());
        m.m_Previous = std::string(v.at("previous").as_string());
        m.m_Halted   = v.at("halted").as_bool();
        m.m_Version  = row.m_Version;
    }
    std::lock_guard lock(c.m_Mutex);
    c.m_Memory[placement] = m;
    co_return true;
}

awaitable<bool> SaveMemory(Controller& c, const DaemonSettings& d, std::string placement, RolloutMemory m)
{
    TableTxn txn;
    txn.m_If.push_back({MemoryKey(d, placement), m.m_Version});
    txn.m_Put.push_back(
        {MemoryKey(d, placement), json::serialize(json::object{{"wanted", m.m_Wanted}, {"previous", m.m_Previous}, {"halted", m.m_Halted}})});
    const TxnResult r = co_await c.m_Table->Commit(txn, Now() + kStoreTimeout);
    std::lock_guard lock(c.m_Mutex);
    if (r.m_Outcome != TxnOutcome_Committed)
    {
        c.m_Memory.erase(placement); // read again: the write may have taken effect
        co_return false;
    }
    m.m_Version           = r.m_Version;
    c.m_Memory[placement] = m;
    co_return true;
}

RolloutSpec FindRolloutSpec(const ConfigSnapshot& config, const std::string& placement)
{
    for (const auto& [name, r] : config.m_Rollouts)
        if (r.m_Spec.m_Placement == placement)
            return r.m_Spec;
    return RolloutSpec{};
}

RolloutInput MakeInput(Controller& c, const DaemonSettings& d, const ConfigSnapshot& config, const std::string& placement, const RolloutMemory& m)
{
    const PlacementSpec& p    = config.m_Placements.find(placement)->second.m_Spec;
    const RolloutSpec    spec = FindRolloutSpec(config, placement);
    RolloutInput         in;
    in.m_Wanted          = m.m_Wanted;
    in.m_Previous        = m.m_Previous;
    in.m_Halted          = m.m_Halted;
    in.m_BoxesPerReplica = p.m_BoxesPerReplica;
    in.m_MaxUnavailable  = static_cast<size_t>(spec.m_MaxUnavailable);
    in.m_HaltAfterFailed = static_cast<size_t>(spec.m_HaltAfterFailed);
    in.m_Paused          = spec.m_Paused;
    for (const std::string& name : p.m_Adapters)
        if (const auto a = config.m_Adapters.find(name); a != config.m_Adapters.end())
            in.m_Adapters.push_back(a->second.m_Spec.m_Manifest);
    std::lock_guard lock(c.m_Mutex);
    for (const std::string& box : AssignBoxes(config, placement, d.m_DataCentre))
    {
        BoxObservation b;
        const auto     it = c.m_Heard.find(box);
        if (it != c.m_Heard.end())
            b = it->second.m_Box;
        b.m_Name      = box;
        b.m_Reachable = it != c.m_Heard.end() && !it->second.m_Leaving && Now() - it->second.m_At < kReachableFor;
        in.m_Boxes.push_back(std::move(b));
    }
    return in;
}

void SendOrders(Controller& c, const std::string& placement, const RolloutPlan& plan)
{
    for (const PlannedOrder& o : plan.m_Orders)
    {
        const LinkPtr link = c.m_Node->FindLink(o.m_Box);
        wire::OrderT  msg;
        if (!link)
            continue;
        {
            std::lock_guard lock(c.m_Mutex);
            TimePoint&      sent = c.m_SentAt[o.m_Box + "/" + std::to_string(o.m_Kind) + "/" + o.m_Digest];
            if (Now() - sent < kResendAfter)
                continue;
            if (c.m_Fencing == 0 || Now() >= c.m_HeldUntil)
                return; // the lease ran out while this was planned
            sent         = Now();
            msg.fencing  = c.m_Fencing;
            msg.order_id = c.m_NextOrder++;
        }
        msg.kind      = static_cast<wire::OrderKind>(o.m_Kind);
        msg.digest    = o.m_Digest;
        msg.base      = o.m_Base;
        msg.placement = placement;
        link->Send(EncodeFrame(link->NewExchangeId(), msg));
        LogEvent(Event_OrderSent, {{"box", o.m_Box}, {"kind", static_cast<int>(o.m_Kind)}, {"digest", o.m_Digest}, {"fencing", msg.fencing}});
    }
}

awaitable<void> DrivePlacement(Controller& c, const DaemonSettings& d, ConfigPtr config, std::string placement)
{
    const PlacementSpec& p       = config->m_Placements.find(placement)->second.m_Spec;
    const auto           version = config->m_Versions.find(p.m_Version);
    if (version == config->m_Versions.end())
        co_return;
    RolloutMemory m;
    {
        std::lock_guard lock(c.m_Mutex);
        m = c.m_Memory[placement];
    }
    if (!m.m_Loaded)
    {
        const bool loaded = co_await LoadMemory(c, d, placement);
        if (!loaded)
            co_return;
        std::lock_guard lock(c.m_Mutex);
        m = c.m_Memory[placement];
    }
    if (m.m_Wanted != version->second.m_Spec.m_Manifest)
    {
        m.m_Previous     = m.m_Halted ? m.m_Previous : m.m_Wanted;
        m.m_Wanted       = version->second.m_Spec.m_Manifest;
        m.m_Halted       = false;
        const bool saved = co_await SaveMemory(c, d, placement, m);
        if (!saved)
            co_return;
    }
    const RolloutPlan plan = PlanRollout(MakeInput(c, d, *config, placement, m));
    if (plan.m_Halt && !m.m_Halted)
    {
        m.m_Halted = true;
        LogEvent(Event_RolloutHalted, {{"placement", placement}, {"digest", m.m_Wanted}});
        const bool saved = co_await SaveMemory(c, d, placement, m);
        if (!saved)
            co_return;
        LogEvent(Event_RolloutRolledBack, {{"placement", placement}, {"digest", plan.m_Target}});
    }
    SendOrders(c, placement, plan);
}

awaitable<void> TickLoop(Controller& c, const DaemonSettings& d)
{
    for (;;)
    {
        co_await SleepFor(kTick);
        {
            std::lock_guard lock(c.m_Mutex);
            if (c.m_Fencing == 0 || Now() >= c.m_HeldUntil)
                continue;
        }
        const ConfigPtr config = c.m_Node->Config();
        for (const auto& [name, p] : config->m_Placements)
            co_await DrivePlacement(c, d, config, name);
    }
}

Status StartController(Daemon& daemon, Controller& c)
{
    LeaseConfig lease;
    lease.m_Holder = daemon.Settings().m_Name + "/" + std::to_string(daemon.Incarnation());
    lease.m_Length = milliseconds(c.m_Settings.m_LeaseMs);
    lease.m_Margin = milliseconds(c.m_Settings.m_MarginMs);
    lease.m_Renew  = lease.m_Length / 4;
    lease.m_Poll   = lease.m_Length / 4;
    c.m_Lease      = std::make_unique<Lease>(lease);
    c.m_Table      = MakeHttpTableService(ParseEndpoint(c.m_Settings.m_TableService).value());
    NodeHandlers handlers;
    handlers.m_OnHeartbeat = [&c](const LinkPtr& link, const wire::Heartbeat& hb) { OnHeartbeat(c, link, hb); };
    NodeConfig cfg;
    cfg.m_Role = wire::PeerRole::Controller;
    c.m_Node   = std::make_unique<Node>(daemon, cfg, std::move(handlers));
    for (const std::string& router : c.m_Settings.m_Routers)
        c.m_Node->KeepLink(ParseEndpoint(router).value());
    Spawn(daemon.Ioc(), LeaseLoop(c, daemon.Settings()));
    Spawn(daemon.Ioc(), TickLoop(c, daemon.Settings()));
    DaemonHooks hooks;
    hooks.m_Ready    = [&c] { return c.m_Node->Config()->m_Revision > 0; };
    hooks.m_Describe = [&c]
    {
        std::lock_guard lock(c.m_Mutex);
        return json::object{{"fencing", c.m_Fencing}, {"revision", c.m_Node->Config()->m_Revision}, {"link_bytes", c.m_Node->ControlBytes()}};
    };
    daemon.SetHooks(std::move(hooks));
    return Ok();
}

} // namespace

int main(int argc, char** argv)
{
    Controller     controller;
    DaemonSettings daemon;
    return RunDaemon(argc, argv, "aldervale-controller",
                     "Competes for its data centre's lease; the holder turns declarations into rollouts and fenced orders",
                     DescribeController(controller.m_Settings), daemon, [&](Daemon& d) { return StartController(d, controller); });
}
