// Who reads declarations, who tells and who asks whom. See declarations_spread.h.
#include "process/declarations_spread.h"
#include "common/hash.h"
#include <algorithm>
#include <tuple>

namespace aldervale
{

namespace
{

constexpr unsigned kFlowDoublings     = 6; // of kFlowStagger at most: 26 s, more than any read should take
constexpr unsigned kDoublings         = 8; // of kStagger at most: 31 s; by then reads of a store that is away have failed
constexpr unsigned kFetchDoublingsMax = 3; // of kFetchMax, by failures in a row: a squeezed link gives a little at a time

} // namespace

DeclarationsSpread::DeclarationsSpread(Endpoint self, TimePoint now)
    : m_Self(std::move(self)), m_SelfRank(RouterRank(m_Self.m_Address)), m_StartedAt(now), m_HeldAt(now)
{
}

//-----------------------------------------------------------------------------
// What happened
//-----------------------------------------------------------------------------

void DeclarationsSpread::SetPeers(std::span<const RouterPeer> listed, TimePoint now)
{
    m_PeersKnown = true;
    for (const RouterPeer& r : listed)
    {
        if (r.m_Address == m_Self)
            continue;
        Peer& p      = m_Peers[r.m_Address];
        p.m_Near     = r.m_SameRegion;
        p.m_Rank     = RouterRank(r.m_Address.m_Address);
        p.m_ListedAt = now;
    }
    std::erase_if(m_Peers, [&](const auto& item) { return now - item.second.m_ListedAt > kPeerKept; });
    ForgetLostVersions(now);
    SetRank();
}

// What only routers knew that are gone can't be had, and mustn't be waited for.
void DeclarationsSpread::ForgetLostVersions(TimePoint now)
{
    m_Heard = m_Held;
    for (const auto& [address, peer] : m_Peers)
        if (now - peer.m_HeardAt < kPeerKept)
            m_Heard = std::max(m_Heard, peer.m_News.m_Version);
}

void DeclarationsSpread::SetHeld(uint64_t version, TimePoint now)
{
    if (version <= m_Held)
        return;
    m_Held   = version;
    m_Heard  = std::max(m_Heard, version);
    m_HeldAt = now;
    for (auto& [address, peer] : m_Peers)
        peer.m_Failures = 0;
}

void DeclarationsSpread::SetRank()
{
    const auto before = [&](const auto& item) { return item.second.m_Near && item.second.m_Rank < m_SelfRank; };
    m_Rank            = static_cast<size_t>(std::count_if(m_Peers.begin(), m_Peers.end(), before));
}

void DeclarationsSpread::OnNews(const SpreadNews& news, TimePoint now)
{
    if (m_Peers.size() >= kPeersMax && !m_Peers.contains(news.m_From))
        return;
    const auto [it, unlisted] = m_Peers.try_emplace(news.m_From);
    Peer& p                   = it->second;
    if (unlisted)
    {
        p.m_Near = news.m_Near;
        p.m_Rank = RouterRank(news.m_From.m_Address);
        SetRank();
    }
    p.m_ListedAt = now;
    p.m_HeardAt  = now;
    if (news.m_Rests)
        p.m_RestedAt = now;
    p.m_News = news;
    if (p.m_Near)
        NoteFlow(now - news.m_FlowAge);
    if (news.m_Version > m_Heard && !p.m_Near)
        m_FarFirst = true;
    if (m_Heard == m_Held && news.m_Version > m_Held)
        m_HeldAt = now;
    m_Heard = std::max(m_Heard, news.m_Version);
    if (news.m_Version == m_Held && m_Held > 0)
        m_CheckedAt = std::max(m_CheckedAt, now - news.m_CheckedAge);
}

void DeclarationsSpread::NoteFlow(TimePoint at)
{
    if (at - m_FlowAt > kFresh)
        m_FlowSince = at;
    m_FlowAt = std::max(m_FlowAt, at);
}

void DeclarationsSpread::OnStoreBytes(TimePoint now)
{
    if (now - m_OwnFlowAt > kSameAnswer)
        m_AnswerSince = now;
    m_OwnFlowAt = now;
    NoteFlow(now);
}

void DeclarationsSpread::OnStoreAnswer(uint64_t version, TimePoint now, size_t bytes)
{
    if (bytes >= kLongAnswer)
        m_ReadsSlow = m_OwnFlowAt - m_AnswerSince > kQuickAnswer; // without the time that decoding takes
    m_AnsweredAt = now;
    if (version > m_Heard)
        m_FarFirst = false;
    SetHeld(version, now);
    if (version == m_Held)
        m_CheckedAt = now;
}

// Everybody asks a store that is away, and all would read the whole rows at once when it is back.
void DeclarationsSpread::OnStoreBack(TimePoint now)
{
    m_FlowSince = now;
    OnStoreBytes(now);
    m_TookOver = m_TookOver && !m_PeersKnown;
}

void DeclarationsSpread::OnFetched(uint64_t version, TimePoint checked, TimePoint now)
{
    if (version < m_Held)
        return;
    SetHeld(version, now);
    m_CheckedAt = std::max(m_CheckedAt, checked);
}

void DeclarationsSpread::OnFetchFailed(const Endpoint& from, TimePoint now)
{
    const auto it = m_Peers.find(from);
    if (it == m_Peers.end())
        return;
    it->second.m_AvoidedUntil = now + kAvoided;
    it->second.m_Failures     = std::min(it->second.m_Failures + 1, kFetchDoublingsMax);
}

//-----------------------------------------------------------------------------
// Who reads
//-----------------------------------------------------------------------------

bool DeclarationsSpread::ReadsFresh(const Peer& p, TimePoint now) const
{
    return p.m_News.m_Reads && now - p.m_HeardAt + p.m_News.m_CheckedAge < kFresh;
}

size_t DeclarationsSpread::ReadersBefore(TimePoint now) const
{
    const auto reads = [&](const auto& item)
    {
        const Peer& p = item.second;
        return p.m_Near && p.m_Rank < m_SelfRank && p.m_News.m_Version >= m_Held && ReadsFresh(p, now);
    };
    return static_cast<size_t>(std::count_if(m_Peers.begin(), m_Peers.end(), reads));
}

// Not where the own link is wide: its leads may have heard a version from afar only because they weren't asking the store just then.
bool DeclarationsSpread::ServedFromFar(TimePoint now) const
{
    const auto reads = [&](const auto& item) { return !item.second.m_Near && ReadsFresh(item.second, now); };
    return m_FarFirst && m_ReadsSlow && Checked(now) && std::any_of(m_Peers.begin(), m_Peers.end(), reads);
}

// It will read when nothing more comes from afar; its first bytes are to be heard of before others read, too.
bool DeclarationsSpread::LeadRested(TimePoint now) const
{
    const auto rested = [&](const auto& item)
    {
        const Peer& p = item.second;
        return p.m_Near && p.m_Rank < m_SelfRank && now - p.m_HeardAt < kFresh && now - p.m_RestedAt < kFresh + kWake;
    };
    return std::any_of(m_Peers.begin(), m_Peers.end(), rested);
}

bool DeclarationsSpread::Overdue(TimePoint now) const
{
    if (!m_PeersKnown)
        return now - m_StartedAt >= kFirstWait + kFirstStagger * static_cast<int>(m_SelfRank % kStaggersFirst) && !Checked(now);
    const auto     place   = static_cast<unsigned>(m_Rank - kLeads); // among those that are no leads
    const bool     flowing = now - m_FlowAt < kFresh;
    const Duration stagger = flowing ? kFlowStagger * (1u << std::min(place, kFlowDoublings)) : kStagger * (1u << std::min(place, kDoublings));
    TimePoint      since   = std::max(m_CheckedAt, m_StartedAt);
    if (flowing)
        since = std::max(since, m_FlowSince);
    const Duration wake = !flowing && LeadRested(now) ? Duration(kWake) : Duration::zero();
    return now - since > kFresh + stagger + wake || BehindLong(now);
}

bool DeclarationsSpread::BehindLong(TimePoint now) const
{
    const size_t place   = m_Rank > kLeads ? m_Rank - kLeads : 0;
    const bool   settled = m_Held > 0 || now - m_StartedAt > kFirstNear;
    return settled && m_Heard > m_Held && now - m_HeldAt > kBehindMax + kStagger * (1u << std::min<size_t>(place, kDoublings));
}

bool DeclarationsSpread::Reads(TimePoint now)
{
    if (m_Held == 0 && now - m_StartedAt < kFirstWait)
        return false;
    // Two regions that leave reading to each other must not go on doing so: it takes a new version from afar to rest again.
    m_FarFirst = m_FarFirst && Checked(now);
    if (ServedFromFar(now))
        m_TookOver = false;
    else if (Lead())
        return true;
    else if (m_TookOver && m_PeersKnown)
        m_TookOver = m_Heard > m_Held || ReadersBefore(now) < kLeads; // those confirm what is held here, so it isn't overdue again at once
    else
        m_TookOver = m_TookOver || Overdue(now);
    return m_TookOver;
}

//-----------------------------------------------------------------------------
// Who tells, who asks
//-----------------------------------------------------------------------------

// One that holds nothing makes itself known: others would hear of it by the next list only, and it of their version 2 s after its start.
bool DeclarationsSpread::Tells(TimePoint now) const
{
    return Lead() || m_Held == 0 || now - std::max(m_AnsweredAt, m_OwnFlowAt) < kFresh;
}

SpreadNews DeclarationsSpread::News(TimePoint now) const
{
    SpreadNews out;
    out.m_From       = m_Self;
    out.m_Version    = m_Held;
    out.m_FlowAge    = now - m_OwnFlowAt;
    out.m_Reads      = now - m_AnsweredAt < kFresh;
    out.m_CheckedAge = now - m_CheckedAt + (out.m_Reads ? Duration::zero() : Duration(kRelayCost));
    out.m_Rests      = Lead() && ServedFromFar(now);
    return out;
}

// Other regions are told only by those whom the store answers: what leads heard from afar is known there.
std::vector<Endpoint> DeclarationsSpread::Audience(TimePoint now) const
{
    const bool            own = now - m_AnsweredAt < kFresh;
    std::vector<Endpoint> out;
    for (const auto& [address, peer] : m_Peers)
        if (peer.m_Near || own)
            out.push_back(address);
    return out;
}

std::vector<Endpoint> DeclarationsSpread::Near() const
{
    std::vector<Endpoint> out;
    for (const auto& [address, peer] : m_Peers)
        if (peer.m_Near)
            out.push_back(address);
    return out;
}

std::vector<Endpoint> DeclarationsSpread::RegisterAt() const
{
    std::vector<std::pair<uint64_t, Endpoint>> ranked;
    for (const auto& [address, peer] : m_Peers)
        if (peer.m_Near)
            ranked.emplace_back(peer.m_Rank, address);
    const size_t count = std::min(kRegisteredAt, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<Endpoint> out;
    for (size_t i = 0; i < count; i++)
        out.push_back(ranked[i].second);
    return out;
}

// Agents list only the kRoutersListedFar best-ranked routers of each other region.
std::vector<Endpoint> DeclarationsSpread::KnownToAll() const
{
    std::vector<Endpoint>                      out;
    std::vector<std::pair<uint64_t, Endpoint>> near = {{m_SelfRank, m_Self}};
    for (const auto& [address, peer] : m_Peers)
        if (peer.m_Near)
            near.emplace_back(peer.m_Rank, address);
        else
            out.push_back(address);
    std::sort(near.begin(), near.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    near.resize(std::min(near.size(), kRoutersListedFar));
    for (const auto& [rank, address] : near)
        out.push_back(address);
    return out;
}

std::vector<Endpoint> DeclarationsSpread::AllPeers() const
{
    std::vector<Endpoint> out;
    for (const auto& [address, peer] : m_Peers)
        out.push_back(address);
    return out;
}

// Who holds nothing needs the whole. When a region starts, its leads get that from afar, and the others from them.
bool DeclarationsSpread::LeavesFar(TimePoint now) const
{
    return m_Held == 0 && !Lead() && now - m_StartedAt < kFirstNear;
}

Duration DeclarationsSpread::FetchTimeout(const Endpoint& from) const
{
    const auto it = m_Peers.find(from);
    return kFetchMax * (1u << (it == m_Peers.end() ? 0 : it->second.m_Failures));
}

// Those that failed lately only if there are no others; then those that told just now, the own region's, and each router in an order of its own:
// two leads share the work.
std::optional<Endpoint> DeclarationsSpread::FetchFrom(TimePoint now) const
{
    using Cost = std::tuple<TimePoint, bool, bool, uint64_t>;
    std::optional<Endpoint> best;
    Cost                    best_cost;
    for (const auto& [address, peer] : m_Peers)
    {
        if (peer.m_News.m_Version <= m_Held || (!peer.m_Near && LeavesFar(now)))
            continue;
        const TimePoint avoided = std::max(now, peer.m_AvoidedUntil);
        const Cost      cost{avoided, now - peer.m_HeardAt > kNewsRecent, !peer.m_Near, Hash64(address.ToString(), m_SelfRank)};
        if (best && cost >= best_cost)
            continue;
        best      = address;
        best_cost = cost;
    }
    return best;
}

} // namespace aldervale
