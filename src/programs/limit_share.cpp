// Exchanges rate limits of backend servers. See limit_share.h.
#include "limit_share.h"
#include "common/metrics.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

namespace
{

constexpr float  kNoLimit           = -1; // encoded value of a limit that ended
constexpr size_t kLimitsPerDatagram = 60; // a limit is encoded in 16 bytes

wire::LimitNewsT ToWire(std::span<const LimitChange> changes)
{
    wire::LimitNewsT news;
    for (const LimitChange& c : changes)
        news.limits.emplace_back(c.m_IncarnationHash, c.m_RequestsPerS ? static_cast<float>(*c.m_RequestsPerS) : kNoLimit);
    return news;
}

LimitChange FromWire(const wire::ServerLimit& l)
{
    return {l.life(), l.per_s() >= 0 && std::isfinite(l.per_s()) ? std::optional<double>(l.per_s()) : std::nullopt};
}

} // namespace

LimitShare::LimitShare(LoadListener& loads, DeclarationsPeers& peers, ServerLimits& limits) : m_Loads(loads), m_Peers(peers), m_Limits(limits)
{
    m_Loads.SetOnLimits([this](const wire::LimitNews& news, const Endpoint& from) { OnNews(news, from); });
}

void LimitShare::Look(uint32_t routers_hint, TimePoint now)
{
    static Gauge& limited = Metrics().GetGauge("aldervale_servers_limited");
    limited.Set(static_cast<double>(m_Limits.Count()));
    const std::vector<Endpoint> peers = m_Peers.Spread().AllPeers();
    if (!peers.empty()) // changes stay queued while no other router is known
        Send(m_Limits.TakeChanges(), peers);
    if (m_Limits.Empty())
        return;
    LimitRouters r;
    r.m_Self  = m_Peers.Self().ToString();
    r.m_Total = std::max(routers_hint, static_cast<uint32_t>(m_Peers.Spread().Peers() + 1));
    for (const Endpoint& e : m_Peers.Spread().KnownToAll())
        r.m_KnownToAll.push_back(e.ToString());
    if (!m_Peers.Spread().PeersKnown())
        r.m_Total = 0;
    m_Limits.SetRouters(r, now);
}

void LimitShare::Send(std::span<const LimitChange> changes, std::span<const Endpoint> to)
{
    while (!changes.empty())
    {
        const size_t count = std::min(changes.size(), kLimitsPerDatagram);
        m_Loads.TellLimits(to, ToWire(changes.first(count)));
        changes = changes.subspan(count);
    }
}

// Forwards only changes of the limits stored here. Otherwise routers that do not list each other yet could forward the same change in an endless
// loop.
void LimitShare::OnNews(const wire::LimitNews& news, const Endpoint& from)
{
    if (news.limits() == nullptr)
        return;
    const TimePoint          now = Now();
    std::vector<LimitChange> changes;
    for (const wire::ServerLimit* l : *news.limits())
    {
        const LimitChange change = FromWire(*l);
        if (m_Limits.OnRemoteChange(change, now))
            changes.push_back(change);
    }
    const std::vector<Endpoint> near = m_Peers.Spread().Near();
    if (std::find(near.begin(), near.end(), from) == near.end())
        Send(changes, near);
}

} // namespace aldervale
