// aldervale: many datagrams through one socket, a few at a time
//
// A burst that is sent at once fills the socket's buffer (some 90 datagrams of 1 kB) and a box's link; what comes after it, answers to callers and
// questions for places among it, waits or is dropped, and of the burst itself the end is lost for all receivers alike. So a few go at
// once, and the rest in turn; nothing is dropped while fewer than kQueuedMax wait.
//
// Usage:
//   PacedSender s(socket);
//   s.Send([] { return EncodeFrame(0, message); }, receivers);
//
// A message is encoded as it is sent, not as it begins to wait: it may tell ages, and a process may stand still between the two.
// The socket outlives it; touched on the socket's executor only.

#pragma once
#include "connection/frame.h"
#include "connection/link.h"
#include <deque>

namespace aldervale
{

using asio::ip::udp;

constexpr size_t kPacedBurst = 16;              // datagrams at once, and then every kPacedPause: 3.2 MB/s of 1 kB each, two thirds of a small
constexpr auto   kPacedPause = milliseconds(5); // box's link of 40 Mbit/s; 300 of them take 0.1 s
constexpr size_t kQueuedMax  = 4096;            // datagrams that wait, 1.3 s of sending; more are dropped, and counted

class PacedSender
{
public:
    explicit PacedSender(udp::socket& socket) : m_Socket(socket) {}

    using Message = std::function<FrameBytes()>; // called once for each burst that it is in

    void Send(Message message, std::span<const udp::endpoint> to);

private:
    struct Datagram
    {
        udp::endpoint                  m_To;      //
        std::shared_ptr<const Message> m_Message; // shared by all receivers
    };

    void            SendSome(); // one burst, or less if the socket takes no more now
    awaitable<void> SendRest();

    udp::socket&         m_Socket;          //
    std::deque<Datagram> m_Queue;           // oldest first
    bool                 m_Running = false; // SendRest() is under way
};

} // namespace aldervale
