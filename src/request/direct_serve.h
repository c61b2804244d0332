// aldervale: serves callers' requests on a router that talks to backend servers directly, without an agent between them
//
// Steps of a request, one function each (direct_serve.cpp, direct_attempt.cpp, direct_place.cpp):
//   Identify                 finds the route by host and longest path prefix and the client account by API key, and computes the deadline
//   Admit                    asks a few boxes for a place (capacity for one more concurrent request at their model server) and chooses the server
//                            with the shortest predicted time; where no server can answer in time it refuses at once, with a Retry-After
//   Attempt                  runs one exchange with one server; only the chosen incarnation of the server may run the request
//   Relay                    forwards a non-streamed answer once it is complete, and a stream event by event
//   RelayUntilStall          relays an attempt until it ends or its server stalls, i.e. sends nothing for too long; a stalled attempt is kept
//                            with its connection open
//   FindNextServer           chooses another server after a failure or a stall; a resumable stream continues there after its last event
//   ReadStalledAttempts      reads from the stalled servers in turn while no other server takes the request; the first event from any server
//                            cancels the attempts at all others
//   FindNextServerWithWait   repeats the search for a stream that has begun and lost its server, for as long as its caller tolerates the wait
//   SendFinalAnswer          sends an answer if none was sent yet; Handle() then writes the counters and one log line
//
// The verdict "not run" is given only if every server that the request reached reported it, or if the request reached none. When a caller
// disconnects, all its exchanges end at once.
//
// Usage (src/programs/platform_router.cpp):
//   DirectServe serve(daemon, settings, world, protocol);
//   co_await serve.Handle(req, reply);
//
// Index of this file:
// [SECTION] Settings
// [SECTION] DirectServe

#pragma once
#include "connection/place_channel.h"
#include "process/daemon.h"
#include "request/crash_history.h"
#include "request/refusal_channel.h"
#include "request/request_protocol.h"
#include "request/retry.h"
#include "request/routing_world.h"
#include "request/server_choice.h"

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// A platform may render numbers as fractions or with an exponent, so values that it renders are doubles: parsing one as an integer stopped every
// router at startup.
struct DirectServeSettings
{
    double  m_RetryRatio        = 0.2;   // retries per request, over all routers [retry.ratio]
    double  m_RetryExtra        = 100;   // additional retries per window of some ten seconds, over all routers [retry.extra]
    int64_t m_ConnectMs         = 300;   // timeout of a new connection to a backend server, ms [server.connect_ms]
    int64_t m_FirstEventMs      = 2000;  // wait for a stream's first event before the next server is tried, ms [server.first_event_ms]
    int64_t m_NextEventMs       = 1500;  // wait between events before the next server is tried, ms [server.next_event_ms]
    bool    m_LearnCapacity     = false; // tell boxes how answers went, and use the capacities that they report in place of slots [capacity.learn]
    double  m_WeightsDeadlineMs = 8000;  // from declaring a version of weights until no older one may start a request, ms [weights.deadline_ms]
};

std::vector<SettingSpec> DescribeDirectServe(DirectServeSettings& s);

//-----------------------------------------------------------------------------
// [SECTION] DirectServe
//-----------------------------------------------------------------------------

class DirectServe
{
public:
    DirectServe(Daemon& daemon, const DirectServeSettings& s, RoutingState& world, const RequestProtocol& protocol);
    ~DirectServe();

    void UsePlaceChannel(PlaceChannel& places, uint16_t port); // asks boxes for places, at that UDP port; without it only load reports decide
    void UseRefusalChannel(RefusalChannel& refusals); // recognizes retries where the time left doesn't tell; without it they count as first attempts
    awaitable<void>             Handle(HttpRequest& req, HttpReply& reply);
    void                        OnReport(const asio::ip::address& box, const LoadReport& report); // load report from the agent on that box
    void                        OnServersChanged();                                               // call also when the declarations changed
    void                        SetSettings(const DirectServeSettings& s);                        // on a reload of the settings file
    uint64_t                    InFlight() const;
    void                        SetEnd(TimePoint at); // the process ends then: requests that can't be answered by then are refused
    std::optional<HttpResponse> RefuseLate(const HttpRequest& head) const; // the refusal of a request whose body is coming; nullopt: none so far
    void                        CutOff();            // the process ends: requests in flight are logged, and answered if their answers weren't begun
    ServerLimits&               GetServerLimits();   // merged with the limits of other routers
    uint32_t                    RoutersHint() const; // number of routers that share the servers, as last reported; 0: unknown
    CrashHistory&               GetCrashHistory();   // merged with the crash records of other routers
    void SetOnTrial(std::function<void()> on_trial); // called as a server has a trial of GetCrashHistory(), to tell other routers

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
