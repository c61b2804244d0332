// HTTP server over Boost.Beast. See http.h.
#include "common/log.h"
#include "common/metrics.h"
#include "connection/http_reply_internal.h"
#include "connection/timed_read.h"
#include <algorithm>
#include <boost/beast/http.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/ioctl.h>

namespace aldervale
{

namespace beast = boost::beast;
namespace http  = boost::beast::http;

constexpr auto   kNoThrow      = asio::as_tuple(asio::use_awaitable);
constexpr size_t kFirstRead    = 4096;              // bytes asked for while a connection is idle
constexpr auto   kAcceptPause  = milliseconds(20);  // after a connection that could not be taken
constexpr auto   kLinger       = seconds(1);        // for a caller to read why its request was refused
constexpr auto   kDeliveryMax  = seconds(8);        // from an answer's last byte until the system alone sees to it
constexpr auto   kDeliveryLook = milliseconds(20);  // between looks whether an answer has been delivered
constexpr auto   kBodyLook     = milliseconds(250); // between looks whether a request whose body is coming is refused
constexpr size_t kReadMost     = 8 * 1024;          // bytes read at once, and of a buffer that rests
constexpr auto   kMemoryRetry  = seconds(1);        // Retry-After of a request that there was no memory for
constexpr auto   kMemoryLog    = seconds(1);        // between log lines about such requests

struct HttpServer::Impl
{
    struct Connection // one that is being served
    {
        Connection(ServerStream* stream, bool idle) : m_Stream(stream), m_Idle(idle) {}

        ServerStream*     m_Stream;                  // null once it ended
        std::atomic<bool> m_Idle;                    // no byte of a request has come since the last answer; written on the stream's strand
        std::atomic<bool> m_Delivering{false};       // the last answer was sent, and the peer hasn't acknowledged all of it
        bool              m_IdleTimeChanged = false; // the read of an idle connection was cancelled to begin with another bound; on the strand
    };

    asio::io_context&                     m_Ioc;                      //
    HttpHandler                           m_Handler;                  //
    HttpHeadCheck                         m_HeadCheck;                // may be empty; set before the first connection
    std::mutex                            m_Mutex;                    // guards m_Config and m_Connections
    HttpServerConfig                      m_Config;                   //
    std::set<std::shared_ptr<Connection>> m_Connections;              // an entry is there as long as its stream
    std::optional<tcp::acceptor>          m_Acceptor;                 // none when not listening; set once, before the first connection
    std::atomic<bool>                     m_Stopping{false};          // never goes back to false
    std::atomic<bool>                     m_Closing{false};           // answers close their connections; never goes back to false
    std::atomic<size_t>                   m_Slow{0};                  // requests that have been coming for longer than m_ReadTimeout
    ClientMemory                          m_OwnMemory{SIZE_MAX};      //
    ClientMemory*                         m_Memory = &m_OwnMemory;    // of all connections; set before the first one
    std::atomic<TimePoint>                m_MemoryLogAt{TimePoint{}}; // no log line about memory before

    Impl(asio::io_context& ioc, const HttpServerConfig& cfg, HttpHandler handler) : m_Ioc(ioc), m_Handler(std::move(handler)), m_Config(cfg) {}

    HttpServerConfig Config()
    {
        std::lock_guard lock(m_Mutex);
        return m_Config;
    }

