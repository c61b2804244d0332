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
        const Digest&   d     = ChunkDigest(m, i);
        Shard&          shard = ShardOf(d);
        std::lock_guard shard_lock(shard.m_Mutex);
        if (!shard.m_Slots.contains(d))
            missing[d] = PlaceOf(m, i).m_Length;
    }
    uint64_t bytes = 0;
    for (const auto& [d, n] : missing)
        bytes += n;
    if (m_Reserved + bytes > m_Max)
        return MakeError(ErrorCode_Limited,
                         "staging bound reached: " + std::to_string(bytes) + " bytes wanted, " + std::to_string(m_Max - m_Reserved) + " free");
    m_Reserved += bytes;
    for (uint32_t i = 0; i < m.m_ChunkCount; i++)
    {
        const Digest&   d     = ChunkDigest(m, i);
        Shard&          shard = ShardOf(d);
        std::lock_guard shard_lock(shard.m_Mutex);
        shard.m_Slots[d].m_Users++;
    }
    return Ok();
}

void Staging::Release(const Manifest& m)
{
    std::lock_guard lock(m_ReserveMutex);
    for (uint32_t i = 0; i < m.m_ChunkCount; i++)
    {
        const Digest&   d     = ChunkDigest(m, i);
        Shard&          shard = ShardOf(d);
        std::lock_guard shard_lock(shard.m_Mutex);
        const auto      it = shard.m_Slots.find(d);
        if (it == shard.m_Slots.end() || --it->second.m_Users > 0)
            continue;
        m_Reserved -= PlaceOf(m, i).m_Length;
        shard.m_Slots.erase(it);
    }
}

bool Staging::Put(const Digest& d, std::vector<uint8_t> bytes)
{
    if (Sha256(bytes) != d)
        return false;
    Shard&          shard = ShardOf(d);
    std::lock_guard lock(shard.m_Mutex);
    const auto      it = shard.m_Slots.find(d);
    if (it != shard.m_Slots.end() && !it->second.m_Bytes)
        it->second.m_Bytes = std::make_shared<const std::vector<uint8_t>>(std::move(bytes));
    return true; // without a reservation the bytes are dropped: the version went while they were on their way
}

ChunkBytes Staging::Get(const Digest& d) const
{
    const Shard&    shard = ShardOf(d);
    std::lock_guard lock(shard.m_Mutex);
    const auto      it = shard.m_Slots.find(d);
    return it == shard.m_Slots.end() ? nullptr : it->second.m_Bytes;
}

uint64_t Staging::Reserved() const
{
    std::lock_guard lock(m_ReserveMutex);
    return m_Reserved;
}

} // namespace aldervale
