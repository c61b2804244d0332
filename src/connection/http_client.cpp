// HTTP client over Boost.Beast with kept-alive connections per endpoint. See http.h.
#include "connection/http.h"
#include "connection/timed_read.h"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

namespace aldervale
{

namespace beast = boost::beast;
namespace http  = boost::beast::http;

namespace
{

constexpr auto   kNoThrow         = asio::as_tuple(asio::use_awaitable);
constexpr size_t kIdlePerEndpoint = 64;                 // connections kept
constexpr size_t kPieceSize       = 64 * 1024;          // bytes of body read at a time
constexpr size_t kBufferSmall     = 16 * 1024;          // Beast reads no more at once than the buffer has room for, and starts at 512
constexpr size_t kBufferLarge     = 256 * 1024;         // for long and chunked bodies
constexpr auto   kIdleMargin      = milliseconds(1000); // a kept connection is given up this long before its server says it closes it
constexpr auto   kIdleUnknown     = seconds(10);        // how long a connection is kept whose server doesn't say
constexpr auto   kLateHeadMax     = milliseconds(200);  // wait for an answer that was sent before the request was taken whole
constexpr auto   kFlowingMax      = seconds(15);        // that an answer whose bytes keep coming may take beyond its deadline, if that is allowed
constexpr size_t kUnparsedMax     = 64 * 1024;          // bytes of a head, a chunk's size line or trailers
constexpr size_t kLateBytesMax    = 8 * 1024 * 1024;    // read after the deadline: they may have lain in the socket while this process stood still
constexpr size_t kTurnBytes       = 256 * 1024;         // read of one answer until others have their turn
constexpr int    kSkippedMax      = 2;                  // answers to other requests skipped on one connection before it is given up

using ClientStream = beast::basic_stream<tcp, asio::any_io_executor>;

struct Connection
{
    explicit Connection(tcp::socket s) : m_Stream(std::move(s)) { m_Buffer.reserve(kBufferSmall); }

    ClientStream       m_Stream; // on the strand of the coroutine that uses it
    beast::flat_buffer m_Buffer; //
};
using ConnectionPtr = std::unique_ptr<Connection>;

struct IdleSocket
{
    tcp::socket m_Socket; // no operation is pending on it
    TimePoint   m_Since;  // when it was put back
    TimePoint   m_Until;  // when its server may close it
};

bool PeerClosed(tcp::socket& socket) // an idle connection with readable bytes or an end is of no use
{
    char                      byte = 0;
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block && ec != asio::error::try_again;
}

// A cut path or a machine without power says nothing: probes end the connection within some three seconds.
void SetProbes(tcp::socket& socket)
{
    const int fd                = socket.native_handle();
    const int on                = 1;
    const int second            = 1;    // until the first probe, and between probes
    const int unanswered        = 2;    // probes
    const int unacknowledged_ms = 3000; // of bytes that were sent
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &second, sizeof second);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &second, sizeof second);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &unanswered, sizeof unanswered);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms);
}

} // namespace

struct HttpClient::Impl
{
    std::mutex                                     m_Mutex;       // guards m_Idle
    std::map<std::string, std::vector<IdleSocket>> m_Idle;        // by endpoint; newest last
    std::atomic<uint64_t>                          m_Connects{0}; // connections opened

    // A kept connection is moved to the executor of its next user: Beast's streams want all their handlers on one strand.
    std::optional<tcp::socket> TakeIdle(const std::string& key, const asio::any_io_executor& ex, Duration idle_max)
    {
        std::lock_guard lock(m_Mutex);
        auto&           list = m_Idle[key];
        while (!list.empty())
        {
            IdleSocket idle = std::move(list.back());
            list.pop_back();
            const TimePoint now = Now();
            if (now - idle.m_Since >= idle_max || now >= idle.m_Until || PeerClosed(idle.m_Socket))
                continue;
            boost::system::error_code ec;
            const auto                protocol = idle.m_Socket.local_endpoint(ec).protocol();
            const auto                handle   = idle.m_Socket.release(ec);
            return tcp::socket(ex, protocol, handle);
        }
        return std::nullopt;
    }

