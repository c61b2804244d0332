// Distinguishes crashed servers from broken connections. See crash_detector.h.
#include "request/crash_detector.h"
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace aldervale
{

namespace
{

constexpr auto kCheckDelay     = milliseconds(50);  // within this time the other connections of an exiting process break as well
constexpr auto kConnectTimeout = milliseconds(300); // a refused connection takes one round trip

// Returns true only for ECONNREFUSED. Other failures to connect are inconclusive: this process may be out of file descriptors, or the network may be
// unreachable.
awaitable<bool> IsConnectionRefused(Endpoint address)
{
    using namespace asio::experimental::awaitable_operators;
    const asio::any_io_executor ex = co_await asio::this_coro::executor;
    tcp::socket                 socket(ex);
    asio::steady_timer          timeout(ex, kConnectTimeout);
    const auto result = co_await (socket.async_connect(tcp::endpoint(address.m_Address, address.m_Port), asio::as_tuple(asio::use_awaitable)) ||
                                  timeout.async_wait(asio::as_tuple(asio::use_awaitable)));
    co_return result.index() == 0 && std::get<0>(std::get<0>(result)) == asio::error::connection_refused;
}

} // namespace

bool CrashDetector::CheckPending(std::string_view server) const
{
    const auto it = m_Pending.lower_bound({std::string(server), 0});
    return it != m_Pending.end() && it->first.first == server;
}

void CrashDetector::OnConnectionLost(const ServerLife& incarnation, const Endpoint& address, InterruptedRequest request)
{
    const auto [it, inserted] = m_Pending.try_emplace({incarnation.m_Id, incarnation.m_BornMs});
    it->second.push_back(std::move(request));
    if (inserted)
        asio::co_spawn(
            m_Ioc, [this, incarnation, address] { return CheckServer(incarnation, address); }, asio::detached);
}

awaitable<void> CrashDetector::CheckServer(ServerLife incarnation, Endpoint address)
{
    co_await SleepFor(kCheckDelay);
    const bool refused = co_await IsConnectionRefused(address);
    const auto pending = m_Pending.extract({incarnation.m_Id, incarnation.m_BornMs});
    if (refused)
        m_Handler({incarnation, pending.mapped()});
}

} // namespace aldervale
