// Replica table of a router. See replica_table.h.
#include "request/replica_table.h"
#include "version/activation.h"
#include "version/manifest.h"
#include <cmath>

namespace aldervale
{

namespace
{

constexpr double kFailureHalfLifeS = 2.0; // seconds
constexpr auto   kSentPrefixTtl    = seconds(60);
constexpr size_t kSentPrefixesMax  = 1024; // prefixes remembered per box

bool TakesRequestsOfReplica(std::string_view slice) // a replica may span several boxes; the first one takes its requests
{
    const std::string_view whole = WholeDigest(slice);
    return whole == slice || slice.substr(whole.size()).starts_with("~0-");
}

std::string TextOf(const flatbuffers::String* s)
{
    return s != nullptr ? s->str() : std::string();
}

} // namespace

void ReplicaTable::OnLinkUp(const LinkPtr& link)
{
    const LinkPeer  peer = link->Peer();
    std::lock_guard lock(m_Mutex);
    Replica&        r = m_Replicas[peer.m_Name];
    r.m_Link          = link;
    r.m_DataCentre    = peer.m_DataCentre;
}

void ReplicaTable::OnLinkDown(const LinkPtr& link)
{
    std::lock_guard lock(m_Mutex);
    const auto      it = m_Replicas.find(link->Peer().m_Name);
    if (it == m_Replicas.end() || it->second.m_Link != link)
        return;
    it->second.m_Link = nullptr;
    it->second.m_Active.clear();
}

static json::object DescribeVersion(const wire::VersionStatus& v)
{
    return {{"digest", TextOf(v.digest())},
            {"state", VersionStateName(static_cast<VersionState>(v.state()))},
            {"chunks_have", v.chunks_have()},
            {"chunks_total", v.chunks_total()},
            {"bytes_origin", v.bytes_origin()},
            {"bytes_peers", v.bytes_peers()},
            {"bytes_uploaded", v.bytes_uploaded()},
            {"seconds", v.seconds()},
            {"error", TextOf(v.error())}};
}

void ReplicaTable::OnHeartbeat(const LinkPtr& link, const wire::Heartbeat& hb, TimePoint now)
{
    const wire::AgentState* s = hb.state();
    if (s == nullptr)
        return;
    const LinkPeer  peer = link->Peer();
    std::lock_guard lock(m_Mutex);
    Replica&        r = m_Replicas[peer.m_Name];
    if (r.m_Link != link)
        return;
    const std::string active = TextOf(s->active());
    if (active != r.m_Active)
        r.m_UsableSince = now;
    r.m_Active      = active;
    r.m_Leaving     = s->leaving();
    r.m_GroupClosed = s->group_closed();
    r.m_Reported    = s->running() + s->queued();
    r.m_ReportAt    = now - milliseconds(s->load_age_ms());
    r.m_Warm.clear();
    if (s->warm() != nullptr)
        r.m_Warm.insert(s->warm()->begin(), s->warm()->end());
    if (!s->brief())
    {
        r.m_Adapters.clear();
        r.m_Versions.clear();
    }
    if (!s->brief() && s->versions() != nullptr)
    {
        for (const wire::VersionStatus* v : *s->versions())
        {
            r.m_Versions.push_back(DescribeVersion(*v));
            if (v->state() == wire::ServableState::Servable && v->base() != nullptr && v->base()->size() > 0)
                r.m_Adapters.insert(TextOf(v->digest()));
        }
    }
    r.m_State = {{"in_flight", s->in_flight()},
                 {"running", s->running()},
                 {"queued", s->queued()},
                 {"fencing", s->fencing()},
                 {"staging_reserved", s->staging_reserved()},
                 {"config_revision", hb.config_revision()}};
}

bool ReplicaTable::Matches(const std::string& name, const Replica& r, const ReplicaQuery& q) const
{
    if (!r.m_Link || r.m_Leaving || q.m_Tried.contains(name))
        return false;
    if (!q.m_Boxes.empty() && !q.m_Boxes.contains(name))
        return false;
    if (q.m_Digests.empty())
        return true;
    if (!q.m_Digests.contains(std::string(WholeDigest(r.m_Active))) || r.m_GroupClosed || !TakesRequestsOfReplica(r.m_Active))
        return false;
    return q.m_Adapter.empty() || r.m_Adapters.contains(q.m_Adapter);
}

double ReplicaTable::DecayedFailures(const Replica& r, TimePoint now)
{
    return r.m_Failures <= 0 ? 0 : r.m_Failures * std::exp2(-ToSeconds(now - r.m_FailureAt) / kFailureHalfLifeS);
}

ReplicaView ReplicaTable::ViewOf(const Replica& r, const ReplicaQuery& q, const std::string& own_region, const ConfigSnapshot& c, TimePoint now) const
{
    ReplicaView v;
    v.m_Distance  = r.m_DataCentre == m_DataCentre ? 0 : RegionOf(c, r.m_DataCentre) == own_region ? 1 : 2;
    v.m_InFlight  = r.m_InFlight;
    v.m_Reported  = r.m_Reported;
    v.m_ReportAge = now - r.m_ReportAt;
    v.m_Failures  = DecayedFailures(r, now);
    v.m_UsableFor = now - r.m_UsableSince;
    if (q.m_Prefix != 0)
    {
        const auto sent = r.m_SentPrefixes.find(q.m_Prefix);
        v.m_Warm        = r.m_Warm.contains(q.m_Prefix) || (sent != r.m_SentPrefixes.end() && now - sent->second < kSentPrefixTtl);
    }
    return v;
}

std::optional<Chosen> ReplicaTable::Choose(const ReplicaQuery& q, const ConfigSnapshot& c, const UsableFunction& usable, TimePoint now)
{
    const std::string               own_region = RegionOf(c, m_DataCentre);
    std::vector<ReplicaView>        views;
    std::vector<const std::string*> names;
    std::lock_guard                 lock(m_Mutex);
    for (const auto& [name, r] : m_Replicas)
    {
        if (!Matches(name, r, q) || !usable(name))
            continue;
        views.push_back(ViewOf(r, q, own_region, c, now));
        names.push_back(&name);
    }
    const std::optional<size_t> best = ChooseReplica(views, m_Config, m_Random, m_ChoiceCount++);
    if (!best)
        return std::nullopt;
    Replica& r = m_Replicas[*names[*best]];
    r.m_InFlight++;
    if (q.m_Prefix != 0)
    {
        if (r.m_SentPrefixes.size() >= kSentPrefixesMax)
            std::erase_if(r.m_SentPrefixes, [&](const auto& s) { return now - s.second > kSentPrefixTtl / 4; });
        r.m_SentPrefixes[q.m_Prefix] = now;
    }
    return Chosen{std::string(WholeDigest(r.m_Active)), *names[*best], r.m_Link};
}

std::optional<Chosen> ReplicaTable::Take(const std::string& box)
{
    std::lock_guard lock(m_Mutex);
    const auto      it = m_Replicas.find(box);
    if (it == m_Replicas.end() || !it->second.m_Link)
        return std::nullopt;
    it->second.m_InFlight++;
    return Chosen{{}, box, it->second.m_Link};
}

void ReplicaTable::OnEnd(const std::string& box, bool failed, TimePoint now)
{
    std::lock_guard lock(m_Mutex);
    const auto      it = m_Replicas.find(box);
    if (it == m_Replicas.end())
        return;
    Replica& r = it->second;
    r.m_InFlight -= r.m_InFlight > 0 ? 1 : 0;
    if (!failed)
        return;
    r.m_Failures  = DecayedFailures(r, now) + 1;
    r.m_FailureAt = now;
}

size_t ReplicaTable::CountUsable(const ReplicaQuery& q, const UsableFunction& usable) const
{
    std::lock_guard lock(m_Mutex);
    size_t          n = 0;
    for (const auto& [name, r] : m_Replicas)
        n += Matches(name, r, q) && usable(name) ? 1 : 0;
    return n;
}

json::array ReplicaTable::Describe(TimePoint now) const
{
    std::lock_guard lock(m_Mutex);
    json::array     out;
    for (const auto& [name, r] : m_Replicas)
    {
        if (!r.m_Link)
            continue;
        json::object o     = r.m_State;
        o["box"]           = name;
        o["data_centre"]   = r.m_DataCentre;
        o["active"]        = r.m_Active;
        o["servable"]      = !r.m_Active.empty() && !r.m_GroupClosed && !r.m_Leaving;
        o["leaving"]       = r.m_Leaving;
        o["versions"]      = r.m_Versions;
        o["report_age_ms"] = ToMs(now - r.m_ReportAt);
        out.push_back(std::move(o));
    }
    return out;
}

} // namespace aldervale
