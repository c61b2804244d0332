// aldervale-platform-router: the router of an entry box on the users' platform. Follows the platform's store, hears load reports from the
// model servers' boxes, and serves callers from backend servers directly. It keeps nothing and gives no orders.
#include "common/log.h"
#include "common/metrics.h"
#include "connection/load_channel.h"
#include "crash_share.h"
#include "limit_share.h"
#include "platform/request_headers.h"
#include "platform_tables.h"
#include "process/declarations_lag.h"
#include "process/declarations_peers.h"
#include "request/direct_serve.h"
#include "request/followed_boxes.h"
#include "server_list_share.h"

using namespace aldervale;

namespace
{

constexpr auto kLookEvery       = milliseconds(100);    // for servers kept over an outage of the store, and for declarations that are late
constexpr auto kLeadWait        = milliseconds(350);    // of a standing request for declarations: with kLeadQuiet less than what counts as fresh
constexpr auto kListRetry       = milliseconds(500);    // longest pause between tries of who reads it for others, and
constexpr auto kListRetryOthers = milliseconds(1500);   // of all others while nobody tells: when the store is away, 149 routers ask for nothing
constexpr auto kLeadQuiet       = milliseconds(600);    // pause after one that brought nothing; changes of other tables end it early
constexpr auto kRestPause       = milliseconds(30'000); // mean, between looks for named weights of a router that leaves declarations to others
constexpr auto kDrainNotice     = milliseconds(2600);   // the balancer asks once a second, and twice before it sends callers elsewhere

struct RouterSettings
{
    std::string              m_HttpListen;  // callers [http_listen]
    std::string              m_ReadyListen; // the balancer's readiness questions [ready_listen]
    std::string              m_Regions;     // of the data centres, see ParseRegions() [regions]
    std::vector<std::string> m_Seeds;       // addresses of a few routers, of which only the IP number counts [seeds]
    PlatformSettings         m_Platform;    //
    DirectServeSettings      m_Serve;       //
};

struct Router // lives as long as the process
{
    RouterSettings                     m_Settings;             //
    RoutingState                       m_World;                //
    platform::RequestHeaders           m_Protocol;             //
    std::unique_ptr<PlatformTables>    m_Tables;               //
    bool                               m_OperatorRead = false; // the operators' table was read once, here or by who gave it
    TimePoint                          m_LearnedAt{};          // when the rows being used were read from the store, here or by who gave them
    StoreTimes                         m_StoreTimes;           //
    TimePoint                          m_RowsNotBefore{};      // rows newer than m_RowsHeld were written since; default: unknown
    uint64_t                           m_RowsHeld = 0;         // version of the rows held before those being used
    std::string                        m_Name;                 // of this process
    std::string                        m_DataCentre;           //
    std::unique_ptr<LoadListener>      m_Loads;                //
    std::unique_ptr<PlaceChannel>      m_Places;               //
    std::unique_ptr<RefusalChannel>    m_Refusals;             // records of refused requests, with the routers of the region
    std::unique_ptr<ServerListShare>   m_List;                 // with other routers
    std::unique_ptr<DeclarationsPeers> m_Peers;                //
    DeclarationsLag                    m_Lag;                  // behind what m_Peers has heard of
    std::unique_ptr<DirectServe>       m_Serve;                //
    std::unique_ptr<CrashShare>        m_Crashes;              // exchanges crash records with other routers
    std::unique_ptr<LimitShare>        m_Limits;               // exchanges rate limits with other routers
    std::unique_ptr<HttpServer>        m_Http;                 //
    std::unique_ptr<HttpServer>        m_Ready;                //
};

std::vector<SettingSpec> DescribeRouter(RouterSettings& s)
{
    std::vector<SettingSpec> specs = {
        {"http_listen", SettingAddress{&s.m_HttpListen, true, true}, "address for callers"},
        {"ready_listen", SettingAddress{&s.m_ReadyListen, true, true}, "address for the balancer's readiness questions"},
        {"seeds", SettingList{&s.m_Seeds}, "addresses of a few routers, at which routers that start learn of each other; they may be out of date"},
        {"regions", SettingText{&s.m_Regions, {}, false}, "regions of the data centres, as data-centre=region pairs separated by commas"},
    };
    for (const SettingSpec& spec : DescribePlatform(s.m_Platform))
        specs.push_back(spec);
    for (const SettingSpec& spec : DescribeDirectServe(s.m_Serve))
        specs.push_back(spec);
    return specs;
}

//-----------------------------------------------------------------------------
// What is declared
//-----------------------------------------------------------------------------

// The boxes of all model servers, whose agents report their load and know the other routers. Before declarations are known, servers that hold
// weights are taken for model servers: who has the declarations is to be learned from their agents.
void FollowBoxes(Router& r)
{
    const auto            port = static_cast<uint16_t>(r.m_Settings.m_Platform.m_Port);
    std::vector<KnownBox> boxes;
    const auto            add       = [&](const ServerEntry& e) { boxes.push_back({{e.m_Address.m_Address, port}, e.m_DataCentre}); };
    const auto            add_model = [&](const Service& s, const ServerEntry& e)
    {
        if (s.m_Engine)
            add(e);
    };
    ForEachServer(r.m_World, add_model);
    if (!r.m_World.m_Routes)
        for (const ServerEntry* e : r.m_World.m_Servers.Everywhere())
            if (e->m_Weights > 0)
                add(*e);
    r.m_Loads->SetBoxes(FollowedBoxes(r.m_Name, r.m_DataCentre, boxes));
}

constexpr size_t kBoundsTold = 4; // newest versions whose time of declaration boxes are told a bound of

// What the boxes of a model service need to know of it.
ModelNaming NamingOf(const RoutingState& world, const Service& s)
{
    ModelNaming n;
    n.m_Service = s.m_Name;
    n.m_Model   = s.m_Engine->m_Model;
    if (const auto& origin = world.m_Routes->Spec().m_Origin)
    {
        n.m_Origin            = origin->m_Address;
        n.m_OriginMbps        = origin->m_Mbps;
        n.m_OriginConnections = origin->m_MaxConnections;
    }
    const auto named = world.m_TargetVersions.find(n.m_Model);
    if (named == world.m_TargetVersions.end() || named->second.empty())
        return n;
    const auto& [version, naming] = *named->second.rbegin();
    n.m_Version                   = version;
    if (naming.m_Observed) // boxes plan their starts by it: by the bound they would start earlier than their pieces come, and more of them together
        n.m_At = naming.m_IsBound ? naming.m_LearnedAt : naming.m_At;
    for (auto it = named->second.rbegin(); it != named->second.rend() && n.m_Bounds.size() < kBoundsTold; ++it)
        if (it->second.m_IsBound)
            n.m_Bounds.push_back({it->first, it->second.m_At});
    return n;
}

void TellBoxes(Router& r)
{
    if (!r.m_World.m_Routes)
        return;
    std::vector<ModelNaming> out;
    for (const Service& s : r.m_World.m_Routes->Spec().m_Services)
        if (s.m_Engine && s.m_Engine->m_Pieces > 0)
            out.push_back(NamingOf(r.m_World, s));
    r.m_Loads->SetNamed(std::move(out));
}

void ApplyLimits(Router& r, const RouteTableSpec& spec)
{
    HttpServerConfig c;
    c.m_HeadMax     = spec.m_Limits.m_HeadMax;
    c.m_BodyMax     = spec.m_Limits.m_BodyMax;
    c.m_ReadTimeout = spec.m_Limits.m_HeadTimeout;
    c.m_IdleTimeout = spec.m_Limits.m_IdleTimeout;
    c.m_BodyTimeout = c.m_ReadTimeout;
    for (const Route& route : spec.m_Routes) // one that takes longer than any route allows can't be served
        c.m_BodyTimeout = std::max(c.m_BodyTimeout, route.m_Timeout);
    r.m_Http->SetConfig(c);
}

void OnConfig(Router& r, const RouteTableSpec& spec, uint64_t row_version)
{
    const uint64_t before = r.m_World.m_Routes ? r.m_World.m_Routes->Version() : 0;
    if (spec.m_Version <= before)
        return;
    r.m_World.m_Routes           = std::make_shared<const RouteTable>(spec);
    r.m_World.m_RoutesReceivedAt = Now();
    ApplyLimits(r, spec);
    FollowBoxes(r);
    r.m_Serve->OnServersChanged();
    r.m_Loads->SetDeclared(spec.m_Version);
    TellBoxes(r);
    LogEvent(Event_DeclarationsInForce, {{"version", spec.m_Version},
                                         {"before", before},
                                         {"row_version", row_version},
                                         {"held", r.m_World.m_Freshness.m_HeldRow},
                                         {"from", r.m_World.m_Freshness.m_Source},
                                         {"learned_age_ms", AgeOrNever(r.m_LearnedAt, Now())},
                                         {"routes", spec.m_Routes.size()},
                                         {"accounts", spec.m_Accounts.size()}});
}

void OnNamed(Router& r, const platform::NamedWeights& named)
{
    const TimePoint now      = Now();
    const Duration  deadline = FromMs(r.m_Settings.m_Serve.m_WeightsDeadlineMs);
    DeclarationTime naming   = AssumeDeclarationTime(now, deadline);
    naming.m_RowVersion      = named.m_RowVersion;
    // Before the first read is over, what it tells may have been named at any time. A row that was held before tells nothing new.
    if (r.m_OperatorRead && named.m_RowVersion > r.m_RowsHeld)
    {
        const TimePoint not_before = r.m_Peers->WrittenSince(named.m_RowVersion).value_or(r.m_RowsNotBefore);
        naming                     = EstimateDeclarationTime(not_before, r.m_LearnedAt, now, deadline);
        naming.m_RowVersion        = named.m_RowVersion;
    }
    const bool news = RecordTargetVersion(r.m_World, named.m_Model, named.m_Version, naming, now);
    if (news)
        TellBoxes(r);
}

void OnBound(Router& r, uint64_t row_version, TimePoint not_before)
{
    if (RefineDeclarationTime(r.m_World, row_version, not_before))
        TellBoxes(r);
}

void OnEvacuations(Router& r, EvacuatedDataCentres evacuated)
{
    static Gauge& gauge = Metrics().GetGauge("aldervale_data_centres_evacuated");
    gauge.Set(static_cast<double>(evacuated.size()));
    if (evacuated == r.m_World.m_Evacuated)
        return;
    json::array names;
    for (const std::string& name : evacuated)
        names.emplace_back(name);
    LogEvent(Event_EvacuationsChanged, {{"data_centres", std::move(names)}, {"learned_age_ms", AgeOrNever(r.m_LearnedAt, Now())}});
    r.m_World.m_Evacuated = std::move(evacuated);
}

void OnDeclaredRows(Router& r, const DeclaredRows& rows)
{
    static Counter&         from_store  = Metrics().GetCounter("aldervale_declarations_taken_total", "from=\"store\"");
    static Counter&         from_router = Metrics().GetCounter("aldervale_declarations_taken_total", "from=\"router\"");
    static HistogramMetric& delay       = Metrics().GetHistogram("aldervale_declarations_delay_seconds");
    const bool              first       = !r.m_World.m_Routes; // may have been learned at any time before this process started
    r.m_LearnedAt                       = rows.m_LearnedAt;
    r.m_RowsNotBefore                   = rows.m_NotBefore;
    r.m_RowsHeld                        = rows.m_Previous;
    r.m_World.m_Freshness.m_Source      = rows.m_From;
    OnEvacuations(r, PlatformTables::DecodeEvacuations(rows.m_Rows));
    r.m_Tables->UseOperatorRows(rows.m_Rows);
    (rows.m_From == kFromStore ? from_store : from_router).Add(1);
    if (!first)
        delay.Record(ToSeconds(Now() - rows.m_LearnedAt));
}

// Read from the store just now, all rows that name weights. When the times of new ones were assumed, all routers refused requests to older weights
// from the moment at which one of them read a version this way.
void OnFewRows(Router& r, const RowRead& read)
{
    r.m_Peers->OnFewRows(read);
    r.m_LearnedAt     = Now();
    r.m_RowsNotBefore = {};
    r.m_RowsHeld      = r.m_Peers->Spread().Held();
    r.m_Tables->UseOperatorRows(read);
}

// Of the rows of one key only the last one is held, and it may name older weights than one before it in the same read.
void OnOperatorTable(Router& r, const RowRead& read, TableRead kind)
{
    r.m_Peers->OnStoreRead(read, kind);
    if (kind == TableRead_Changes && r.m_OperatorRead)
        r.m_Tables->UseWeightsRows(read);
}

void OnBelief(Router& r)
{
    DeclarationsFreshness& b = r.m_World.m_Freshness;
    b.m_HeldRow              = r.m_Peers->Spread().Held();
    b.m_NewestRow            = r.m_Peers->Spread().Heard();
    b.m_ConfirmedAt          = r.m_Peers->Spread().CheckedAt();
    r.m_Lag.Note(b.m_HeldRow, b.m_NewestRow, Now());
}

void LookAtLag(Router& r, TimePoint now)
{
    const LagTurn turn = r.m_Lag.Look(now);
    if (turn == LagTurn_None)
        return;
    const DeclarationsFreshness& b = r.m_World.m_Freshness;
    LogEvent(turn == LagTurn_Behind ? Event_DeclarationsBehind : Event_DeclarationsCaughtUp, {{"held", b.m_HeldRow},
                                                                                              {"heard", b.m_NewestRow},
                                                                                              {"from", b.m_Source},
                                                                                              {"behind_ms", ToMs(r.m_Lag.Worst())},
                                                                                              {"checked_age_ms", AgeOrNever(b.m_ConfirmedAt, now)}});
}

// When the newest target version of all models was declared; default: none was.
TimePoint NewestDeclaration(const RoutingState& world)
{
    TimePoint newest{};
    for (const auto& [model, versions] : world.m_TargetVersions)
        if (!versions.empty())
            newest = std::max(newest, versions.rbegin()->second.m_At);
    return newest;
}

// What changes by itself, as of now.
void Measure(const Router& r)
{
    static Gauge&                declared = Metrics().GetGauge("aldervale_declarations_version");
    static Gauge&                held     = Metrics().GetGauge("aldervale_declarations_row_held");
    static Gauge&                heard    = Metrics().GetGauge("aldervale_declarations_row_heard");
    static Gauge&                reading  = Metrics().GetGauge("aldervale_declarations_reads_store");
    static Gauge&                checked  = Metrics().GetGauge("aldervale_declarations_checked_age_seconds"); // -1: never
    static Gauge&                list     = Metrics().GetGauge("aldervale_servers_checked_age_seconds");
    static Gauge&                behind   = Metrics().GetGauge("aldervale_declarations_behind_seconds");
    static Gauge&                weights  = Metrics().GetGauge("aldervale_weights_declared_age_seconds"); // of the newest target version; -1: none
    const DeclarationsFreshness& b        = r.m_World.m_Freshness;
    const TimePoint              now      = Now();
    const TimePoint              newest   = NewestDeclaration(r.m_World);
    weights.Set(newest == TimePoint{} ? -1 : ToSeconds(now - newest));
    declared.Set(r.m_World.m_Routes ? static_cast<double>(r.m_World.m_Routes->Version()) : 0);
    held.Set(static_cast<double>(b.m_HeldRow));
    heard.Set(static_cast<double>(b.m_NewestRow));
    reading.Set(r.m_Peers->Reading() ? 1 : 0);
    checked.Set(b.m_ConfirmedAt == TimePoint{} ? -1 : ToSeconds(now - b.m_ConfirmedAt));
    if (r.m_List)
        list.Set(ToSeconds(r.m_List->CheckedAge(now)));
    behind.Set(ToSeconds(r.m_Lag.Behind(now)));
}

//-----------------------------------------------------------------------------
// Backend servers
//-----------------------------------------------------------------------------

void LogServer(const Router& r, const ServerEntry& e)
{
    LogEvent(Event_ServerListed, {{"server", e.m_Id},
                                  {"service", e.m_Service},
                                  {"address", e.m_Address.ToString()},
                                  {"draining", e.m_Draining},
                                  {"weights", e.m_Weights},
                                  {"row_version", e.m_RowVersion},
                                  {"checked_age_ms", ToMs(r.m_List->CheckedAge(Now()))}});
}

// kept: its entry stays usable for the grace of an outage.
void LogUnlisted(const Router& r, const Row& row, bool kept)
{
    LogEvent(Event_ServerUnlisted,
             {{"server", row.m_Key}, {"row_version", row.m_Version}, {"kept", kept}, {"checked_age_ms", ToMs(r.m_List->CheckedAge(Now()))}});
}

void OnServers(Router& r, bool changed)
{
    if (!changed)
        return;
    r.m_World.m_ServerListRead = true;
    FollowBoxes(r);
    r.m_Serve->OnServersChanged();
}

awaitable<void> LookLoop(Router& r)
{
    for (;;)
    {
        co_await SleepFor(kLookEvery);
        const TimePoint now = Now();
        r.m_World.m_Servers.Expire(now);
        LookAtLag(r, now);
        r.m_List->Look(now);
        r.m_Crashes->Look(now);
        r.m_Refusals->SetRouters(r.m_Peers->Spread().Near());
        r.m_Limits->Look(r.m_Serve->RoutersHint(), now);
    }
}

//-----------------------------------------------------------------------------
// Start
//-----------------------------------------------------------------------------

// Entries change singly and often; a leaving server must be known well within two seconds.
TablePaces Paces(Router& r)
{
    TablePaces p;
    p.m_List.m_Gather         = milliseconds(500);
    p.m_List.m_Urgent         = [&r] { return r.m_List->Reads(); };
    p.m_List.m_Wait           = kServersWait;
    p.m_List.m_Margin         = kServersMargin;
    p.m_List.m_Quiet          = kServersQuiet;
    p.m_List.m_RetryMost      = [&r] { return r.m_Peers->ReadsStore() ? Duration(kListRetry) : Duration(kListRetryOthers); };
    p.m_List.m_Calm           = [] { return Duration(kListRest); };
    p.m_List.m_Known          = [&r] { return r.m_World.m_Servers.HeldVersion(); };
    p.m_Operator.m_WholeAfter = 2; // one change alone is followed by none, mostly
    p.m_Operator.m_Wait       = kLeadWait;
    p.m_Operator.m_Quiet      = kLeadQuiet;
    p.m_Operator.m_Urgent     = [&r] { return r.m_Peers->ReadsStore(); };
    p.m_Operator.m_Calm       = [] { return Duration(kRestPause); };
    p.m_Operator.m_CalmKeys   = platform::WeightsKeys();
    p.m_Operator.m_Known      = [&r] { return r.m_Peers->HeldVersion(); };
    return p;
}

void FollowStore(Daemon& daemon, Router& r)
{
    PlatformHandlers h;
    h.m_OnOperatorTable = [&r](const RowRead& read, TableRead kind) { OnOperatorTable(r, read, kind); };
    h.m_OnOperatorFew   = [&r](const RowRead& read) { OnFewRows(r, read); };
    h.m_OnAnswered      = [&r](const RowRead& read) {
        return r.m_StoreTimes.OnAnswer({read.m_StoreVersion, read.m_StoreMs}, read.m_AskedAt, read.m_Wait, Now());
    };
    h.m_OnOperatorBytes = [&r] { r.m_Peers->OnStoreBytes(); };
    h.m_OnOperatorBack  = [&r] { r.m_Peers->OnStoreBack(); };
    h.m_OnConfig        = [&r](const RouteTableSpec& spec, uint64_t row_version) { OnConfig(r, spec, row_version); };
    h.m_OnNamed         = [&r](const platform::NamedWeights& named) { OnNamed(r, named); };
    h.m_OnOperatorRead  = [&r] { r.m_OperatorRead = true; };
    h.m_OnListed        = [&r](const ServerEntry& e) { LogServer(r, e); };
    h.m_OnUnlisted      = [&r](const Row& row, bool kept) { LogUnlisted(r, row, kept); };
    h.m_OnServers       = [&r](bool changed) { OnServers(r, changed); };
    h.m_OnListRead      = [&r](uint64_t since, TimePoint asked) { r.m_List->OnListRead(since, asked); };
    r.m_List            = std::make_unique<ServerListShare>(daemon.Ioc(), *r.m_Loads, *r.m_Peers, r.m_World.m_Servers);
    r.m_Tables          = std::make_unique<PlatformTables>(daemon.Ioc(), r.m_Settings.m_Platform, Paces(r), r.m_World.m_Servers, h);
    r.m_List->Start(*r.m_Tables, !r.m_Settings.m_Seeds.empty());
    asio::co_spawn(
        daemon.Ioc(), [&r] { return LookLoop(r); }, asio::detached);
}

DirectServeSettings ServeSettings(const Router& r)
{
    DirectServeSettings s = r.m_Settings.m_Serve;
    s.m_LearnCapacity     = LearnsCapacity(r.m_Settings.m_Platform, s.m_LearnCapacity);
    return s;
}

void CutOff(Router& r)
{
    const size_t busy        = r.m_Http->Busy();
    const size_t serving     = r.m_Serve->InFlight();
    const size_t undelivered = r.m_Http->Undelivered();
    LogEvent(Event_ConnectionsCutOff,
             {{"reading", busy - std::min(busy, serving + undelivered)}, {"serving", serving}, {"undelivered", undelivered}});
    r.m_Serve->CutOff();
}

DaemonHooks MakeHooks(Router& r)
{
    DaemonHooks hooks;
    hooks.m_Ready = [&r] { return r.m_World.m_Routes && r.m_World.m_ServerListRead; };
    hooks.m_Drain = [&r](TimePoint end)
    {
        r.m_Serve->SetEnd(end);
        r.m_Http->CloseAfterAnswer();
    };
    hooks.m_Drained = [&r, since = std::make_shared<TimePoint>()]
    {
        if (*since == TimePoint{})
            *since = Now();
        if (Now() - *since <= kDrainNotice)
            return false;
        r.m_Http->StopAccepting();
        return r.m_Http->Busy() == 0; // one whose body is still coming is not in flight yet, and has its grace all the same
    };
    hooks.m_CutOff   = [&r] { CutOff(r); };
    hooks.m_Measure  = [&r] { Measure(r); };
    hooks.m_Reloaded = [&r] { r.m_Serve->SetSettings(ServeSettings(r)); };
    hooks.m_Describe = [&r]
    {
        return json::object{{"declared", r.m_World.m_Routes ? r.m_World.m_Routes->Version() : 0},
                            {"store_reachable", r.m_Tables->Reachable()},
                            {"store_calls", r.m_Tables->Calls()},
                            {"in_flight", r.m_Serve->InFlight()}};
    };
    return hooks;
}

// Entries that are no addresses are passed over.
std::vector<Endpoint> MeetingPoints(const Router& r)
{
    std::vector<Endpoint> out;
    for (const std::string& seed : r.m_Settings.m_Seeds)
        if (const auto at = ParseEndpoint(seed))
            out.push_back({at.value().m_Address, static_cast<uint16_t>(r.m_Settings.m_Platform.m_Port)});
    return out;
}

Status StartRouter(Daemon& daemon, Router& r)
{
    const RouterSettings& s        = r.m_Settings;
    const auto            internal = InternalEndpoint(s.m_Platform);
    if (!internal)
        return internal.error();
    r.m_World.m_Regions = ParseRegions(s.m_Regions);
    r.m_Serve           = std::make_unique<DirectServe>(daemon, ServeSettings(r), r.m_World, r.m_Protocol);
    r.m_Loads           = std::make_unique<LoadListener>(daemon.Ioc(), ProcessName{daemon.Settings().m_Name, daemon.Settings().m_DataCentre},
                                               [&r](const asio::ip::address& box, const LoadReport& report) { r.m_Serve->OnReport(box, report); });
    r.m_Name            = daemon.Settings().m_Name;
    r.m_DataCentre      = daemon.Settings().m_DataCentre;
    r.m_Places          = std::make_unique<PlaceChannel>(daemon.Ioc(), *r.m_Loads);
    r.m_Serve->UsePlaceChannel(*r.m_Places, internal.value().m_Port);
    r.m_Refusals = std::make_unique<RefusalChannel>(daemon.Ioc(), *r.m_Loads, internal.value());
    r.m_Serve->UseRefusalChannel(*r.m_Refusals);
    const std::string region = s.m_Platform.m_Region.empty() ? daemon.Settings().m_DataCentre : s.m_Platform.m_Region;
    r.m_Peers = std::make_unique<DeclarationsPeers>(daemon.Ioc(), RouterName{daemon.Settings().m_Name, internal.value(), region}, *r.m_Loads,
                                                    r.m_StoreTimes, [&r](const DeclaredRows& rows) { OnDeclaredRows(r, rows); });
    r.m_Peers->SetOnBound([&r](uint64_t row_version, TimePoint not_before) { OnBound(r, row_version, not_before); });
    r.m_Peers->SetDeclareSame(platform::DeclareSame);
    r.m_Peers->SetOnBelief([&r] { OnBelief(r); });
    r.m_Limits  = std::make_unique<LimitShare>(*r.m_Loads, *r.m_Peers, r.m_Serve->GetServerLimits());
    r.m_Crashes = std::make_unique<CrashShare>(*r.m_Loads, *r.m_Peers, r.m_Serve->GetCrashHistory());
    r.m_Serve->SetOnTrial([&r] { r.m_Crashes->Look(Now()); });
    r.m_Http = std::make_unique<HttpServer>(daemon.Ioc(), HttpServerConfig{},
                                            [&r](HttpRequest& req, HttpReply& reply) { return r.m_Serve->Handle(req, reply); });
    r.m_Http->SetMemory(daemon.Memory());
    r.m_Http->SetHeadCheck([&r](const HttpRequest& head) { return r.m_Serve->RefuseLate(head); });
    r.m_Ready = std::make_unique<HttpServer>(daemon.Ioc(), HttpServerConfig{},
                                             [&daemon](HttpRequest&, HttpReply& reply) -> awaitable<void>
                                             {
                                                 const HttpResponse res{daemon.Ready() ? 200u : 503u, {}, {}};
                                                 co_await reply.Send(res);
                                             });
    r.m_Ready->SetMemory(daemon.Memory());
    daemon.SetHooks(MakeHooks(r));
    r.m_Loads->SetMeetingPoints(MeetingPoints(r));
    const Status loads = r.m_Loads->Listen(internal.value());
    if (!loads)
        return loads;
    const Status peers = r.m_Peers->Listen();
    if (!peers)
        return peers;
    const Status ready = r.m_Ready->Listen(ParseEndpoint(s.m_ReadyListen).value());
    if (!ready)
        return ready;
    FollowStore(daemon, r);
    return r.m_Http->Listen(ParseEndpoint(s.m_HttpListen).value());
}

} // namespace

int main(int argc, char** argv)
{
    Router         router;
    DaemonSettings daemon;
    daemon.m_Threads = 1; // the world is touched on one thread
    return RunDaemon(argc, argv, "aldervale-platform-router", "Routes callers' requests on an entry box of the users' platform",
                     DescribeRouter(router.m_Settings), daemon,
                     [&](Daemon& d)
                     {
                         d.SetDrainMax(LongestDrain(router.m_Settings.m_Platform));
                         return StartRouter(d, router);
                     });
}
