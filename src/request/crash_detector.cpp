// Distinguishes crashed servers from broken connections. See crash_detector.h.
#include "request/crash_detector.h"

namespace aldervale
{

namespace
{

constexpr auto kCheckDelay = milliseconds(50);  // the other connections of an exiting process break within this time
constexpr auto kConnectMax = milliseconds(300); // a refusal takes one round trip

} // namespace

void CrashDetector::OnConnectionLost(const ServerLife& life, const Endpoint& address, InterruptedRequest request)
{
    const auto [it, inserted] = m_Pending.try_emplace({life.m_Id, life.m_BornMs});
    it->second.push_back(std::move(request));
    if (inserted)
        asio::co_spawn(
            m_Ioc, [this, life, address] { return CheckServer(life, address); }, asio::detached);
}

awaitable<void> CrashDetector::CheckServer(ServerLife life, Endpoint address)
{
    co_await SleepFor(kCheckDelay);
    const TimePoint started = Now();
    const auto      socket  = co_await ConnectTcp(address, kConnectMax);
    const bool      refused = !socket && Now() - started < kConnectMax;
    const auto      pending = m_Pending.extract({life.m_Id, life.m_BornMs});
    if (refused)
        m_Handler({life, pending.mapped()});
}

} // namespace aldervale
