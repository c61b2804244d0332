// aldervale: what a box knows of requests that are on their way to its model server
//
// Pure: what routers say, reports of the own server and times go in; the server's load as it truly is comes out. The box stands beside its
// server, so its reports are milliseconds old, and it hears of every request that is about to come: many routers that each look at reports
// send to the server that looked best then, and find that others did, too.
//
// The load it answers: 150 routers before 200 servers at nine tenths of what they can do, load that rises by half within seconds, servers that
// start with new weights. 8 to 10 in 100 streams were late in calm seconds when each router decided by reports alone.
//
// How it counts:
//   - A router asks a few boxes for their state, and takes a place at the best: it says so to that box with the request itself.
//   - A place that was taken counts until a report shows its request: one that was asked for m_ArrivalMax after it. Without reports it lapses
//     after m_ExpireAfter. Places that were only asked for don't count: at three questions of three boxes for a request they were twice as many
//     as those taken, and callers were refused at servers with room.
//   - The time that prompts take to be read is counted from the places taken: no report tells it. It passes by itself.
//   - A place keeps nothing free at the server. The request itself is the offer, and the server may still refuse it.
//
// Usage (src/version/place_answers.cpp):
//   PlaceReservations p(config);
//   p.OnReport(running, waiting, asked_at, now);   // each report of the own server
//   PlaceState s = p.State(now);                   // told to routers that ask
//   p.Take(reading_ms, now);                       // one sends a request

#pragma once
#include "common/clock.h"
#include <cstdint>
#include <vector>

namespace aldervale
{

struct PlaceReservationsConfig
{
    Duration m_ArrivalMax      = milliseconds(10); // from a place taken until its request is seen at the server: a connection and the way
    Duration m_ExpireAfter     = milliseconds(50); // of a place that no report shows
    size_t   m_ReservationsMax = 256;              // kept; the oldest lapse first. 5 requests a second are usual, and all lapse within m_ExpireAfter
};

struct PlaceState // of the own server
{
    uint32_t m_Running  = 0; // requests in the batch, as last reported
    uint32_t m_Waiting  = 0; // requests taken, not yet in the batch
    uint32_t m_Promised = 0; // further ones that are on their way
    double   m_UnreadMs = 0; // engine time until all prompts there are read
};

class PlaceReservations
{
public:
    explicit PlaceReservations(const PlaceReservationsConfig& cfg = {}) : m_Config(cfg) {}

    void       OnReport(uint32_t running, uint32_t waiting, TimePoint asked_at, TimePoint now);
    PlaceState State(TimePoint now);
    void       Take(double reading_ms, TimePoint now);          // reading_ms: engine time that the request's prompt takes to be read
    void       GiveBack(double reading_ms, TimePoint taken_at); // a place taken then: no request comes with it
    void       Clear();                                         // the server started again: it holds nothing

private:
    void RemoveExpired(TimePoint now);

    PlaceReservationsConfig m_Config;          //
    std::vector<TimePoint>  m_ReservedAt;      // places whose requests no report has shown, the oldest first; at most m_Config.m_ReservationsMax
    uint32_t                m_Running = 0;     // as last reported
    uint32_t                m_Waiting = 0;     //
    TimePoint               m_PromptsReadAt{}; // when the prompts at the server are read, as counted
};

} // namespace aldervale