    void LogMemorySpent()
    {
        static Counter& refused = Metrics().GetCounter("aldervale_clients_without_memory_total");
        refused.Add(1);
        const TimePoint now    = Now();
        TimePoint       log_at = m_MemoryLogAt.load();
        if (now < log_at || !m_MemoryLogAt.compare_exchange_strong(log_at, now + kMemoryLog))
            return;
        LogEvent(Event_ClientMemorySpent,
                 {{"held", m_Memory->Held()}, {"max", m_Memory->Max()}, {"refused", m_Memory->Refused()}, {"evicted", m_Memory->Evicted()}});
    }
};

namespace
{

HttpRequest ToHead(const http::request<http::string_body>& msg, TimePoint begun)
{
    HttpRequest req;
    req.m_Method = std::string(msg.method_string());
    req.m_Target = std::string(msg.target());
    req.m_Fields.reserve(8);
    for (const auto& f : msg)
        req.m_Fields.push_back({std::string(f.name_string()), std::string(f.value())});
    req.m_BegunAt = begun;
    return req;
}

struct ReadRefusal // the answer to a request that isn't read to its end
{
    unsigned                    m_Status = 0;       // 0: none, the connection just ends
    std::string                 m_Message;          //
    std::string                 m_Field;            // part of the request that is at fault
    std::optional<HttpResponse> m_Response{};       // sent in place of one made of the others
    bool                        m_NoMemory = false; // of ClientMemory
};

ReadRefusal RefusalOf(const boost::system::error_code& ec)
{
    if (ec == http::error::header_limit)
        return {431, "request head over its bound", "head"};
    if (ec == http::error::body_limit)
        return {413, "request body over its bound", "body"};
    return {400, "malformed HTTP: " + ec.message(), "head"};
}

ReadRefusal NoMemory()
{
    Error e          = MakeError(ErrorCode_Unavailable, "memory or connections for clients are used up", {}, Verdict_NotRun);
    e.m_RetryAfterMs = ToMs(kMemoryRetry);
    return {503, {}, {}, ErrorResponse(e), true};
}

struct SlowRequestSlot // one of HttpServerConfig::m_SlowMax
{
    SlowRequestSlot(std::atomic<size_t>& count, size_t max) : m_Count(count), m_Allowed(count.fetch_add(1) < max) {}
    ~SlowRequestSlot() { m_Count.fetch_sub(1); }
    SlowRequestSlot(const SlowRequestSlot&)            = delete;
    SlowRequestSlot& operator=(const SlowRequestSlot&) = delete;