    void PutIdle(const std::string& key, tcp::socket socket, Duration keep)
    {
        if (keep <= Duration::zero())
            return;
        std::lock_guard lock(m_Mutex);
        auto&           list = m_Idle[key];
        if (list.size() < kIdlePerEndpoint)
            list.push_back({std::move(socket), Now(), Now() + keep});
    }
};

namespace
{

// How long a connection may rest after this answer, from its Keep-Alive field.
Duration KeepFor(const HttpFields& fields)
{
    const std::string_view text = FindField(fields, "Keep-Alive");
    const size_t           at   = text.find("timeout=");
    if (at == std::string_view::npos)
        return kIdleUnknown;
    return seconds(std::atoi(std::string(text.substr(at + 8)).c_str())) - kIdleMargin;
}

// The request was sent, at least in part: it may have run.
Error AnswerError(const std::string& what, const boost::system::error_code& ec)
{
    const ErrorCode code = ec == beast::error::timeout ? ErrorCode_Timeout : ErrorCode_Unavailable;
    return MakeError(code, what + ec.message(), {}, Verdict_MayHaveRun);
}

bool IsClosed(const boost::system::error_code& ec)
{
    return ec == http::error::end_of_stream || ec == asio::error::eof || ec == asio::error::connection_reset || ec == asio::error::broken_pipe;
}

class BeastStream : public HttpStream
{
public:
    BeastStream(std::shared_ptr<HttpClient::Impl> impl, std::string key, ConnectionPtr c, bool kept, HttpCallOptions options)
        : m_Impl(std::move(impl)), m_Key(std::move(key)), m_Connection(std::move(c)), m_Kept(kept), m_Options(std::move(options)),
          m_Timer(m_Connection->m_Stream.get_executor())
    {
        m_Piece.resize(kPieceSize);
        NextAnswer();
        if (m_Options.m_Abort != nullptr)
            m_Options.m_Abort->Arm(this, [this] { CloseSocket(); });
    }

    ~BeastStream() override
    {
        if (m_Options.m_Abort != nullptr)
            m_Options.m_Abort->Disarm(this);
        CloseSocket();
    }

    ClientStream& Stream() { return m_Connection->m_Stream; }

    // The request wasn't sent whole. An answer may still lie in the socket; after a FIN the error would have been broken_pipe.
    void OnSendFailed(const boost::system::error_code& ec)
    {
        m_Reset  = ec != asio::error::broken_pipe;
        m_HeadBy = Now() + kLateHeadMax;
    }

    // Reads heads until one belongs to this request. A surplus answer to an earlier request may lie before it.
    awaitable<Result<bool>> ReadHead(TimePoint quiet_until, TimePoint deadline) override
    {
        const TimePoint           end_at = std::min(deadline, m_HeadBy);
        boost::system::error_code ec;
        while (!m_OwnHead && !ec)
        {
            if (!m_Dropping)
                ec = co_await ParseHead(quiet_until, end_at);
            else if (m_Parser->is_done())
                ec = DropAnswer();
            else
            {
                GiveRoom(); // for the next piece; a parser without room makes no step
                ec = co_await ParseOn(quiet_until, end_at);
            }
        }
        if (ec == kNothingCame)
            co_return false;
        if (ec)
        {
            m_Stale = m_Kept && m_Skipped == 0 && !m_Dropping && !m_Parser->got_some() && IsClosed(ec);
            co_return AnswerError("no answer from " + m_Key + ": ", ec);
        }
        co_return true;
    }

    const HttpResponse& Head() const override { return m_Head; }
    const HttpFields&   Trailers() const override { return m_Trailers; }
    bool                Stale() const override { return m_Stale; }

    using HttpStream::Read;

