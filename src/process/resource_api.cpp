// Resource API. See resource_api.h.
#include "process/resource_api.h"
#include "common/log.h"

namespace aldervale
{

namespace
{

constexpr std::string_view kRoot       = "/aldervale/v1/";
constexpr auto             kCommitMax  = seconds(10); // longest wait for the table service
constexpr auto             kAskMax     = seconds(1);  // for another router's answer
constexpr auto             kFlushEvery = seconds(10); // accounting
constexpr int64_t          kWatchMaxMs = 25'000;

std::vector<std::string> SplitPath(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty())
    {
        const size_t slash = path.find('/');
        parts.emplace_back(path.substr(0, slash));
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    }
    return parts;
}

Result<ResourceKey> ParseKey(std::string_view kind, std::string_view name)
{
    const auto k = ParseKind(kind);
    if (!k)
        return MakeError(ErrorCode_Invalid, "unknown kind '" + std::string(kind) + "'", "kind");
    return ResourceKey{*k, std::string(name)};
}

Result<ChangeRequest> ParseApply(const json::value& v)
{
    if (!v.is_object())
        return MakeError(ErrorCode_Invalid, "expected an object", "body");
    ChangeRequest change;
    for (const auto& m : v.as_object())
    {
        const std::string_view key = m.key();
        if (key == "set" && m.value().is_string())
            change.m_Set = std::string(m.value().as_string());
        else if (key == "prune" && m.value().is_bool())
            change.m_Prune = m.value().as_bool();
        else if (key == "dry_run" && m.value().is_bool())
            change.m_DryRun = m.value().as_bool();
        else if (key != "resources" || !m.value().is_array())
            return MakeError(ErrorCode_Invalid, "unknown member or wrong type", key);
    }
    const json::value* list = v.as_object().if_contains("resources");
    if (list == nullptr)
        return MakeError(ErrorCode_Invalid, "missing", "resources");
    for (size_t i = 0; i < list->as_array().size(); i++)
    {
        json::value             item = list->as_array()[i];
        std::optional<uint64_t> expect;
        if (item.is_object())
        {
            if (const json::value* e = item.as_object().if_contains("if_revision"); e != nullptr && e->is_int64())
                expect = e->to_number<uint64_t>();
            item.as_object().erase("if_revision");
        }
        auto r = ResourceFromJson(item);
        if (!r)
        {
            Error e   = r.error();
            e.m_Field = "resources[" + std::to_string(i) + "]." + e.m_Field;
            return e;
        }
        if (expect)
            change.m_IfRevision[r.value().m_Key] = *expect;
        for (const Resource& other : change.m_Write)
            if (other.m_Key == r.value().m_Key)
                return MakeError(ErrorCode_Invalid, "declared twice", "resources[" + std::to_string(i) + "]");
        change.m_Write.push_back(std::move(r.value()));
    }
    if (change.m_Prune && change.m_Set.empty())
        return MakeError(ErrorCode_Invalid, "prune needs a set", "set");
    return change;
}

HttpResponse DoneResponse(const CommitDone& done)
{
    json::array written;
    for (const Resource& r : done.m_Written)
        written.push_back(ToJson(r));
    return JsonResponse(200, json::object{{"revision", done.m_Revision}, {"written", written}});
}

} // namespace

Result<Operator> ParseOperator(std::string_view text)
{
    const size_t a = text.find(':');
    const size_t b = a == std::string_view::npos ? a : text.find(':', a + 1);
    if (b == std::string_view::npos || a == 0)
        return MakeError(ErrorCode_Invalid, "expected NAME:ROLE:SHA256", "operators");
    Operator               op;
    const std::string_view role = text.substr(a + 1, b - a - 1);
    Digest                 d{};
    op.m_Name        = std::string(text.substr(0, a));
    op.m_TokenSha256 = std::string(text.substr(b + 1));
    if (!FromHex(op.m_TokenSha256, d))
        return MakeError(ErrorCode_Invalid, "expected a SHA-256 after the role", "operators");
    if (role != "read" && role != "drain" && role != "write")
        return MakeError(ErrorCode_Invalid, "expected the role read, drain or write", "operators");
    op.m_Role = role == "write" ? OperatorRole_Write : role == "drain" ? OperatorRole_Drain : OperatorRole_Read;
    return op;
}

