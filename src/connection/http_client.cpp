// HTTP client over Boost.Beast with kept-alive connections per endpoint. See http.h.
#include "connection/http.h"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace aldervale
{

namespace beast = boost::beast;
namespace http  = boost::beast::http;

namespace
{

constexpr auto   kNoThrow         = asio::as_tuple(asio::use_awaitable);
constexpr size_t kIdlePerEndpoint = 64;                 // connections kept
constexpr auto   kIdleMax         = seconds(10);        // well below the servers' idle timeout
constexpr size_t kPieceSize       = 64 * 1024;          // bytes of body read at a time
constexpr size_t kBufferSmall     = 16 * 1024;          // Beast reads no more at once than the buffer has room for, and starts at 512
constexpr size_t kBufferLarge     = 256 * 1024;         // for long and chunked bodies
constexpr auto   kConnectMax      = milliseconds(2000); //

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
};

bool PeerClosed(tcp::socket& socket) // an idle connection with readable bytes or an end is of no use
{
    char                      byte = 0;
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block && ec != asio::error::try_again;
}

} // namespace

struct HttpClient::Impl
{
    std::mutex                                     m_Mutex; // guards m_Idle
    std::map<std::string, std::vector<IdleSocket>> m_Idle;  // by endpoint; newest last

    // A kept connection is moved to the executor of its next user: Beast's streams want all their handlers on one strand.
    std::optional<tcp::socket> TakeIdle(const std::string& key, const asio::any_io_executor& ex)
    {
        std::lock_guard lock(m_Mutex);
        auto&           list = m_Idle[key];
        while (!list.empty())
        {
            IdleSocket idle = std::move(list.back());
            list.pop_back();
            if (Now() - idle.m_Since >= kIdleMax || PeerClosed(idle.m_Socket))
                continue;
            boost::system::error_code ec;
            const auto                protocol = idle.m_Socket.local_endpoint(ec).protocol();
            const auto                handle   = idle.m_Socket.release(ec);
            return tcp::socket(ex, protocol, handle);
        }
        return std::nullopt;
    }

    void PutIdle(const std::string& key, tcp::socket socket)
    {
        std::lock_guard lock(m_Mutex);
        auto&           list = m_Idle[key];
        if (list.size() < kIdlePerEndpoint)
            list.push_back({std::move(socket), Now()});
    }
};

namespace
{

class BeastStream : public HttpStream
{
public:
    BeastStream(std::shared_ptr<HttpClient::Impl> impl, std::string key, ConnectionPtr c)
        : m_Impl(std::move(impl)), m_Key(std::move(key)), m_Connection(std::move(c))
    {
        m_Parser.header_limit(64 * 1024);
        m_Parser.body_limit(boost::none);
        m_Piece.resize(kPieceSize);
    }

    awaitable<boost::system::error_code> ReadHead(TimePoint deadline)
    {
        m_Connection->m_Stream.expires_at(deadline);
        auto [ec, n] = co_await http::async_read_header(m_Connection->m_Stream, m_Connection->m_Buffer, m_Parser, kNoThrow);
        if (ec)
            co_return ec;
        if (m_Parser.content_length().value_or(0) > kPieceSize ||
            (m_Parser.chunked() && !m_Parser.get()[http::field::content_type].starts_with("text/")))
        {
            m_Connection->m_Buffer.reserve(kBufferLarge);
            m_Piece.resize(kBufferLarge);
        }
        m_Head.m_Status = m_Parser.get().result_int();
        CopyHead();
        co_return ec;
    }

    const HttpResponse& Head() const override { return m_Head; }
    const HttpFields&   Trailers() const override { return m_Trailers; }

    awaitable<Result<Piece>> Read(TimePoint deadline) override
    {
        if (m_Parser.is_done())
            co_return Done();
        m_Connection->m_Stream.expires_at(deadline);
        m_Parser.get().body().data = m_Piece.data();
        m_Parser.get().body().size = m_Piece.size();
        auto [ec, n]               = co_await http::async_read_some(m_Connection->m_Stream, m_Connection->m_Buffer, m_Parser, kNoThrow);
        if (ec && ec != http::error::need_buffer)
            co_return MakeError(ec == beast::error::timeout ? ErrorCode_Timeout : ErrorCode_Unavailable, "answer broken off: " + ec.message(), {},
                                Verdict_MayHaveRun);
        const size_t got = m_Piece.size() - m_Parser.get().body().size;
        if (got == 0 && m_Parser.is_done())
            co_return Done();
        co_return Piece{std::string_view(m_Piece.data(), got), false};
    }

private:
    void CopyHead()
    {
        for (const auto& f : m_Parser.get())
            m_Head.m_Fields.push_back({std::string(f.name_string()), std::string(f.value())});
    }

