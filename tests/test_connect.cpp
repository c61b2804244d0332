// Connecting with a time limit: the limit's end and the connection may come at the same moment.
#include "connection/link.h"
#include "support_io.h"
#include <deque>
#include <thread>

using namespace aldervale;

namespace
{

constexpr int  kLimits = 24;                 // connections, each with another limit
constexpr auto kResent = milliseconds(1000); // until the system sends the first packet of a connection again that found the listener's queue full

} // namespace

// The connections come when their first packets are sent again, which is also about when their limits end; a thread that is busy then finds both
// together. The handler of a limit ran after the coroutine's end, on a socket that was gone: routers ended with a segmentation fault, some two of
// 1,000 in a day on which the store went silent. AddressSanitizer shows it here.
BOOST_AUTO_TEST_CASE(a_time_limit_that_ends_as_the_connection_comes_touches_nothing_that_is_gone)
{
    asio::io_context ioc;
    const Endpoint   at = FreeEndpoint();
    tcp::acceptor    acceptor(ioc, tcp::endpoint(at.m_Address, at.m_Port));
    acceptor.listen(0);
    std::deque<tcp::socket> in_queue;
    for (int i = 0; i < 2; i++)
    {
        in_queue.emplace_back(ioc).async_connect(tcp::endpoint(at.m_Address, at.m_Port), [](const boost::system::error_code&) {});
    }
    int        ended   = 0;
    const auto connect = [&](int i) -> awaitable<void>
    {
        const auto socket = co_await ConnectTcp(at, kResent + milliseconds(2 * i));
        ended++;
    };
    const auto take = [&]() -> awaitable<void>
    {
        co_await SleepFor(kResent / 2);
        while (ended < kLimits)
        {
            auto [ec, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
            if (ec)
                co_return;
        }
    };
    const auto keep_busy = [&]() -> awaitable<void>
    {
        while (ended < kLimits)
        {
            std::this_thread::sleep_for(milliseconds(40));
            co_await asio::post(ioc, asio::use_awaitable);
        }
        acceptor.close();
        in_queue.clear();
    };
    for (int i = 0; i < kLimits; i++)
        asio::co_spawn(
            asio::make_strand(ioc), [&connect, i] { return connect(i); }, asio::detached);
    asio::co_spawn(ioc, take, asio::detached);
    asio::co_spawn(ioc, keep_busy, asio::detached);
    ioc.run();
    BOOST_TEST(ended == kLimits);
}

BOOST_AUTO_TEST_CASE(a_connection_that_nobody_takes_ends_with_its_time_limit)
{
    asio::io_context ioc;
    bool             ended = false;
    const Endpoint   at    = FreeEndpoint(); // nobody listens: refused, or out of time
    asio::co_spawn(
        asio::make_strand(ioc),
        [&]() -> awaitable<void>
        {
            const auto socket = co_await ConnectTcp(at, milliseconds(50));
            BOOST_TEST(!socket.has_value());
            ended = true;
        },
        asio::detached);
    ioc.run();
    BOOST_TEST(ended);
}