    std::atomic<size_t>& m_Count;   //
    bool                 m_Allowed; //
};

using Parser = http::request_parser<http::string_body>;

struct IncomingRequest // on a connection
{
    Parser      m_Parser;            //
    HttpRequest m_Request;           // its head, without trailers, once the parser has it; m_BegunAt is set before
    bool        m_KeepAlive = false; // as its head says
};

// What a request takes once the buffer's bytes are parsed and the next ones are read. A body that comes in chunks doubles its room when it is full.
size_t BytesNeeded(const beast::flat_buffer& buffer, const Parser& parser, size_t head)
{
    const size_t buffered = std::max(buffer.capacity(), buffer.size() + kReadMost);
    if (!parser.is_header_done())
        return buffered + head;
    const std::string& body = parser.get().body();
    size_t             room = std::max<size_t>(body.capacity(), parser.content_length().value_or(0));
    const size_t       full = body.size() + (parser.chunked() ? buffer.size() : 0);
    if (full > room)
        room = std::max(2 * room, full);
    return buffered + room + head;
}

// False: there is no memory for it until then.
awaitable<bool> Reserve(MemoryShare& memory, size_t bytes, TimePoint until)
{
    MemoryGrant grant = memory.Resize(bytes, Now());
    while (grant == MemoryGrant_Wait && Now() < until)
    {
        co_await SleepFor(kMemoryPoll);
        grant = memory.Resize(bytes, Now());
    }
    co_return grant == MemoryGrant_Taken;
}

// Lets other connections have their turn: while a peer sends faster than its bytes are read, no read has to wait.
awaitable<void> Yield(tcp::socket& socket)
{
    const asio::any_io_executor executor = socket.get_executor();
    co_await asio::post(executor, use_awaitable);
}

// Waits for more of a request until `until`. While the server closes, a request whose body is still coming may be refused meanwhile.
awaitable<boost::system::error_code> ReadMore(HttpServer::Impl& impl, tcp::socket& socket, asio::steady_timer& timer, beast::flat_buffer& buffer,
                                              const IncomingRequest& in, TimePoint until, std::optional<HttpResponse>& refused)
{
    const bool in_body = in.m_Parser.is_header_done() && impl.m_HeadCheck;
    for (;;)
    {
        if (in_body && impl.m_Closing.load())
            refused = impl.m_HeadCheck(in.m_Request);
        if (refused)
            co_return boost::system::error_code{};
        const boost::system::error_code ec = co_await ReadSome(socket, timer, buffer, in_body ? std::min(until, Now() + kBodyLook) : until);
        if (ec != kNothingCame || Now() >= until)
            co_return ec;
    }
}

// Limits that are raised while a head comes hold for its request, too; lowered ones only for the next.
void SetLimits(Parser& parser, HttpServerConfig& cfg, const HttpServerConfig& newest)
{
    cfg.m_HeadMax = std::max(cfg.m_HeadMax, newest.m_HeadMax);
    cfg.m_BodyMax = std::max(cfg.m_BodyMax, newest.m_BodyMax);
    parser.header_limit(static_cast<uint32_t>(cfg.m_HeadMax));
    parser.body_limit(cfg.m_BodyMax);
}

// Reads one request, of which some bytes have come. Its head has one bound; its body may take longer as long as it keeps coming.
awaitable<ReadRefusal> ReadWhole(HttpServer::Impl& impl, HttpServerConfig& cfg, tcp::socket& socket, beast::flat_buffer& buffer, IncomingRequest& in,
                                 MemoryShare& memory)
{
    Parser&                        parser   = in.m_Parser;
    const TimePoint                begun    = in.m_Request.m_BegunAt;
    const ReadRefusal              too_slow = {408, "request came too slowly", "body"};
    const TimePoint                head_by  = begun + cfg.m_ReadTimeout;
    const TimePoint                body_by  = std::max(head_by, begun + cfg.m_BodyTimeout);
    asio::steady_timer             timer(socket.get_executor());
    std::optional<SlowRequestSlot> slow;
    size_t                         head = 0; // bytes
    parser.eager(false);
    for (;;)
    {
        const bool reserved = co_await Reserve(memory, BytesNeeded(buffer, parser, head), parser.is_header_done() ? body_by : head_by);
        if (!reserved)
            co_return NoMemory();
        const bool                in_head = !parser.is_header_done();
        boost::system::error_code ec      = http::error::need_more;
        if (in_head)
            SetLimits(parser, cfg, impl.Config());
        if (buffer.size() > 0)
        {
            const size_t parsed = parser.put(buffer.data(), ec);
            buffer.consume(parsed);
            head += in_head ? parsed : 0;
        }
        if (ec && ec != http::error::need_more)
            co_return RefusalOf(ec);
        if (in_head && parser.is_header_done())
        {
            in.m_Request   = ToHead(parser.get(), begun); // Beast adds trailers to the message's fields
            in.m_KeepAlive = parser.get().keep_alive();
            parser.eager(true); // from here on, as the body's memory is known now
            if (!parser.is_done())
                continue;
        }
        if (parser.is_done())
            co_return ReadRefusal{};
        if (!in_head && buffer.size() > cfg.m_HeadMax) // Beast parses a chunk's size line and trailers only once they are whole
            co_return ReadRefusal{431, "chunk size line or trailers over their bound", "body"};
        const TimePoint now = Now();
        if (parser.is_header_done() && now > head_by && !slow)
            slow.emplace(impl.m_Slow, cfg.m_SlowMax);
        if (slow && !slow->m_Allowed)
            co_return too_slow;
        const TimePoint             until = parser.is_header_done() ? std::min(body_by, now + cfg.m_ReadTimeout) : head_by;
        std::optional<HttpResponse> refused;
        ec = co_await ReadMore(impl, socket, timer, buffer, in, until, refused);
        if (refused)
            co_return ReadRefusal{refused->m_Status, {}, {}, std::move(refused), false};
        if (memory.Evicted())
            co_return NoMemory();
        if (ec == kNothingCame && parser.is_header_done())
            co_return too_slow;
        if (ec)
            co_return ReadRefusal{};
        if (parser.is_header_done())
            co_await Yield(socket);
    }
}

// A request that has come and wasn't read yet: closing its connection would reset it.
bool HasUnread(ServerStream& stream)
{
    boost::system::error_code ec;
    return stream.socket().available(ec) > 0 && !ec;
}

// Lingering close: closing a connection with unread bytes resets it, and the caller might lose its answer. Drops what still comes.
awaitable<void> CloseLingering(tcp::socket& socket, Duration longest)
{
    boost::system::error_code ec;
    socket.shutdown(tcp::socket::shutdown_send, ec);
    asio::steady_timer timer(socket.get_executor());
    beast::flat_buffer dropped;
    dropped.reserve(kReadMost);
    for (const TimePoint until = Now() + longest; !ec && Now() < until;)
    {
        ec = co_await ReadSome(socket, timer, dropped, until);
        dropped.clear();
        co_await Yield(socket);
    }
}

// Whether the peer's system has acknowledged all that was sent, the end of the stream included, or can't any more.
bool IsDelivered(tcp::socket& socket)
{
    int       unacknowledged = 0;
    tcp_info  info           = {};
    socklen_t size           = sizeof info;
    const int fd             = socket.native_handle();
    if (ioctl(fd, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0)
        return true;
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state == TCP_CLOSE; // reset
}

// Until then the connection counts as busy: the network of a process may end with it, and take along what is still in the send buffer.
awaitable<void> AwaitDelivery(tcp::socket& socket, TimePoint until, const MemoryShare& memory)
{
    while (!IsDelivered(socket) && Now() < until && !memory.Evicted())
        co_await SleepFor(kDeliveryLook);
}

// Waits for the first byte of a request. The bound on that may change meanwhile, and counts from when the connection came to rest. False: none came.
awaitable<bool> AwaitFirstByte(HttpServer::Impl& impl, HttpServer::Impl::Connection& connection, beast::flat_buffer& buffer,
                               const MemoryShare& memory)
{
    ServerStream&   stream  = *connection.m_Stream;
    const TimePoint rest_at = Now();
    for (;;)
    {
        stream.expires_at(rest_at + impl.Config().m_IdleTimeout);
        connection.m_Idle            = true;
        connection.m_IdleTimeChanged = false;
        auto [ec, n]                 = co_await stream.async_read_some(buffer.prepare(kFirstRead), kNoThrow);
        connection.m_Idle            = false;
        buffer.commit(n);
        if (!ec)
            co_return true;
        if (ec != asio::error::operation_aborted || !connection.m_IdleTimeChanged || impl.m_Closing.load() || memory.Evicted())
            co_return false;
    }
}

// False: the connection ended, or sent something that was answered and closes it. `cfg` is set to what holds for the request, from its first byte on.
awaitable<bool> ReadRequest(HttpServer::Impl& impl, HttpServerConfig& cfg, HttpServer::Impl::Connection& connection, beast::flat_buffer& buffer,
                            IncomingRequest& in, MemoryShare& memory)
{
    ServerStream& stream = *connection.m_Stream;
    Parser&       parser = in.m_Parser;
    if (buffer.size() == 0) // idle: the time for reading counts from the first byte
    {
        const bool came = co_await AwaitFirstByte(impl, connection, buffer, memory);
        if (!came)
            co_return false;
    }
    in.m_Request.m_BegunAt = Now();
    stream.expires_never();
    cfg                 = impl.Config();
    ReadRefusal refusal = co_await ReadWhole(impl, cfg, stream.socket(), buffer, in, memory);
    if (refusal.m_Status == 0 && parser.is_done() && !memory.SetPhase(MemoryPhase_Processing, Now()))
        refusal = NoMemory();
    if (refusal.m_Status == 0)
        co_return parser.is_done();
    if (refusal.m_NoMemory)
        impl.LogMemorySpent();
    std::string().swap(parser.get().body());
    buffer.clear();
    buffer.shrink_to_fit();
    memory.Release();
    BeastReply   bad(stream, cfg, false, impl.m_Closing, memory);
    HttpResponse res = refusal.m_Response ? *refusal.m_Response : ErrorResponse(MakeError(ErrorCode_Invalid, refusal.m_Message, refusal.m_Field));
    res.m_Status     = refusal.m_Status;
    const bool sent  = co_await bad.Send(res);
    // A caller that sends its whole body before it reads has to get through with it. One that was evicted in its head has hardly sent more.
    if (sent && (!refusal.m_NoMemory || parser.is_header_done()))
        co_await CloseLingering(stream.socket(), refusal.m_Response && !refusal.m_NoMemory ? cfg.m_BodyTimeout : Duration(kLinger));
    co_return false;
}

struct Registration // of a connection with its server, for as long as it is served
{
    Registration(HttpServer::Impl& impl, ServerStream& stream)
        : m_Impl(impl), m_Connection(std::make_shared<HttpServer::Impl::Connection>(&stream, true))
    {
        std::lock_guard lock(m_Impl.m_Mutex);
        m_Impl.m_Connections.insert(m_Connection);
    }

    ~Registration()
    {
        std::lock_guard lock(m_Impl.m_Mutex); // CloseAfterAnswer() reads m_Stream under it
        m_Connection->m_Stream = nullptr;     // on the stream's strand: a posted close finds nothing
        m_Impl.m_Connections.erase(m_Connection);
    }

    Registration(const Registration&)            = delete;
    Registration& operator=(const Registration&) = delete;

    HttpServer::Impl&                             m_Impl;       //
    std::shared_ptr<HttpServer::Impl::Connection> m_Connection; //
};

// Ends what the connection waits for: bytes of a request, or for its peer to read.
std::function<void()> CancelOf(std::shared_ptr<HttpServer::Impl::Connection> connection, const asio::any_io_executor& executor)
{
    return [connection = std::move(connection), executor]
    {
        asio::post(executor,
                   [connection]
                   {
                       if (connection->m_Stream != nullptr)
                           connection->m_Stream->cancel();
                   });
    };
}

awaitable<void> ServeConnection(std::shared_ptr<HttpServer::Impl> impl, tcp::socket socket)
{
    boost::system::error_code opt_ec;
    socket.set_option(tcp::no_delay(true), opt_ec);
    ServerStream       stream(std::move(socket));
    HttpServerConfig   cfg = impl->Config();
    beast::flat_buffer buffer;
    buffer.reserve(std::min<size_t>(kReadMost, cfg.m_HeadMax)); // Beast reads no more at once than there is room for
    const Registration registration(*impl, stream);
    MemoryShare        memory(*impl->m_Memory, CancelOf(registration.m_Connection, stream.get_executor()), Now());
    bool               answered = false; // the last request that was read, to its end
    for (;;)
    {
        IncomingRequest in;
        const bool      read = co_await ReadRequest(*impl, cfg, *registration.m_Connection, buffer, in, memory);
        if (!read)
            break;
        HttpRequest req       = std::move(in.m_Request);
        req.m_Body            = std::move(in.m_Parser.get().body());
        const bool keep_alive = in.m_KeepAlive && !impl->m_Stopping.load();
        BeastReply reply(stream, cfg, keep_alive, impl->m_Closing, memory);
        stream.expires_never();
        co_await impl->m_Handler(req, reply);
        answered = reply.Sent() && !reply.Broken();
        if (memory.Evicted())
        {
            impl->LogMemorySpent();
            stream.socket().set_option(asio::socket_base::linger(!answered, 0), opt_ec); // what the system still holds for its peer goes, too
        }
        if (!answered || !reply.HeadKeptAlive() || !memory.SetPhase(MemoryPhase_Receiving, Now()))
            break;
        memory.Release();
        if (buffer.capacity() > kReadMost)
            buffer.shrink_to_fit();
        // A request that came before its caller could know that the connection closes is answered.
        if (impl->m_Closing.load() && buffer.size() == 0 && !HasUnread(stream))
            break;
    }
    memory.Release(); // the system has the rest of the answer
    boost::system::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    if (answered && (buffer.size() > 0 || HasUnread(stream)))
        co_await CloseLingering(stream.socket(), kLinger);
    if (!answered)
        co_return;
    registration.m_Connection->m_Delivering = true;
    co_await AwaitDelivery(stream.socket(), Now() + kDeliveryMax, memory);
}

// A handler that throws loses its own connection only; it is a fault of ours and is logged as one.
void LogEscaped(std::exception_ptr e)
{
    if (!e)
        return;
    try
    {
        std::rethrow_exception(e);
    }
    catch (const std::exception& ex)
    {
        LogEvent(Event_HandlerFailed, {{"what", ex.what()}});
    }
}

awaitable<void> AcceptLoop(std::shared_ptr<HttpServer::Impl> impl)
{
    while (!impl->m_Stopping.load())
    {
        auto strand       = asio::make_strand(impl->m_Ioc);
        auto [ec, socket] = co_await impl->m_Acceptor->async_accept(asio::any_io_executor(strand), kNoThrow);
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
            break;
        if (ec) // out of descriptors, say: let others finish
        {
            co_await SleepFor(kAcceptPause);
            continue;
        }
        asio::co_spawn(
            strand, [impl, s = std::move(socket)]() mutable { return ServeConnection(impl, std::move(s)); }, LogEscaped);
    }
}

} // namespace

HttpServer::HttpServer(asio::io_context& ioc, const HttpServerConfig& cfg, HttpHandler handler)
    : m_Impl(std::make_shared<Impl>(ioc, cfg, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    StopAccepting();
}

void HttpServer::SetMemory(ClientMemory& memory)
{
    m_Impl->m_Memory = &memory;
}

void HttpServer::SetHeadCheck(HttpHeadCheck check)
{
    m_Impl->m_HeadCheck = std::move(check);
}

Status HttpServer::Listen(const Endpoint& at)
{
    auto strand   = asio::make_strand(m_Impl->m_Ioc);
    auto acceptor = ListenTcp(strand, at);
    if (!acceptor)
        return acceptor.error();
    m_Impl->m_Acceptor.emplace(std::move(acceptor.value()));
    asio::co_spawn(
        strand, [impl = m_Impl] { return AcceptLoop(impl); }, asio::detached);
    return Ok();
}

void HttpServer::SetConfig(const HttpServerConfig& cfg)
{
    std::lock_guard lock(m_Impl->m_Mutex);
    const bool      idle_time_changed = cfg.m_IdleTimeout != m_Impl->m_Config.m_IdleTimeout;
    m_Impl->m_Config                  = cfg;
    if (!idle_time_changed)
        return;
    for (const auto& connection : m_Impl->m_Connections)
        asio::post(connection->m_Stream->get_executor(),
                   [connection]
                   {
                       if (connection->m_Stream == nullptr || !connection->m_Idle)
                           return;
                       connection->m_IdleTimeChanged = true;
                       connection->m_Stream->cancel();
                   });
}

void HttpServer::CloseAfterAnswer()
{
    m_Impl->m_Closing.store(true);
    std::lock_guard lock(m_Impl->m_Mutex);
    for (const auto& connection : m_Impl->m_Connections)
        asio::post(connection->m_Stream->get_executor(),
                   [connection]
                   {
                       // Not closed: a read that has its bytes, and whose coroutine hasn't gone on yet, still counts as idle. Its answer went
                       // nowhere.
                       if (connection->m_Stream != nullptr && connection->m_Idle && !HasUnread(*connection->m_Stream))
                           connection->m_Stream->cancel();
                   });
}

size_t HttpServer::Busy() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    const auto      busy = [](const auto& connection) { return !connection->m_Idle.load(); };
    return static_cast<size_t>(std::count_if(m_Impl->m_Connections.begin(), m_Impl->m_Connections.end(), busy));
}

size_t HttpServer::Undelivered() const
{
    std::lock_guard lock(m_Impl->m_Mutex);
    const auto      delivering = [](const auto& connection) { return connection->m_Delivering.load(); };
    return static_cast<size_t>(std::count_if(m_Impl->m_Connections.begin(), m_Impl->m_Connections.end(), delivering));
}

void HttpServer::StopAccepting()
{
    if (m_Impl->m_Stopping.exchange(true) || !m_Impl->m_Acceptor)
        return;
    asio::post(m_Impl->m_Acceptor->get_executor(),
               [impl = m_Impl]
               {
                   boost::system::error_code ec;
                   impl->m_Acceptor->close(ec);
               });
}

} // namespace aldervale
