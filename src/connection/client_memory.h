// aldervale: memory and connections that a process holds for its clients
//
// Pure. One budget for the bytes of all client connections: requests that are being received, requests and answers that are being processed, and
// answers that their clients haven't read. When it is spent, room is made: of the connections that receive a request or send an answer, the one whose
// bytes times age is greatest is evicted, be it the one that asks for more. What is being processed is never evicted, as it may have run. The last
// part of the budget is for connections that hold little. A bound on the number of connections is kept by the same rule: each counts kConnectionBytes
// in any case, so one that has rested for long goes before a short request that is coming.
//
// Load pattern: a crowd of clients that send much and don't finish their requests, or don't read their answers, beside clients with short requests.
//
// Usage:
//   ClientMemory memory(bytes, connections);
//   MemoryShare  share(memory, [] { ... }, Now());          // of one connection; evicted: to be posted to where it is served
//   switch (share.Resize(bytes, Now())) ...                 // taken before memory is allocated; what has no room is refused
//   if (!share.SetPhase(MemoryPhase_Processing, Now())) ... // evicted before: it is refused, too

#pragma once
#include "common/clock.h"
#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <set>

namespace aldervale
{

constexpr size_t kMemoryPart      = 4; // one part in so many of a process's memory is its budget: it holds much else, and allocators need room
constexpr size_t kSmallShareMax   = 64 * 1024; // bytes up to which a connection may use all of the budget
constexpr size_t kSmallSharePart  = 8;         // one part in so many of the budget is for these
constexpr size_t kConnectionBytes = 4 * 1024;  // that a connection counts in any case when one of too many is to go

constexpr auto kMemoryPoll = milliseconds(1); // between tries of who has to wait for memory

enum MemoryPhase
{
    MemoryPhase_Receiving,  // a request comes, or none does
    MemoryPhase_Processing, // a request came whole and may be run
    MemoryPhase_Sending,    // its answer is complete and is being sent
};

enum MemoryGrant
{
    MemoryGrant_Taken,   //
    MemoryGrant_Wait,    // evicted connections haven't given theirs back yet: to be asked for again in a moment
    MemoryGrant_Refused, // there is no room, or the connection was evicted itself
};

class MemoryShare;

class ClientMemory // any thread
{
public:
    explicit ClientMemory(size_t max, size_t connections_max = SIZE_MAX) : m_Max(max), m_ConnectionsMax(connections_max) {}

    // Connections may take three quarters of the descriptors: the others are for servers, the store and other processes.
    static ClientMemory OfProcess(double mib, size_t descriptors)
    {
        return ClientMemory(static_cast<size_t>(mib * 1024 * 1024) / kMemoryPart, descriptors / 4 * 3);
    }

    size_t   Max() const { return m_Max; }
    size_t   MaxOfLarge() const { return m_Max - m_Max / kSmallSharePart; } // while a connection holds more than kSmallShareMax
    size_t   Held() const;
    uint64_t Refused() const { return m_Refused.load(std::memory_order_relaxed); } // requests for more that found no room
    uint64_t Evicted() const { return m_Evictions.load(std::memory_order_relaxed); }

private:
    friend class MemoryShare;

    void Add(MemoryShare& share, TimePoint now);
    void Remove(MemoryShare& share);

    // m_Mutex is held
    MemoryGrant  MakeRoom(MemoryShare& asking, size_t bytes, TimePoint now);
    MemoryShare* FindVictim(const MemoryShare& asking, double cost, size_t least, TimePoint now) const;
    void         Evict(MemoryShare& victim);

    const size_t           m_Max;               // bytes
    const size_t           m_ConnectionsMax;    //
    mutable std::mutex     m_Mutex;             // guards what follows and what shares hold, but for atomics
    std::set<MemoryShare*> m_Shares;            // of all connections
    size_t                 m_SharesLeaving = 0; // how many of these were evicted
    size_t                 m_Held          = 0; // bytes of all shares
    size_t                 m_Leaving       = 0; // how many of these are of evicted ones, which give them back soon
    std::atomic<uint64_t>  m_Refused{0};        //
    std::atomic<uint64_t>  m_Evictions{0};      //
};

class MemoryShare // of one connection
{
public:
    // `on_evicted` is called at most once, by any thread that asks for memory, and must only post: locks are held. A share may be evicted from the
    // start, when there are too many connections and none can go for it.
    MemoryShare(ClientMemory& memory, std::function<void()> on_evicted, TimePoint now);
    ~MemoryShare();
    MemoryShare(const MemoryShare&)            = delete;
    MemoryShare& operator=(const MemoryShare&) = delete;

    MemoryGrant Resize(size_t bytes, TimePoint now);         // nothing changed unless it was taken; less is always taken
    void        Overdraw(size_t more);                       // in any case: for what has a bound of its own
    void        Release();                                   // all bytes; the next ones begin a new age
    bool        SetPhase(MemoryPhase phase, TimePoint now);  // begins a new age; false: it was evicted
    size_t      Bytes() const { return m_Bytes; }            // on the thread that changes it
    bool        Evicted() const { return m_Evicted.load(); } // never goes back to false

private:
    friend class ClientMemory;

    void Set(size_t bytes); // m_Memory.m_Mutex is held

    ClientMemory&         m_Memory;                        // outlives this
    std::function<void()> m_OnEvicted;                     //
    size_t                m_Bytes = 0;                     //
    MemoryPhase           m_Phase = MemoryPhase_Receiving; //
    TimePoint             m_Since;                         // begin of its age: of this phase, or when it took the first byte in it
    std::atomic<bool>     m_Evicted{false};                //
};

} // namespace aldervale
