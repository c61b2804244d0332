// aldervale: HTTP/1.1 edges by Boost.Beast
//
// The header is free of Beast so that few files pay for compiling it. The server calls one handler per request on the connection's
// strand; the client keeps connections alive per endpoint.
//
// Usage, server:
//   HttpServer server(ioc, {.m_HeadMax = 16384}, [](HttpRequest& req, HttpReply& reply) -> awaitable<void> {
//       HttpResponse res{200, {{"Content-Type", "text/plain"}}, "ok\n"};
//       co_await reply.Send(res);
//   });
//   Status s = server.Listen(endpoint);
// Usage, client:
//   HttpClient client;
//   Result<HttpResponse> r = co_await client.Call(endpoint, req, deadline);
//   Result<HttpStreamPtr> s = co_await client.Open(endpoint, req, deadline);      // then s->Read() until m_Done
//   Result<HttpStreamPtr> s = co_await client.Send(endpoint, req, deadline);      // then s->ReadHead() until it is true, s->Read() until m_Done
//
// Index of this file:
// [SECTION] Messages
// [SECTION] Server
// [SECTION] Client

#pragma once
#include "connection/client_memory.h"
#include "connection/link.h"
#include <boost/json.hpp>
#include <map>

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

struct HttpField
{
    std::string m_Name;  //
    std::string m_Value; //
};

using HttpFields = std::vector<HttpField>;

std::string_view FindField(const HttpFields& fields, std::string_view name); // case-insensitive; empty if absent

struct HttpRequest
{
    std::string m_Method = "GET"; //
    std::string m_Target = "/";   // path and query
    HttpFields  m_Fields;         //
    std::string m_Body;           //
    TimePoint   m_BegunAt{};      // when its first byte came; default: it was not read from a connection

    std::string_view Path() const;                       // target without query
    std::string      Query(std::string_view name) const; // value of ?name=, percent-decoded; empty if absent
};

struct HttpResponse
{
    unsigned    m_Status = 200; //
    HttpFields  m_Fields;       //
    std::string m_Body;         //
};

HttpResponse JsonResponse(unsigned status, const boost::json::value& body);
HttpResponse ErrorResponse(const Error& e); // JSON error body with verdict, Aldervale-Verdict and Retry-After fields

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

struct HttpServerConfig
{
    size_t   m_HeadMax     = 16 * 1024;       // bytes of request line and fields, of a chunk's size line and of trailers; more: 431
    size_t   m_BodyMax     = 4 * 1024 * 1024; // bytes; more: 413
    Duration m_ReadTimeout = seconds(30);     // for a request's head from its first byte on, and for a pause in its body
    Duration m_BodyTimeout = seconds(60);     // for a request from its first byte on; more: 408
    size_t   m_SlowMax     = 64;              // requests at once that take longer than m_ReadTimeout; one more: 408
    Duration m_SendTimeout = seconds(30);     // for one write to a caller that doesn't read
    Duration m_IdleTimeout = seconds(30);     // from an answer to the first byte of the next request
};

class HttpReply // one answer; either Send() once, or Start(), Write()..., Finish()
{
public:
    virtual ~HttpReply()                                                     = default;
    virtual awaitable<bool> Send(const HttpResponse& res)                    = 0; // false: the caller is gone
    virtual awaitable<bool> Start(unsigned status, const HttpFields& fields) = 0; // chunked
    virtual awaitable<bool> Write(std::string_view bytes)                    = 0;
    virtual awaitable<bool> Finish(const HttpFields& trailers)               = 0;
    virtual void            Abort()                                          = 0; // close without the end mark: the caller sees a broken answer
    virtual bool            CallerGone()                                     = 0; // not merely the end of its sending side
    virtual void            OnCallerGone(std::function<void()> callback)     = 0; // at most once, while the handler runs; on its strand
    virtual MemoryShare&    Memory()                                         = 0; // of the connection; given back once the answer is out
};

using HttpHandler   = std::function<awaitable<void>(HttpRequest&, HttpReply&)>;
using HttpHeadCheck = std::function<std::optional<HttpResponse>(const HttpRequest& head)>; // a response: the request is refused with it

class HttpServer
{
public:
    HttpServer(asio::io_context& ioc, const HttpServerConfig& cfg, HttpHandler handler);
    ~HttpServer();