struct ResourceApi::Impl : std::enable_shared_from_this<ResourceApi::Impl>
{
    Impl(Daemon& daemon, Node& node, StoreSync& sync, TableService& table, Usage& usage, ReplicaTable& replicas, std::vector<Operator> operators)
        : m_Daemon(daemon), m_Node(node), m_Sync(sync), m_Table(table), m_Usage(usage), m_Replicas(replicas), m_Operators(std::move(operators))
    {
    }

    Result<Operator>                    Identify(const HttpRequest& req) const;
    awaitable<HttpResponse>             Answer(const HttpRequest& req, const Operator& op);
    awaitable<HttpResponse>             Commit(ChangeRequest change, const Operator& op);
    awaitable<HttpResponse>             ChangeOne(const HttpRequest& req, const Operator& op, ResourceKey key);
    awaitable<HttpResponse>             Drain(const Operator& op, std::string box, bool drained);
    awaitable<HttpResponse>             Watch(const HttpRequest& req);
    awaitable<HttpResponse>             ReadUsage();
    HttpResponse                        List(const HttpRequest& req) const;
    HttpResponse                        GetOne(const ResourceKey& key) const;
    json::value                         OwnStatus(std::string_view kind) const;
    awaitable<std::vector<json::value>> AskAll(std::string kind);
    awaitable<HttpResponse>             Replicas();
    awaitable<HttpResponse>             Burn();
    awaitable<void>                     FlushLoop();

    Daemon&               m_Daemon;    //
    Node&                 m_Node;      //
    StoreSync&            m_Sync;      //
    TableService&         m_Table;     //
    Usage&                m_Usage;     //
    ReplicaTable&         m_Replicas;  //
    std::vector<Operator> m_Operators; // read-only
};

Result<Operator> ResourceApi::Impl::Identify(const HttpRequest& req) const
{
    constexpr std::string_view kBearer = "Bearer ";
    const std::string_view     auth    = FindField(req.m_Fields, "Authorization");
    const std::string          digest  = auth.starts_with(kBearer) ? ToHex(Sha256(auth.substr(kBearer.size()))) : std::string();
    for (const Operator& op : m_Operators)
        if (op.m_TokenSha256 == digest)
            return op;
    return MakeError(ErrorCode_Denied, "unknown operator token", "Authorization");
}

//-----------------------------------------------------------------------------
// Declarations
//-----------------------------------------------------------------------------

HttpResponse ResourceApi::Impl::List(const HttpRequest& req) const
{
    const std::string kind = req.Query("kind");
    if (!kind.empty() && !ParseKind(kind))
        return ErrorResponse(MakeError(ErrorCode_Invalid, "unknown kind '" + kind + "'", "kind"));
    const ConfigPtr c = m_Node.Config();
    json::array     items;
    for (const auto& [key, r] : c->m_Resources)
        if (!r.m_Deleted && (kind.empty() || KindName(key.m_Kind) == kind))
            items.push_back(ToJson(r));
    const Duration age = m_Node.ConfirmedAge();
    return JsonResponse(200, json::object{{"revision", c->m_Revision},
                                          {"confirmed_age_ms", age == Duration::max() ? -1 : ToMs(age)},
                                          {"store_reachable", m_Sync.StoreReachable()},
                                          {"items", items}});
}

HttpResponse ResourceApi::Impl::GetOne(const ResourceKey& key) const
{
    const ConfigPtr c  = m_Node.Config();
    const auto      it = c->m_Resources.find(key);
    if (it == c->m_Resources.end() || it->second.m_Deleted)
        return ErrorResponse(MakeError(ErrorCode_NotFound, "no such resource"));
    return JsonResponse(200, ToJson(it->second));
}

