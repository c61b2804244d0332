// aldervale-router: runs on every entry box. Takes callers' HTTP, admits, routes, retries; serves the resource API; spreads the
// configuration. Wires RouterServe, ResourceApi and StoreSync to one Node.
#include "common/log.h"
#include "external/weight_store.h"
#include "process/resource_api.h"

using namespace aldervale;

namespace
{

struct RouterSettings
{
    std::string              m_Listen;            // links of other processes [listen]
    std::string              m_HttpListen;        // callers and operators [http_listen]
    std::string              m_TableService;      // [table_service]
    std::string              m_BoxList;           // [box_list]
    std::string              m_WeightStore;       // [weight_store]
    std::vector<std::string> m_Peers;             // routers to link to before any configuration is known [peers]
    std::vector<std::string> m_Operators;         // NAME:ROLE:SHA256 [operators]
    int64_t                  m_BodyMax = 4 << 20; // [http.body_max]
    int64_t                  m_HeadMax = 16384;   // [http.head_max]
    int64_t                  m_Subset  = 24;      // backend server boxes linked for model services [route.subset]
    RouterServeSettings      m_Serve;             //
};

struct Router // lives as long as the process
{
    RouterSettings                 m_Settings;     //
    Usage                          m_Usage;        //
    std::unique_ptr<TableService>  m_Table;        //
    std::unique_ptr<BoxListSource> m_List;         //
    std::unique_ptr<WeightStore>   m_Store;        //
    std::unique_ptr<Node>          m_Node;         //
    std::unique_ptr<RouterServe>   m_Serve;        //
    std::unique_ptr<StoreSync>     m_Sync;         //
    std::unique_ptr<ResourceApi>   m_Api;          //
    std::unique_ptr<HttpServer>    m_Http;         //
    std::atomic<bool>              m_Ready{false}; // the newest configuration was learned; never goes back

