// Whether the caller of a request is still there while its answer is made. See caller_watch.h.
#include "connection/caller_watch.h"
#include "common/metrics.h"
#include <poll.h>
#include <sys/socket.h>

namespace aldervale
{

namespace
{

constexpr auto kLookEvery  = milliseconds(50);  // at a caller that ended its sending side, or sent more than its request
constexpr auto kEarlyEvery = milliseconds(250); // between early bytes, at least

enum SendingSide
{
    SendingSide_Open,  // and nothing to read
    SendingSide_Bytes, // a further request, sent early
    SendingSide_Ended, //
    SendingSide_Reset, //
};

// The error that the system keeps for the socket. A read doesn't return it once the peer has ended its sending side.
bool HasError(tcp::socket& socket)
{
    int       error = 0;
    socklen_t size  = sizeof error;
    return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

bool EndsBehindUnread(tcp::socket& socket)
{
    pollfd p = {socket.native_handle(), POLLRDHUP, 0};
    return poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

SendingSide SendingSideOf(tcp::socket& socket)
{
    char                      byte = 0;
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    if (!ec)
        return EndsBehindUnread(socket) ? SendingSide_Ended : SendingSide_Bytes;
    if (ec == asio::error::would_block || ec == asio::error::try_again)
        return SendingSide_Open;
    return ec == asio::error::eof ? SendingSide_Ended : SendingSide_Reset;
}

Counter& HalfClosed(std::string_view outcome)
{
    return Metrics().GetCounter("aldervale_half_closed_callers_total", "outcome=\"" + std::string(outcome) + "\"");
}

} // namespace

struct CallerWatch::State
{
    explicit State(tcp::socket& socket) : m_Socket(socket), m_Timer(socket.get_executor()) {}

    tcp::socket&              m_Socket;             // not touched once m_Alive is false
    asio::steady_timer        m_Timer;              // until the next look
    asio::cancellation_signal m_Stop;               // of the wait for bytes
    std::function<void()>     m_OnGone;             //
    EarlyBytes                m_Early;              //
    TimePoint                 m_QuietSince{};       // last write, or when the sending side's end was seen
    TimePoint                 m_EarlyAt{};          // no early byte is sent before
    bool                      m_Alive      = true;  // the watch is there
    bool                      m_Started    = false; //
    bool                      m_Writing    = false; //
    bool                      m_HalfClosed = false; // the end of the sending side was seen
    bool                      m_Gone       = false; // never goes back to false

    // Sends an early byte if one is due. False: the caller is gone.
    bool SendEarly(TimePoint now)
    {
        const std::optional<char> byte = m_Early.Next();
        if (m_Writing || !byte || now < m_EarlyAt)
            return true;
        boost::system::error_code ec;
        m_Socket.send(asio::buffer(&*byte, 1), 0, ec);
        if (ec == asio::error::would_block || ec == asio::error::try_again)
            return true;
        m_Early.OnSent();
        m_EarlyAt = now + std::max<Duration>(kEarlyEvery, (now - m_QuietSince) / 2); // the few bytes there are last for long answers
        return !ec;
    }

    bool DetectGone(SendingSide side, TimePoint now)
    {
        if (side == SendingSide_Reset || HasError(m_Socket))
            return true;
        if (side != SendingSide_Ended)
            return false;
        if (!m_HalfClosed)
            m_QuietSince = now;
        m_HalfClosed = true;
        return !SendEarly(now);
    }

    // Updates m_Gone.
    SendingSide Check()
    {
        const SendingSide side = SendingSideOf(m_Socket);
        if (m_Gone || !DetectGone(side, Now()))
            return side;
        m_Gone = true;
        if (m_HalfClosed)
            HalfClosed("gone").Add(1);
        return side;
    }
};

CallerWatch::CallerWatch(tcp::socket& socket) : m_State(std::make_shared<State>(socket))
{
}

CallerWatch::~CallerWatch()
{
    m_State->m_Alive = false;
    m_State->m_Stop.emit(asio::cancellation_type::all);
    m_State->m_Timer.cancel();
}

void CallerWatch::Start(std::function<void()> on_gone)
{
    m_State->m_OnGone = std::move(on_gone);
    if (std::exchange(m_State->m_Started, true))
        return;
    AwaitBytes(m_State);
}

bool CallerWatch::Gone()
{
    if (!m_State->m_Started)
        Start({});
    m_State->Check();
    return m_State->m_Gone;
}

void CallerWatch::OnAnswered()
{
    if (m_State->m_HalfClosed && !m_State->m_Gone)
        HalfClosed("answered").Add(1);
}

EarlyBytes& CallerWatch::Early()
{
    return m_State->m_Early;
}

void CallerWatch::AwaitBytes(const std::shared_ptr<State>& s)
{
    auto on_readable = [s](const boost::system::error_code& ec)
    {
        if (!ec && s->m_Alive)
            Look(s);
    };
    s->m_Socket.async_wait(tcp::socket::wait_read, asio::bind_cancellation_slot(s->m_Stop.slot(), std::move(on_readable)));
}

void CallerWatch::Look(const std::shared_ptr<State>& s)
{
    const SendingSide side = s->Check();
    if (s->m_Gone)
    {
        const auto on_gone = std::move(s->m_OnGone);
        if (on_gone)
            on_gone();
        return;
    }
    if (side == SendingSide_Open)
    {
        AwaitBytes(s);
        return;
    }
    s->m_Timer.expires_after(kLookEvery);
    s->m_Timer.async_wait(
        [s](const boost::system::error_code& ec)
        {
            if (!ec && s->m_Alive)
                Look(s);
        });
}

CallerWatch::Writing::Writing(CallerWatch& watch) : m_Watch(watch)
{
    m_Watch.m_State->m_Writing = true;
}

CallerWatch::Writing::~Writing()
{
    State& s       = *m_Watch.m_State;
    s.m_Writing    = false;
    s.m_QuietSince = Now();
    s.m_EarlyAt    = s.m_QuietSince + kEarlyEvery;
}

} // namespace aldervale
