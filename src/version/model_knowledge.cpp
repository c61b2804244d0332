// Model name, origin of the weights and target version, as an agent has learned them. See model_knowledge.h.
#include "version/model_knowledge.h"
#include "common/hash.h"

namespace aldervale
{

namespace
{

std::optional<WeightOrigin> OriginOf(const ModelNaming& n)
{
    if (!n.m_Origin)
        return std::nullopt;
    return WeightOrigin{*n.m_Origin, n.m_OriginMbps, n.m_OriginConnections};
}

const Service* FindModelService(const RouteTableSpec& spec,
                                const std::string&    name) // null: no such service, or its weights are not distributed in pieces
{
    for (const Service& s : spec.m_Services)
        if (s.m_Name == name && s.m_Engine && s.m_Engine->m_Pieces > 0)
            return &s;
    return nullptr;
}

bool SameOrigin(const std::optional<WeightOrigin>& a, const std::optional<WeightOrigin>& b)
{
    if (!a || !b)
        return a.has_value() == b.has_value();
    return a->m_Address == b->m_Address && a->m_Mbps == b->m_Mbps && a->m_MaxConnections == b->m_MaxConnections;
}

} // namespace

ModelKnowledge::ModelKnowledge(std::string service, std::string_view own_address, TimePoint now)
    : m_Service(std::move(service)), m_FullReadWaitStart(now)
{
    const auto part = static_cast<int>(Hash64(own_address) % kFullReadWaitSteps);
    m_FullReadWait  = kFullReadWaitMin + Duration(kFullReadWaitSpread) * part / static_cast<int>(kFullReadWaitSteps);
}

bool ModelKnowledge::ApplyDeclarations(uint64_t declared, const std::string& model, const std::optional<WeightOrigin>& origin)
{
    if (declared <= m_Declared)
        return false;
    const auto before = m_Origin;
    const bool first  = m_Model.empty();
    m_Declared        = declared;
    if (first)
        m_Model = model;
    if (origin) // an origin that was removed from the declarations may still answer, so it is kept
        m_Origin = origin;
    return first || !SameOrigin(before, m_Origin);
}

bool ModelKnowledge::OnRouterUpdate(const ModelNaming& naming, TimePoint now)
{
    if (naming.m_Service != m_Service || naming.m_Model.empty())
        return false;
    m_RouterUpdateAt   = now;
    const bool changed = ApplyNaming(naming, now);
    if (naming.m_At == TimePoint{} || naming.m_Model != m_Model)
        return changed;
    DeclaredVersion& newest = m_NewestByModel[m_Model];
    if (naming.m_Version == newest.m_Version && m_RouterTimed < newest.m_Version) // a neighbour may have stated a later time
    {
        newest.m_At   = std::min(newest.m_At, naming.m_At);
        m_RouterTimed = newest.m_Version;
    }
    return changed;
}

bool ModelKnowledge::OnNeighbourNaming(const ModelNaming& naming, TimePoint now)
{
    return naming.m_Service == m_Service && !naming.m_Model.empty() && ApplyNaming(naming, now);
}

bool ModelKnowledge::ApplyNaming(const ModelNaming& naming, TimePoint now)
{
    const bool changed  = ApplyDeclarations(naming.m_Declared, naming.m_Model, OriginOf(naming));
    const bool has_time = naming.m_At != TimePoint{};
    RecordVersion(naming.m_Model, {naming.m_Version, has_time ? naming.m_At : ReceiveTime(now), has_time});
    // The same version may be there from a read or from a neighbour, with an unknown time or that of its receipt.
    DeclaredVersion& newest = m_NewestByModel[naming.m_Model];
    if (has_time && naming.m_Version == newest.m_Version && !newest.m_Told)
    {
        newest.m_At   = newest.m_At == TimePoint{} ? naming.m_At : std::min(newest.m_At, naming.m_At);
        newest.m_Told = true;
    }
    return changed;
}

bool ModelKnowledge::OnDeclarations(const RouteTableSpec& spec)
{
    const Service* service = FindModelService(spec, m_Service);
    return service != nullptr && ApplyDeclarations(spec.m_Version, service->m_Engine->m_Model, spec.m_Origin);
}

// A read that didn't contain the agent's service is repeated after a longer wait. Following the table continuously instead would send the first
// declarations to all agents at the same time.
void ModelKnowledge::OnFullRead(TimePoint now)
{
    OnVersionRowsRead();
    if (!m_Model.empty())
        return;
    m_FullReadWaitStart = now;
    m_FullReadWait      = std::min<Duration>(m_FullReadWait * 2, kFullReadWaitMax);
}

void ModelKnowledge::OnRow(std::string_view model, uint64_t version, TimePoint now)
{
    RecordVersion(model, {version, ReceiveTime(now), false});
}

void ModelKnowledge::OnVersionHeard(uint64_t version, TimePoint now)
{
    if (!m_Model.empty())
        RecordVersion(m_Model, {version, ReceiveTime(now), false});
}

// Only a newer version replaces the recorded one: later reads repeat it, and the first time of receipt is the most accurate.
void ModelKnowledge::RecordVersion(std::string_view model, const DeclaredVersion& candidate)
{
    DeclaredVersion& newest = m_NewestByModel[std::string(model)];
    if (candidate.m_Version > newest.m_Version)
        newest = candidate;
}

DeclaredVersion ModelKnowledge::Newest() const
{
    const auto it = m_NewestByModel.find(m_Model);
    return it == m_NewestByModel.end() ? DeclaredVersion{} : it->second;
}

ModelNaming ModelKnowledge::ForNeighbours() const
{
    const DeclaredVersion newest = Newest();
    ModelNaming           out;
    out.m_Service  = m_Service;
    out.m_Model    = m_Model;
    out.m_Version  = newest.m_Version;
    out.m_Declared = m_Declared;
    if (newest.m_Told && newest.m_Version == m_RouterTimed)
        out.m_At = newest.m_At;
    if (!m_Origin)
        return out;
    out.m_Origin            = m_Origin->m_Address;
    out.m_OriginMbps        = m_Origin->m_Mbps;
    out.m_OriginConnections = m_Origin->m_MaxConnections;
    return out;
}

bool ModelKnowledge::NeedsFullRead(TimePoint now) const
{
    return m_Model.empty() && now - m_FullReadWaitStart >= m_FullReadWait;
}

} // namespace aldervale
