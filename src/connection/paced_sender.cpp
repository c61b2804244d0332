// Datagrams in turn. See paced_sender.h.
#include "connection/paced_sender.h"
#include "common/metrics.h"

namespace aldervale
{

void PacedSender::Send(Message message, std::span<const udp::endpoint> to)
{
    static Counter& dropped = Metrics().GetCounter("aldervale_datagrams_dropped_total");
    const auto      shared  = std::make_shared<const Message>(std::move(message));
    for (const udp::endpoint& receiver : to)
    {
        if (m_Queue.size() < kQueuedMax)
        {
            m_Queue.push_back({receiver, shared});
            continue;
        }
        dropped.Add(1);
    }
    if (m_Running || m_Queue.empty())
        return;
    SendSome();
    if (m_Queue.empty())
        return;
    m_Running = true;
    asio::co_spawn(
        m_Socket.get_executor(), [this] { return SendRest(); }, asio::detached);
}

void PacedSender::SendSome()
{
    const Message* encoded = nullptr;
    FrameBytes     frame;
    for (size_t i = 0; i < kPacedBurst && !m_Queue.empty(); i++)
    {
        const Datagram& d = m_Queue.front();
        if (d.m_Message.get() != encoded)
            frame = (*d.m_Message)();
        encoded = d.m_Message.get();
        boost::system::error_code ec;
        m_Socket.send_to(asio::buffer(frame->data() + kFramePrefixLen, frame->size() - kFramePrefixLen), d.m_To, 0, ec);
        if (ec == asio::error::would_block)
            return;
        m_Queue.pop_front(); // whoever can't be reached misses it, and sees the gap
    }
}

awaitable<void> PacedSender::SendRest()
{
    while (!m_Queue.empty() && m_Socket.is_open())
    {
        co_await SleepFor(kPacedPause);
        SendSome();
    }
    m_Running = false;
}

} // namespace aldervale