    awaitable<Result<Piece>> Read(TimePoint quiet_until, TimePoint deadline) override
    {
        if (m_Parser->is_done())
            co_return Done();
        GiveRoom();
        const boost::system::error_code ec = co_await ParseOn(quiet_until, deadline);
        if (ec == kNothingCame)
            co_return Piece{{}, false, true};
        if (ec)
            co_return AnswerError("answer broken off: ", ec);
        const size_t got = m_Piece.size() - m_Parser->get().body().size;
        if (got == 0 && m_Parser->is_done())
            co_return Done();
        co_return Piece{std::string_view(m_Piece.data(), got), false, false};
    }

private:
    using Parser = http::response_parser<http::buffer_body>;

    void NextAnswer()
    {
        m_Parser.emplace();
        m_Parser->header_limit(kUnparsedMax);
        m_Parser->body_limit(boost::none);
    }

    void GiveRoom()
    {
        m_Parser->get().body().data = m_Piece.data();
        m_Parser->get().body().size = m_Piece.size();
    }

    // Until the parser has made a step.
    awaitable<boost::system::error_code> ParseOn(TimePoint quiet_until, TimePoint deadline)
    {
        beast::flat_buffer& buffer = m_Connection->m_Buffer;
        for (;;)
        {
            boost::system::error_code ec = http::error::need_more;
            if (buffer.size() > 0)
                buffer.consume(m_Parser->put(buffer.data(), ec));
            if (ec != http::error::need_more)
                co_return ec == http::error::need_buffer ? boost::system::error_code() : ec;
            if (buffer.size() > kUnparsedMax)
                co_return http::error::buffer_overflow;
            if (m_LateBytes > kLateBytesMax)
                co_return beast::error::timeout;
            if (m_TurnBytes >= kTurnBytes) // a peer that sends faster than its bytes are read never has a read wait
            {
                m_TurnBytes = 0;
                co_await asio::post(Stream().get_executor(), use_awaitable);
            }
            const size_t before = buffer.size();
            ec                  = co_await ReadSome(Stream().socket(), m_Timer, buffer, std::min(quiet_until, deadline));
            if (ec == kNothingCame && Now() >= deadline)
                co_return beast::error::timeout;
            if (ec == asio::error::eof)
                co_return ParseEnd();
            if (ec)
                co_return ec;
            m_LateBytes += Now() >= deadline ? buffer.size() - before : 0;
            m_TurnBytes += buffer.size() - before;
        }
    }

    boost::system::error_code ParseEnd()
    {
        boost::system::error_code ec = http::error::end_of_stream;
        if (m_Reset && m_Parser->need_eof()) // the failed write has taken the socket's error: the reset now reads as an end in order
            return asio::error::connection_reset;
        if (m_Parser->got_some())
            m_Parser->put_eof(ec);
        return ec;
    }

    awaitable<boost::system::error_code> ParseHead(TimePoint quiet_until, TimePoint deadline)
    {
        while (!m_Parser->is_header_done())
        {
            const boost::system::error_code ec = co_await ParseOn(quiet_until, deadline);
            if (ec)
                co_return ec;
        }
        TakeHead();
        if (m_Head.m_Status < 100 || m_Head.m_Status > 599) // Beast takes any three digits
            co_return http::error::bad_status;
        const bool interim = m_Head.m_Status < 200;
        m_OwnHead          = !interim && (!m_Options.m_IsOurs || m_Options.m_IsOurs(m_Head));
        m_Dropping         = !m_OwnHead;
        co_return boost::system::error_code();
    }

    void TakeHead()
    {
        if (m_Parser->content_length().value_or(0) > kPieceSize ||
            (m_Parser->chunked() && !m_Parser->get()[http::field::content_type].starts_with("text/")))
        {
            m_Connection->m_Buffer.reserve(kBufferLarge);
            m_Piece.resize(kBufferLarge);
        }
        m_Head.m_Status = m_Parser->get().result_int();
        m_Head.m_Fields.clear();
        for (const auto& f : m_Parser->get())
            m_Head.m_Fields.push_back({std::string(f.name_string()), std::string(f.value())});
    }

    // After a whole answer to another request: the next one is read, if any may follow on this connection.
    boost::system::error_code DropAnswer()
    {
        if (!m_Parser->keep_alive())
            return http::error::partial_message;
        if (m_Skipped++ == kSkippedMax)
            return http::error::unexpected_body;
        m_Dropping = false;
        NextAnswer();
        return {};
    }