    Piece Done()
    {
        if (m_Connection)
        {
            for (const auto& f : m_Parser.get()) // Beast puts trailers behind the head's fields
                if (FindField(m_Head.m_Fields, std::string_view(f.name_string().data(), f.name_string().size())).empty())
                    m_Trailers.push_back({std::string(f.name_string()), std::string(f.value())});
            if (m_Parser.keep_alive() && m_Connection->m_Buffer.size() == 0)
                m_Impl->PutIdle(m_Key, m_Connection->m_Stream.release_socket());
            m_Connection.reset();
        }
        return Piece{{}, true};
    }

    std::shared_ptr<HttpClient::Impl>        m_Impl;       //
    std::string                              m_Key;        // endpoint of m_Connection
    ConnectionPtr                            m_Connection; // null once the answer is complete
    http::response_parser<http::buffer_body> m_Parser;     //
    HttpResponse                             m_Head;       //
    HttpFields                               m_Trailers;   //
    std::vector<char>                        m_Piece;      //
};

// One attempt on one connection. `sent` tells whether a byte may have left.
awaitable<Result<HttpStreamPtr>> OpenOn(std::shared_ptr<HttpClient::Impl> impl, std::string key, ConnectionPtr c, const HttpRequest& req,
                                        TimePoint deadline)
{
    http::request<http::string_body> msg(http::verb::get, req.m_Target, 11);
    msg.method_string(req.m_Method);
    for (const HttpField& f : req.m_Fields)
        msg.insert(f.m_Name, f.m_Value);
    if (msg.find(http::field::host) == msg.end())
        msg.set(http::field::host, key);
    msg.body() = req.m_Body;
    msg.keep_alive(true);
    msg.prepare_payload();
    c->m_Stream.expires_at(deadline);
    ClientStream& stream = c->m_Stream;
    auto          answer = std::make_unique<BeastStream>(impl, key, std::move(c));
    auto [ec, n]         = co_await http::async_write(stream, msg, kNoThrow);
    if (ec && n == 0)
        co_return MakeError(ErrorCode_Unavailable, "request not sent to " + key + ": " + ec.message(), {}, Verdict_NotRun);
    if (ec)
        co_return MakeError(ErrorCode_Unavailable, "request cut off to " + key + ": " + ec.message(), {}, Verdict_MayHaveRun);
    const boost::system::error_code head_ec = co_await answer->ReadHead(deadline);
    if (head_ec)
        co_return MakeError(head_ec == beast::error::timeout ? ErrorCode_Timeout : ErrorCode_Unavailable,
                            "no answer from " + key + ": " + head_ec.message(), {}, Verdict_MayHaveRun);
    co_return HttpStreamPtr(std::move(answer));
}

} // namespace

HttpClient::HttpClient() : m_Impl(std::make_shared<Impl>())
{
}
HttpClient::~HttpClient() = default;

awaitable<Result<HttpStreamPtr>> HttpClient::Open(Endpoint to, const HttpRequest& req, TimePoint deadline)
{
    const std::string          key  = to.ToString();
    const auto                 ex   = co_await asio::this_coro::executor;
    std::optional<tcp::socket> kept = m_Impl->TakeIdle(key, ex);
    if (!kept)
    {
        const Duration left   = std::min<Duration>(deadline - Now(), kConnectMax);
        auto           socket = co_await ConnectTcp(to, left);
        if (!socket)
            co_return socket.error();
        kept.emplace(std::move(socket.value()));
        boost::system::error_code ec;
        kept->set_option(tcp::no_delay(true), ec);
    }
    co_return co_await OpenOn(m_Impl, key, std::make_unique<Connection>(std::move(*kept)), req, deadline);
}

awaitable<Result<HttpResponse>> HttpClient::Call(Endpoint to, const HttpRequest& req, TimePoint deadline)
{
    auto opened = co_await Open(to, req, deadline);
    if (!opened)
        co_return opened.error();
    HttpStreamPtr stream = std::move(opened.value());
    HttpResponse  res    = stream->Head();
    for (;;)
    {
        auto piece = co_await stream->Read(deadline);
        if (!piece)
            co_return piece.error();
        if (piece.value().m_Done)
            break;
        res.m_Body.append(piece.value().m_Bytes);
    }
    co_return res;
}

} // namespace aldervale
