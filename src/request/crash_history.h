// aldervale: history of requests that crash servers, used to block them
//
// Performs no I/O and reads no clock. A request is identified by the hash of its content (request_hash.h), because each attempt of a caller has its
// own id and may reach any router. A server is identified by the hash of its incarnation (one run of the server process).
//
// Blocking rules:
//   - A request is blocked after kCrashesToBlock different servers (incarnations) crashed while running it, unless a server has since answered it
//     completely. A crash also interrupts the other requests at that server; few of these lose three servers, and one complete answer at any router
//     clears them. With 192 requests in flight at 12 servers, 191 x (1 / 12)^3 = 0.11 other requests on average lose the same three servers.
//   - A block ends kInitialBlock after the last crash; the time doubles with each further crash. Then one attempt at a time is let through as
//     a trial, so that the request is served again once the service is fixed. After kTrialsMax trials that crash servers, the block lasts until the
//     record expires.
//
// Records of different routers are merged: the result has the crashes of both records, a crash is cleared if either record says so, and the later
// trial counts. Merging is commutative and idempotent, so each change is sent kSendCount times without acknowledgement, and records of blocked
// requests are resent periodically. The cleared flag is stored for each crash instead of being derived from times, because times are sent as ages and
// shift by the transit time.
//
// Usage:
//   CrashHistory h;
//   h.OnCrash(hash, LifeHash(server), now); h.OnAnswered(hash);
//   if (!h.Empty() && h.CheckBlocked(hash, now)) ...  // refuse; if false, a trial may have started
//   for (const CrashRecord& r : h.TakeChanged()) ...  // send to other routers
//   h.Merge(record, now);                             // received from another router

#pragma once
#include "common/clock.h"
#include "common/server_life.h"
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace aldervale
{

constexpr size_t   kCrashesToBlock      = 3;            // different servers
constexpr size_t   kTrialsMax           = 3;            // trials that crash servers, after which the block lasts until the record expires
constexpr auto     kInitialBlock        = seconds(600); // after the last crash; doubles with each further crash
constexpr auto     kTrialTimeout        = seconds(30);  // time after which the next trial may start if the outcome of the last one is unknown
constexpr auto     kUnblockedRetention  = seconds(600); // of records that are not blocked, after the last crash or trial
constexpr auto     kBlockedRetention    = std::chrono::hours(24); // of blocked records, after the last crash or trial
constexpr size_t   kRecordsMax          = 1024;                   // the oldest record that is not blocked is evicted first
constexpr size_t   kCrashesPerRecordMax = 16;                     // when full, the oldest cleared crash is evicted, else the oldest
constexpr unsigned kSendCount           = 3;                      // times each change is sent; datagrams may be lost

struct ObservedCrash
{
    uint64_t  m_IncarnationHash = 0; // LifeHash() of the server
    TimePoint m_At{};                //
    bool      m_Cleared = false;     // a later complete answer cleared the crash; never reset to false
};

struct CrashRecord // history of one request
{
    uint64_t                   m_Request = 0; // HashRequest()
    std::vector<ObservedCrash> m_Crashes;     // sorted by time; one for each incarnation; at most kCrashesPerRecordMax
    TimePoint                  m_TrialAt{};   // start of the last trial; default value: none

    size_t UnclearedCount() const;
};

enum MergeResult
{
    MergeResult_Unchanged,
    MergeResult_Changed,        // the local record changed
    MergeResult_SenderOutdated, // the local record did not change; the sender lacks cleared flags
};

class CrashHistory // used on one thread
{
public:
    void        OnCrash(uint64_t request, uint64_t incarnation, TimePoint now);
    void        OnAnswered(uint64_t request);                  // a server answered completely; clears earlier crashes
    bool        CheckBlocked(uint64_t request, TimePoint now); // call once before each attempt is sent; starts a trial if one is due
    MergeResult Merge(const CrashRecord& received, TimePoint now);
    void        Expire(TimePoint now);

    bool                     Empty() const { return m_Records.empty(); }
    bool                     IsBlocked(uint64_t request, TimePoint now) const; // like CheckBlocked() without starting a trial
    size_t                   BlockedCount(TimePoint now) const;
    const CrashRecord*       FindRecord(uint64_t request) const;      // null if there is none
    std::vector<CrashRecord> TakeChanged();                           // records that changed locally and must be sent to the other routers
    std::vector<CrashRecord> RecordsToResend() const;                 // records of requests with at least kCrashesToBlock uncleared crashes
    static TimePoint         BlockedUntil(const CrashRecord& record); // default value: not blocked; TimePoint::max(): until the record expires

private:
    struct Entry
    {
        CrashRecord m_Record;        //
        unsigned    m_SendsLeft = 0; // number of times that the record is still to be sent
    };

    Entry& FindOrAdd(uint64_t request, TimePoint now);
    void   EvictOldest(TimePoint now);

    std::unordered_map<uint64_t, Entry> m_Records; // by request hash
};

} // namespace aldervale
