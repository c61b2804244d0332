// Records of refused requests. See refusal_records.h.
#include "request/refusal_records.h"
#include "common/hash.h"
#include <algorithm>
#include <array>

namespace aldervale
{

void RefusalRecords::Expire(TimePoint now)
{
    while (!m_ByExpiry.empty() && m_ByExpiry.begin()->first <= now)
        Remove(*m_ByExpiry.begin());
}

void RefusalRecords::Remove(const Record& record)
{
    const Record removed = record; // `record` may refer into m_ByExpiry
    m_ByExpiry.erase(m_ByExpiry.find(removed));
    const auto known = m_ByFingerprint.find(removed.second);
    known->second.erase(std::find(known->second.begin(), known->second.end(), removed.first));
    if (known->second.empty())
        m_ByFingerprint.erase(known);
}

void RefusalRecords::Add(uint64_t fingerprint, TimePoint until, TimePoint now)
{
    NoteRefusal(now);
    Expire(now);
    const TimePoint expiry = std::min<TimePoint>(until, now + kRefusalRetention);
    if (expiry <= now)
        return;
    if (m_ByExpiry.size() >= kRefusalRecordsMax)
        Remove(*m_ByExpiry.begin());
    m_ByExpiry.emplace(expiry, fingerprint);
    m_ByFingerprint[fingerprint].push_back(expiry);
}

bool RefusalRecords::Take(uint64_t fingerprint, TimePoint now)
{
    Expire(now);
    const auto known = m_ByFingerprint.find(fingerprint);
    if (known == m_ByFingerprint.end())
        return false;
    Remove({*std::min_element(known->second.begin(), known->second.end()), fingerprint});
    return true;
}

// Once for each request while requests are refused: without allocations, since a region may have hundreds of routers.
static uint64_t WeightOf(uint64_t fingerprint, const Endpoint& router)
{
    const asio::ip::address&        a  = router.m_Address;
    const asio::ip::address_v6      v6 = a.is_v6() ? a.to_v6() : asio::ip::make_address_v6(asio::ip::v4_mapped, a.to_v4());
    const auto                      ip = v6.to_bytes();
    std::array<char, ip.size() + 2> bytes{};
    std::copy(ip.begin(), ip.end(), bytes.begin());
    bytes[ip.size()]     = static_cast<char>(router.m_Port & 0xff);
    bytes[ip.size() + 1] = static_cast<char>(router.m_Port >> 8);
    return Hash64({bytes.data(), bytes.size()}, fingerprint);
}

Endpoint OwnerOf(uint64_t fingerprint, std::span<const Endpoint> routers)
{
    const Endpoint* owner  = nullptr;
    uint64_t        weight = 0;
    for (const Endpoint& router : routers)
    {
        const uint64_t own = WeightOf(fingerprint, router);
        if (owner != nullptr && (own < weight || (own == weight && router < *owner)))
            continue;
        owner  = &router;
        weight = own;
    }
    return *owner;
}

} // namespace aldervale