    // Ends an exchange that isn't complete with a reset: bytes of the request that are still held up on the way then don't arrive later.
    void CloseSocket()
    {
        if (!m_Connection)
            return;
        boost::system::error_code ec;
        m_Connection->m_Stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
        m_Connection->m_Stream.socket().close(ec);
    }

    Piece Done()
    {
        if (m_Connection)
        {
            for (const auto& f : m_Parser->get()) // Beast puts trailers behind the head's fields
                if (FindField(m_Head.m_Fields, std::string_view(f.name_string().data(), f.name_string().size())).empty())
                    m_Trailers.push_back({std::string(f.name_string()), std::string(f.value())});
            if (m_Options.m_Keep && m_Parser->keep_alive() && m_Connection->m_Buffer.size() == 0 && Stream().socket().is_open())
                m_Impl->PutIdle(m_Key, Stream().release_socket(), KeepFor(m_Head.m_Fields));
            m_Connection.reset();
        }
        return Piece{{}, true, false};
    }

    std::shared_ptr<HttpClient::Impl> m_Impl;                         //
    std::string                       m_Key;                          // endpoint of m_Connection
    ConnectionPtr                     m_Connection;                   // null once the answer is complete
    bool                              m_Kept;                         // m_Connection was used before
    HttpCallOptions                   m_Options;                      //
    asio::steady_timer                m_Timer;                        // of the wait for bytes
    std::optional<Parser>             m_Parser;                       // of the answer being read
    HttpResponse                      m_Head;                         // of the answer being read, once it is there
    HttpFields                        m_Trailers;                     //
    std::vector<char>                 m_Piece;                        //
    TimePoint                         m_HeadBy    = TimePoint::max(); // ends the wait for the head early
    size_t                            m_LateBytes = 0;                // read after the deadline of their read
    size_t                            m_TurnBytes = 0;                // read since others had their turn
    bool                              m_Reset     = false;            // before a FIN, as the writing of the request showed
    bool                              m_OwnHead   = false;            // m_Head is of the answer to this request
    bool                              m_Dropping  = false;            // the answer being read is to another request
    int                               m_Skipped   = 0;                // answers to other requests
    bool                              m_Stale     = false;            //
};

http::request<http::string_body> ToMessage(const HttpRequest& req, const std::string& host, bool keep)
{
    http::request<http::string_body> msg(http::verb::get, req.m_Target, 11);
    msg.method_string(req.m_Method);
    for (const HttpField& f : req.m_Fields)
        msg.insert(f.m_Name, f.m_Value);
    if (msg.find(http::field::host) == msg.end())
        msg.set(http::field::host, host);
    msg.body() = req.m_Body;
    msg.keep_alive(keep);
    msg.prepare_payload();
    return msg;
}

// One attempt on one connection. Sets `stale` if it was a kept one that ended before a byte was sent.
awaitable<Result<HttpStreamPtr>> SendOn(std::shared_ptr<HttpClient::Impl> impl, std::string key, ConnectionPtr c, bool kept, const HttpRequest& req,
                                        TimePoint deadline, HttpCallOptions options, bool& stale)
{
    http::request<http::string_body> msg = ToMessage(req, key, options.m_Keep);
    c->m_Stream.expires_at(deadline);
    auto answer  = std::make_unique<BeastStream>(impl, key, std::move(c), kept, std::move(options));
    auto [ec, n] = co_await http::async_write(answer->Stream(), msg, kNoThrow);
    stale        = kept && n == 0 && IsClosed(ec);
    if (ec && n == 0)
        co_return MakeError(ErrorCode_Unavailable, "request not sent to " + key + ": " + ec.message(), {}, Verdict_NotRun);
    // A server may answer and close before it has taken the whole request.
    if (ec)
        answer->OnSendFailed(ec);
    co_return HttpStreamPtr(std::move(answer));
}

} // namespace

HttpClient::HttpClient() : m_Impl(std::make_shared<Impl>())
{
}
HttpClient::~HttpClient() = default;

