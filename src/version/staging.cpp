// Staging memory. See staging.h.
#include "version/staging.h"

namespace aldervale
{

Status Staging::Reserve(const Manifest& m)
{
    std::lock_guard            lock(m_ReserveMutex);
    std::map<Digest, uint64_t> missing;
    for (uint32_t i = 0; i < m.m_ChunkCount; i++)
    {
        const Digest&   d      = ChunkDigest(m, i);
        Stripe&         stripe = StripeOf(d);
        std::lock_guard stripe_lock(stripe.m_Mutex);
        if (!stripe.m_Entries.contains(d))
            missing[d] = LocateChunk(m, i).m_Length;
    }
    uint64_t bytes = 0;
    for (const auto& [d, n] : missing)
        bytes += n;
    if (m_ReservedBytes + bytes > m_MaxBytes)
        return MakeError(ErrorCode_Limited, "staging limit exceeded: " + std::to_string(bytes) + " bytes needed, " +
                                                std::to_string(m_MaxBytes - m_ReservedBytes) + " free");
    m_ReservedBytes += bytes;
    for (uint32_t i = 0; i < m.m_ChunkCount; i++)
    {
        const Digest&   d      = ChunkDigest(m, i);
        Stripe&         stripe = StripeOf(d);
        std::lock_guard stripe_lock(stripe.m_Mutex);
        stripe.m_Entries[d].m_Versions++;
    }
    return Ok();
}

void Staging::Release(const Manifest& m)
{
    std::lock_guard lock(m_ReserveMutex);
    for (uint32_t i = 0; i < m.m_ChunkCount; i++)
    {
        const Digest&   d      = ChunkDigest(m, i);
        Stripe&         stripe = StripeOf(d);
        std::lock_guard stripe_lock(stripe.m_Mutex);
        const auto      it = stripe.m_Entries.find(d);
        if (it == stripe.m_Entries.end() || --it->second.m_Versions > 0)
            continue;
        m_ReservedBytes -= LocateChunk(m, i).m_Length;
        stripe.m_Entries.erase(it);
    }
}

bool Staging::Put(const Digest& d, std::vector<uint8_t> bytes)
{
    if (Sha256(bytes) != d)
        return false;
    Stripe&         stripe = StripeOf(d);
    std::lock_guard lock(stripe.m_Mutex);
    const auto      it = stripe.m_Entries.find(d);
    if (it != stripe.m_Entries.end() && !it->second.m_Bytes)
        it->second.m_Bytes = std::make_shared<const std::vector<uint8_t>>(std::move(bytes));
    return true; // without a reservation the bytes are dropped: the version was released while they were being fetched
}

ChunkBytes Staging::Get(const Digest& d) const
{
    const Stripe&   stripe = StripeOf(d);
    std::lock_guard lock(stripe.m_Mutex);
    const auto      it = stripe.m_Entries.find(d);
    return it == stripe.m_Entries.end() ? nullptr : it->second.m_Bytes;
}

uint64_t Staging::ReservedBytes() const
{
    std::lock_guard lock(m_ReserveMutex);
    return m_ReservedBytes;
}

} // namespace aldervale