awaitable<HttpResponse> ResourceApi::Impl::Commit(ChangeRequest change, const Operator& op)
{
    change.m_By = op.m_Name;
    auto done   = co_await m_Sync.Commit(std::move(change), Now() + kCommitMax);
    co_return done ? DoneResponse(done.value()) : ErrorResponse(done.error());
}

awaitable<HttpResponse> ResourceApi::Impl::ChangeOne(const HttpRequest& req, const Operator& op, ResourceKey key)
{
    ChangeRequest     change;
    Resource          r;
    const std::string match(FindField(req.m_Fields, "If-Match"));
    r.m_Key     = key;
    r.m_Deleted = req.m_Method == "DELETE";
    if (!match.empty())
        change.m_IfRevision[key] = std::strtoull(match.c_str(), nullptr, 10);
    if (!r.m_Deleted)
    {
        json::error_code ec;
        json::value      v = json::parse(req.m_Body, ec);
        if (ec || !v.is_object())
            co_return ErrorResponse(MakeError(ErrorCode_Invalid, "expected a JSON object", "body"));
        v.as_object()["kind"] = KindName(key.m_Kind);
        v.as_object()["name"] = key.m_Name;
        auto parsed           = ResourceFromJson(v);
        if (!parsed)
            co_return ErrorResponse(parsed.error());
        r = std::move(parsed.value());
    }
    change.m_Write.push_back(std::move(r));
    co_return co_await Commit(std::move(change), op);
}

awaitable<HttpResponse> ResourceApi::Impl::Drain(const Operator& op, std::string box, bool drained)
{
    const ConfigPtr   c = m_Node.Config();
    const ResourceKey key{Kind_Box, box};
    const auto        it = c->m_Resources.find(key);
    if (it == c->m_Resources.end() || it->second.m_Deleted)
        co_return ErrorResponse(MakeError(ErrorCode_NotFound, "no such box"));
    ChangeRequest change;
    Resource      r          = it->second;
    r.m_Spec["drained"]      = drained;
    change.m_IfRevision[key] = r.m_Revision;
    change.m_Write.push_back(std::move(r));
    co_return co_await Commit(std::move(change), op);
}

awaitable<HttpResponse> ResourceApi::Impl::Watch(const HttpRequest& req)
{
    const uint64_t  since = std::strtoull(req.Query("since").c_str(), nullptr, 10);
    const int64_t   wait  = std::min<int64_t>(kWatchMaxMs, std::strtoll(req.Query("wait_ms").c_str(), nullptr, 10));
    const TimePoint end   = Now() + milliseconds(wait);
    while (m_Node.Config()->m_Revision <= since && Now() < end)
        co_await SleepFor(milliseconds(20));
    const ConfigPtr c = m_Node.Config();
    json::array     items;
    for (const auto& [key, r] : c->m_Resources)
        if (r.m_Revision > since)
            items.push_back(ToJson(r));
    co_return JsonResponse(200, json::object{{"revision", c->m_Revision}, {"items", items}});
}

//-----------------------------------------------------------------------------
// Status, gathered from the other routers
//-----------------------------------------------------------------------------

json::value ResourceApi::Impl::OwnStatus(std::string_view kind) const
{
    return kind == "burn" ? m_Usage.BurnRows(Now()) : m_Replicas.Describe(Now());
}

