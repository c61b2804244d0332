// aldervale: callers' requests on a router that talks to backend servers itself, without an agent between
//
// The way of a request, a function each (direct_serve.cpp, direct_attempt.cpp):
//   Identify   route by host and longest prefix, client account by key, deadline
//   Admit      a few boxes are asked for a place, and the server with the shortest predicted time is taken (direct_place.cpp); refused at once,
//              with a time to come back, when none is in time
//   Attempt    one exchange with one server, which only the chosen lifetime of the server may run
//   Relay      whole answers only when they are whole; streams event by event; a resumable stream that breaks goes on at another server
//   Follow     relays an attempt until it ends or its server pauses; one that pauses is set aside with its connection open
//   Another    looks for a server after a failure or a pause; where none takes the request, GoOn() listens to those that pause. The first event from
//   any
//              server ends the attempts at all others
//   LookOn     a begun stream that has lost its server is looked for a place as long as its caller waits
//   Settle     one log line, counters, the answer if none was given yet
//
// "Not run" is said only when every server that the request reached said so itself, or was never reached. A caller who leaves ends the
// exchange at once.
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
#include "request/request_protocol.h"
#include "request/retry.h"
#include "request/routing_world.h"
#include "request/server_choice.h"

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Numbers that a platform renders may be fractions or have an exponent: one read as an integer only ended every router at its start.
struct DirectServeSettings
{
    double  m_RetryRatio        = 0.2;  // retries for each request, over all routers [retry.ratio]
    double  m_RetryExtra        = 100;  // retries beyond that in a window, over all routers [retry.extra]
    int64_t m_ConnectMs         = 300;  // longest wait for a new connection to a backend server [server.connect_ms]
    int64_t m_FirstEventMs      = 2000; // wait for a first event after which the next server is tried [server.first_event_ms]
    int64_t m_NextEventMs       = 1500; // the same between events [server.next_event_ms]
    double  m_WeightsDeadlineMs = 8000; // from naming a version of weights until no older one may begin a request [weights.deadline_ms]
};

std::vector<SettingSpec> DescribeDirectServe(DirectServeSettings& s);

//-----------------------------------------------------------------------------
// [SECTION] DirectServe
//-----------------------------------------------------------------------------

class DirectServe
{
public:
    DirectServe(Daemon& daemon, const DirectServeSettings& s, RoutingWorld& world, const RequestProtocol& protocol);
    ~DirectServe();

    void            UsePlaceChannel(PlaceChannel& places, uint16_t port); // of model servers, at that port; without it reports alone decide
    awaitable<void> Handle(HttpRequest& req, HttpReply& reply);
    void            OnReport(const asio::ip::address& box, const LoadReport& report); // from the agent of the model server at that IP number
    void            OnServersChanged();
    void            SetSettings(const DirectServeSettings& s); // on reload
    uint64_t        InFlight() const;
    ServerLimits&   GetServerLimits();   // synchronized with other routers
    uint32_t        RoutersHint() const; // routers that share the servers, as last reported; 0: unknown
    CrashHistory&   GetCrashHistory();   // synchronized with other routers

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
