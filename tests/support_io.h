// For tests with real sockets on loopback: an io_context in threads, waiting for coroutines and conditions, free ports.
#pragma once
#include "process/daemon.h"
#include "support.h"
#include <future>
#include <thread>
#include <unistd.h>

namespace aldervale
{

// A port that nobody listens on. Test programs run beside each other: each takes its ports from a place of its own, below those that the
// system gives to outgoing connections, or another program might have the port before the caller listens on it.
inline Endpoint FreeEndpoint()
{
    constexpr unsigned           kFirst = 10'000; // of the ports used here
    constexpr unsigned           kPorts = 20'000; // up to 30,000: the system's own begin at 32,768
    constexpr unsigned           kEach  = 97;     // ports between the places of two processes with neighbouring ids
    static std::atomic<unsigned> next{static_cast<unsigned>(getpid()) * kEach};
    const auto                   address = asio::ip::make_address("127.0.0.1");
    for (unsigned tries = 0; tries < kPorts; tries++)
    {
        const auto                port = static_cast<uint16_t>(kFirst + next++ % kPorts);
        asio::io_context          ioc;
        tcp::acceptor             a(ioc);
        boost::system::error_code ec;
        a.open(tcp::v4(), ec);
        a.bind(tcp::endpoint(address, port), ec);
        if (!ec)
            return {address, port};
    }
    throw std::runtime_error("no free port");
}

inline DaemonSettings TestSettings(const std::string& name, const std::string& data_centre = "dc")
{
    DaemonSettings s;
    s.m_Name       = name;
    s.m_DataCentre = data_centre;
    return s;
}

// A Daemon whose io_context runs in two threads until the object goes.
struct RunningDaemon
{
    explicit RunningDaemon(const std::string& name, const std::string& data_centre = "dc")
        : m_Daemon(TestSettings(name, data_centre), "test"), m_Work(m_Daemon.Ioc().get_executor())
    {
    }

    ~RunningDaemon() { Stop(); }

    void Run()
    {
        for (int i = 0; i < 2; i++)
            m_Threads.emplace_back([this] { m_Daemon.Ioc().run(); });
    }

    void Stop()
    {
        m_Daemon.Ioc().stop();
        for (std::thread& t : m_Threads)
            t.join();
        m_Threads.clear();
    }

    Daemon                                                     m_Daemon;
    asio::executor_work_guard<asio::io_context::executor_type> m_Work;
    std::vector<std::thread>                                   m_Threads;
};

// Blocks until the coroutine has ended. `make` is called on the coroutine's strand.
template <class T, class MakeT> T Await(asio::io_context& ioc, MakeT make)
{
    std::promise<T> done;
    auto            result = done.get_future();
    const auto      body   = [&]() -> awaitable<void>
    {
        T value = co_await make();
        done.set_value(std::move(value));
    };
    asio::co_spawn(asio::make_strand(ioc), body, asio::detached);
    return result.get();
}

// Waits for a condition that must become true; gives up after a time that only a hang reaches.
template <class ConditionT> bool Eventually(ConditionT condition)
{
    const TimePoint end = Now() + seconds(60);
    while (!condition() && Now() < end)
        std::this_thread::sleep_for(milliseconds(5));
    return condition();
}

} // namespace aldervale