awaitable<std::vector<json::value>> ResourceApi::Impl::AskAll(std::string kind)
{
    const auto                                  ex = co_await asio::this_coro::executor;
    std::vector<json::value>                    out{OwnStatus(kind)};
    std::vector<std::pair<LinkPtr, MailboxPtr>> asked;
    wire::StatusGetT                            get;
    get.kind = kind;
    for (const LinkPtr& link : m_Node.Links(wire::PeerRole::Router))
    {
        const MailboxPtr box = link->OpenExchange(ex);
        link->Send(EncodeFrame(box->Id(), get));
        asked.emplace_back(link, box);
    }
    const TimePoint deadline = Now() + kAskMax;
    for (const auto& [link, box] : asked)
    {
        const std::optional<FrameBuf> answer = co_await box->Pop(deadline);
        link->CloseExchange(box->Id());
        const wire::StatusData* data = answer ? answer->Get()->body_as_StatusData() : nullptr;
        json::error_code        ec;
        json::value             v = data != nullptr && data->json() != nullptr ? json::parse(data->json()->string_view(), ec) : json::value();
        if (!ec && v.is_array())
            out.push_back(std::move(v));
    }
    co_return out;
}

awaitable<HttpResponse> ResourceApi::Impl::Replicas()
{
    const std::vector<json::value>     all = co_await AskAll("replicas");
    std::map<std::string, json::value> by_box; // the freshest view of each
    for (const json::value& list : all)
    {
        for (const json::value& r : list.as_array())
        {
            json::value& slot = by_box[std::string(r.at("box").as_string())];
            if (slot.is_null() || r.at("report_age_ms").to_number<int64_t>() < slot.at("report_age_ms").to_number<int64_t>())
                slot = r;
        }
    }
    json::array items;
    for (auto& [name, r] : by_box)
        items.push_back(std::move(r));
    co_return JsonResponse(200, json::object{{"revision", m_Node.Config()->m_Revision}, {"items", items}});
}

awaitable<HttpResponse> ResourceApi::Impl::Burn()
{
    const std::vector<json::value> all = co_await AskAll("burn");
    json::array                    rows;
    for (const json::value& list : all)
        MergeBurn(rows, list.as_array());
    std::map<std::string, double> allowed;
    const ConfigPtr               c = m_Node.Config();
    for (const auto& [name, s] : c->m_Services)
        allowed[name] = 1.0 - s.m_Spec.m_SloTarget;
    AddBurnRates(rows, allowed);
    co_return JsonResponse(200, json::object{{"routers", all.size()}, {"rows", rows}});
}

// Sum of the running totals of all router incarnations, as last flushed.
awaitable<HttpResponse> ResourceApi::Impl::ReadUsage()
{
    auto scan = co_await m_Table.Scan(std::string(kRowUsagePrefix), 0, Now() + seconds(2));
    if (!scan)
        co_return ErrorResponse(scan.error());
    json::object sum;
    for (const TableRow& row : scan.value().m_Rows)
    {
        json::error_code  ec;
        const json::value totals = json::parse(row.m_Value, ec);
        if (ec || !totals.is_object())
            continue;
        for (const auto& account : totals.as_object())
        {
            if (!sum.contains(account.key()))
            {
                sum[account.key()] = account.value();
                continue;
            }
            for (const auto& m : account.value().as_object())
                sum.at(account.key()).as_object()[m.key()] =
                    sum.at(account.key()).at(m.key()).to_number<uint64_t>() + m.value().to_number<uint64_t>();
        }
    }
    co_return JsonResponse(200, json::object{{"incarnations", scan.value().m_Rows.size()}, {"accounts", sum}});
}

awaitable<void> ResourceApi::Impl::FlushLoop()
{
    const std::string key     = std::string(kRowUsagePrefix) + m_Daemon.Settings().m_Name + "/" + std::to_string(m_Daemon.Incarnation());
    uint64_t          version = 0;
    std::string       flushed;
    for (;;)
    {
        co_await SleepFor(kFlushEvery);
        const std::string totals = json::serialize(m_Usage.Totals());
        if (totals == flushed || totals == "{}")
            continue;
        TableTxn txn;
        txn.m_If.push_back({key, version});
        txn.m_Put.push_back({key, totals});
        const TxnResult result = co_await m_Table.Commit(txn, Now() + seconds(2));
        if (result.m_Outcome == TxnOutcome_Committed)
        {
            version = result.m_Version;
            flushed = totals;
            LogEvent(Event_AccountingFlushed);
            continue;
        }
        LogEvent(Event_AccountingDelayed);
        auto scan = co_await m_Table.Scan(key, 0, Now() + seconds(2)); // a lost answer: learn the row's version and write newer totals over it
        if (scan && !scan.value().m_Rows.empty())
            version = scan.value().m_Rows.front().m_Version;
    }
}

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

