// Configuration between the table service and a router. See store_sync.h.
#include "process/store_sync.h"
#include "common/log.h"
#include <set>

namespace aldervale
{

namespace
{

constexpr size_t kWritesKept   = 64; // write ids in the head row
constexpr auto   kLoopEvery    = milliseconds(100);
constexpr auto   kSettlePause  = milliseconds(100);
constexpr int    kConflictsMax = 20; // lost races before a commit gives up

struct HeadWrite
{
    std::string m_Id;           //
    uint64_t    m_Revision = 0; //
};

struct Head // the row config/head
{
    uint64_t               m_Version  = 0; // of the row; 0: not there yet
    uint64_t               m_Revision = 0; // of the configuration
    std::vector<HeadWrite> m_Writes;       // newest last
};

Head ParseHead(const TableRow& row)
{
    Head              head{row.m_Version, 0, {}};
    json::error_code  ec;
    const json::value v = json::parse(row.m_Value, ec);
    if (ec || !v.is_object())
        return head;
    head.m_Revision = v.at("revision").to_number<uint64_t>();
    for (const json::value& w : v.at("writes").as_array())
        head.m_Writes.push_back({std::string(w.at("id").as_string()), w.at("revision").to_number<uint64_t>()});
    return head;
}

std::string SerializeHead(const Head& head)
{
    json::array writes;
    for (const HeadWrite& w : head.m_Writes)
        writes.push_back(json::object{{"id", w.m_Id}, {"revision", w.m_Revision}});
    return json::serialize(json::object{{"revision", head.m_Revision}, {"writes", writes}});
}

std::string RowKey(const ResourceKey& key)
{
    return std::string(kRowResourcePrefix) + std::string(KindName(key.m_Kind)) + "/" + key.m_Name;
}

bool SameDeclaration(const Resource& a, const Resource& b)
{
    return a.m_Deleted == b.m_Deleted && a.m_Spec == b.m_Spec && a.m_Set == b.m_Set;
}

Error JoinFaults(const std::vector<Error>& faults)
{
    Error e = faults.front();
    for (size_t i = 1; i < faults.size(); i++)
        e.m_Message += "; " + faults[i].m_Field + ": " + faults[i].m_Message;
    return e;
}

} // namespace

struct StoreSync::Impl : std::enable_shared_from_this<StoreSync::Impl>
{
    Impl(Daemon& daemon, Node& node, TableService& table, BoxListSource& list, StoreSyncConfig cfg, ManifestCheck check)
        : m_Daemon(daemon), m_Node(node), m_Table(table), m_List(list), m_Config(cfg), m_Check(std::move(check))
    {
    }

    awaitable<void>                    PollLoop();
    awaitable<Result<Head>>            Read(TimePoint deadline);
    awaitable<Result<CommitDone>>      TryCommit(const ChangeRequest& change, TimePoint deadline, bool* again);
    awaitable<std::optional<uint64_t>> Settle(const TableTxn& txn, const std::string& id, uint64_t base_version, TimePoint deadline, bool* lost);
    awaitable<Status>                  CheckManifests(const std::vector<Resource>& written);
    Duration                           OwnThreshold() const;
    void                               NoteReachable(bool ok);

    Daemon&         m_Daemon; //
    Node&           m_Node;   //
    TableService&   m_Table;  //
    BoxListSource&  m_List;   //
    StoreSyncConfig m_Config; //
    ManifestCheck   m_Check;  //

