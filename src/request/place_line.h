// aldervale: who gets the next place at a model server
//
// Pure: claims, what is known of the own server (place_promise.h) and times go in; grants and refusals come out. When places are scarce, an
// answer that says "one is free" is heard by several routers before the first of their requests is there: at 1.2 times of what the servers can
// do 7 in 100 streams that were sent to a server with one place left, as they were told, came too late, at 1.4 times 12 in 100; of those sent to
// a server with none left 14 and 25 (routers' logs, one day each). So the box says whose place it is.
//
// The load it answers: more than the servers can do, for seconds or for good.
//
// How it decides:
//   - A claim is granted while fewer requests than it names are at the server or on their way. The place counts as taken from then on.
//   - Else it stands in line for as long as its router said, and is granted when a place gets free; the one that can wait least goes first.
//     Its router has claims at a few boxes and lets go of the others when one grants: it is bound to no server while it waits, and the queue of
//     each server stays empty.
//   - The line is short: a server of 12 slots frees one in some 130 ms. Who can't be served within its time is told at once.
//
// Usage (src/version/place_answers.cpp):
//   if (queue.Claim(claim, places, now) == ClaimAnswer_Queued) ...
//   for (const SettledClaim& s : queue.Settle(places, now)) Tell(s.m_Claim, s.m_Granted);       // after each report
//   queue.Release(key, places, now);

#pragma once
#include "request/place_promise.h"
#include <string>

namespace aldervale
{

struct PlaceQueueConfig
{
    size_t   m_QueueMax            = 2;                // claims in line
    Duration m_ReleaseWindow       = milliseconds(50); // a grant can be given back for this long: as long as its place counts without a request
    size_t   m_RememberedGrantsMax = 64;               // grants remembered for that, the newest
};

struct PlaceClaim
{
    std::string m_Key;             // of the claim, unique among routers
    uint32_t    m_MaxRequests = 1; // a place is free while fewer requests are there
    TimePoint   m_QueuedUntil{};   // stands in line until then
    double      m_ReadingMs = 0;   // engine time that its prompt takes to be read
};

enum ClaimAnswer
{
    ClaimAnswer_Granted, // the place is taken with it
    ClaimAnswer_Denied,  // there is none, and it doesn't stand in line
    ClaimAnswer_Queued,  // stands in line
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
    std::vector<SettledClaim> Settle(PlaceReservations& places, TimePoint now); // those of the line that are granted now, or whose time is over
    std::vector<SettledClaim> DenyAll();                                        // the server takes nothing now
    void                      Release(const std::string& key, PlaceReservations& places, TimePoint now);
    bool                      Empty() const { return m_Queue.empty(); }

private:
    struct RecentGrant
    {
        std::string m_Key;           //
        double      m_ReadingMs = 0; //
        TimePoint   m_GrantedAt{};   //
    };

    bool IsFree(const PlaceClaim& claim, PlaceReservations& places, TimePoint now) const;
    void Grant(const PlaceClaim& claim, PlaceReservations& places, TimePoint now);

    PlaceQueueConfig         m_Config;       //
    std::vector<PlaceClaim>  m_Queue;        // those that can wait least first; at most m_Config.m_QueueMax
    std::vector<RecentGrant> m_RecentGrants; // lately, the oldest first; at most m_Config.m_RememberedGrantsMax
};

} // namespace aldervale
