// aldervale: detects backend servers that exited with requests in progress
//
// A connection that breaks during a request does not prove that the server crashed: an order to load weights, a drain or a network fault also resets
// connections. A process that exited refuses new connections until it is restarted, which takes several seconds. The detector therefore connects to
// the server's address shortly after the first connection breaks, once for all requests that are interrupted before the check completes. If the
// connection attempt times out, the result is inconclusive and no crash is reported.
//
// Usage:
//   CrashDetector d(ioc, [](const ServerCrash& crash) { ... }); // called only for crashed servers
//   d.OnConnectionLost(incarnation, address, {request_id, suspects});

#pragma once
#include "common/server_life.h"
#include "connection/link.h"
#include "request/crash_history.h"
#include <map>

namespace aldervale
{

struct InterruptedRequest
{
    std::string          m_Id;       // id of the caller's attempt
    std::vector<Suspect> m_Suspects; // what the server may have crashed on, the content first
};

struct ServerCrash
{
    ServerLife                      m_Server;   //
    std::vector<InterruptedRequest> m_Requests; // interrupted requests that this router had sent to the server
};

class CrashDetector // used only on the single thread of the io_context; must outlive the run of the io_context
{
public:
    using Handler = std::function<void(const ServerCrash& crash)>;

    CrashDetector(asio::io_context& ioc, Handler handler) : m_Ioc(ioc), m_Handler(std::move(handler)) {}

    void OnConnectionLost(const ServerLife& incarnation, const Endpoint& address, InterruptedRequest request); // before the answer is complete
    bool CheckPending(std::string_view server) const; // whether a check of a server with this id is pending

private:
    awaitable<void> CheckServer(ServerLife incarnation, Endpoint address);

    using ServerKey = std::pair<std::string, int64_t>; // id and start time

    asio::io_context&                                    m_Ioc;     //
    Handler                                              m_Handler; //
    std::map<ServerKey, std::vector<InterruptedRequest>> m_Pending; // interrupted requests by server, while its check is pending
};

} // namespace aldervale