    void   SetMemory(ClientMemory& memory);   // before Listen(); outlives this and its connections; without it memory has no bound
    void   SetHeadCheck(HttpHeadCheck check); // before Listen(); asked from CloseAfterAnswer() on, again and again while a request's body is coming
    Status Listen(const Endpoint& at);
    void   SetConfig(const HttpServerConfig& cfg); // bounds of requests whose first byte comes from now on, and of connections at rest; any thread
    void   CloseAfterAnswer();                     // idle connections close; every answer from now on says that its connection closes
    size_t Busy() const; // connections of which some of a request has come and whose answer isn't out, or isn't delivered as the connection ends
    size_t Undelivered() const; // how many of these have sent their answer
    void   StopAccepting();     // also: open connections finish their current request and close

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

struct HttpCallOptions
{
    Duration                                 m_ConnectMax = milliseconds(2000); // for a new connection
    Duration                                 m_IdleMax    = seconds(10);        // a kept connection that rested longer isn't used
    std::function<bool(const HttpResponse&)> m_IsOurs;                          // false for an answer to another request: it is skipped
    CallAbort*                               m_Abort = nullptr;                 // must outlive the call and its stream
    bool                                     m_Keep  = true;                    // the connection is kept for later calls; else closed after this one
    bool                                     m_Fresh = false;                   // on a new connection, not on a kept one
    Duration                                 m_PauseMax{}; // over zero: Call() reads past its deadline while bytes come, none of its pauses longer
    bool                                     m_Probe   = false;            // keep-alive probes: a peer that falls silent is seen in seconds
    size_t                                   m_BodyMax = 64 * 1024 * 1024; // Call(): bytes; a longer answer is an error
    std::function<void(size_t)>              m_OnBytes;                    // Call(): so many bytes of a 200's body have come; may be empty
};

// An answer that is read as it comes: its head, then its body piece by piece. A read that ends at `quiet_until` because nothing came loses nothing:
// the next one goes on where it stopped, so a server that pauses need not be given up to look elsewhere. After an error nothing more is read.
// A server may send bytes without end: heads, chunk sizes and trailers are bounded, and once the deadline is over no more is read than may have
// lain in the socket by then. Who keeps the bytes of a body bounds them. Other coroutines of the executor have their turn while bytes keep coming.
class HttpStream
{
public:
    struct Piece
    {
        std::string_view m_Bytes;         // valid until the next Read()
        bool             m_Done  = false; // the body is complete and its length was checked
        bool             m_Quiet = false; // nothing came until `quiet_until`
    };

    virtual ~HttpStream()                                                                = default;
    virtual awaitable<Result<bool>>  ReadHead(TimePoint quiet_until, TimePoint deadline) = 0; // false: it isn't there by `quiet_until`
    virtual const HttpResponse&      Head() const                                        = 0; // after ReadHead(); m_Body is empty
    virtual awaitable<Result<Piece>> Read(TimePoint quiet_until, TimePoint deadline)     = 0;
    virtual const HttpFields&        Trailers() const                                    = 0; // after m_Done
    virtual bool                     Stale() const = 0; // ReadHead() failed: a kept connection ended before a byte of an answer came

    awaitable<Result<Piece>> Read(TimePoint deadline) { return Read(deadline, deadline); } // never quiet
};
using HttpStreamPtr = std::unique_ptr<HttpStream>;

class HttpClient
{
public:
    HttpClient();
    ~HttpClient();

    // Errors carry a verdict: NotRun when no byte of the request left this process, MayHaveRun after. Call() and Open() send a GET or HEAD that met a
    // stale connection once more, on a new one.
    awaitable<Result<HttpResponse>>  Call(Endpoint to, const HttpRequest& req, TimePoint deadline);
    awaitable<Result<HttpResponse>>  Call(Endpoint to, const HttpRequest& req, TimePoint deadline, HttpCallOptions options);
    awaitable<Result<HttpStreamPtr>> Open(Endpoint to, const HttpRequest& req, TimePoint deadline);
    awaitable<Result<HttpStreamPtr>> Open(Endpoint to, const HttpRequest& req, TimePoint deadline, HttpCallOptions options);
    awaitable<Result<HttpStreamPtr>> Send(Endpoint to, const HttpRequest& req, TimePoint deadline, HttpCallOptions options); // as Open(), head unread
    uint64_t                         Connects() const; // connections opened so far

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
