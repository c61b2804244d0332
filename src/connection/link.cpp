// Links: framed TCP connections with multiplexed exchanges. See link.h.
#include "connection/link.h"
#include "common/log.h"
#include <boost/assert.hpp>

namespace aldervale
{

namespace
{

constexpr size_t kReadSizeMin = 16 * 1024;  // bytes asked of the socket at a time; grows while reads fill it
constexpr size_t kReadSizeMax = 256 * 1024; // a process has hundreds of links, few of which carry weights
constexpr size_t kWriteGather = 32;         // frames handed to one write

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Mailbox
//-----------------------------------------------------------------------------

void Mailbox::Wake()
{
    asio::dispatch(m_Executor, [self = shared_from_this()] { self->m_Timer.cancel(); });
}

void Mailbox::Push(FrameBuf frame)
{
    {
        std::lock_guard lock(m_Mutex);
        m_Frames.push_back(std::move(frame));
    }
    Wake();
}

void Mailbox::Close()
{
    {
        std::lock_guard lock(m_Mutex);
        m_Closed = true;
    }
    Wake();
}

bool Mailbox::Closed() const
{
    std::lock_guard lock(m_Mutex);
    return m_Closed;
}

awaitable<std::optional<FrameBuf>> Mailbox::Pop(TimePoint deadline)
{
    for (;;)
    {
        {
            std::lock_guard lock(m_Mutex);
            if (!m_Frames.empty())
            {
                std::optional<FrameBuf> frame = std::move(m_Frames.front());
                m_Frames.pop_front();
                co_return frame;
            }
            if (m_Closed)
                co_return std::nullopt;
        }
        if (Now() >= deadline)
            co_return std::nullopt;
        m_Timer.expires_at(deadline);
        co_await m_Timer.async_wait(kNoThrow);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Link
//-----------------------------------------------------------------------------

Link::Link(tcp::socket socket, LinkSide side, const LinkConfig& cfg, LinkHandlers handlers)
    : m_Socket(std::move(socket)), m_Side(side), m_Config(cfg), m_Handlers(std::move(handlers)), m_LastHeard(Now().time_since_epoch().count())
{
}

void Link::Start()
{
    boost::system::error_code ec;
    m_Socket.set_option(tcp::no_delay(true), ec);
    asio::co_spawn(
        m_Socket.get_executor(), [self = shared_from_this()] { return self->ReadLoop(); }, asio::detached);
}

bool Link::Send(FrameBytes frame)
{
    bool overflow = false;
    {
        std::lock_guard lock(m_Mutex);
        if (m_Closed.load())
            return false;
        m_SendQueueSize += frame->size();
        overflow = m_SendQueueSize > m_Config.m_SendQueueMax;
        m_SendQueue.push_back(std::move(frame));
        if (m_Writing && !overflow)
            return true;
        m_Writing = true;
    }
    if (overflow)
    {
        Close();
        return true; // some of the queue may have left
    }
    asio::dispatch(m_Socket.get_executor(), [self = shared_from_this()] { self->Flush(); });
    return true;
}

uint64_t Link::NewExchangeId()
{
    static std::atomic<uint64_t> next{1};
    return next.fetch_add(1) * 2 + (m_Side == LinkSide_Dialled ? 1 : 0);
}

MailboxPtr Link::OpenExchange(asio::any_io_executor ex)
{
    auto box    = std::make_shared<Mailbox>(ex, NewExchangeId());
    bool closed = false;
    {
        std::lock_guard lock(m_Mutex);
        closed = m_Closed.load();
        if (!closed)
            m_Exchanges.emplace(box->Id(), box);
    }
    if (closed)
        box->Close();
    return box;
}

void Link::CloseExchange(uint64_t id)
{
    std::lock_guard lock(m_Mutex);
    m_Exchanges.erase(id);
}

void Link::Close()
{
    asio::post(m_Socket.get_executor(), [self = shared_from_this()] { self->Shutdown(); });
}

size_t Link::Queued() const
{
    std::lock_guard lock(m_Mutex);
    return m_SendQueueSize;
}

LinkPeer Link::Peer() const
{
    std::lock_guard lock(m_Mutex);
    return m_Peer;
}

void Link::SetPeer(LinkPeer peer)
{
    std::lock_guard lock(m_Mutex);
    m_Peer = std::move(peer);
}

void Link::Shutdown()
{
    std::unordered_map<uint64_t, MailboxPtr> exchanges;
    {
        std::lock_guard lock(m_Mutex);
        if (m_Closed.exchange(true))
            return;
        exchanges.swap(m_Exchanges);
    }
    boost::system::error_code ec;
    m_Socket.close(ec);
    for (auto& [id, box] : exchanges)
        box->Close();
    if (m_Handlers.m_OnClose)
        m_Handlers.m_OnClose(shared_from_this());
    m_Handlers = {}; // breaks reference cycles through captured pointers
}

void Link::Dispatch(const FrameBuf& frame)
{
    const uint64_t id  = frame.Get()->exchange();
    const bool     own = id != 0 && (id % 2 == 1) == (m_Side == LinkSide_Dialled);
    if (!own)
    {
        if (m_Handlers.m_OnFrame)
            m_Handlers.m_OnFrame(shared_from_this(), frame);
        return;
    }
    MailboxPtr box;
    {
        std::lock_guard lock(m_Mutex);
        const auto      it = m_Exchanges.find(id);
        if (it != m_Exchanges.end())
            box = it->second;
    }
    if (box)
        box->Push(frame);
    else
        m_Dropped.fetch_add(1); // an answer nobody waits for any more
}

awaitable<void> Link::ReadLoop()
{
    FrameDecoder         decoder;
    std::vector<uint8_t> buf(kReadSizeMin);
    while (!m_Closed.load())
    {
        auto [ec, n] = co_await m_Socket.async_read_some(asio::buffer(buf), kNoThrow);
        if (ec)
            break;
        m_BytesIn.fetch_add(n);
        m_LastHeard.store(Now().time_since_epoch().count());
        decoder.Feed(std::span(buf).first(n));
        if (n == buf.size() && n < kReadSizeMax)
            buf.resize(2 * n);
        FrameBuf    frame;
        FrameStatus status = decoder.Next(frame);
        while (status == FrameStatus_Ok && !m_Closed.load())
        {
            Dispatch(frame);
            status = decoder.Next(frame);
        }
        if (status != FrameStatus_NeedMore && status != FrameStatus_Ok)
        {
            LogEvent(Event_LinkRefused, {{"peer", Peer().m_Name}, {"frame_status", static_cast<int>(status)}});
            break;
        }
    }
    Shutdown();
}

void Link::Flush()
{
    m_Batch.clear();
    {
        std::lock_guard lock(m_Mutex);
        while (!m_SendQueue.empty() && m_Batch.size() < kWriteGather && !m_Closed.load())
        {
            m_SendQueueSize -= m_SendQueue.front()->size();
            m_Batch.push_back(std::move(m_SendQueue.front()));
            m_SendQueue.pop_front();
        }
        m_Writing = !m_Batch.empty();
    }
    if (m_Batch.empty())
        return;
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(m_Batch.size());
    for (const FrameBytes& f : m_Batch)
        buffers.emplace_back(f->data(), f->size());
    const auto written = [self = shared_from_this()](const boost::system::error_code& ec, size_t n)
    {
        self->m_BytesOut.fetch_add(n);
        if (ec)
            self->Shutdown();
        else
            self->Flush();
    };
    asio::async_write(m_Socket, buffers, written);
}

//-----------------------------------------------------------------------------
// [SECTION] Connecting and listening
//-----------------------------------------------------------------------------

std::string Endpoint::ToString() const
{
    return m_Address.to_string() + ":" + std::to_string(m_Port);
}

Result<Endpoint> ParseEndpoint(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return MakeError(ErrorCode_Invalid, "expected IP:PORT, got '" + std::string(text) + "'");
    boost::system::error_code ec;
    const auto                addr = asio::ip::make_address(std::string(text.substr(0, colon)), ec);
    if (ec)
        return MakeError(ErrorCode_Invalid, "expected an IP number before the port in '" + std::string(text) + "'");
    unsigned long port = 0;
    for (const char c : text.substr(colon + 1))
    {
        if (c < '0' || c > '9' || port > 65535)
            return MakeError(ErrorCode_Invalid, "port is not a number in '" + std::string(text) + "'");
        port = port * 10 + static_cast<unsigned long>(c - '0');
    }
    if (port == 0 || port > 65535)
        return MakeError(ErrorCode_Invalid, "port out of range in '" + std::string(text) + "'");
    return Endpoint{addr, static_cast<uint16_t>(port)};
}

namespace
{

struct Connecting // shared with the handler of its time limit, which may run after the coroutine's end
{
    explicit Connecting(const asio::any_io_executor& ex) : m_Socket(ex) {}

    tcp::socket m_Socket;           //
    bool        m_Over     = false; // the coroutine goes on by itself: the handler leaves the socket alone
    bool        m_TimedOut = false; // the handler has closed the socket
};

} // namespace

// When the connection and the limit's end are found together, the coroutine may end before the limit's handler runs. That one must not touch what is
// gone by then: some two of 1,000 routers ended so on a day on which the store went silent.
awaitable<Result<tcp::socket>> ConnectTcp(Endpoint to, Duration timeout, std::optional<asio::any_io_executor> owner, CallAbort* abort)
{
    if (abort != nullptr && abort->Aborted())
        co_return MakeError(ErrorCode_Unavailable, "call ended before it connected to " + to.ToString());
    const asio::any_io_executor ex = co_await asio::this_coro::executor;
    const auto                  c  = std::make_shared<Connecting>(owner ? *owner : ex); // until it is returned only this strand touches the socket
    asio::steady_timer          timer(ex, timeout);
    timer.async_wait(
        [c](boost::system::error_code wait_ec)
        {
            if (wait_ec || c->m_Over)
                return;
            c->m_TimedOut = true;
            c->m_Socket.close(wait_ec);
        });
    const auto close = [c]
    {
        boost::system::error_code ignored;
        c->m_Socket.close(ignored);
    };
    if (abort != nullptr)
        abort->Arm(c.get(), close);
    const auto [ec] = co_await c->m_Socket.async_connect(tcp::endpoint(to.m_Address, to.m_Port), kNoThrow);
    c->m_Over       = true;
    if (abort != nullptr)
        abort->Disarm(c.get());
    timer.cancel();
    if (ec || c->m_TimedOut)
        co_return MakeError(ErrorCode_Unavailable, "can't connect to " + to.ToString());
    co_return std::move(c->m_Socket);
}

Result<tcp::acceptor> ListenTcp(asio::any_io_executor ex, const Endpoint& at)
{
    boost::system::error_code ec;
    tcp::acceptor             acceptor(ex);
    const tcp::endpoint       endpoint(at.m_Address, at.m_Port);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(1024, ec);
    if (ec)
        return MakeError(ErrorCode_Unavailable, "can't listen on " + at.ToString() + ": " + ec.message());
    return acceptor;
}

void CallAbort::Abort()
{
    m_Aborted = true;
    for (const auto& [call, close] : m_Close)
        close();
}

awaitable<void> SleepUntil(TimePoint until, CallAbort& abort)
{
    if (abort.Aborted())
        co_return;
    asio::steady_timer timer(co_await asio::this_coro::executor, until);
    abort.Arm(&timer, [&timer] { timer.cancel(); });
    co_await timer.async_wait(kNoThrow);
    abort.Disarm(&timer);
}

awaitable<void> SleepFor(Duration d)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, d);
    co_await timer.async_wait(kNoThrow);
}

} // namespace aldervale
