// Rules that declared resources must meet, alone and together. See resources.h.
#include "process/resources.h"
#include <set>

namespace aldervale
{

namespace
{

// Collects faults with "Kind/name: field" paths.
struct Faults
{
    std::vector<Error> m_List;

    void Add(const Resource& r, std::string_view field, std::string_view message)
    {
        const std::string path = std::string(KindName(r.m_Key.m_Kind)) + "/" + r.m_Key.m_Name + ":" + std::string(field);
        m_List.push_back(MakeError(ErrorCode_Invalid, message, path));
    }

    template <class SpecT> void Add(const Resource& r, const Result<SpecT>& parsed)
    {
        if (!parsed)
            Add(r, parsed.error().m_Field, parsed.error().m_Message);
    }
};

void CheckAlone(Faults& faults, const Resource& r)
{
    switch (r.m_Key.m_Kind)
    {
    case Kind_DataCentre:
        return faults.Add(r, ParseDataCentre(r));
    case Kind_Box:
        return faults.Add(r, ParseBox(r));
    case Kind_Model:
        return faults.Add(r, ParseModel(r));
    case Kind_Version:
    case Kind_Adapter:
        return faults.Add(r, ParseVersion(r));
    case Kind_Placement:
        return faults.Add(r, ParsePlacement(r));
    case Kind_Service:
        return faults.Add(r, ParseService(r));
    case Kind_ClientAccount:
        return faults.Add(r, ParseClientAccount(r));
    case Kind_Rollout:
        return faults.Add(r, ParseRollout(r));
    case Kind_COUNT:
        return;
    }
}

template <class MapT> bool Has(const MapT& map, const std::string& name)
{
    return map.find(name) != map.end();
}

void CheckPlacement(Faults& faults, const ConfigSnapshot& c, const Resource& r, const PlacementSpec& s)
{
    if (!Has(c.m_Models, s.m_Model))
        faults.Add(r, "spec.model", "no Model '" + s.m_Model + "'");
    const auto version = c.m_Versions.find(s.m_Version);
    if (version == c.m_Versions.end())
        faults.Add(r, "spec.version", "no Version '" + s.m_Version + "'");
    else if (version->second.m_Spec.m_Model != s.m_Model)
        faults.Add(r, "spec.version", "Version '" + s.m_Version + "' belongs to model '" + version->second.m_Spec.m_Model + "'");
    for (const std::string& name : s.m_Adapters)
    {
        const auto adapter = c.m_Adapters.find(name);
        if (adapter == c.m_Adapters.end())
            faults.Add(r, "spec.adapters", "no Adapter '" + name + "'");
        else if (adapter->second.m_Spec.m_Base != s.m_Version)
            faults.Add(r, "spec.adapters", "Adapter '" + name + "' goes on version '" + adapter->second.m_Spec.m_Base + "'");
    }
    for (const auto& [dc, count] : s.m_Replicas)
        if (!Has(c.m_DataCentres, dc))
            faults.Add(r, "spec.replicas." + dc, "no DataCentre '" + dc + "'");
    for (const auto& [other, p] : c.m_Placements)
        if (other < r.m_Key.m_Name && p.m_Spec.m_Model == s.m_Model)
            faults.Add(r, "spec.model", "Placement '" + other + "' places this model already");
}

void CheckService(Faults& faults, const ConfigSnapshot& c, const Resource& r, const ServiceSpec& s)
{
    if (s.m_Type == ServiceType_Model && !Has(c.m_Models, s.m_Model))
        faults.Add(r, "spec.model", "no Model '" + s.m_Model + "'");
    for (const std::string& name : s.m_Boxes)
    {
        const auto box = c.m_Boxes.find(name);
        if (box == c.m_Boxes.end() || box->second.m_Spec.m_Role != BoxRole_Backend || box->second.m_Spec.m_Backend != BackendType_Plain)
            faults.Add(r, "spec.boxes", "no backend Box '" + name + "' with backend = \"plain\"");
    }
    for (const std::string& name : s.m_Retired)
        if (std::find(s.m_Boxes.begin(), s.m_Boxes.end(), name) == s.m_Boxes.end())
            faults.Add(r, "spec.retired", "'" + name + "' is not in spec.boxes");
    for (const auto& [other, o] : c.m_Services)
        if (other < r.m_Key.m_Name && o.m_Spec.m_Path == s.m_Path)
            faults.Add(r, "spec.path", "Service '" + other + "' claims this path already");
}

void CheckTogether(Faults& faults, const ConfigSnapshot& c, const Resource& r)
{
    const std::string& name = r.m_Key.m_Name;
    if (const auto box = c.m_Boxes.find(name); r.m_Key.m_Kind == Kind_Box && box != c.m_Boxes.end())
    {
        if (!Has(c.m_DataCentres, box->second.m_Spec.m_DataCentre))
            faults.Add(r, "spec.data_centre", "no DataCentre '" + box->second.m_Spec.m_DataCentre + "'");
    }
    if (const auto v = c.m_Versions.find(name); r.m_Key.m_Kind == Kind_Version && v != c.m_Versions.end())
    {
        if (!Has(c.m_Models, v->second.m_Spec.m_Model))
            faults.Add(r, "spec.model", "no Model '" + v->second.m_Spec.m_Model + "'");
    }
    if (const auto a = c.m_Adapters.find(name); r.m_Key.m_Kind == Kind_Adapter && a != c.m_Adapters.end())
    {
        if (!Has(c.m_Versions, a->second.m_Spec.m_Base))
            faults.Add(r, "spec.base", "no Version '" + a->second.m_Spec.m_Base + "'");
    }
    if (const auto p = c.m_Placements.find(name); r.m_Key.m_Kind == Kind_Placement && p != c.m_Placements.end())
        CheckPlacement(faults, c, r, p->second.m_Spec);
    if (const auto s = c.m_Services.find(name); r.m_Key.m_Kind == Kind_Service && s != c.m_Services.end())
        CheckService(faults, c, r, s->second.m_Spec);
    if (const auto o = c.m_Rollouts.find(name); r.m_Key.m_Kind == Kind_Rollout && o != c.m_Rollouts.end())
    {
        if (!Has(c.m_Placements, o->second.m_Spec.m_Placement))
            faults.Add(r, "spec.placement", "no Placement '" + o->second.m_Spec.m_Placement + "'");
    }
}

void CheckUnique(Faults& faults, const ConfigSnapshot& c)
{
    std::map<std::string, std::string> by_address;
    for (const auto& [name, box] : c.m_Boxes)
    {
        const auto [it, fresh] = by_address.emplace(box.m_Spec.m_Address, name);
        if (!fresh)
            faults.Add(c.m_Resources.at({Kind_Box, name}), "spec.address", "Box '" + it->second + "' has this address already");
    }
    std::map<std::string, std::string> by_token;
    for (const auto& [name, account] : c.m_Accounts)
    {
        const auto [it, fresh] = by_token.emplace(account.m_Spec.m_TokenSha256, name);
        if (!fresh)
            faults.Add(c.m_Resources.at({Kind_ClientAccount, name}), "spec.token_sha256",
                       "ClientAccount '" + it->second + "' has this token already");
    }
}

bool Contains(std::span<const std::string> list, const std::string& name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

std::vector<Error> ValidateConfig(const ConfigSnapshot& c)
{
    Faults faults;
    for (const auto& [key, r] : c.m_Resources)
        if (!r.m_Deleted)
            CheckAlone(faults, r);
    for (const auto& [key, r] : c.m_Resources)
        if (!r.m_Deleted)
            CheckTogether(faults, c, r);
    CheckUnique(faults, c);
    return std::move(faults.m_List);
}

// Keys have one home. A home may leave a service's list only when it can't run a key any more, and a new one may join only in its
// place: otherwise a key that ran at the old home could run again at the new one.
std::vector<Error> ValidateTransition(const ConfigSnapshot& from, const ConfigSnapshot& to, std::span<const std::string> homes_gone)
{
    Faults faults;
    for (const auto& [name, old] : from.m_Services)
    {
        const auto it = to.m_Services.find(name);
        if (it == to.m_Services.end() || old.m_Spec.m_NonRepeatable.empty() || old.m_Spec.m_Boxes == it->second.m_Spec.m_Boxes)
            continue;
        const Resource& r = to.m_Resources.at({Kind_Service, name});
        if (old.m_Spec.m_Boxes.size() != it->second.m_Spec.m_Boxes.size())
            faults.Add(r, "spec.boxes", "the number of homes of a service with calls that may not be repeated can't change");
        for (size_t i = 0; i < std::min(old.m_Spec.m_Boxes.size(), it->second.m_Spec.m_Boxes.size()); i++)
            if (old.m_Spec.m_Boxes[i] != it->second.m_Spec.m_Boxes[i] && !Contains(homes_gone, old.m_Spec.m_Boxes[i]))
                faults.Add(r, "spec.boxes",
                           "home '" + old.m_Spec.m_Boxes[i] + "' may still run keys: retire it first, or wait until the platform lists it as gone");
    }
    return std::move(faults.m_List);
}

} // namespace aldervale
