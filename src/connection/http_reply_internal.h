// Internal to http_server.cpp and http_reply.cpp: the answer to one request on a caller's connection.
#pragma once
#include "connection/caller_watch.h"
#include "connection/http.h"
#include <atomic>
#include <boost/beast/core.hpp>

namespace aldervale
{

using ServerStream = boost::beast::basic_stream<tcp, asio::any_io_executor>;

class BeastReply : public HttpReply // used on the stream's strand
{
public:
    BeastReply(ServerStream& stream, const HttpServerConfig& cfg, bool keep_alive, const std::atomic<bool>& closing, MemoryShare& memory);

    awaitable<bool> Send(const HttpResponse& res) override;
    awaitable<bool> Start(unsigned status, const HttpFields& fields) override;
    awaitable<bool> Write(std::string_view bytes) override;
    awaitable<bool> Finish(const HttpFields& trailers) override;
    void            Abort() override;
    bool            CallerGone() override { return m_Broken || m_Watch.Gone(); }
    void            OnCallerGone(std::function<void()> callback) override { m_Watch.Start(std::move(callback)); }
    MemoryShare&    Memory() override { return m_Memory; }

    bool Broken() const { return m_Broken; }
    bool Sent() const { return m_Sent; }
    bool KeepAlive();
    bool HeadKeptAlive() const { return m_KeepAlive; } // the answer's head promised that the connection takes another request

private:
    bool Outcome(const boost::system::error_code& ec);

    ServerStream&            m_Stream;         //
    const HttpServerConfig&  m_Config;         //
    bool                     m_KeepAlive;      // as the answer's head said, once it was sent
    const std::atomic<bool>& m_Closing;        // of the server
    MemoryShare&             m_Memory;         // of the connection
    bool                     m_Broken = false; // a write failed or Abort() was called
    bool                     m_Sent   = false; // an answer was begun
    CallerWatch              m_Watch;          // of m_Stream
};

} // namespace aldervale