awaitable<HttpResponse> ResourceApi::Impl::Answer(const HttpRequest& req, const Operator& op)
{
    const std::vector<std::string> parts = SplitPath(req.Path().substr(kRoot.size()));
    const std::string              what  = parts.empty() ? "" : parts[0];
    const bool                     reads = req.m_Method == "GET";
    const bool drains = what == "boxes" && parts.size() == 3 && req.m_Method == "POST" && (parts[2] == "drain" || parts[2] == "undrain");
    if (!reads && op.m_Role != OperatorRole_Write && !(drains && op.m_Role == OperatorRole_Drain))
        co_return ErrorResponse(MakeError(ErrorCode_Denied, "operator '" + op.m_Name + "' lacks the role for this", "Authorization"));
    if (drains)
        co_return co_await Drain(op, parts[1], parts[2] == "drain");
    if (what == "resources" && parts.size() == 1 && reads)
        co_return List(req);
    if (what == "resources" && parts.size() == 3)
    {
        auto key = ParseKey(parts[1], parts[2]);
        if (!key)
            co_return ErrorResponse(key.error());
        if (reads)
            co_return GetOne(key.value());
        if (req.m_Method == "PUT" || req.m_Method == "DELETE")
            co_return co_await ChangeOne(req, op, key.value());
    }
    if (what == "apply" && req.m_Method == "POST")
    {
        json::error_code  ec;
        const json::value v = json::parse(req.m_Body, ec);
        if (ec)
            co_return ErrorResponse(MakeError(ErrorCode_Invalid, "not JSON", "body"));
        auto change = ParseApply(v);
        if (!change)
            co_return ErrorResponse(change.error());
        co_return co_await Commit(std::move(change.value()), op);
    }
    if (what == "watch" && reads)
        co_return co_await Watch(req);
    if (what == "replicas" && reads)
        co_return co_await Replicas();
    if (what == "burn" && reads)
        co_return co_await Burn();
    if (what == "usage" && reads)
        co_return co_await ReadUsage();
    co_return ErrorResponse(MakeError(ErrorCode_NotFound, "no such path"));
}

ResourceApi::ResourceApi(Daemon& daemon, Node& node, StoreSync& sync, TableService& table, Usage& usage, ReplicaTable& replicas,
                         std::vector<Operator> operators)
    : m_Impl(std::make_shared<Impl>(daemon, node, sync, table, usage, replicas, std::move(operators)))
{
}

ResourceApi::~ResourceApi() = default;

void ResourceApi::Start()
{
    Spawn(m_Impl->m_Daemon.Ioc(), m_Impl->FlushLoop());
}

awaitable<bool> ResourceApi::Handle(HttpRequest& req, HttpReply& reply)
{
    if (!req.Path().starts_with("/aldervale/"))
        co_return false;
    HttpResponse res = ErrorResponse(MakeError(ErrorCode_NotFound, "no such version of the API"));
    if (req.Path().starts_with(kRoot))
    {
        auto op = m_Impl->Identify(req);
        if (op)
            res = co_await m_Impl->Answer(req, op.value());
        else
            res = ErrorResponse(op.error());
    }
    co_await reply.Send(res);
    co_return true;
}

bool ResourceApi::OnFrame(const LinkPtr& link, const FrameBuf& buf)
{
    const wire::StatusGet* get = buf.Get()->body_as_StatusGet();
    if (get == nullptr)
        return false;
    wire::StatusDataT data;
    data.json = json::serialize(m_Impl->OwnStatus(get->kind() != nullptr ? get->kind()->string_view() : std::string_view()));
    link->Send(EncodeFrame(buf.Get()->exchange(), data));
    return true;
}

} // namespace aldervale
