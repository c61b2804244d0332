// Resources, their typed specs and their JSON form. See resources.h; cross-resource rules are in resources_validate.cpp.
#include "process/resources.h"
#include "process/spec_reader_internal.h"

namespace aldervale
{

namespace
{

constexpr std::string_view kKindNames[Kind_COUNT] = {"DataCentre", "Box",     "Model",         "Version", "Adapter",
                                                     "Placement",  "Service", "ClientAccount", "Rollout"};
constexpr size_t           kNameMax               = 63;
constexpr int64_t          kReplicasMax           = 10'000;

bool IsNameChar(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
}

Status CheckName(std::string_view name)
{
    if (name.empty() || name.size() > kNameMax || !std::all_of(name.begin(), name.end(), IsNameChar))
        return MakeError(ErrorCode_Invalid, "expected 1 to 63 lower-case letters, digits, '-' or '.'", "name");
    return Ok();
}

template <class SpecT> void Index(std::map<std::string, Declared<SpecT>, std::less<>>& view, const Resource& r, Result<SpecT> parsed)
{
    if (parsed)
        view[r.m_Key.m_Name] = {std::move(parsed.value()), r.m_Revision};
}

void IndexResource(ConfigSnapshot& c, const Resource& r)
{
    switch (r.m_Key.m_Kind)
    {
    case Kind_DataCentre:
        return Index(c.m_DataCentres, r, ParseDataCentre(r));
    case Kind_Box:
        return Index(c.m_Boxes, r, ParseBox(r));
    case Kind_Model:
        return Index(c.m_Models, r, ParseModel(r));
    case Kind_Version:
        return Index(c.m_Versions, r, ParseVersion(r));
    case Kind_Adapter:
        return Index(c.m_Adapters, r, ParseVersion(r));
    case Kind_Placement:
        return Index(c.m_Placements, r, ParsePlacement(r));
    case Kind_Service:
        return Index(c.m_Services, r, ParseService(r));
    case Kind_ClientAccount:
        return Index(c.m_Accounts, r, ParseClientAccount(r));
    case Kind_Rollout:
        return Index(c.m_Rollouts, r, ParseRollout(r));
    case Kind_COUNT:
        return;
    }
}

void BuildViews(ConfigSnapshot& c)
{
    for (const auto& [key, r] : c.m_Resources)
        if (!r.m_Deleted)
            IndexResource(c, r);
    for (const auto& [name, account] : c.m_Accounts)
        c.m_AccountByToken[account.m_Spec.m_TokenSha256] = name;
}

} // namespace

std::string_view KindName(Kind k)
{
    return kKindNames[k];
}

std::optional<Kind> ParseKind(std::string_view name)
{
    for (int k = 0; k < Kind_COUNT; k++)
        if (kKindNames[k] == name)
            return static_cast<Kind>(k);
    return std::nullopt;
}

json::object ToJson(const Resource& r)
{
    json::object o;
    o["kind"] = KindName(r.m_Key.m_Kind);
    o["name"] = r.m_Key.m_Name;
    if (r.m_Deleted)
        o["deleted"] = true;
    else
        o["spec"] = r.m_Spec;
    o["revision"] = r.m_Revision;
    if (!r.m_Set.empty())
        o["set"] = r.m_Set;
    if (!r.m_By.empty())
        o["by"] = r.m_By;
    if (r.m_AtMs != 0)
        o["at_ms"] = r.m_AtMs;
    return o;
}

static Status ReadMember(Resource& r, std::string_view key, const json::value& v)
{
    const auto wrong = [&](std::string_view expected) { return MakeError(ErrorCode_Invalid, expected, key); };
    if (key == "kind")
    {
        const auto kind = v.is_string() ? ParseKind(std::string_view(v.as_string())) : std::nullopt;
        if (!kind)
            return wrong("unknown kind");
        r.m_Key.m_Kind = *kind;
        return Ok();
    }
    if (key == "spec")
    {
        if (!v.is_object())
            return wrong("expected an object");
        r.m_Spec = v.as_object();
        return Ok();
    }
    if (key == "deleted")
    {
        if (!v.is_bool())
            return wrong("expected true or false");
        r.m_Deleted = v.as_bool();
        return Ok();
    }
    if (key == "revision" || key == "at_ms")
    {
        if (!v.is_int64() || v.as_int64() < 0)
            return wrong("expected a count");
        if (key == "revision")
            r.m_Revision = static_cast<uint64_t>(v.as_int64());
        else
            r.m_AtMs = v.as_int64();
        return Ok();
    }
    std::string* text = key == "name" ? &r.m_Key.m_Name : key == "set" ? &r.m_Set : key == "by" ? &r.m_By : nullptr;
    if (text == nullptr)
        return wrong("unknown field");
    if (!v.is_string())
        return wrong("expected a string");
    *text = std::string(v.as_string());
    return Ok();
}

Result<Resource> ResourceFromJson(const json::value& v)
{
    if (!v.is_object())
        return MakeError(ErrorCode_Invalid, "expected an object");
    Resource r;
    for (const auto& member : v.as_object())
    {
        const Status s = ReadMember(r, member.key(), member.value());
        if (!s)
            return s.error();
    }
    if (!v.as_object().contains("kind"))
        return MakeError(ErrorCode_Invalid, "missing", "kind");
    if (!v.as_object().contains("spec") && !r.m_Deleted)
        return MakeError(ErrorCode_Invalid, "missing", "spec");
    const Status named = CheckName(r.m_Key.m_Name);
    if (!named)
        return named.error();
    return r;
}

//-----------------------------------------------------------------------------
// [SECTION] Specs by kind
//-----------------------------------------------------------------------------

Result<DataCentreSpec> ParseDataCentre(const Resource& r)
{
    SpecReader     in(r);
    DataCentreSpec s;
    in.Text("region", s.m_Region);
    return in.Finish(std::move(s));
}

Result<BoxSpec> ParseBox(const Resource& r)
{
    SpecReader in(r);
    BoxSpec    s;
    in.Text("data_centre", s.m_DataCentre);
    in.Address("address", s.m_Address);
    in.Choice("role", s.m_Role, {"entry", "backend"}, true);
    in.Choice("backend", s.m_Backend, {"engine", "plain"});
    in.Bool("drained", s.m_Drained);
    return in.Finish(std::move(s));
}

Result<ModelSpec> ParseModel(const Resource& r)
{
    SpecReader in(r);
    ModelSpec  s;
    in.Choice("origin_scope", s.m_OriginScope, {"data_centre", "region", "fleet"});
    return in.Finish(std::move(s));
}

Result<VersionSpec> ParseVersion(const Resource& r)
{
    SpecReader  in(r);
    VersionSpec s;
    in.Text("model", s.m_Model);
    in.Digest("manifest", s.m_Manifest);
    if (r.m_Key.m_Kind == Kind_Adapter)
        in.Text("base", s.m_Base);
    return in.Finish(std::move(s));
}

Result<PlacementSpec> ParsePlacement(const Resource& r)
{
    SpecReader    in(r);
    PlacementSpec s;
    int64_t       per_replica = 1;
    in.Text("model", s.m_Model);
    in.Text("version", s.m_Version);
    in.Texts("adapters", s.m_Adapters);
    in.Counts("replicas", s.m_Replicas, kReplicasMax);
    in.Int("boxes_per_replica", per_replica, 1, 64);
    s.m_BoxesPerReplica = static_cast<size_t>(per_replica);
    return in.Finish(std::move(s));
}

Result<ServiceSpec> ParseService(const Resource& r)
{
    SpecReader  in(r);
    ServiceSpec s;
    int64_t     deadline = s.m_DeadlineMs;
    in.Text("path", s.m_Path);
    in.Choice("type", s.m_Type, {"model", "plain"}, true);
    in.Text("model", s.m_Model, s.m_Type == ServiceType_Model);
    in.Texts("boxes", s.m_Boxes);
    in.Texts("non_repeatable", s.m_NonRepeatable);
    in.Texts("retired", s.m_Retired);
    in.Int("deadline_ms", deadline, 1, 3'600'000);
    in.Real("slo_ms", s.m_SloMs, 0.1, 3'600'000);
    in.Real("slo_target", s.m_SloTarget, 0.5, 0.99999);
    s.m_DeadlineMs = static_cast<uint32_t>(deadline);
    if (s.m_Path.size() < 2 || s.m_Path[0] != '/' || s.m_Path.back() == '/' || s.m_Path.starts_with("/aldervale"))
        in.Fault("path", "expected a path such as /v1/chat, not below /aldervale");
    if (s.m_Type == ServiceType_Plain && s.m_Boxes.empty())
        in.Fault("boxes", "a plain service needs at least one box");
    if (s.m_Type == ServiceType_Model && (!s.m_Boxes.empty() || !s.m_NonRepeatable.empty()))
        in.Fault(s.m_Boxes.empty() ? "non_repeatable" : "boxes", "only for plain services");
    return in.Finish(std::move(s));
}

Result<ClientAccountSpec> ParseClientAccount(const Resource& r)
{
    SpecReader        in(r);
    ClientAccountSpec s;
    in.Digest("token_sha256", s.m_TokenSha256);
    in.Real("limit_rps", s.m_LimitRps, 0.01, 1e6, true);
    in.Real("burst", s.m_Burst, 1, 1e6);
    in.Int("priority", s.m_Priority, 0, 9);
    in.Real("weight", s.m_Weight, 0.01, 1000);
    if (s.m_Burst == 0)
        s.m_Burst = std::max(1.0, s.m_LimitRps);
    return in.Finish(std::move(s));
}

Result<RolloutSpec> ParseRollout(const Resource& r)
{
    SpecReader  in(r);
    RolloutSpec s;
    in.Text("placement", s.m_Placement);
    in.Int("max_unavailable", s.m_MaxUnavailable, 1, 10'000);
    in.Bool("paused", s.m_Paused);
    in.Int("halt_after_failed", s.m_HaltAfterFailed, 1, 10'000);
    return in.Finish(std::move(s));
}

//-----------------------------------------------------------------------------
// [SECTION] ConfigSnapshot
//-----------------------------------------------------------------------------

const Declared<ServiceSpec>* FindService(const ConfigSnapshot& c, std::string_view path, std::string* name)
{
    const Declared<ServiceSpec>* best = nullptr;
    for (const auto& [key, service] : c.m_Services)
    {
        const std::string& prefix  = service.m_Spec.m_Path;
        const bool         matches = path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
        if (!matches || (best != nullptr && best->m_Spec.m_Path.size() >= prefix.size()))
            continue;
        best = &service;
        if (name != nullptr)
            *name = key;
    }
    return best;
}

std::string RegionOf(const ConfigSnapshot& c, std::string_view data_centre)
{
    const auto it = c.m_DataCentres.find(data_centre);
    return it == c.m_DataCentres.end() ? std::string() : it->second.m_Spec.m_Region;
}

std::set<std::string> DigestsOf(const ConfigSnapshot& c, std::string_view model)
{
    std::set<std::string> out;
    for (const auto& [name, v] : c.m_Versions)
        if (v.m_Spec.m_Model == model)
            out.insert(v.m_Spec.m_Manifest);
    return out;
}

std::vector<std::string> AssignBoxes(const ConfigSnapshot& c, std::string_view placement, std::string_view data_centre)
{
    const auto p = c.m_Placements.find(placement);
    if (p == c.m_Placements.end())
        return {};
    const auto n = p->second.m_Spec.m_Replicas.find(std::string(data_centre));
    if (n == p->second.m_Spec.m_Replicas.end())
        return {};
    std::vector<std::string> names;
    for (const auto& [name, box] : c.m_Boxes)
        if (box.m_Spec.m_Role == BoxRole_Backend && box.m_Spec.m_Backend == BackendType_Engine && box.m_Spec.m_DataCentre == data_centre)
            names.push_back(name);
    std::vector<std::string> out;
    const size_t             wanted = n->second * p->second.m_Spec.m_BoxesPerReplica;
    for (const size_t i : RendezvousOrder(placement, names))
        if (out.size() < wanted)
            out.push_back(names[i]);
    out.resize(out.size() - out.size() % p->second.m_Spec.m_BoxesPerReplica); // no half replica
    return out;
}

std::vector<std::string> ScopeMembers(const ConfigSnapshot& c, std::string_view placement, std::string_view box)
{
    const auto p   = c.m_Placements.find(placement);
    const auto own = c.m_Boxes.find(box);
    if (p == c.m_Placements.end() || own == c.m_Boxes.end())
        return {std::string(box)};
    const auto               model  = c.m_Models.find(p->second.m_Spec.m_Model);
    const OriginScope        scope  = model == c.m_Models.end() ? OriginScope_Region : model->second.m_Spec.m_OriginScope;
    const std::string        own_dc = own->second.m_Spec.m_DataCentre;
    std::vector<std::string> out;
    for (const auto& [dc, count] : p->second.m_Spec.m_Replicas)
    {
        const bool inside = scope == OriginScope_Fleet || dc == own_dc || (scope == OriginScope_Region && RegionOf(c, dc) == RegionOf(c, own_dc));
        if (!inside)
            continue;
        const std::vector<std::string> boxes = AssignBoxes(c, placement, dc);
        out.insert(out.end(), boxes.begin(), boxes.end());
    }
    return out;
}

//-----------------------------------------------------------------------------
// [SECTION] Changes
//-----------------------------------------------------------------------------

ConfigPtr ApplyDelta(const ConfigSnapshot& base, const ConfigDelta& delta)
{
    if (delta.m_From > base.m_Revision || delta.m_To <= base.m_Revision)
        return nullptr;
    auto next         = std::make_shared<ConfigSnapshot>();
    next->m_Revision  = delta.m_To;
    next->m_Resources = base.m_Resources;
    for (const Resource& r : delta.m_Written)
    {
        Resource& slot = next->m_Resources[r.m_Key];
        if (r.m_Revision >= slot.m_Revision)
            slot = r;
    }
    BuildViews(*next);
    return next;
}

ConfigDelta DeltaSince(const ConfigSnapshot& c, uint64_t from)
{
    ConfigDelta d{from, c.m_Revision, {}};
    for (const auto& [key, r] : c.m_Resources)
        if (r.m_Revision > from)
            d.m_Written.push_back(r);
    return d;
}

std::string DeltaToJson(const ConfigDelta& d)
{
    json::array written;
    for (const Resource& r : d.m_Written)
        written.push_back(ToJson(r));
    json::object o;
    o["from"]    = d.m_From;
    o["to"]      = d.m_To;
    o["written"] = std::move(written);
    return json::serialize(o);
}

Result<ConfigDelta> DeltaFromJson(std::string_view text)
{
    json::error_code  ec;
    const json::value v = json::parse(text, ec);
    if (ec || !v.is_object())
        return MakeError(ErrorCode_Invalid, "expected a JSON object");
    const json::object& o       = v.as_object();
    const json::value*  from    = o.if_contains("from");
    const json::value*  to      = o.if_contains("to");
    const json::value*  written = o.if_contains("written");
    if (from == nullptr || to == nullptr || written == nullptr || !from->is_int64() || !to->is_int64() || !written->is_array())
        return MakeError(ErrorCode_Invalid, "expected from, to and written");
    ConfigDelta d{static_cast<uint64_t>(from->as_int64()), static_cast<uint64_t>(to->as_int64()), {}};
    for (const json::value& item : written->as_array())
    {
        auto r = ResourceFromJson(item);
        if (!r)
            return r.error();
        d.m_Written.push_back(std::move(r.value()));
    }
    return d;
}

} // namespace aldervale
