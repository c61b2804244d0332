// aldervale-platform-agent: beside each model server of the users' platform. Brings its weights to the newest named version and tells
// routers its load. It is the only one that gives its server orders, and keeps nothing that must last.
#include "common/log.h"
#include "common/metrics.h"
#include "platform/model_server_http.h"
#include "platform_tables.h"
#include "server_list_fetch.h"
#include "server_news_wire.h"
#include "version/model_knowledge.h"
#include "version/naming_search.h"
#include "version/weight_keeper.h"

using namespace aldervale;

namespace
{

constexpr double kBytesPerMbit    = 1e6 / 8;
constexpr auto   kNamingLook      = milliseconds(20);     // between looks whether other agents are to be asked for the model
constexpr auto   kNamingReadMax   = milliseconds(1500);   // for a read of a few rows of the list
constexpr auto   kWeightsLookTold = milliseconds(40'000); // the same while routers tell: 30 of them do, at once and every second
constexpr auto   kWeightsLook     = milliseconds(6000); // mean pause between two looks for named versions, of each agent; routers tell of them sooner

struct AgentSettings
{
    std::string      m_Server;                    // the model server on this box [server]
    std::string      m_Service;                   // name of the service that it belongs to [service]
    PlatformSettings m_Platform;                  //
    double           m_LinkMbps          = 0;     // of this box, each way; 0: no limit [weights.link_mbps]
    bool             m_LearnCapacity     = false; // of the model server [capacity.learn]
    double           m_WeightsDeadlineMs = 8000;  // from naming a version until no older one may begin a request [weights.deadline_ms]
};

struct Agent // lives as long as the process
{
    AgentSettings                              m_Settings;                                         //
    ServerDirectory                            m_Servers;                                          // the other boxes
    ServerNewsListener                         m_News{Now(), kAgentPatience};                      // of their list
    std::unique_ptr<ModelKnowledge>            m_Known;                                            // of the own service's model
    size_t                                     m_RandomPlace = RandomSeed() % kServersFirstPlaces; // among agents that read the list themselves
    NamingSearch                               m_Search{RandomSeed()};                             // of the model, by agents on other boxes
    std::vector<PeerBox>                       m_FewBoxes;                                         // of the service, from a read of a few rows
    std::unique_ptr<ServerListFetch>           m_Fetch;                                            // of the whole list, from routers
    std::unique_ptr<PlatformTables>            m_Tables;                                           //
    std::unique_ptr<platform::ModelServerHttp> m_Server;                                           //
    platform::PieceOriginHttp                  m_Origin;                                           //
    std::unique_ptr<LoadPublisher>             m_Publisher;                                        //
    std::unique_ptr<PieceTransfer>             m_Transfer;                                         //
    std::unique_ptr<WeightKeeper>              m_Keeper;                                           //
};

std::vector<SettingSpec> DescribeAgent(AgentSettings& s)
{
    std::vector<SettingSpec> specs = {
        {"server", SettingAddress{&s.m_Server, false, true}, "address of the model server on this box"},
        {"service", SettingText{&s.m_Service, {}, true}, "name of the service that the model server belongs to"},
    };
    specs.push_back({"weights.link_mbps", SettingReal{&s.m_LinkMbps, 0, 1e6}, "this box's link each way, Mbit/s; 0: no limit"});
    specs.push_back({"weights.deadline_ms", SettingReal{&s.m_WeightsDeadlineMs, 0, kWeightsDeadlineMaxMs},
                     "from naming a version of weights until no older one may begin a request, ms"});
    specs.push_back(
        {"capacity.learn", SettingBool{&s.m_LearnCapacity}, "the capacity of the model server is learned from what routers tell of its answers"});
    for (const SettingSpec& spec : DescribePlatform(s.m_Platform))
        specs.push_back(spec);
    return specs;
}

// After anything was told. `by` is "router", "neighbour", "table", "origin" or "server".
void UseKnown(Agent& a, std::string_view by)
{
    if (a.m_Known->Origin())
        a.m_Transfer->SetOrigin(*a.m_Known->Origin());
    a.m_Keeper->SetModel(a.m_Known->Model());
    const DeclaredVersion newest = a.m_Known->Newest();
    if (newest.m_Version > 0)
        a.m_Keeper->OnTargetVersion(newest.m_Version, newest.m_At, newest.m_Told, by);
}

void OnModelTold(const Agent& a, const std::string& by, uint64_t version, const Endpoint* origin)
{
    Metrics().GetCounter("aldervale_model_told_total", "by=\"" + by + "\"").Add(1);
    LogEvent(Event_ModelTold, {{"model", a.m_Known->Model()},
                               {"origin", origin != nullptr ? origin->ToString() : std::string()},
                               {"version", version},
                               {"declared", a.m_Known->DeclarationsVersion()},
                               {"by", by}});
}

void OnRouterUpdate(Agent& a, const ModelNaming& named)
{
    const bool news = a.m_Known->OnRouterUpdate(named, Now());
    UseKnown(a, "router");
    if (named.m_Service == a.m_Settings.m_Service && named.m_Model == a.m_Known->Model())
        for (const DeclaredBound& b : named.m_Bounds)
            a.m_Keeper->OnDeclaredNotBefore(b.m_Version, b.m_NotBefore);
    if (news)
        OnModelTold(a, "router", named.m_Version, named.m_Origin ? &*named.m_Origin : nullptr);
}

void OnConfig(Agent& a, const RouteTableSpec& spec, uint64_t row_version)
{
    const uint64_t before = a.m_Known->DeclarationsVersion();
    const bool     news   = a.m_Known->OnDeclarations(spec);
    UseKnown(a, "table");
    if (news)
        OnModelTold(a, "table", a.m_Known->Newest().m_Version, a.m_Known->Origin() ? &a.m_Known->Origin()->m_Address : nullptr);
    if (a.m_Known->DeclarationsVersion() > before)
        LogEvent(Event_DeclarationsInForce, {{"version", spec.m_Version}, {"row_version", row_version}, {"model", a.m_Known->Model()}});
}

void OnNamed(Agent& a, const platform::NamedWeights& named)
{
    a.m_Known->OnRow(named.m_Model, named.m_Version, Now());
    UseKnown(a, "table");
}

// Others may know a newer version than the rows of the store.
void OnVersionHeard(Agent& a, uint64_t version, std::string_view by)
{
    a.m_Known->OnVersionHeard(version, Now());
    UseKnown(a, by);
}

// Of the whole table, which is read as a last resort, or changes of it.
void OnOperatorTable(Agent& a, const RowRead& read)
{
    a.m_Tables->UseOperatorRows(read);
    a.m_Known->OnFullRead(Now());
}

PeerBox BoxOf(const Agent& a, const ServerEntry& e)
{
    return {{e.m_Address.m_Address, static_cast<uint16_t>(a.m_Settings.m_Platform.m_Port)}, e.m_DataCentre, e.m_Weights};
}

void FollowPeers(Agent& a)
{
    std::vector<PeerBox>   peers;
    std::vector<NamingBox> others;
    for (const ServerEntry* e : a.m_Servers.Usable(a.m_Settings.m_Service)) // one that leaves fetches nothing any more
    {
        peers.push_back(BoxOf(a, *e));
        if (e->m_Address.m_Address.to_string() != a.m_Settings.m_Platform.m_Ip)
            others.push_back({peers.back().m_Address, e->m_Weights > 0});
    }
    a.m_Transfer->SetPeers(std::move(peers), true);
    if (a.m_Known->Model().empty())
        a.m_Search.SetBoxes(std::move(others));
}

// With the few boxes the fetch can begin before routers know this box and send it the list.
void OnNeighbourNaming(Agent& a, const ModelNaming& named)
{
    const bool news = a.m_Known->OnNeighbourNaming(named, Now());
    if (news && a.m_Servers.StoreVersion() == 0)
        a.m_Transfer->SetPeers(a.m_FewBoxes, false);
    UseKnown(a, "neighbour");
    if (news)
        OnModelTold(a, "neighbour", named.m_Version, named.m_Origin ? &*named.m_Origin : nullptr);
}

void OnNamingAsked(Agent& a, std::string_view service, const Endpoint& from)
{
    if (service == a.m_Settings.m_Service && !a.m_Known->Model().empty())
        a.m_Publisher->AnswerNaming(from, a.m_Known->ForNeighbours());
}

awaitable<void> ReadFewBoxes(Agent& a)
{
    KeyRange keys;
    keys.m_From          = a.m_Search.BeginRead(Now());
    keys.m_Rows          = kNamingRows;
    const FewServers few = co_await a.m_Tables->ReadFewServers(keys, Now() + kNamingReadMax);
    a.m_Search.OnRows(few.m_Keys);
    if (!a.m_Known->Model().empty() || a.m_Servers.StoreVersion() > 0)
        co_return;
    std::vector<NamingBox> boxes;
    a.m_FewBoxes.clear();
    for (const ServerEntry& e : few.m_Entries)
        if (e.m_Service == a.m_Settings.m_Service && !e.m_Draining && e.m_Address.m_Address.to_string() != a.m_Settings.m_Platform.m_Ip)
        {
            a.m_FewBoxes.push_back(BoxOf(a, e));
            boxes.push_back({a.m_FewBoxes.back().m_Address, e.m_Weights > 0});
        }
    a.m_Search.SetBoxes(std::move(boxes));
}

// A server without weights waits for its model. One that holds weights serves meanwhile, and routers tell its agent soon enough.
awaitable<void> SearchNaming(asio::io_context& ioc, Agent& a)
{
    for (; a.m_Known->Model().empty(); co_await SleepFor(kNamingLook))
    {
        if (!a.m_Keeper->LacksWeights())
            continue;
        const TimePoint now = Now();
        if (a.m_Search.WantsRows(now))
            asio::co_spawn(
                ioc, [&a] { return ReadFewBoxes(a); }, asio::detached);
        for (const Endpoint& box : a.m_Search.Next(now))
            a.m_Publisher->AskNaming(box, a.m_Settings.m_Service);
    }
}

// Who fetches which piece from the origin follows from the set of boxes: all must know it when a version is named. With a sixth of them behind, the
// origin sent three copies in place of one. Once pieces come the set is settled, and news that are lost on a full link are no reason to read.
bool ReadsList(const Agent& a)
{
    const uint64_t held = a.m_Servers.StoreVersion();
    if (held == 0)
        return a.m_News.ReadsFirst(a.m_RandomPlace, Now());
    const bool fetching = a.m_Transfer->IsFetching() && !a.m_Transfer->IsComparing();
    return !fetching && a.m_News.Reads(held, 0, Now());
}

void OnWholeList(Agent& a, const ServersTold& whole)
{
    if (a.m_Servers.StoreVersion() > 0 || whole.m_Rows.m_StoreVersion == 0)
        return;
    const TimePoint now = Now();
    a.m_Tables->UseServerList(whole);
    a.m_News.OnWholeList(now - whole.m_CheckedAge, now);
}

void OnServersNews(Agent& a, const wire::ServersNews& news, Duration checked_age, const Endpoint& from)
{
    const ServersTold told = FromWire(news, checked_age);
    const bool        fits = a.m_News.OnNews(told, a.m_Servers.StoreVersion(), Now());
    if (fits)
        a.m_Tables->UseServerNews(told);
    else if (a.m_Servers.StoreVersion() == 0)
        a.m_Fetch->OnTold(from);
    else if (a.m_News.Asks(a.m_Servers.StoreVersion(), Now()))
        a.m_Publisher->AskServers(from, a.m_Servers.StoreVersion());
}

// Each answer of the store is priced. The other boxes matter only while weights move: until the own server serves, and in a fetch. Of a new
// version an agent hears from routers at once, and from neighbours; it looks for itself in case it hears from neither. Declarations are long, and
// routers tell what matters of them here (model_knowledge.h).
TablePaces Paces(const Agent& a)
{
    TablePaces p;
    p.m_List.m_Urgent         = [&a] { return ReadsList(a); };
    p.m_List.m_Calm           = [] { return Duration(kListRest); };
    p.m_List.m_Known          = [&a] { return a.m_Servers.HeldVersion(); };
    p.m_Operator.m_Urgent     = [&a] { return a.m_Known->NeedsFullRead(Now()); };
    p.m_Operator.m_Calm       = [&a] { return a.m_Known->HasRecentRouterUpdate(Now()) ? Duration(kWeightsLookTold) : Duration(kWeightsLook); };
    p.m_Operator.m_CalmKeys   = platform::WeightsKeys(); // declarations are long: 76 agents reading 1,690 routes fill a link of 27 Mbit/s for 9 s
    p.m_Operator.m_Wait       = milliseconds(15'000);    // a loss that goes unseen matters less here than on a router
    p.m_Operator.m_WholeAfter = 1;                       // a series goes on for a hundred versions while an agent pauses
    p.m_List.m_Wait           = p.m_Operator.m_Wait;
    p.m_List.m_Gather         = milliseconds(700); // boxes come by the dozen when all start; who fetches what is settled once they rest
    p.m_List.m_Quiet          = milliseconds(1500);
    return p;
}

void FollowStore(Daemon& daemon, Agent& a)
{
    PlatformHandlers h;
    h.m_OnOperatorTable = [&a](const RowRead& read, TableRead) { OnOperatorTable(a, read); };
    h.m_OnConfig        = [&a](const RouteTableSpec& spec, uint64_t row_version) { OnConfig(a, spec, row_version); };
    h.m_OnNamed         = [&a](const platform::NamedWeights& named) { OnNamed(a, named); };
    h.m_OnOperatorRead  = [&a] { a.m_Known->OnVersionRowsRead(); };
    h.m_OnServers       = [&a](bool) { FollowPeers(a); };
    h.m_OnListRead      = [&a](uint64_t, TimePoint asked) { a.m_News.OnOwnRead(asked); };
    a.m_Fetch           = std::make_unique<ServerListFetch>(daemon.Ioc(), [&a](const ServersTold& whole) { OnWholeList(a, whole); });
    a.m_Publisher->SetOnServers([&a](const wire::ServersNews& news, Duration age, const Endpoint& from) { OnServersNews(a, news, age, from); });
    a.m_Tables = std::make_unique<PlatformTables>(daemon.Ioc(), a.m_Settings.m_Platform, Paces(a), a.m_Servers, h);
}

Status StartAgent(Daemon& daemon, Agent& a)
{
    const auto internal = InternalEndpoint(a.m_Settings.m_Platform);
    if (!internal)
        return internal.error();
    const std::string data_centre = daemon.Settings().m_DataCentre;
    a.m_Known                     = std::make_unique<ModelKnowledge>(a.m_Settings.m_Service, internal.value().ToString(), Now());
    a.m_Server                    = std::make_unique<platform::ModelServerHttp>(ParseEndpoint(a.m_Settings.m_Server).value());
    a.m_Publisher                 = std::make_unique<LoadPublisher>(daemon.Ioc(), data_centre);
    a.m_Transfer = std::make_unique<PieceTransfer>(daemon.Ioc(), a.m_Origin, *a.m_Server, ProcessName{internal.value().ToString(), data_centre},
                                                   a.m_Settings.m_LinkMbps * kBytesPerMbit);
    StartPlanConfig plan;
    plan.m_WeightsDeadline = FromMs(a.m_Settings.m_WeightsDeadlineMs);
    a.m_Keeper             = std::make_unique<WeightKeeper>(daemon, plan, *a.m_Server, *a.m_Transfer, *a.m_Publisher);
    a.m_Transfer->SetOnVersionSeen([&a](uint64_t version, std::string_view by) { OnVersionHeard(a, version, by); });
    a.m_Keeper->SetOnNewerHeld([&a](uint64_t version) { OnVersionHeard(a, version, "server"); });
    a.m_Publisher->SetOnNamed([&a](const ModelNaming& named) { OnRouterUpdate(a, named); });
    a.m_Publisher->SetOnNamingAsked([&a](std::string_view service, const Endpoint& from) { OnNamingAsked(a, service, from); });
    a.m_Publisher->SetOnNamingAnswer([&a](const ModelNaming& named) { OnNeighbourNaming(a, named); });
    const auto learn = [&a] { a.m_Keeper->LearnCapacity(LearnsCapacity(a.m_Settings.m_Platform, a.m_Settings.m_LearnCapacity)); };
    learn();
    DaemonHooks hooks;
    hooks.m_Reloaded = learn;
    hooks.m_Ready    = [&a] { return a.m_Keeper->Serving(); };
    hooks.m_Describe = [&a] { return a.m_Keeper->Describe(); };
    daemon.SetHooks(std::move(hooks));
    const Status published = a.m_Publisher->Listen(internal.value());
    if (!published)
        return published;
    const Status linked = a.m_Transfer->Listen(internal.value());
    if (!linked)
        return linked;
    FollowStore(daemon, a);
    a.m_Keeper->Start();
    asio::co_spawn(
        daemon.Ioc(), [&daemon, &a] { return SearchNaming(daemon.Ioc(), a); }, asio::detached);
    return Ok();
}

} // namespace

int main(int argc, char** argv)
{
    Agent          agent;
    DaemonSettings daemon;
    daemon.m_Threads = 1; // what it believes is touched on one thread
    return RunDaemon(argc, argv, "aldervale-platform-agent", "Keeps the weights of a model server on the users' platform, and tells routers its load",
                     DescribeAgent(agent.m_Settings), daemon, [&](Daemon& d) { return StartAgent(d, agent); });
}