    mutable std::mutex m_Mutex;              // guards the members below
    uint64_t           m_After         = 0;  // commit number up to which the store's config rows were read
    uint64_t           m_AfterRevision = 0;  // configuration revision at that commit number
    Head               m_Head;               // as of m_After
    bool               m_Seen       = false; //
    bool               m_Reachable  = true;  // outcome of the last read
    uint64_t           m_WriteCount = 0;     // makes write ids unique
};

//-----------------------------------------------------------------------------
// Reading
//-----------------------------------------------------------------------------

void StoreSync::Impl::NoteReachable(bool ok)
{
    bool changed = false;
    {
        std::lock_guard lock(m_Mutex);
        changed     = ok != m_Reachable;
        m_Reachable = ok;
        m_Seen      = m_Seen || ok;
    }
    if (changed)
        LogEvent(ok ? Event_StoreBack : Event_StoreUnreachable);
}

awaitable<Result<Head>> StoreSync::Impl::Read(TimePoint deadline)
{
    uint64_t after = 0;
    uint64_t from  = 0;
    Head     head;
    {
        std::lock_guard lock(m_Mutex);
        after = m_After;
        from  = m_AfterRevision;
        head  = m_Head;
    }
    const TimePoint asked = Now();
    auto            scan  = co_await m_Table.Scan(std::string(kRowConfigPrefix), after, std::min(deadline, asked + m_Config.m_ReadTimeout));
    NoteReachable(scan.has_value());
    if (!scan)
        co_return scan.error();
    ConfigDelta delta;
    for (const TableRow& row : scan.value().m_Rows)
    {
        if (row.m_Key == kRowConfigHead)
        {
            head = ParseHead(row);
            continue;
        }
        json::error_code  ec;
        const json::value v = json::parse(row.m_Value, ec);
        auto              r = ec ? Result<Resource>(MakeError(ErrorCode_Corrupt, "row is not JSON", row.m_Key)) : ResourceFromJson(v);
        if (!r)
            co_return r.error();
        delta.m_Written.push_back(std::move(r.value()));
    }
    delta.m_From = from;
    delta.m_To   = head.m_Revision;
    {
        std::lock_guard lock(m_Mutex);
        if (scan.value().m_Latest >= m_After)
        {
            m_After         = scan.value().m_Latest;
            m_AfterRevision = head.m_Revision;
            m_Head          = head;
        }
    }
    m_Node.OfferConfig(delta, Now() - asked);
    m_Node.ConfirmConfig(head.m_Revision, Now() - asked);
    co_return head;
}

// The order of asking is a rendezvous order over the routers of the data centre that are linked, renewed every period.
Duration StoreSync::Impl::OwnThreshold() const
{
    std::vector<std::string> names{m_Daemon.Settings().m_Name};
    for (const LinkPtr& link : m_Node.Links(wire::PeerRole::Router))
    {
        const LinkPeer peer = link->Peer();
        if (peer.m_DataCentre == m_Daemon.Settings().m_DataCentre && std::find(names.begin(), names.end(), peer.m_Name) == names.end())
            names.push_back(peer.m_Name);
    }
    const int64_t period = WallMs() / ToMs(m_Config.m_OrderPeriod);
    const auto    order  = RendezvousOrder(std::to_string(period), names);
    const auto    place  = std::find(order.begin(), order.end(), size_t{0}) - order.begin();
    return m_Config.m_PollEvery + place * m_Config.m_PollStagger;
}

awaitable<void> StoreSync::Impl::PollLoop()
{
    TimePoint asked{};
    TimePoint listed{};
    for (;;)
    {
        const Duration threshold = OwnThreshold();
        if (m_Node.ConfirmedAge() >= threshold && Now() - asked >= threshold)
        {
            asked     = Now();
            auto head = co_await Read(Now() + m_Config.m_ReadTimeout);
            if (head)
                m_Node.AnnounceToRouters(); // so that the others needn't ask
        }
        const bool first = threshold == m_Config.m_PollEvery;
        if (Now() - listed >= (first ? m_Config.m_ListEvery : 3 * m_Config.m_ListEvery))
        {
            listed    = Now();
            auto list = co_await m_List.Read(Now() + m_Config.m_ReadTimeout);
            if (list)
                m_Node.OfferList(std::move(list.value()));
        }
        co_await SleepFor(kLoopEvery);
    }
}

//-----------------------------------------------------------------------------
// Committing
//-----------------------------------------------------------------------------

static Error ConflictError(const Resource& current, const Resource& wanted, uint64_t expected)
{
    const std::string path = std::string(KindName(wanted.m_Key.m_Kind)) + "/" + wanted.m_Key.m_Name;
    return MakeError(ErrorCode_Conflict,
                     "expected revision " + std::to_string(expected) + ", it is at " + std::to_string(current.m_Revision) + " by " + current.m_By +
                         "; theirs: " + json::serialize(ToJson(current)) + "; yours: " + json::serialize(ToJson(wanted)),
                     path);
}

// What the change writes on top of `base`, or the conflict that forbids it.
static Result<std::vector<Resource>> PlanWrites(const ConfigSnapshot& base, const ChangeRequest& change)
{
    std::vector<Resource> out;
    std::set<ResourceKey> kept;
    for (const Resource& r : change.m_Write)
    {
        const auto     it      = base.m_Resources.find(r.m_Key);
        const bool     exists  = it != base.m_Resources.end() && !it->second.m_Deleted;
        const auto     expect  = change.m_IfRevision.find(r.m_Key);
        const uint64_t current = exists ? it->second.m_Revision : 0;
        kept.insert(r.m_Key);
        if (expect != change.m_IfRevision.end() && expect->second != current)
            return ConflictError(exists ? it->second : Resource{r.m_Key, {}, current, true, {}, "nobody", 0}, r, expect->second);
        if (!change.m_Set.empty() && exists && !it->second.m_Set.empty() && it->second.m_Set != change.m_Set)
            return MakeError(ErrorCode_Conflict,
                             "owned by set '" + it->second.m_Set + "'; theirs: " + json::serialize(ToJson(it->second)) +
                                 "; yours: " + json::serialize(ToJson(r)),
                             std::string(KindName(r.m_Key.m_Kind)) + "/" + r.m_Key.m_Name);
        Resource next = r;
        if (!change.m_Set.empty())
            next.m_Set = change.m_Set;
        const bool same = exists ? SameDeclaration(it->second, next) : next.m_Deleted;
        if (!same)
            out.push_back(std::move(next));
    }
    for (const auto& [key, r] : base.m_Resources)
    {
        if (!change.m_Prune || r.m_Deleted || r.m_Set != change.m_Set || kept.contains(key))
            continue;
        Resource gone  = r;
        gone.m_Deleted = true;
        gone.m_Spec.clear();
        out.push_back(std::move(gone));
    }
    return out;
}

awaitable<Status> StoreSync::Impl::CheckManifests(const std::vector<Resource>& written)
{
    for (const Resource& r : written)
    {
        if (r.m_Deleted || (r.m_Key.m_Kind != Kind_Version && r.m_Key.m_Kind != Kind_Adapter))
            continue;
        const auto spec = ParseVersion(r);
        if (!spec)
            continue; // reported by validation
        const Status s = co_await m_Check(spec.value().m_Manifest);
        if (!s)
        {
            Error e   = s.error();
            e.m_Field = std::string(KindName(r.m_Key.m_Kind)) + "/" + r.m_Key.m_Name + ":spec.manifest";
            co_return e;
        }
    }
    co_return Ok();
}

// Finds out whether a transaction whose answer got lost took effect. `lost` is set when it certainly never will.
awaitable<std::optional<uint64_t>> StoreSync::Impl::Settle(const TableTxn& txn, const std::string& id, uint64_t base_version, TimePoint deadline,
                                                           bool* lost)
{
    while (Now() < deadline)
    {
        auto head = co_await Read(deadline);
        if (head)
        {
            for (const HeadWrite& w : head.value().m_Writes)
                if (w.m_Id == id)
                    co_return w.m_Revision;
            if (head.value().m_Version != base_version)
            {
                *lost = true; // the head moved on without it: its condition can't hold any more
                co_return std::nullopt;
            }
            const TxnResult again = co_await m_Table.Commit(txn, std::min(deadline, Now() + m_Config.m_ReadTimeout));
            if (again.m_Outcome == TxnOutcome_Committed || again.m_Outcome == TxnOutcome_Conflict)
                continue; // the next read tells whose write it was
        }
        co_await SleepFor(kSettlePause);
    }
    co_return std::nullopt;
}

awaitable<Result<CommitDone>> StoreSync::Impl::TryCommit(const ChangeRequest& change, TimePoint deadline, bool* again)
{
    auto head = co_await Read(deadline);
    if (!head)
        co_return MakeError(ErrorCode_Unavailable,
                            "configuration can't be accepted: the table service can't be reached; what is in force stays in force");
    const ConfigPtr base = m_Node.Config();
    if (base->m_Revision != head.value().m_Revision)
    {
        *again = true; // a newer revision came over a link meanwhile
        co_return MakeError(ErrorCode_Conflict, "configuration is changing");
    }
    auto writes = PlanWrites(*base, change);
    if (!writes)
        co_return writes.error();
    if (writes.value().empty())
        co_return CommitDone{base->m_Revision, {}};
    ConfigDelta delta{base->m_Revision, base->m_Revision + 1, std::move(writes.value())};
    for (Resource& r : delta.m_Written)
    {
        r.m_Revision = delta.m_To;
        r.m_By       = change.m_By;
        r.m_AtMs     = WallMs();
    }
    const ConfigPtr    next   = ApplyDelta(*base, delta);
    std::vector<Error> faults = ValidateConfig(*next);
    if (faults.empty())
        faults = ValidateTransition(*base, *next, m_Node.GoneBoxes());
    if (!faults.empty())
        co_return JoinFaults(faults);
    const Status manifests = co_await CheckManifests(delta.m_Written);
    if (!manifests)
        co_return manifests.error();
    if (change.m_DryRun)
        co_return CommitDone{base->m_Revision, delta.m_Written};

    std::string id;
    {
        std::lock_guard lock(m_Mutex);
        id = m_Daemon.Settings().m_Name + "/" + std::to_string(m_Daemon.Incarnation()) + "/" + std::to_string(++m_WriteCount);
    }
    Head new_head       = head.value();
    new_head.m_Revision = delta.m_To;
    new_head.m_Writes.push_back({id, delta.m_To});
    if (new_head.m_Writes.size() > kWritesKept)
        new_head.m_Writes.erase(new_head.m_Writes.begin());
    TableTxn txn;
    txn.m_If.push_back({std::string(kRowConfigHead), head.value().m_Version});
    txn.m_Put.push_back({std::string(kRowConfigHead), SerializeHead(new_head)});
    for (const Resource& r : delta.m_Written)
        txn.m_Put.push_back({RowKey(r.m_Key), json::serialize(ToJson(r))});

    const TimePoint sent   = Now();
    const TxnResult result = co_await m_Table.Commit(txn, std::min(deadline, sent + m_Config.m_ReadTimeout));
    if (result.m_Outcome == TxnOutcome_Refused)
        co_return MakeError(ErrorCode_Unavailable, "configuration can't be accepted: the table service refused the write");
    if (result.m_Outcome == TxnOutcome_Conflict)
    {
        *again = true;
        co_return MakeError(ErrorCode_Conflict, "another change came first");
    }
    uint64_t revision = delta.m_To;
    if (result.m_Outcome == TxnOutcome_Unknown)
    {
        bool       lost    = false;
        const auto settled = co_await Settle(txn, id, head.value().m_Version, deadline, &lost);
        if (!settled && lost)
        {
            *again = true;
            co_return MakeError(ErrorCode_Conflict, "another change came first");
        }
        if (!settled)
            co_return MakeError(ErrorCode_Timeout, "the outcome of write " + id + " is unknown; read the configuration before trying again", {},
                                Verdict_MayHaveRun);
        revision = *settled;
        LogEvent(Event_WriteSettled, {{"write", id}, {"revision", revision}});
    }
    m_Node.OfferConfig(delta, Now() - sent);
    co_return CommitDone{revision, delta.m_Written};
}

//-----------------------------------------------------------------------------
// StoreSync
//-----------------------------------------------------------------------------

StoreSync::StoreSync(Daemon& daemon, Node& node, TableService& table, BoxListSource& list, StoreSyncConfig cfg, ManifestCheck check)
    : m_Impl(std::make_shared<Impl>(daemon, node, table, list, cfg, std::move(check)))
{
}

StoreSync::~StoreSync() = default;

void StoreSync::Start()
{
    Spawn(m_Impl->m_Daemon.Ioc(), m_Impl->PollLoop());
}

awaitable<Result<CommitDone>> StoreSync::Commit(ChangeRequest change, TimePoint deadline)
{
    for (int i = 0; i < kConflictsMax; i++)
    {
        bool again  = false;
        auto result = co_await m_Impl->TryCommit(change, deadline, &again);
        if (!again)
        {
            if (result)
                LogEvent(Event_ConfigAccepted,
                         {{"revision", result.value().m_Revision}, {"by", change.m_By}, {"written", result.value().m_Written.size()}});
            else
                LogEvent(Event_ConfigRefused, {{"by", change.m_By}, {"field", result.error().m_Field}, {"reason", result.error().m_Message}});
            co_return result;
        }
        co_await SleepFor(milliseconds(5 + 5 * i));
    }
    co_return MakeError(ErrorCode_Conflict, "too many changes at once; try again");
}

bool StoreSync::StoreSeen() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return m_Impl->m_Seen;
}

bool StoreSync::StoreReachable() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return m_Impl->m_Reachable;
}

} // namespace aldervale