    std::mutex            m_Mutex;  // guards m_Linked
    std::set<std::string> m_Linked; // addresses kept linked because of the configuration
};

std::vector<SettingSpec> DescribeRouter(RouterSettings& s)
{
    std::vector<SettingSpec> specs = {
        {"listen", SettingAddress{&s.m_Listen, true, true}, "address of links, the same as the declared Box"},
        {"http_listen", SettingAddress{&s.m_HttpListen, true, true}, "address for callers and operators"},
        {"table_service", SettingAddress{&s.m_TableService, false, true}, "platform's table service"},
        {"box_list", SettingAddress{&s.m_BoxList, false, true}, "platform's list of boxes"},
        {"weight_store", SettingAddress{&s.m_WeightStore, false, true}, "weight store, to check declared manifests"},
        {"peers", SettingList{&s.m_Peers, true}, "routers to link to before any configuration is known"},
        {"operators", SettingList{&s.m_Operators, false}, "NAME:ROLE:SHA256 of each operator's token; roles read, drain, write"},
        {"http.body_max", SettingInt{&s.m_BodyMax, 1024, 1 << 30}, "largest request body, bytes"},
        {"http.head_max", SettingInt{&s.m_HeadMax, 1024, 1 << 20}, "largest request head, bytes"},
        {"route.subset", SettingInt{&s.m_Subset, 1, 100'000},
         "boxes of model services that a router links to, about; more where each box would else have fewer than three routers"},
    };
    for (const SettingSpec& spec : DescribeRouterServe(s.m_Serve))
        specs.push_back(spec);
    return specs;
}

// Entry boxes of the own data centre, and a few of each other one: enough for the configuration to reach everybody in two steps.
constexpr size_t kRemoteRouters = 2;
constexpr size_t kRoutersPerBox = 3; // that link to a box of a model service, however few routers there are

std::set<std::string> WantedLinks(const Router& router, const DaemonSettings& d, const ConfigSnapshot& c)
{
    std::set<std::string>         out;
    std::map<std::string, size_t> remote; // linked routers by data centre
    std::set<std::string>         plain;  // boxes of plain services: each may be a key's home
    std::vector<std::string>      names;
    std::vector<std::string>      engines;
    for (const auto& [name, s] : c.m_Services)
        plain.insert(s.m_Spec.m_Boxes.begin(), s.m_Spec.m_Boxes.end());
    for (const auto& [name, b] : c.m_Boxes)
    {
        if (b.m_Spec.m_Role == BoxRole_Entry)
            names.push_back(name);
        else if (plain.contains(name))
            out.insert(b.m_Spec.m_Address);
        else
            engines.push_back(name);
    }
    for (const size_t i : RendezvousOrder(d.m_Name, names))
    {
        const BoxSpec& b = c.m_Boxes.find(names[i])->second.m_Spec;
        if (names[i] != d.m_Name && (b.m_DataCentre == d.m_DataCentre || remote[b.m_DataCentre]++ < kRemoteRouters))
            out.insert(b.m_Address);
    }
    // Each box picks its routers, not the other way round: so every box has at least kRoutersPerBox of them.
    const size_t share =
        names.empty() ? 0
                      : (static_cast<size_t>(router.m_Settings.m_Subset) * names.size() + engines.size() - 1) / std::max<size_t>(1, engines.size());
    const size_t picks = std::max(kRoutersPerBox, share);
    for (const std::string& box : engines)
        if (RendezvousRank(box, names, d.m_Name) < picks)
            out.insert(c.m_Boxes.find(box)->second.m_Spec.m_Address);
    return out;
}

void FollowConfig(Router& router, Daemon& daemon)
{
    const ConfigPtr             c      = router.m_Node->Config();
    const std::set<std::string> wanted = WantedLinks(router, daemon.Settings(), *c);
    std::lock_guard             lock(router.m_Mutex);
    for (const std::string& at : wanted)
        if (router.m_Linked.insert(at).second)
            router.m_Node->KeepLink(ParseEndpoint(at).value());
    for (auto it = router.m_Linked.begin(); it != router.m_Linked.end();)
    {
        if (wanted.contains(*it))
        {
            ++it;
            continue;
        }
        router.m_Node->DropLink(ParseEndpoint(*it).value());
        it = router.m_Linked.erase(it);
    }
}

// Ready once the store has answered, or more than half of the data centre's other declared routers hold nothing newer.
bool CheckReady(Router& router, const Daemon& daemon)
{
    if (router.m_Ready.load())
        return true;
    const ConfigPtr c     = router.m_Node->Config();
    bool            ready = router.m_Sync->StoreSeen() && c->m_Revision > 0;
    size_t          peers = 0;
    for (const auto& [name, b] : c->m_Boxes)
        peers +=
            b.m_Spec.m_Role == BoxRole_Entry && b.m_Spec.m_DataCentre == daemon.Settings().m_DataCentre && name != daemon.Settings().m_Name ? 1 : 0;
    ready = ready || (c->m_Revision > 0 && peers > 0 && router.m_Node->PeersAtOrBelow(c->m_Revision, daemon.Settings().m_DataCentre) * 2 > peers);
    if (ready && !router.m_Ready.exchange(true))
        LogEvent(Event_ReadyGateOpen, {{"revision", c->m_Revision}});
    return ready;
}

awaitable<Status> CheckManifest(WeightStore& store, std::string digest)
{
    auto text = co_await store.ReadManifest(digest, Now() + seconds(3));
    if (!text)
        co_return text.error();
    auto parsed = ParseManifest(text.value(), digest);
    if (!parsed)
        co_return MakeError(ErrorCode_Invalid, parsed.error().m_Message);
    co_return Ok();
}

NodeHandlers MakeHandlers(Router& router, Daemon& daemon)
{
    NodeHandlers h;
    h.m_OnFrame = [&router](const LinkPtr& link, const FrameBuf& frame)
    {
        if (!router.m_Serve->OnFrame(link, frame))
            router.m_Api->OnFrame(link, frame);
    };
    h.m_OnLinkUp    = [&router](const LinkPtr& link) { router.m_Serve->OnLinkUp(link); };
    h.m_OnLinkDown  = [&router](const LinkPtr& link) { router.m_Serve->OnLinkDown(link); };
    h.m_OnHeartbeat = [&router](const LinkPtr& link, const wire::Heartbeat& hb) { router.m_Serve->OnHeartbeat(link, hb); };
    h.m_OnConfig    = [&router, &daemon](const ConfigPtr&) { FollowConfig(router, daemon); };
    return h;
}

Status StartRouter(Daemon& daemon, Router& router)
{
    const RouterSettings& s = router.m_Settings;
    std::vector<Operator> operators;
    for (const std::string& text : s.m_Operators)
    {
        auto op = ParseOperator(text);
        if (!op)
            return op.error();
        operators.push_back(op.value());
    }
    router.m_Table = MakeHttpTableService(ParseEndpoint(s.m_TableService).value());
    router.m_List  = MakeHttpBoxList(ParseEndpoint(s.m_BoxList).value());
    router.m_Store = MakeHttpWeightStore(ParseEndpoint(s.m_WeightStore).value());
    NodeConfig cfg;
    cfg.m_Role     = wire::PeerRole::Router;
    cfg.m_Listen   = ParseEndpoint(s.m_Listen).value();
    router.m_Node  = std::make_unique<Node>(daemon, cfg, MakeHandlers(router, daemon));
    router.m_Serve = std::make_unique<RouterServe>(daemon, s.m_Serve, *router.m_Node, router.m_Usage);
    router.m_Serve->SetReady([&router, &daemon] { return CheckReady(router, daemon); });
    router.m_Sync = std::make_unique<StoreSync>(daemon, *router.m_Node, *router.m_Table, *router.m_List, StoreSyncConfig{},
                                                [&router](std::string digest) -> awaitable<Status>
                                                { co_return co_await CheckManifest(*router.m_Store, std::move(digest)); });
    router.m_Api =
        std::make_unique<ResourceApi>(daemon, *router.m_Node, *router.m_Sync, *router.m_Table, router.m_Usage, router.m_Serve->Replicas(), operators);
    router.m_Serve->Start();
    router.m_Sync->Start();
    router.m_Api->Start();
    const Status linked = router.m_Node->Listen();
    if (!linked)
        return linked;
    for (const std::string& peer : s.m_Peers)
        router.m_Node->KeepLink(ParseEndpoint(peer).value());

    HttpServerConfig http;
    http.m_BodyMax            = static_cast<size_t>(s.m_BodyMax);
    http.m_HeadMax            = static_cast<size_t>(s.m_HeadMax);
    const HttpHandler handler = [&router, &daemon](HttpRequest& req, HttpReply& reply) -> awaitable<void>
    {
        bool served = co_await router.m_Api->Handle(req, reply);
        if (!served && (req.Path() == "/healthz" || req.Path() == "/readyz"))
            served = co_await daemon.ServeOps(req, reply);
        if (!served)
            co_await router.m_Serve->Handle(req, reply);
    };
    router.m_Http = std::make_unique<HttpServer>(daemon.Ioc(), http, handler);
    router.m_Http->SetMemory(daemon.Memory());

    DaemonHooks hooks;
    hooks.m_Ready   = [&router, &daemon] { return CheckReady(router, daemon); };
    hooks.m_Drained = [&router, since = std::make_shared<TimePoint>()]
    {
        // The balancer needs a moment to read the health page; only then is silence the end.
        if (*since == TimePoint{})
            *since = Now();
        return Now() - *since > seconds(1) && router.m_Serve->InFlight() == 0;
    };
    hooks.m_Describe = [&router]
    {
        const Duration age = router.m_Node->ConfirmedAge();
        return json::object{{"revision", router.m_Node->Config()->m_Revision},    {"confirmed_age_ms", age == Duration::max() ? -1 : ToMs(age)},
                            {"store_reachable", router.m_Sync->StoreReachable()}, {"lease_fencing", router.m_Node->Lease().m_Fencing},
                            {"list_version", router.m_Node->ListVersion()},       {"in_flight", router.m_Serve->InFlight()},
                            {"links", router.m_Node->AllLinks().size()},          {"link_bytes", router.m_Node->ControlBytes()}};
    };
    daemon.SetHooks(std::move(hooks));
    return router.m_Http->Listen(ParseEndpoint(s.m_HttpListen).value());
}

} // namespace

int main(int argc, char** argv)
{
    Router         router;
    DaemonSettings daemon;
    return RunDaemon(argc, argv, "aldervale-router",
                     "Takes callers' requests on an entry box, routes them, serves the resource API and spreads the configuration",
                     DescribeRouter(router.m_Settings), daemon, [&](Daemon& d) { return StartRouter(d, router); });
}
