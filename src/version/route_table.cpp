// Matches requests against one version of the declarations. See route_table.h.
#include "version/route_table.h"
#include "common/hash.h"
#include <algorithm>

namespace aldervale
{

namespace
{

std::string LowerHost(std::string_view host)
{
    std::string out(host.substr(0, host.find(':')));
    std::transform(out.begin(), out.end(), out.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return out;
}

} // namespace

RouteTable::RouteTable(RouteTableSpec spec) : m_Spec(std::move(spec))
{
    for (const Route& r : m_Spec.m_Routes)
        m_ByHost[LowerHost(r.m_Host)].push_back(&r);
    for (auto& [host, routes] : m_ByHost)
        std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) { return a->m_Prefix.size() > b->m_Prefix.size(); });
    for (const ClientAccount& a : m_Spec.m_Accounts)
        for (const std::string& key : a.m_Keys)
            m_ByKey.emplace(key, &a);
    for (const Service& s : m_Spec.m_Services)
        m_ByName.emplace(s.m_Name, &s);
    for (const Route& r : m_Spec.m_Routes)
        for (const RouteTarget& t : r.m_Targets)
        {
            const auto [it, first] = m_StrictestObjectives.emplace(t.m_Service, r.m_Goal);
            if (!first)
                it->second = std::min(it->second, r.m_Goal);
        }
}

const Route* RouteTable::FindRoute(std::string_view host, std::string_view path) const
{
    const auto it = m_ByHost.find(LowerHost(host));
    if (it == m_ByHost.end())
        return nullptr;
    for (const Route* r : it->second)
        if (path.starts_with(r->m_Prefix))
            return r;
    return nullptr;
}

const ClientAccount* RouteTable::FindAccount(std::string_view key) const
{
    const auto it = m_ByKey.find(key);
    return it == m_ByKey.end() ? nullptr : it->second;
}

const Service* RouteTable::FindService(std::string_view name) const
{
    const auto it = m_ByName.find(name);
    return it == m_ByName.end() ? nullptr : it->second;
}

Duration RouteTable::StrictestObjective(std::string_view service) const
{
    const auto it = m_StrictestObjectives.find(service);
    return it == m_StrictestObjectives.end() ? Duration::zero() : it->second;
}

const RouteTarget& PickTarget(const Route& r, std::string_view request_id)
{
    uint64_t sum = 0;
    for (const RouteTarget& t : r.m_Targets)
        sum += t.m_Weight;
    uint64_t at = sum == 0 ? 0 : Hash64(request_id) % sum;
    for (const RouteTarget& t : r.m_Targets)
    {
        if (at < t.m_Weight)
            return t;
        at -= t.m_Weight;
    }
    return r.m_Targets.front();
}

} // namespace aldervale
