// Weights on one box: orders, transfers, the staging endpoint that the engine reads from, and admission of requests. See agent_weights.h.
#include "version/agent_weights.h"
#include "common/log.h"
#include "version/transfer_internal.h"

namespace aldervale
{

namespace
{

constexpr auto   kLoadTimeout      = seconds(600);
constexpr auto   kReportEvery      = milliseconds(200);
constexpr auto   kReportTimeout    = milliseconds(1000);
constexpr size_t kLinkBurstBytes   = 256 * 1024;         // bytes
constexpr auto   kMemberSilenceMax = milliseconds(2000); // after this long without a heartbeat from a member, its replica takes no requests
constexpr size_t kWarmPrefixesMax  = 64;                 // cached prompt prefixes listed in a heartbeat

ExchangeMode ParseMode(std::string_view name)
{
    if (name == "origin-only")
        return ExchangeMode_OriginOnly;
    return name == "chain" ? ExchangeMode_Chain : ExchangeMode_Spread;
}

ExchangeConfig MakeExchangeConfig(const WeightsSettings& s)
{
    ExchangeConfig cfg;
    cfg.m_Mode          = ParseMode(s.m_Mode);
    cfg.m_DownloadSlots = static_cast<unsigned>(s.m_DownloadSlots);
    cfg.m_UploadSlots   = static_cast<unsigned>(s.m_UploadSlots);
    cfg.m_TakeOverDelay = milliseconds(s.m_TakeOverMs);
    if (cfg.m_Mode != ExchangeMode_Spread)
        cfg.m_UploadBudgetCopies = 1e9;
    return cfg;
}

struct SlicePosition
{
    std::string m_Placement;           // name; empty: no such placement
    size_t      m_ReplicaPosition = 0; // index of this box among the boxes of its replica
    size_t      m_BoxesPerReplica = 1; //
};

SlicePosition FindSlicePosition(const ConfigSnapshot& c, const std::string& box, const std::string& dc, std::string_view placement)
{
    const auto p = c.m_Placements.find(placement);
    if (p == c.m_Placements.end())
        return {};
    const std::vector<std::string> boxes = AssignBoxes(c, placement, dc);
    const auto                     it    = std::find(boxes.begin(), boxes.end(), box);
    const size_t                   count = p->second.m_Spec.m_BoxesPerReplica;
    if (it == boxes.end())
        return {std::string(placement), 0, count};
    return {std::string(placement), static_cast<size_t>(it - boxes.begin()) % count, count};
}

} // namespace

std::vector<SettingSpec> DescribeWeights(WeightsSettings& s)
{
    return {
        {"weights.staging_mib", SettingInt{&s.m_StagingMib, 1, 1 << 24}, "bound of the memory that holds chunks, MiB"},
        {"weights.link_mib_s", SettingReal{&s.m_LinkMibS, 0, 1e6}, "weights in and out together, MiB/s; 0: no limit"},
        {"weights.neighbours", SettingInt{&s.m_Neighbours, 1, 64}, "boxes of the own data centre dialled per version"},
        {"weights.mode", SettingText{&s.m_Mode, {"spread", "origin-only", "chain"}, false}, "spread; the others are baselines for measurements"},
        {"weights.download_slots", SettingInt{&s.m_DownloadSlots, 1, 64}, "chunk requests to neighbours in flight"},
        {"weights.upload_slots", SettingInt{&s.m_UploadSlots, 1, 64}, "chunk uploads in flight"},
        {"weights.take_over_ms", SettingInt{&s.m_TakeOverMs, 50, 600'000}, "wait before the next in order reads a chunk from the origin"},
        {"weights.staging_listen", SettingAddress{&s.m_StagingListen, true, true}, "loopback address that the engine reads weights from"},
    };
}

struct AgentWeights::Impl : std::enable_shared_from_this<AgentWeights::Impl>
{
    Impl(Daemon& daemon, const WeightsSettings& s, Node& node, WeightStore& store, Engine& engine)
        : m_Daemon(daemon), m_Settings(s), m_Node(node), m_Engine(engine),
          m_Shared(new TransferShared{daemon, node, store, Staging(static_cast<uint64_t>(s.m_StagingMib) << 20),
                                      LinkRateLimiter(s.m_LinkMibS * 1024 * 1024, kLinkBurstBytes), MakeExchangeConfig(s), s})
    {
    }

    void            OnOrder(const LinkPtr& link, uint64_t exchange, const wire::Order& msg);
    void            OnManifestGet(const LinkPtr& link, uint64_t exchange, const wire::ManifestGet& msg);
    TransferPtr     FindTransfer(std::string_view slice) const;
    void            RunActions();
    void            BeginFetch(const ActivationAction& a);
    void            OnFetchDone(const std::string& slice, const Status& s);
    awaitable<void> LoadIntoEngine(ActivationAction a);
    awaitable<void> ReportLoop();
    awaitable<void> ServeStaging(HttpRequest& req, HttpReply& reply);
    bool WholeReplicaServes(const std::string& slice) const; // every other box of this replica serves the same version; caller holds m_Mutex

    Daemon&                         m_Daemon;   //
    WeightsSettings                 m_Settings; //
    Node&                           m_Node;     //
    Engine&                         m_Engine;   //
    std::shared_ptr<TransferShared> m_Shared;   //
    std::unique_ptr<HttpServer>     m_StagingServer;

    struct MemberState // another box of this box's replica
    {
        std::string m_Active;       // slice digest that it serves
        TimePoint   m_ReceivedAt{}; // time of the last heartbeat
    };

    mutable std::mutex                 m_Mutex;            // guards the members below
    Activation                         m_Activation;       //
    std::map<std::string, TransferPtr> m_Transfers;        // by slice digest; of the versions in m_Activation, including failed ones
    std::map<std::string, std::string> m_PlacementBySlice; // by slice digest: name of the placement that its order was for
    EngineReport                       m_Report;           // newest report of the engine
    TimePoint                          m_ReportedAt{};     // when m_Report was received
    std::map<std::string, MemberState> m_Members;          // by box name
};

TransferPtr AgentWeights::Impl::FindTransfer(std::string_view slice) const
{
    std::lock_guard lock(m_Mutex);
    const auto      it = m_Transfers.find(std::string(slice));
    return it == m_Transfers.end() ? nullptr : it->second;
}

//-----------------------------------------------------------------------------
// Orders
//-----------------------------------------------------------------------------

void AgentWeights::Impl::OnOrder(const LinkPtr& link, uint64_t exchange, const wire::Order& msg)
{
    Order o;
    o.m_Fencing          = msg.fencing();
    o.m_Id               = msg.order_id();
    o.m_Kind             = static_cast<OrderKind>(msg.kind());
    o.m_Digest           = msg.digest() != nullptr ? msg.digest()->str() : "";
    o.m_Base             = msg.base() != nullptr ? msg.base()->str() : "";
    OrderOutcome outcome = OrderOutcome_Failed;
    uint64_t     fencing = 0;
    if (!o.m_Digest.empty() && msg.kind() <= wire::OrderKind::Unload)
    {
        std::lock_guard lock(m_Mutex);
        outcome = m_Activation.OnOrder(o);
        fencing = m_Activation.Fencing();
        if (outcome == OrderOutcome_Started && msg.placement() != nullptr)
            m_PlacementBySlice[o.m_Digest] = msg.placement()->str();
    }
    if (outcome == OrderOutcome_Stale)
        LogEvent(Event_OrderRefused, {{"fencing", o.m_Fencing}, {"highest", fencing}, {"digest", o.m_Digest}});
    wire::OrderResultT result;
    result.order_id = o.m_Id;
    result.outcome  = static_cast<wire::OrderOutcome>(outcome);
    result.fencing  = fencing;
    link->Send(EncodeFrame(exchange, result));
    RunActions();
}

void AgentWeights::Impl::RunActions()
{
    std::vector<ActivationAction> actions;
    {
        std::lock_guard lock(m_Mutex);
        actions = m_Activation.TakeActions();
    }
    for (const ActivationAction& a : actions)
    {
        switch (a.m_Type)
        {
        case ActivationAction_Fetch:
            BeginFetch(a);
            break;
        case ActivationAction_StopFetch:
            if (const TransferPtr t = FindTransfer(a.m_Digest))
                t->Stop();
            break;
        case ActivationAction_Drop:
        {
            const TransferPtr t = FindTransfer(a.m_Digest);
            if (t)
            {
                t->Stop();
                t->Release();
                std::lock_guard lock(m_Mutex);
                m_Transfers.erase(a.m_Digest);
                m_PlacementBySlice.erase(a.m_Digest);
            }
            LogEvent(Event_VersionDropped, {{"digest", a.m_Digest}});
            break;
        }
        case ActivationAction_EngineLoad:
            Spawn(m_Daemon.Ioc(),
                  [](std::shared_ptr<Impl> self, ActivationAction action) -> awaitable<void>
                  { co_await self->LoadIntoEngine(std::move(action)); }(shared_from_this(), a));
            break;
        }
    }
    if (!actions.empty())
        m_Node.AnnounceNow();
}

void AgentWeights::Impl::BeginFetch(const ActivationAction& a)
{
    const ConfigPtr c = m_Node.Config();
    TransferPtr     t;
    TransferPtr     old;
    {
        std::lock_guard     lock(m_Mutex);
        const SlicePosition position =
            FindSlicePosition(*c, m_Daemon.Settings().m_Name, m_Daemon.Settings().m_DataCentre, m_PlacementBySlice[a.m_Digest]);
        const bool whole = WholeDigest(a.m_Digest) == a.m_Digest;
        t                = std::make_shared<Transfer>(m_Shared, position.m_Placement, a.m_Digest, whole ? 0 : position.m_ReplicaPosition,
                                       whole ? 1 : position.m_BoxesPerReplica);
        old              = std::exchange(m_Transfers[a.m_Digest], t);
    }
    if (old)
    {
        old->Stop();
        old->Release();
    }
    LogEvent(Event_VersionFetchStarted, {{"digest", a.m_Digest}});
    t->Start([self = shared_from_this(), slice = a.m_Digest](const Status& s) { self->OnFetchDone(slice, s); });
}

void AgentWeights::Impl::OnFetchDone(const std::string& slice, const Status& s)
{
    {
        std::lock_guard lock(m_Mutex);
        if (s)
            m_Activation.OnVerified(slice);
        else
            m_Activation.OnFetchFailed(slice, s.error().m_Message);
    }
    if (s)
        LogEvent(Event_VersionVerified, {{"digest", slice}});
    RunActions();
    m_Node.AnnounceNow();
}

awaitable<void> AgentWeights::Impl::LoadIntoEngine(ActivationAction a)
{
    EngineLoad load;
    load.m_Digest  = a.m_Digest;
    load.m_Base    = a.m_Base;
    load.m_Fencing = a.m_Fencing;
    load.m_Source  = "http://" + m_Settings.m_StagingListen + "/staging/" + a.m_Digest;
    auto confirmed = co_await m_Engine.Load(load, Now() + kLoadTimeout);
    {
        std::lock_guard lock(m_Mutex);
        if (confirmed)
            m_Activation.OnLoaded(a.m_Digest, confirmed.value());
        else
            m_Activation.OnLoadFailed(a.m_Digest, confirmed.error().m_Message);
    }
    if (confirmed)
        LogEvent(Event_VersionServable, {{"digest", a.m_Digest}, {"confirmed", confirmed.value()}});
    else
        LogEvent(Event_EngineLoadFailed, {{"digest", a.m_Digest}, {"what", confirmed.error().m_Message}});
    RunActions();
    m_Node.AnnounceNow();
}

awaitable<void> AgentWeights::Impl::ReportLoop()
{
    for (;;)
    {
        auto report = co_await m_Engine.Report(Now() + kReportTimeout);
        if (report)
        {
            std::lock_guard lock(m_Mutex);
            const bool      restarted = m_Report.m_Boot != 0 && report.value().m_Boot != m_Report.m_Boot;
            m_Report                  = std::move(report.value());
            m_ReportedAt              = Now();
            if (restarted)
                m_Activation.OnEngineRestart();
        }
        RunActions();
        co_await SleepFor(kReportEvery);
    }
}

//-----------------------------------------------------------------------------
// Staging endpoint for the engine: /staging/SLICE/manifest and /staging/SLICE/SHARD with Range
//-----------------------------------------------------------------------------

static bool ParseRange(std::string_view text, uint64_t size, uint64_t& begin, uint64_t& end)
{
    if (text.empty())
    {
        begin = 0;
        end   = size;
        return true;
    }
    unsigned long long a = 0;
    unsigned long long b = 0;
    if (std::sscanf(std::string(text).c_str(), "bytes=%llu-%llu", &a, &b) != 2 || a > b || b >= size)
        return false;
    begin = a;
    end   = b + 1;
    return true;
}

awaitable<void> AgentWeights::Impl::ServeStaging(HttpRequest& req, HttpReply& reply)
{
    constexpr std::string_view kPrefix = "/staging/";
    std::string_view           path    = req.Path();
    const size_t               slash   = path.rfind('/');
    HttpResponse               res     = ErrorResponse(MakeError(ErrorCode_NotFound, "no such slice or shard"));
    const TransferPtr          t =
        path.starts_with(kPrefix) && slash > kPrefix.size() ? FindTransfer(path.substr(kPrefix.size(), slash - kPrefix.size())) : nullptr;
    const ManifestPtr m = t ? t->GetManifest() : nullptr;
    if (m && path.substr(slash + 1) == "manifest")
        res = {200, {{"Content-Type", "application/json"}}, t->WholeManifestText()};
    for (size_t s = 0; m && s < m->m_Shards.size(); s++)
    {
        const ManifestShard& shard = m->m_Shards[s];
        uint64_t             begin = 0;
        uint64_t             end   = 0;
        if (shard.m_Name != path.substr(slash + 1) || !ParseRange(FindField(req.m_Fields, "Range"), shard.m_Size, begin, end))
            continue;
        res = {206, {{"Content-Type", "application/octet-stream"}}, {}};
        for (uint64_t at = begin; at < end;)
        {
            const uint32_t   chunk = static_cast<uint32_t>(at / m->m_ChunkSize);
            const ChunkBytes bytes = m_Shared->m_Staging.Get(shard.m_Chunks[chunk]);
            if (!bytes)
            {
                res = ErrorResponse(MakeError(ErrorCode_Unavailable, "chunk is not staged"));
                break;
            }
            const uint64_t from = at - chunk * m->m_ChunkSize;
            const uint64_t n    = std::min<uint64_t>(bytes->size() - from, end - at);
            res.m_Body.append(reinterpret_cast<const char*>(bytes->data()) + from, n);
            at += n;
        }
    }
    co_await reply.Send(res);
}

//-----------------------------------------------------------------------------
// Replicas that span boxes
//-----------------------------------------------------------------------------

bool AgentWeights::Impl::WholeReplicaServes(const std::string& slice) const
{
    if (WholeDigest(slice) == slice)
        return true;
    const ConfigPtr     c    = m_Node.Config();
    const auto          name = m_PlacementBySlice.find(slice);
    const SlicePosition position =
        FindSlicePosition(*c, m_Daemon.Settings().m_Name, m_Daemon.Settings().m_DataCentre, name == m_PlacementBySlice.end() ? "" : name->second);
    const std::vector<std::string> boxes = AssignBoxes(*c, position.m_Placement, m_Daemon.Settings().m_DataCentre);
    const auto                     own   = std::find(boxes.begin(), boxes.end(), m_Daemon.Settings().m_Name);
    if (own == boxes.end())
        return false;
    const size_t first = static_cast<size_t>(own - boxes.begin()) / position.m_BoxesPerReplica * position.m_BoxesPerReplica;
    for (size_t i = 0; i < position.m_BoxesPerReplica; i++)
    {
        const std::string& member = boxes[first + i];
        if (member == m_Daemon.Settings().m_Name)
            continue;
        const auto view = m_Members.find(member);
        if (view == m_Members.end() || view->second.m_Active != SliceDigest(WholeDigest(slice), i, position.m_BoxesPerReplica) ||
            Now() - view->second.m_ReceivedAt > kMemberSilenceMax)
            return false;
    }
    return true;
}

//-----------------------------------------------------------------------------
// AgentWeights
//-----------------------------------------------------------------------------

AgentWeights::AgentWeights(Daemon& daemon, const WeightsSettings& s, Node& node, WeightStore& store, Engine& engine)
    : m_Impl(std::make_shared<Impl>(daemon, s, node, store, engine))
{
}

AgentWeights::~AgentWeights() = default;

Status AgentWeights::Start()
{
    const HttpHandler handler = [impl = m_Impl](HttpRequest& req, HttpReply& reply) -> awaitable<void> { co_await impl->ServeStaging(req, reply); };
    m_Impl->m_StagingServer   = std::make_unique<HttpServer>(m_Impl->m_Daemon.Ioc(), HttpServerConfig{}, handler);
    Spawn(m_Impl->m_Daemon.Ioc(), m_Impl->ReportLoop());
    return m_Impl->m_StagingServer->Listen(ParseEndpoint(m_Impl->m_Settings.m_StagingListen).value());
}

bool AgentWeights::OnFrame(const LinkPtr& link, const FrameBuf& buf)
{
    const wire::Frame& f = *buf.Get();
    switch (f.body_type())
    {
    case wire::Body::Order:
        m_Impl->OnOrder(link, f.exchange(), *f.body_as_Order());
        return true;
    case wire::Body::HaveUpdate:
    {
        const auto*       msg = f.body_as_HaveUpdate();
        const TransferPtr t   = msg->digest() != nullptr ? m_Impl->FindTransfer(msg->digest()->string_view()) : nullptr;
        if (t)
            t->OnHave(link, *msg);
        return true;
    }
    case wire::Body::ChunkGet:
    {
        const auto*       msg = f.body_as_ChunkGet();
        const TransferPtr t   = msg->digest() != nullptr ? m_Impl->FindTransfer(msg->digest()->string_view()) : nullptr;
        if (t)
            t->OnChunkGet(link, f.exchange(), *msg);
        else
        {
            wire::ChunkRefusedT refused;
            refused.index = msg->index();
            link->Send(EncodeFrame(f.exchange(), refused));
        }
        return true;
    }
    case wire::Body::ManifestGet:
        m_Impl->OnManifestGet(link, f.exchange(), *f.body_as_ManifestGet());
        return true;
    default:
        return false;
    }
}

void AgentWeights::Impl::OnManifestGet(const LinkPtr& link, uint64_t exchange, const wire::ManifestGet& msg)
{
    wire::ManifestDataT answer;
    answer.digest = msg.digest() != nullptr ? msg.digest()->str() : "";
    std::vector<TransferPtr> candidates;
    {
        std::lock_guard lock(m_Mutex);
        for (const auto& [slice, t] : m_Transfers)
            if (WholeDigest(slice) == answer.digest)
                candidates.push_back(t);
    }
    for (const TransferPtr& t : candidates)
        if (answer.json.empty())
            answer.json = t->WholeManifestText();
    answer.found = !answer.json.empty();
    link->Send(EncodeFrame(exchange, answer));
}

void AgentWeights::OnLinkUp(const LinkPtr& link)
{
    std::vector<TransferPtr> all;
    {
        std::lock_guard lock(m_Impl->m_Mutex);
        for (const auto& [slice, t] : m_Impl->m_Transfers)
            all.push_back(t);
    }
    for (const TransferPtr& t : all)
        t->OnLinkUp(link);
}

void AgentWeights::OnLinkDown(const LinkPtr& link)
{
    std::vector<TransferPtr> all;
    {
        std::lock_guard lock(m_Impl->m_Mutex);
        for (const auto& [slice, t] : m_Impl->m_Transfers)
            all.push_back(t);
    }
    for (const TransferPtr& t : all)
        t->OnLinkDown(link);
}

void AgentWeights::OnHeartbeat(const LinkPtr& link, const wire::Heartbeat& hb)
{
    OnFencing(m_Impl->m_Node.Lease().m_Fencing);
    if (hb.state() == nullptr)
        return;
    std::lock_guard lock(m_Impl->m_Mutex);
    m_Impl->m_Members[link->Peer().m_Name] = {hb.state()->active() != nullptr ? hb.state()->active()->str() : "", Now()};
}

void AgentWeights::OnFencing(uint64_t fencing)
{
    std::lock_guard lock(m_Impl->m_Mutex);
    m_Impl->m_Activation.OnFencing(fencing);
}

bool AgentWeights::BeginRequest(const std::string& digest, const std::string& adapter)
{
    std::lock_guard    lock(m_Impl->m_Mutex);
    const std::string& active = m_Impl->m_Activation.Active();
    if (WholeDigest(active) != digest || !m_Impl->WholeReplicaServes(active))
        return false;
    return m_Impl->m_Activation.RequestBegin(active, adapter);
}

void AgentWeights::EndRequest()
{
    {
        std::lock_guard lock(m_Impl->m_Mutex);
        m_Impl->m_Activation.RequestEnd();
    }
    m_Impl->RunActions();
}

bool AgentWeights::Fetching() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    for (const auto& [slice, v] : m_Impl->m_Activation.Versions())
        if (v.m_State == VersionState_Fetching)
            return true;
    return false;
}

bool AgentWeights::HoldsSlice() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    for (const auto& [slice, v] : m_Impl->m_Activation.Versions())
        if (WholeDigest(slice) != slice)
            return true;
    return false;
}

uint64_t AgentWeights::RunningRequests() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    return m_Impl->m_Activation.Running();
}

