// Memory and connections that a process holds for its clients. See client_memory.h.
#include "connection/client_memory.h"

namespace aldervale
{

namespace
{

double Cost(size_t bytes, TimePoint since, TimePoint now)
{
    return static_cast<double>(bytes) * (1 + std::max(0.0, ToSeconds(now - since)) * 1000);
}

} // namespace

size_t ClientMemory::Held() const
{
    std::lock_guard lock(m_Mutex);
    return m_Held;
}

// The connection that costs most, over `cost`; each counts `least` bytes in any case. Null: there is none.
MemoryShare* ClientMemory::FindVictim(const MemoryShare& asking, double cost, size_t least, TimePoint now) const
{
    MemoryShare* victim = nullptr;
    for (MemoryShare* s : m_Shares)
    {
        if (s == &asking || s->m_Phase == MemoryPhase_Processing || s->m_Evicted.load())
            continue;
        const double other = Cost(std::max(least, s->m_Bytes), s->m_Since, now);
        if (other <= cost)
            continue;
        cost   = other;
        victim = s;
    }
    return victim;
}

void ClientMemory::Evict(MemoryShare& victim)
{
    m_Evictions.fetch_add(1, std::memory_order_relaxed);
    m_Leaving += victim.m_Bytes;
    m_SharesLeaving++;
    victim.m_Evicted.store(true);
    victim.m_OnEvicted();
}

MemoryGrant ClientMemory::MakeRoom(MemoryShare& asking, size_t bytes, TimePoint now)
{
    const size_t max    = bytes > kSmallShareMax ? MaxOfLarge() : m_Max;
    const size_t more   = bytes - asking.m_Bytes;
    const bool   yields = asking.m_Phase != MemoryPhase_Processing;
    const double cost   = yields ? Cost(bytes, asking.m_Bytes > 0 ? asking.m_Since : now, now) : 0;
    while (m_Held - m_Leaving + more > max)
    {
        MemoryShare* victim = FindVictim(asking, cost, 0, now);
        if (victim == nullptr)
        {
            m_Refused.fetch_add(1, std::memory_order_relaxed);
            return MemoryGrant_Refused;
        }
        Evict(*victim);
    }
    return m_Held + more > max ? MemoryGrant_Wait : MemoryGrant_Taken;
}

void ClientMemory::Add(MemoryShare& share, TimePoint now)
{
    std::lock_guard lock(m_Mutex);
    m_Shares.insert(&share);
    if (m_Shares.size() - m_SharesLeaving <= m_ConnectionsMax)
        return;
    MemoryShare* victim = FindVictim(share, 0, kConnectionBytes, now);
    Evict(victim != nullptr ? *victim : share);
}

void ClientMemory::Remove(MemoryShare& share)
{
    std::lock_guard lock(m_Mutex);
    share.Set(0);
    m_Shares.erase(&share);
    m_SharesLeaving -= share.m_Evicted.load() ? 1 : 0;
}

MemoryShare::MemoryShare(ClientMemory& memory, std::function<void()> on_evicted, TimePoint now)
    : m_Memory(memory), m_OnEvicted(std::move(on_evicted)), m_Since(now)
{
    m_Memory.Add(*this, now);
}

MemoryShare::~MemoryShare()
{
    m_Memory.Remove(*this);
}

void MemoryShare::Set(size_t bytes)
{
    m_Memory.m_Held += bytes - m_Bytes; // unsigned: also down
    if (m_Evicted.load())
        m_Memory.m_Leaving += bytes - m_Bytes;
    m_Bytes = bytes;
}

MemoryGrant MemoryShare::Resize(size_t bytes, TimePoint now)
{
    std::lock_guard lock(m_Memory.m_Mutex);
    if (bytes > m_Bytes)
    {
        const MemoryGrant grant = m_Evicted.load() ? MemoryGrant_Refused : m_Memory.MakeRoom(*this, bytes, now);
        if (grant != MemoryGrant_Taken)
            return grant;
        if (m_Bytes == 0)
            m_Since = now;
    }
    Set(bytes);
    return MemoryGrant_Taken;
}

void MemoryShare::Overdraw(size_t more)
{
    std::lock_guard lock(m_Memory.m_Mutex);
    Set(m_Bytes + more);
}

void MemoryShare::Release()
{
    std::lock_guard lock(m_Memory.m_Mutex);
    Set(0);
}

bool MemoryShare::SetPhase(MemoryPhase phase, TimePoint now)
{
    std::lock_guard lock(m_Memory.m_Mutex);
    if (m_Evicted.load())
        return false;
    m_Phase = phase;
    m_Since = now;
    return true;
}

} // namespace aldervale
