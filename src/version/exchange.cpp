// Chunk exchange decisions. See exchange.h.
#include "version/exchange.h"
#include <algorithm>
#include <boost/assert.hpp>

namespace aldervale
{

namespace
{

constexpr auto kQueueWaitMaxAge = milliseconds(400); // a reported queue wait is ignored when older than this
constexpr auto kQueueWaitStep   = milliseconds(50);  // queue waits are compared in steps of this

} // namespace

Exchange::Exchange(ManifestPtr manifest, const ExchangeConfig& cfg, std::vector<std::string> members, std::string self, std::vector<uint32_t> present)
    : m_Manifest(std::move(manifest)), m_Config(cfg), m_SelfHash(Hash64(self))
{
    const uint32_t n = m_Manifest->m_ChunkCount;
    SetMembers(std::move(members), self);
    m_Have.assign(n, false);
    m_ChunkRequests.assign(n, 0);
    m_Holders.assign(n, 0);
    m_HoldersInBudget.assign(n, 0);
    m_TieBreaks.resize(n);
    for (uint32_t c = 0; c < n; c++)
        m_TieBreaks[c] = TieBreak(c);
    for (const uint32_t c : present)
    {
        BOOST_ASSERT_MSG(c < n, "present chunk out of range");
        m_HaveCount += m_Have[c] ? 0 : 1;
        m_Have[c] = true;
    }
}

void Exchange::SetMembers(std::vector<std::string> members, const std::string& self)
{
    m_Members.clear();
    m_DeadMembers.clear();
    m_Self = SIZE_MAX;
    for (const size_t i : RendezvousOrder(m_Manifest->m_Digest, members))
        m_Members.push_back(members[i]);
    for (size_t i = 0; i < m_Members.size(); i++)
        if (m_Members[i] == self)
            m_Self = i;
}

uint64_t Exchange::TieBreak(uint32_t chunk) const
{
    return (chunk + 1) * 0x9E3779B97F4A7C15ull ^ m_SelfHash * 0xC2B2AE3D27D4EB4Full; // Fibonacci hashing, salted by the box's name
}

//-----------------------------------------------------------------------------
// Neighbours
//-----------------------------------------------------------------------------

void Exchange::AddHave(Peer& p, uint32_t chunk)
{
    if (p.m_Have[chunk])
        return;
    p.m_Have[chunk] = true;
    m_Holders[chunk]++;
    m_HoldersInBudget[chunk] += p.m_OverBudget ? 0 : 1;
}

void Exchange::RemoveHave(Peer& p, uint32_t chunk)
{
    if (!p.m_Have[chunk])
        return;
    p.m_Have[chunk] = false;
    m_Holders[chunk]--;
    m_HoldersInBudget[chunk] -= p.m_OverBudget ? 0 : 1;
}

void Exchange::RemoveAllHave(Peer& p)
{
    for (uint32_t c = 0; c < p.m_Have.size(); c++)
        RemoveHave(p, c);
}

void Exchange::MarkOverBudget(Peer& p)
{
    if (p.m_OverBudget)
        return;
    for (uint32_t c = 0; c < p.m_Have.size(); c++)
        m_HoldersInBudget[c] -= p.m_Have[c] ? 1 : 0;
    p.m_OverBudget = true;
}

bool Exchange::MayRequestChunk(const Peer& p, uint32_t chunk) const
{
    return p.m_Have[chunk] && (!p.m_OverBudget || m_HoldersInBudget[chunk] == 0);
}

void Exchange::OnPeerUp(const std::string& peer, bool same_data_centre)
{
    Peer& p            = m_Peers[peer];
    p.m_SameDataCentre = same_data_centre;
    if (p.m_Up)
        return;
    p.m_Up = true;
    p.m_Have.assign(m_Manifest->m_ChunkCount, false);
    p.m_PausedUntil = {};
    p.m_OverBudget  = false;
}

void Exchange::OnPeerDown(const std::string& peer)
{
    const auto it = m_Peers.find(peer);
    if (it == m_Peers.end() || !it->second.m_Up)
        return;
    RemoveAllHave(it->second);
    it->second.m_Up = false;
}

void Exchange::OnHave(const std::string& peer, std::span<const uint32_t> added, bool whole)
{
    const auto it = m_Peers.find(peer);
    if (it == m_Peers.end() || !it->second.m_Up || it->second.m_Excluded)
        return;
    Peer& p = it->second;
    for (const uint32_t c : added)
        if (c < p.m_Have.size())
            AddHave(p, c);
    for (uint32_t c = 0; whole && c < p.m_Have.size(); c++)
        AddHave(p, c);
}

bool Exchange::PeerHas(const std::string& peer, uint32_t chunk) const
{
    const auto it = m_Peers.find(peer);
    return it != m_Peers.end() && it->second.m_Up && it->second.m_Have[chunk];
}

void Exchange::OnMemberDead(const std::string& member, bool dead)
{
    const auto it = std::find(m_Members.begin(), m_Members.end(), member);
    if (it == m_Members.end())
        return;
    const size_t i = static_cast<size_t>(it - m_Members.begin());
    if (dead && i != m_Self)
        m_DeadMembers.insert(i);
    else
        m_DeadMembers.erase(i);
}

void Exchange::SetImporters(std::vector<std::string> members)
{
    m_ImportMembers.clear();
    for (const size_t i : RendezvousOrder(m_Manifest->m_Digest, members))
    {
        if (Hash64(members[i]) == m_SelfHash)
            m_ImportSelf = m_ImportMembers.size();
        m_ImportMembers.push_back(members[i]);
    }
    m_RemoteSince.assign(m_Have.size(), TimePoint{});
}

// With importers, a chunk that a box of this data centre holds isn't taken from another data centre, even while that box is busy.
bool Exchange::HeldInDataCentre(uint32_t chunk) const
{
    if (m_ImportMembers.empty())
        return false;
    return std::any_of(m_Peers.begin(), m_Peers.end(),
                       [&](const auto& item) { return item.second.m_Up && item.second.m_SameDataCentre && item.second.m_Have[chunk]; });
}

bool Exchange::MayImport(uint32_t chunk, TimePoint now)
{
    if (m_ImportMembers.empty())
        return true;
    if (m_RemoteSince[chunk] == TimePoint{})
        m_RemoteSince[chunk] = now;
    const size_t    n    = m_ImportMembers.size();
    const size_t    rank = (m_ImportSelf + n - chunk % n) % n;
    const TimePoint due  = m_RemoteSince[chunk] + static_cast<int>(rank) * m_Config.m_ImportRankDelay;
    if (now >= due)
        return true;
    WakeAt(due);
    return false;
}

bool Exchange::IsAvailable(const Peer& p, TimePoint now) const
{
    return p.m_Up && !p.m_Excluded && p.m_InFlight < m_Config.m_RequestsPerPeer && now >= p.m_PausedUntil;
}

unsigned Exchange::ExcludedPeers() const
{
    unsigned n = 0;
    for (const auto& [name, p] : m_Peers)
        n += p.m_Excluded ? 1 : 0;
    return n;
}

//-----------------------------------------------------------------------------
// Fetching
//-----------------------------------------------------------------------------

void Exchange::WakeAt(TimePoint t)
{
    if (!m_NextWake || t < *m_NextWake)
        m_NextWake = t;
}

std::optional<uint32_t> Exchange::BestFromOrigin(TimePoint now)
{
    switch (m_Config.m_Mode)
    {
    case ExchangeMode_OriginOnly:
        return BestOfStride(0, 1);
    case ExchangeMode_Chain:
        return m_Self == 0 ? BestOfStride(0, 1) : std::nullopt;
    case ExchangeMode_Spread:
        break;
    }
    if (m_Self == SIZE_MAX) // not in the scope: neither a share nor a rank
        return std::nullopt;
    const std::optional<uint32_t> own = BestOfOwnShare();
    if (own || m_OriginInFlight > 0)
        return own;
    return BestOfTakeOvers(now);
}

// The chunk wanted from the origin with the lowest tie-break among `first`, `first` + `stride`, ...
std::optional<uint32_t> Exchange::BestOfStride(size_t first, size_t stride) const
{
    std::optional<uint32_t> best;
    for (size_t i = first; i < m_Have.size(); i += stride)
    {
        const auto c = static_cast<uint32_t>(i);
        if (WantedFromOrigin(c) && (!best || m_TieBreaks[c] < m_TieBreaks[*best]))
            best = c;
    }
    return best;
}

std::optional<uint32_t> Exchange::BestOfOwnShare() const
{
    const size_t n = PrimaryFetcherCount();
    return m_Self < n ? BestOfStride(m_Self, n) : std::nullopt;
}

// All primary fetchers have shares of the same size and share the origin's link, so they finish at about the same time. The delay before
// taking over is therefore counted from the end of this box's own share, and a slow origin lengthens it without further settings.
TimePoint Exchange::OwnShareDoneAt(TimePoint now)
{
    if (!m_OwnShareDoneAt)
        m_OwnShareDoneAt = m_Self < PrimaryFetcherCount() ? now : now + m_Config.m_PrimaryFetchTime;
    return *m_OwnShareDoneAt;
}

// With n primary fetchers, chunk c has rank 0 at member c mod n, rank 1 at the next primary fetcher, and so on. The members behind the
// primary fetchers follow in rounds of n: one in round r ranks r behind the primary fetcher with the same index mod n. Dead members don't
// count, so the members behind them move up in rank. Walking back from this box's index visits the shares in which it has rank 0, 1, ...
// without computing a rank for each chunk.
std::optional<uint32_t> Exchange::BestOfTakeOvers(TimePoint now)
{
    const size_t            n     = PrimaryFetcherCount();
    const size_t            index = m_Self % n;
    const size_t            round = m_Self / n;
    const TimePoint         since = OwnShareDoneAt(now);
    std::optional<uint32_t> best;
    size_t                  rank = round;
    for (size_t back = round == 0 ? 1 : 0; back < n; back++) // back == 0 is the own share of a primary fetcher, which is done
    {
        const size_t first = (index + n - back) % n;
        if (back > 0)
            rank += m_DeadMembers.contains(first) ? 0 : 1; // live primary fetchers from `first` up to, but excluding, this box's index
        if (rank >= m_Config.m_OriginFetchersPerChunk)
            break;
        const TimePoint due = since + static_cast<int>(rank) * m_Config.m_TakeOverDelay;
        if (now < due)
        {
            WakeAt(due);
            continue;
        }
        const std::optional<uint32_t> c = BestOfStride(first, n);
        if (c && (!best || m_TieBreaks[*c] < m_TieBreaks[*best]))
            best = c;
    }
    return best;
}

size_t Exchange::PrimaryFetcherCount() const
{
    return std::max<size_t>(1, std::min(m_Members.size(), m_Config.m_PrimaryFetchers));
}

bool Exchange::WantedFromOrigin(uint32_t chunk) const
{
    return !m_Have[chunk] && m_ChunkRequests[chunk] == 0 && m_Holders[chunk] == 0;
}

bool Exchange::HasOwnShareLeft() const
{
    return BestOfOwnShare().has_value();
}

void Exchange::PickFromOrigin(std::vector<Fetch>& out, TimePoint now)
{
    if (m_OriginSuspended)
        return;
    if (now < m_OriginPausedUntil)
    {
        WakeAt(m_OriginPausedUntil);
        return;
    }
    while (m_OriginInFlight < m_Config.m_OriginSlots)
    {
        const std::optional<uint32_t> best = BestFromOrigin(now);
        if (!best)
            return;
        m_OriginInFlight++;
        m_ChunkRequests[*best]++;
        out.push_back({*best, {}, false});
    }
}

void Exchange::PickFromPeers(std::vector<Fetch>& out, TimePoint now)
{
    if (m_Config.m_Mode == ExchangeMode_OriginOnly)
        return;
    while (m_DownloadsInFlight < m_Config.m_DownloadSlots)
    {
        std::vector<std::pair<const std::string*, Peer*>> usable;
        for (auto& [name, p] : m_Peers)
        {
            if (IsAvailable(p, now))
                usable.emplace_back(&name, &p);
            else if (p.m_Up && now < p.m_PausedUntil)
                WakeAt(p.m_PausedUntil);
        }
        std::optional<uint32_t> best;
        const auto              better = [&](uint32_t a, uint32_t b)
        { return m_Holders[a] != m_Holders[b] ? m_Holders[a] < m_Holders[b] : m_TieBreaks[a] < m_TieBreaks[b]; };
        for (uint32_t c = 0; c < m_Have.size(); c++)
        {
            if (m_Have[c] || m_ChunkRequests[c] > 0 || m_Holders[c] == 0 || (best && !better(c, *best)))
                continue;
            bool local  = false;
            bool remote = false;
            for (const auto& u : usable)
                if (MayRequestChunk(*u.second, c))
                    (u.second->m_SameDataCentre ? local : remote) = true;
            if (local || (remote && !HeldInDataCentre(c) && MayImport(c, now)))
                best = c;
        }
        if (!best)
            return;
        std::pair<const std::string*, Peer*> source{nullptr, nullptr};
        const auto                           cost = [&](const auto& u)
        { return std::tuple(!u.second->m_SameDataCentre, UploadQueueLength(*u.second, now), Hash64(*u.first, m_SelfHash + *best)); };
        for (const auto& u : usable)
            if (MayRequestChunk(*u.second, *best) && (source.second == nullptr || cost(u) < cost(source)))
                source = u;
        source.second->m_InFlight++;
        m_DownloadsInFlight++;
        m_ChunkRequests[*best]++;
        out.push_back({*best, *source.first, m_HoldersInBudget[*best] == 0});
    }
}

// Estimate of a neighbour's upload queue: its last reported wait in steps of kQueueWaitStep, plus our requests in flight to it.
size_t Exchange::UploadQueueLength(const Peer& p, TimePoint now) const
{
    const bool   fresh = p.m_QueueWaitAt != TimePoint{} && now - p.m_QueueWaitAt < kQueueWaitMaxAge;
    const size_t steps = fresh ? static_cast<size_t>(p.m_QueueWait / kQueueWaitStep) : 0;
    return steps + p.m_InFlight;
}

void Exchange::OnUploadQueueWait(const std::string& peer, Duration wait, TimePoint now)
{
    const auto it = m_Peers.find(peer);
    if (it == m_Peers.end())
        return;
    it->second.m_QueueWait   = wait;
    it->second.m_QueueWaitAt = now;
}

std::vector<Fetch> Exchange::Next(TimePoint now)
{
    std::vector<Fetch> out;
    m_NextWake.reset();
    if (Complete())
        return out;
    PickFromOrigin(out, now);
    PickFromPeers(out, now);
    return out;
}

void Exchange::OnChunk(uint32_t chunk, const std::string& peer, ChunkOutcome outcome, TimePoint now)
{
    BOOST_ASSERT_MSG(chunk < m_Have.size() && m_ChunkRequests[chunk] > 0, "OnChunk() for a chunk that is not in flight");
    m_ChunkRequests[chunk]--;
    const uint64_t length = LocateChunk(*m_Manifest, chunk).m_Length;
    if (outcome == ChunkOutcome_Good && !m_Have[chunk])
    {
        m_Have[chunk] = true;
        m_HaveCount++;
    }
    if (peer.empty())
    {
        m_OriginInFlight--;
        if (outcome == ChunkOutcome_Good)
            m_BytesFromOrigin += length;
        else
            OnOriginFailed(outcome, now);
        return;
    }
    m_DownloadsInFlight--;
    Peer& p = m_Peers[peer];
    p.m_InFlight--;
    switch (outcome)
    {
    case ChunkOutcome_Good:
        p.m_Good++;
        m_BytesFromPeers += length;
        return;
    case ChunkOutcome_Corrupt:
        p.m_Corrupt++;
        if (p.m_Corrupt >= m_Config.m_ExcludeCorruptMin && p.m_Corrupt > m_Config.m_ExcludeCorruptShare * (p.m_Corrupt + p.m_Good))
        {
            RemoveAllHave(p);
            p.m_Excluded = true;
        }
        return;
    case ChunkOutcome_Busy:
        p.m_PausedUntil = now + m_Config.m_BusyPause;
        return;
    case ChunkOutcome_OverBudget:
        MarkOverBudget(p);
        return;
    case ChunkOutcome_Missing:
        if (p.m_Up)
            RemoveHave(p, chunk);
        return;
    case ChunkOutcome_Failed:
        p.m_PausedUntil = now + m_Config.m_StallPause;
        if (p.m_Up && m_Config.m_ForgetStalled)
            RemoveAllHave(p);
        return;
    }
}

// While the origin is down, no member's share makes progress. The delay before taking over starts again, otherwise all members would read
// the same few chunks at once when the origin is back.
void Exchange::OnOriginFailed(ChunkOutcome outcome, TimePoint now)
{
    m_OriginPausedUntil = now + m_Config.m_OriginPause;
    if (outcome == ChunkOutcome_Failed && m_OwnShareDoneAt)
        m_OwnShareDoneAt = std::max(*m_OwnShareDoneAt, now);
}

std::vector<uint32_t> Exchange::HaveList() const
{
    std::vector<uint32_t> out;
    for (uint32_t c = 0; c < m_Have.size(); c++)
        if (m_Have[c])
            out.push_back(c);
    return out;
}

//-----------------------------------------------------------------------------
// Serving
//-----------------------------------------------------------------------------

ChunkOutcome Exchange::AdmitUpload(uint64_t bytes, bool urgent)
{
    const double budget = m_Config.m_UploadBudgetCopies * static_cast<double>(m_Manifest->m_Size);
    if (!urgent && static_cast<double>(m_BytesUploaded + bytes) > budget)
        return ChunkOutcome_OverBudget;
    if (m_UploadsInFlight >= m_Config.m_UploadSlots)
        return ChunkOutcome_Busy;
    m_UploadsInFlight++;
    m_BytesUploaded += bytes;
    return ChunkOutcome_Good;
}

void Exchange::OnUploadDone(uint64_t bytes, bool sent)
{
    BOOST_ASSERT_MSG(m_UploadsInFlight > 0, "OnUploadDone() without AdmitUpload()");
    m_UploadsInFlight--;
    if (!sent)
        m_BytesUploaded -= bytes;
}

} // namespace aldervale
