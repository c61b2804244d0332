// The answer to one request on a caller's connection, by Boost.Beast. See http.h.
#include "connection/http_reply_internal.h"
#include <boost/beast/http.hpp>
#include <boost/beast/http/span_body.hpp>

namespace aldervale
{

namespace http = boost::beast::http;

namespace
{

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

template <class MessageT> void CopyFields(const HttpFields& from, MessageT& to)
{
    for (const HttpField& f : from)
        to.insert(f.m_Name, f.m_Value);
}

template <class SerializerT> void SkipBytes(SerializerT& rest, size_t bytes)
{
    if (bytes == 0)
        return;
    boost::system::error_code ec;
    rest.next(ec, [](boost::system::error_code&, const auto&) {});
    rest.consume(bytes);
}

} // namespace

BeastReply::BeastReply(ServerStream& stream, const HttpServerConfig& cfg, bool keep_alive, const std::atomic<bool>& closing, MemoryShare& memory)
    : m_Stream(stream), m_Config(cfg), m_KeepAlive(keep_alive), m_Closing(closing), m_Memory(memory), m_Watch(stream.socket())
{
}

awaitable<bool> BeastReply::Send(const HttpResponse& res)
{
    using Body = http::span_body<const char>; // of `res`: a long answer is held once
    http::response<Body> msg(http::int_to_status(res.m_Status), 11);
    msg.result(res.m_Status);
    CopyFields(res.m_Fields, msg);
    msg.body() = Body::value_type(res.m_Body.data(), res.m_Body.size());
    msg.keep_alive(KeepAlive());
    msg.prepare_payload();
    m_Sent = true;
    if (res.m_Body.size() > m_Memory.Bytes()) // made here, not held before
        m_Memory.Overdraw(res.m_Body.size() - m_Memory.Bytes());
    m_Memory.SetPhase(MemoryPhase_Sending, Now());
    const CallerWatch::Writing      writing(m_Watch);
    http::response_serializer<Body> rest(msg);
    SkipBytes(rest, m_Watch.Early().HeadBytes());
    m_Watch.Early().OnHead(false);
    while (!rest.is_done()) // each write has its own time: a caller that reads on a narrow link is not one that doesn't read
    {
        m_Stream.expires_after(m_Config.m_SendTimeout);
        const auto [ec, n] = co_await http::async_write_some(m_Stream, rest, kNoThrow);
        if (ec)
            co_return Outcome(ec);
    }
    m_Watch.OnAnswered();
    co_return true;
}

awaitable<bool> BeastReply::Start(unsigned status, const HttpFields& fields)
{
    http::response<http::empty_body> msg(http::int_to_status(status), 11);
    msg.result(status);
    CopyFields(fields, msg);
    msg.keep_alive(KeepAlive());
    msg.chunked(true);
    m_Sent = true;
    const CallerWatch::Writing                  writing(m_Watch);
    http::response_serializer<http::empty_body> ser(msg);
    ser.split(true); // the head alone
    SkipBytes(ser, m_Watch.Early().HeadBytes());
    m_Watch.Early().OnHead(true);
    m_Stream.expires_after(m_Config.m_SendTimeout);
    auto [ec, n] = co_await http::async_write_header(m_Stream, ser, kNoThrow);
    co_return Outcome(ec);
}

awaitable<bool> BeastReply::Write(std::string_view bytes)
{
    if (m_Broken || bytes.empty())
        co_return !m_Broken;
    const CallerWatch::Writing writing(m_Watch);
    m_Watch.Early().OnChunk();
    m_Stream.expires_after(m_Config.m_SendTimeout);
    const auto chunk = http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()));
    auto [ec, n]     = co_await asio::async_write(m_Stream, chunk, kNoThrow);
    co_return Outcome(ec);
}

awaitable<bool> BeastReply::Finish(const HttpFields& trailers)
{
    if (m_Broken)
        co_return false;
    http::fields last;
    CopyFields(trailers, last);
    const CallerWatch::Writing writing(m_Watch);
    m_Watch.Early().OnEnd();
    m_Stream.expires_after(m_Config.m_SendTimeout);
    auto [ec, n] = co_await asio::async_write(m_Stream, http::make_chunk_last(last), kNoThrow);
    if (!ec)
        m_Watch.OnAnswered();
    co_return Outcome(ec);
}

void BeastReply::Abort()
{
    m_Broken = true;
    boost::system::error_code ec;
    m_Stream.socket().shutdown(tcp::socket::shutdown_both, ec);
}

bool BeastReply::KeepAlive()
{
    m_KeepAlive = m_KeepAlive && !m_Closing.load();
    return m_KeepAlive;
}

bool BeastReply::Outcome(const boost::system::error_code& ec)
{
    if (ec)
        m_Broken = true;
    return !ec;
}

} // namespace aldervale
