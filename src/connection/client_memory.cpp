// Memory that a process holds for its clients. See client_memory.h.
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

// Null: nothing can be evicted, or nothing that costs more than what asks for `bytes`.
MemoryShare* ClientMemory::FindVictim(const MemoryShare& asking, size_t bytes, TimePoint now) const
{
    MemoryShare* victim = nullptr;
    const bool   yields = asking.m_Phase != MemoryPhase_Processing;
    double       worst  = yields ? Cost(bytes, asking.m_Bytes > 0 ? asking.m_Since : now, now) : 0;
    for (MemoryShare* s : m_Shares)
    {
        if (s == &asking || s->m_Phase == MemoryPhase_Processing || s->m_Evicted.load())
            continue;
        const double cost = Cost(s->m_Bytes, s->m_Since, now);
        if (cost <= worst)
            continue;
        worst  = cost;
        victim = s;
    }
    return victim;
}

MemoryGrant ClientMemory::MakeRoom(MemoryShare& asking, size_t bytes, TimePoint now)
{
    const size_t max  = bytes > kSmallShareMax ? MaxOfLarge() : m_Max;
    const size_t more = bytes - asking.m_Bytes;
    while (m_Held - m_Leaving + more > max)
    {
        MemoryShare* victim = FindVictim(asking, bytes, now);
        if (victim == nullptr)
        {
            m_Refused.fetch_add(1, std::memory_order_relaxed);
            return MemoryGrant_Refused;
        }
        m_Evictions.fetch_add(1, std::memory_order_relaxed);
        m_Leaving += victim->m_Bytes;
        victim->m_Evicted.store(true);
        victim->m_OnEvicted();
    }
    return m_Held + more > max ? MemoryGrant_Wait : MemoryGrant_Taken;
}

void MemoryShare::Set(size_t bytes)
{
    m_Memory.m_Held += bytes - m_Bytes; // unsigned: also down
    if (m_Evicted.load())
        m_Memory.m_Leaving += bytes - m_Bytes;
    if (bytes == 0)
        m_Memory.m_Shares.erase(this);
    else if (m_Bytes == 0)
        m_Memory.m_Shares.insert(this);
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
    }
    if (m_Bytes == 0)
        m_Since = now;
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
