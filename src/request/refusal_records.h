// aldervale: records of refused requests, by which retries of their callers are recognized
//
// Pure logic without I/O or clocks. Input: fingerprints of requests (RetryFingerprint(), request_hash.h), deadlines and times. Output: whether a
// request was refused before.
//
// Intended load: more requests than the servers can take, from callers with deadlines of their own, so that the time left says nothing
// (return_guess.h). A caller that was refused retries after Retry-After, with a new id and mostly at another router. Such a request has missed its
// latency objective, and each one that is admitted like a first attempt makes a first attempt be refused, which is then late, too: with the pool
// full, one answer in five was late for as long as the load lasted.
//
// How it works:
//   - Each record is kept by one router of the region, which OwnerOf() picks by highest random weight: a router that is lost takes only its own
//     records along. A request costs one question, however many routers there are; the choice of the owner hashes each one's address.
//   - A record identifies one retry: Take() removes it. Two callers with the same request are told apart by the number of records.
//   - A record expires at the deadline of its caller.
//   - Nothing is asked while no request is refused (ShouldAsk()): the balancer spreads callers over the routers, so that under overload every router
//     refuses some or is told of some within a fraction of a second.
//
// Usage:
//   RefusalRecords r;
//   r.Add(fingerprint, deadline, now);                    // at the owner
//   if (r.Take(fingerprint, now)) ...                     // a retry

#pragma once
#include "common/clock.h"
#include "connection/http.h"
#include <set>
#include <span>
#include <unordered_map>

namespace aldervale
{

constexpr size_t kRefusalRecordsMax  = 4096;       // of one router; 600 refusals a second over 13 routers, kept for 6 s, are 280 each
constexpr auto   kRefusalRetention   = seconds(8); // longest time for which a record is kept: callers wait for less
constexpr auto   kRefusalAskInterval = seconds(6); // since the last refusal that is known, for which retries may come

class RefusalRecords // used on one thread
{
public:
    void Add(uint64_t fingerprint, TimePoint until, TimePoint now);
    bool Take(uint64_t fingerprint, TimePoint now); // true: it was refused; the record is removed
    void NoteRefusal(TimePoint now) { m_RefusedAt = now; }

    bool   ShouldAsk(TimePoint now) const { return m_RefusedAt != TimePoint{} && now - m_RefusedAt < kRefusalAskInterval; }
    size_t Count() const { return m_ByExpiry.size(); }

private:
    using Record = std::pair<TimePoint, uint64_t>; // expiry and fingerprint

    void Expire(TimePoint now);
    void Remove(const Record& record);

    std::multiset<Record>                                m_ByExpiry;      // at most kRefusalRecordsMax
    std::unordered_map<uint64_t, std::vector<TimePoint>> m_ByFingerprint; // expiries; the same records
    TimePoint                                            m_RefusedAt{};   // last refusal, here or told by another router; default: none
};

// The router that keeps the record of a request. `routers` is not empty; its order doesn't matter.
Endpoint OwnerOf(uint64_t fingerprint, std::span<const Endpoint> routers);

} // namespace aldervale
