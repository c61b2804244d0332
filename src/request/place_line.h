// aldervale: queue of claims for the next free place at a model server
//
// Pure logic without I/O or clocks. Input: claims, the load of the local server (place_promise.h) and times. Output: grants and denials.
//
// Terms: a place is capacity of a model server for one more concurrent request. A claim is a router's request to reserve the next free place;
// a grant reserves it.
//
// Why: when places are scarce, several routers receive the answer "one is free" before the first of their requests arrives. At 1.2 times the
// load that the servers can take, 7 in 100 of the streams that were sent to a server reported to have one free place were late, at 1.4 times 12
// in 100; of those sent to a server with no free place 14 and 25 (router logs, one day each). So the box decides who gets the place.
//
// Intended load: more than the servers can take, for seconds or permanently.
//
// How it decides:
//   - A claim is granted while fewer requests than its m_MaxRequests are at the server or on their way. The place is reserved from then on.
//   - Otherwise the claim waits in the queue for as long as its router allows, and is granted when a place becomes free. The claim with the lowest
//     rank (urgency.h) is granted first, of several the one that expires first; in a full queue it displaces the last one if that has a higher rank.
//     A router has claims at a few boxes and releases the others when one is granted: a waiting request is bound to no server, and the servers' own
//     queues stay empty.
//   - A datagram may come twice. A claim that is queued isn't queued again. One that was granted takes another place, since its router releases one
//     for each grant that it no longer expects.
//   - Where the server's capacity is learned (server_capacity.h) and lower than m_MaxRequests, it takes the place of m_MaxRequests.
//   - A cold server bears few requests a second. The claim says how many, and the box, through which all of them go, counts its grants.
//   - The queue is short: a server of 12 slots frees one about every 130 ms. A claim that can't be served in its time is denied at once.
//
// Usage (src/version/place_answers.cpp):
//   if (queue.Claim(claim, places, now) == ClaimAnswer_Queued) ...
//   for (const SettledClaim& s : queue.Settle(places, now)) Notify(s.m_Claim, s.m_Granted);    // after each report
//   queue.Release(key, places, now);

#pragma once
#include "request/place_promise.h"
#include <deque>
#include <string>

namespace aldervale
{

constexpr unsigned kLastClaimRank = 255; // of a claim that gives way to all others

struct PlaceQueueConfig
{
    size_t   m_QueueMax            = 2;                // claims in the queue
    Duration m_ReleaseWindow       = milliseconds(50); // a grant can be released for this long: as long as a reservation counts without a request
    size_t   m_RememberedGrantsMax = 64;               // newest grants that are remembered for a release
};

struct PlaceClaim
{
    std::string m_Key;              // unique among the claims of all routers
    uint32_t    m_MaxRequests = 1;  // a place is free while fewer requests than this are at the server or on their way
    TimePoint   m_QueuedUntil{};    // denied if not granted by then
    double      m_ReadingMs    = 0; // engine time that reading its prompt takes
    double      m_MaxPerSecond = 0; // not granted while so many were granted in the last second; 0: no such limit
    unsigned    m_Rank         = 0; // lower ranks are granted first
};

enum ClaimAnswer
{
    ClaimAnswer_Granted, // the place is reserved
    ClaimAnswer_Denied,  // no place is free, and the claim isn't queued
    ClaimAnswer_Queued,  // waits in the queue
};

struct SettledClaim
{
    PlaceClaim m_Claim;           //
    bool       m_Granted = false; //
};

class PlaceQueue
{
public:
    explicit PlaceQueue(const PlaceQueueConfig& cfg = {}) : m_Config(cfg) {}

    ClaimAnswer               Claim(const PlaceClaim& claim, PlaceReservations& places, TimePoint now);
    std::vector<SettledClaim> Settle(PlaceReservations& places, TimePoint now); // removes and returns queued claims that are granted or have expired
    std::vector<SettledClaim> DenyAll();                                        // empties the queue, when the server takes no requests
    std::vector<SettledClaim> TakeDisplaced();                                  // claims that were displaced by the last Claim(), to be denied
    void                      Release(const std::string& key, PlaceReservations& places, TimePoint now); // withdraws a queued or granted claim
    void                      SetCapacity(unsigned requests) { m_Capacity = requests; }                  // places granted at most; 0: as claims state
    bool                      Empty() const { return m_Queue.empty(); }

private:
    struct RecentGrant
    {
        std::string m_Key;           //
        double      m_ReadingMs = 0; //
        TimePoint   m_GrantedAt{};   //
    };

    bool IsFree(const PlaceClaim& claim, PlaceReservations& places, TimePoint now) const;
    bool WithinRate(const PlaceClaim& claim, TimePoint now) const;
    void Grant(const PlaceClaim& claim, PlaceReservations& places, TimePoint now);

    PlaceQueueConfig         m_Config;       //
    unsigned                 m_Capacity = 0; // see SetCapacity()
    std::vector<PlaceClaim>  m_Queue;        // lowest rank first, then the earliest expiry; at most m_Config.m_QueueMax
    std::vector<PlaceClaim>  m_Displaced;    // until TakeDisplaced()
    std::vector<RecentGrant> m_RecentGrants; // oldest first; at most m_Config.m_RememberedGrantsMax
    std::deque<TimePoint>    m_GrantedAt;    // in the last second, oldest first, without those that were released
};

} // namespace aldervale
