// aldervale: how a router asks the boxes of model servers for a place
//
// One datagram to each box asked, one back from each; no connection and no retry. Who waits goes on when all have answered, kPlaceFurtherMax after
// the first answer, or after kPlaceAnswerMax without any: a box that is frozen, cut off or overloaded costs a request no more than that.
//
// Where places are scarce a router claims one at a few boxes (place_line.h). Boxes that are silent for kPlaceAnswerMax longer than a claim may stand
// in line cost the caller that; a grant that comes too late is given back.
//
// Usage (src/request/direct_place.cpp):
//   std::vector<PlaceAnswer> answers = co_await channel.Ask(boxes);
//   channel.Take(box, reading_ms);             // where the request goes
//   auto granted = co_await channel.Claim(boxes, wanted, abort); // in its place: nobody else gets this place

#pragma once
#include "connection/load_channel.h"
#include <map>
#include <optional>
#include <unordered_map>

namespace aldervale
{

constexpr auto kPlaceAnswerMax  = milliseconds(15); // without any answer: of an objective of 400 to 600 ms; an answer takes 1 to 4 ms
constexpr auto kPlaceFurtherMax = milliseconds(4);  // for more after the first one: the way to another region and back takes 2 to 3 ms

struct PlaceWanted
{
    uint32_t                   m_Most = 1;          // a place is free while fewer requests are there
    Duration                   m_Wait{};            // in line, at most
    double                     m_ReadingMs    = 0;  // as for Take()
    unsigned                   m_Rank         = 0;  // claims with a lower rank are granted first
    std::map<Endpoint, double> m_MaxPerSecond = {}; // places that a box may grant in a second; a box that isn't in it has no such limit
};

struct ClaimOutcome
{
    std::optional<asio::ip::address> m_Granted;       // the first box that granted a place
    bool                             m_Heard = false; // some box answered: without a grant there is no place
};

struct PlaceAnswer
{
    asio::ip::address m_Box;   //
    LoadReport        m_State; // m_Promised and m_UnreadMs are told
};

class PlaceChannel // touched on one thread
{
public:
    PlaceChannel(asio::io_context& ioc, LoadListener& datagrams);

    awaitable<std::vector<PlaceAnswer>> Ask(std::vector<Endpoint> boxes);
    void                                Take(const Endpoint& box, double reading_ms);
    void                                Tell(const Endpoint& box, const ServedOutcome& outcome); // how an answer of its server went

    // The place is taken with the grant; the other boxes are let go, and all are when it is aborted first.
    awaitable<ClaimOutcome> Claim(std::vector<Endpoint> boxes, PlaceWanted wanted, CallAbort& abort);

private:
    struct Asked // by one request; lives in its Ask()
    {
        Asked(asio::io_context& ioc, size_t boxes) : m_Timer(ioc), m_Boxes(boxes) {}

        asio::steady_timer       m_Timer;   //
        size_t                   m_Boxes;   // asked
        std::vector<PlaceAnswer> m_Answers; // at most m_Boxes
    };

    struct Claiming // by one request; lives in its Claim()
    {
        Claiming(asio::io_context& ioc, size_t boxes) : m_Timer(ioc), m_Open(boxes) {}

        asio::steady_timer m_Timer;   //
        size_t             m_Open;    // boxes that haven't said no
        ClaimOutcome       m_Outcome; // so far
    };

    void OnGrant(uint64_t number, const Endpoint& box, bool granted);
    void OnAnswer(uint64_t number, const Endpoint& box, const LoadReport& state);

    asio::io_context&                    m_Ioc;        //
    LoadListener&                        m_Datagrams;  //
    uint64_t                             m_Number = 0; // of the last question
    std::unordered_map<uint64_t, Asked*> m_Asked;      // by number; those whose Ask() waits

    std::unordered_map<uint64_t, Claiming*> m_Claiming; // the same for Claim()
};

} // namespace aldervale