uint64_t HttpClient::Connects() const
{
    return m_Impl->m_Connects.load();
}

awaitable<Result<HttpStreamPtr>> HttpClient::Open(Endpoint to, const HttpRequest& req, TimePoint deadline)
{
    HttpCallOptions options;
    co_return co_await Open(to, req, deadline, options);
}

awaitable<Result<HttpStreamPtr>> HttpClient::Open(Endpoint to, const HttpRequest& req, TimePoint deadline, HttpCallOptions options)
{
    const bool safe = req.m_Method == "GET" || req.m_Method == "HEAD";
    for (;;)
    {
        auto sent = co_await Send(to, req, deadline, options);
        if (!sent)
            co_return sent.error();
        const auto head = co_await sent.value()->ReadHead(deadline, deadline);
        if (head)
            co_return std::move(sent.value());
        const bool again = safe && sent.value()->Stale() && !options.m_Fresh;
        if (!again)
            co_return head.error();
        options.m_Fresh = true;
    }
}

awaitable<Result<HttpStreamPtr>> HttpClient::Send(Endpoint to, const HttpRequest& req, TimePoint deadline, HttpCallOptions options)
{
    const std::string          key = to.ToString();
    const auto                 ex  = co_await asio::this_coro::executor;
    std::optional<tcp::socket> kept;
    const auto                 aborted = [&options] { return options.m_Abort != nullptr && options.m_Abort->Aborted(); };
    if (!options.m_Fresh && !aborted())
        kept = m_Impl->TakeIdle(key, ex, options.m_IdleMax);
    if (kept)
    {
        bool stale = false;
        auto c     = std::make_unique<Connection>(std::move(*kept));
        auto sent  = co_await SendOn(m_Impl, key, std::move(c), true, req, deadline, options, stale);
        if (!stale)
            co_return sent;
    }
    const Duration left   = std::min<Duration>(deadline - Now(), options.m_ConnectMax);
    auto           socket = co_await ConnectTcp(to, left, std::nullopt, options.m_Abort);
    if (!socket)
        co_return socket.error();
    m_Impl->m_Connects++;
    boost::system::error_code ec;
    socket.value().set_option(tcp::no_delay(true), ec);
    if (options.m_Probe)
        SetProbes(socket.value());
    if (aborted())
        co_return MakeError(ErrorCode_Unavailable, "call ended before it was sent to " + key);
    bool ignored = false;
    auto c       = std::make_unique<Connection>(std::move(socket.value()));
    co_return co_await SendOn(m_Impl, key, std::move(c), false, req, deadline, std::move(options), ignored);
}

awaitable<Result<HttpResponse>> HttpClient::Call(Endpoint to, const HttpRequest& req, TimePoint deadline)
{
    HttpCallOptions options;
    co_return co_await Call(to, req, deadline, options);
}

awaitable<Result<HttpResponse>> HttpClient::Call(Endpoint to, const HttpRequest& req, TimePoint deadline, HttpCallOptions options)
{
    const Duration  pause  = options.m_PauseMax;
    const auto      bytes  = options.m_OnBytes;
    const size_t    most   = options.m_BodyMax;
    const TimePoint latest = deadline + kFlowingMax;
    auto            opened = co_await Open(to, req, deadline, std::move(options));
    if (!opened)
        co_return opened.error();
    HttpStreamPtr stream = std::move(opened.value());
    HttpResponse  res    = stream->Head();
    for (;;)
    {
        const TimePoint until = pause > Duration::zero() ? std::max(deadline, std::min(latest, Now() + pause)) : deadline;
        auto            piece = co_await stream->Read(until);
        if (!piece)
            co_return piece.error();
        if (piece.value().m_Done)
            break;
        if (res.m_Body.size() + piece.value().m_Bytes.size() > most)
            co_return MakeError(ErrorCode_Invalid, "answer longer than " + std::to_string(most) + " bytes", {}, Verdict_MayHaveRun);
        res.m_Body.append(piece.value().m_Bytes);
        if (bytes && res.m_Status == 200)
            bytes(res.m_Body.size());
    }
    co_return res;
}

} // namespace aldervale
