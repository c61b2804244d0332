// aldervale: load of the local model server, including requests that are still on their way
//
// Pure logic without I/O or clocks. Input: reservations by routers, reports of the local server and times. Output: the server's present load.
// The box stands beside its server, so its reports are milliseconds old, and it is notified of every request that is about to arrive. Routers
// that decide by reports alone all send to the server that looked best in the last one.
//
// Intended load: 150 routers and 200 servers at nine tenths of their capacity, load that rises by half within seconds, servers that start with
// new weights. When each router decided by reports alone, 8 to 10 in 100 streams were late in calm seconds.
//
// Terms: a place is capacity of a model server for one more concurrent request. A place is reserved from the moment when a router notifies the
// box of a request until a report shows the request at the server.
//
// How it counts:
//   - A router asks a few boxes for their load, and reserves a place at the best one: it notifies that box when it sends the request.
//   - A reservation counts until a report shows its request, which is a report that was requested m_ArrivalMax or more after the reservation.
//     Without reports it expires after m_ExpireAfter. Asking alone reserves nothing: with three queries of three boxes for a request there would
//     be twice as many reservations as requests, and callers were refused at servers with free places.
//   - The time until all prompts are read is summed up from the reservations, since no report contains it, and decreases as time passes.
//   - A reservation keeps nothing free at the server, which may still refuse the request when it arrives.
//
// Usage (src/version/place_answers.cpp):
//   PlaceReservations p(config);
//   p.OnReport(running, waiting, asked_at, now);   // each report of the local server
//   PlaceState s = p.State(now);                   // the answer to a router that asks
//   p.Take(reading_ms, now);                       // a router sends a request

#pragma once
#include "common/clock.h"
#include <cstdint>
#include <vector>

namespace aldervale
{

struct PlaceReservationsConfig
{
    Duration m_ArrivalMax      = milliseconds(10); // from the reservation until the request is seen at the server: connecting and network latency
    Duration m_ExpireAfter     = milliseconds(50); // a reservation that no report shows is dropped after this
    size_t   m_ReservationsMax = 256;              // the oldest are dropped first. 5 requests a second are usual, and all expire within m_ExpireAfter
};

struct PlaceState // load of the local server
{
    uint32_t m_Running  = 0; // requests in the batch, as last reported
    uint32_t m_Waiting  = 0; // requests accepted but not yet in the batch, as last reported
    uint32_t m_Promised = 0; // reserved places: requests that are still on their way
    double   m_UnreadMs = 0; // engine time until all prompts at the server are read
};

class PlaceReservations
{
public:
    explicit PlaceReservations(const PlaceReservationsConfig& cfg = {}) : m_Config(cfg) {}

    void       OnReport(uint32_t running, uint32_t waiting, TimePoint asked_at, TimePoint now);
    PlaceState State(TimePoint now);
    void       Take(double reading_ms, TimePoint now);          // reserves a place; reading_ms: engine time that reading the prompt takes
    void       GiveBack(double reading_ms, TimePoint taken_at); // cancels the reservation made at taken_at: its request will not arrive
    void       Clear();                                         // the server restarted and has no requests

private:
    void RemoveExpired(TimePoint now);

    PlaceReservationsConfig m_Config;          //
    std::vector<TimePoint>  m_ReservedAt;      // times of reservations that no report has shown, oldest first; at most m_Config.m_ReservationsMax
    uint32_t                m_Running = 0;     // as last reported
    uint32_t                m_Waiting = 0;     //
    TimePoint               m_PromptsReadAt{}; // estimated time at which all prompts at the server are read
};

} // namespace aldervale