void AgentWeights::ChargeAnswerBytes(size_t bytes)
{
    m_Impl->m_Shared->m_Link.Reserve(static_cast<double>(bytes));
}

void AgentWeights::Describe(wire::AgentStateT& out, bool brief) const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    out.active       = m_Impl->m_Activation.Active();
    out.group_closed = !out.active.empty() && !m_Impl->WholeReplicaServes(out.active);
    out.fencing      = m_Impl->m_Activation.Fencing();
    out.running      = m_Impl->m_Report.m_Running;
    out.queued       = m_Impl->m_Report.m_Queued;
    out.kv_free      = static_cast<float>(m_Impl->m_Report.m_KvFree);
    out.load_age_ms  = m_Impl->m_Report.m_AgeMs + static_cast<uint32_t>(m_Impl->m_ReportedAt == TimePoint{} ? 0 : ToMs(Now() - m_Impl->m_ReportedAt));
    out.staging_reserved = m_Impl->m_Shared->m_Staging.ReservedBytes();
    out.staging_max      = m_Impl->m_Shared->m_Staging.MaxBytes();
    const auto& warm     = m_Impl->m_Report.m_WarmPrefixes;
    out.warm.assign(warm.begin(), warm.begin() + static_cast<std::ptrdiff_t>(std::min(warm.size(), kWarmPrefixesMax)));
    out.brief = brief;
    if (brief)
        return;
    for (const auto& [digest, v] : m_Impl->m_Activation.Versions())
    {
        auto status      = std::make_unique<wire::VersionStatusT>();
        status->digest   = digest;
        status->base     = v.m_Base;
        status->state    = static_cast<wire::ServableState>(v.m_State);
        status->error    = v.m_Error;
        status->failures = v.m_Failures;
        const auto t     = m_Impl->m_Transfers.find(digest);
        if (t != m_Impl->m_Transfers.end())
            t->second->Describe(*status);
        out.versions.push_back(std::move(status));
    }
}

json::object AgentWeights::DescribeJson() const
{
    wire::AgentStateT state;
    Describe(state, false);
    json::array versions;
    for (const auto& v : state.versions)
        versions.push_back(json::object{{"digest", v->digest},
                                        {"state", VersionStateName(static_cast<VersionState>(v->state))},
                                        {"chunks_have", v->chunks_have},
                                        {"chunks_total", v->chunks_total},
                                        {"bytes_origin", v->bytes_origin},
                                        {"bytes_peers", v->bytes_peers},
                                        {"bytes_uploaded", v->bytes_uploaded},
                                        {"seconds", v->seconds},
                                        {"error", v->error}});
    return json::object{{"active", state.active}, {"fencing", state.fencing}, {"versions", versions}, {"staging_reserved", state.staging_reserved}};
}

} // namespace aldervale
