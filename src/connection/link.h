// aldervale: a link, one framed TCP connection between two of our processes
//
// Many exchanges share a link. Each has an id that the opening process takes from a counter that never repeats within its life; the
// side that dialled takes odd ids, the other one even ids, so the two never mean the same. A late frame of a finished exchange finds
// nobody and is dropped and counted; it can't reach another exchange. Id 0 is for messages that want no answer.
//
// Usage:
//   auto link = std::make_shared<Link>(std::move(socket), LinkSide_Dialled, LinkConfig{}, handlers);
//   link->Start();
//   link->Send(EncodeFrame(id, message));               // from any thread
//   auto box = link->OpenExchange(executor);            // frames that carry box->Id() arrive in the mailbox
//   std::optional<FrameBuf> f = co_await box->Pop(deadline);
//
// Index of this file:
// [SECTION] Mailbox
// [SECTION] Link
// [SECTION] Connecting and listening
// [SECTION] Waiting

#pragma once
#include "common/clock.h"
#include "common/verdict.h"
#include "connection/frame.h"
#include <atomic>
#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace aldervale
{

namespace asio = boost::asio;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;

class Link;
using LinkPtr = std::shared_ptr<Link>;

enum LinkSide
{
    LinkSide_Dialled,
    LinkSide_Accepted,
};

//-----------------------------------------------------------------------------
// [SECTION] Mailbox: frames of one exchange, read by one coroutine
//-----------------------------------------------------------------------------

class Mailbox : public std::enable_shared_from_this<Mailbox>
{
public:
    Mailbox(asio::any_io_executor ex, uint64_t id) : m_Id(id), m_Executor(ex), m_Timer(ex) {}

    uint64_t                           Id() const { return m_Id; }
    void                               Push(FrameBuf frame);    // any thread
    void                               Close();                 // any thread; the link is gone, Pop() returns what is left, then nothing
    bool                               Closed() const;          // any thread
    awaitable<std::optional<FrameBuf>> Pop(TimePoint deadline); // on the executor's strand; nothing on deadline or when closed

private:
    void Wake();

    const uint64_t        m_Id;             //
    asio::any_io_executor m_Executor;       // the consumer's strand; m_Timer is touched only there
    asio::steady_timer    m_Timer;          // its cancellation wakes the consumer
    mutable std::mutex    m_Mutex;          // guards the members below
    std::deque<FrameBuf>  m_Frames;         //
    bool                  m_Closed = false; // never goes back to false
};
using MailboxPtr = std::shared_ptr<Mailbox>;

//-----------------------------------------------------------------------------
// [SECTION] Link
//-----------------------------------------------------------------------------

struct LinkHandlers
{
    std::function<void(const LinkPtr&, const FrameBuf&)> m_OnFrame; // frames of exchanges that the other side opened; on the link's strand
    std::function<void(const LinkPtr&)>                  m_OnClose; // once; on the link's strand
};

struct LinkConfig
{
    size_t m_SendQueueMax = 64 * 1024 * 1024; // bytes queued to a peer that doesn't read, before the link is closed
};

struct LinkPeer
{
    std::string    m_Name;                                // node name
    std::string    m_DataCentre;                          //
    std::string    m_Address;                             // ip:port it listens on, empty if it doesn't
    wire::PeerRole m_Role        = wire::PeerRole::Agent; //
    uint64_t       m_Incarnation = 0;                     // 0 until its Hello arrived
};

class Link : public std::enable_shared_from_this<Link>
{
public:
    Link(tcp::socket socket, LinkSide side, const LinkConfig& cfg, LinkHandlers handlers);

    void       Start();
    bool       Send(FrameBytes frame); // any thread; false when the link is closed: the frame did not leave
    uint64_t   NewExchangeId();        // unique within this process, never 0
    MailboxPtr OpenExchange(asio::any_io_executor ex);
    void       CloseExchange(uint64_t id);
    void       Close(); // any thread
    bool       Closed() const { return m_Closed.load(); }

    LinkPeer  Peer() const;
    void      SetPeer(LinkPeer peer);
    TimePoint LastHeard() const { return TimePoint(Duration(m_LastHeard.load())); }
    size_t    Queued() const; // bytes accepted by Send() and not yet taken by the socket
    uint64_t  BytesIn() const { return m_BytesIn.load(); }
    uint64_t  BytesOut() const { return m_BytesOut.load(); }
    uint64_t  Dropped() const { return m_Dropped.load(); } // frames of unknown exchanges

    asio::any_io_executor Executor() { return m_Socket.get_executor(); }

private:
    awaitable<void> ReadLoop();
    void            Flush(); // on the strand: writes what is queued, then itself again until nothing is left
    void            Dispatch(const FrameBuf& frame);
    void            Shutdown();

    tcp::socket    m_Socket;   // on its own strand
    const LinkSide m_Side;     //
    LinkConfig     m_Config;   //
    LinkHandlers   m_Handlers; //

    std::atomic<bool>          m_Closed{false}; // never goes back to false
    std::atomic<Duration::rep> m_LastHeard;     // monotonic time of the last bytes read
    std::atomic<uint64_t>      m_BytesIn{0};    //
    std::atomic<uint64_t>      m_BytesOut{0};   //
    std::atomic<uint64_t>      m_Dropped{0};    //

    mutable std::mutex                       m_Mutex;                 // guards the members below
    std::unordered_map<uint64_t, MailboxPtr> m_Exchanges;             // exchanges that this side opened
    std::deque<FrameBytes>                   m_SendQueue;             //
    size_t                                   m_SendQueueSize = 0;     // bytes in m_SendQueue
    bool                                     m_Writing       = false; // a Flush() is under way or posted
    std::vector<FrameBytes>                  m_Batch;                 // being written; touched only on the strand
    LinkPeer                                 m_Peer;                  //
};

//-----------------------------------------------------------------------------
// [SECTION] Connecting and listening
//-----------------------------------------------------------------------------

// Ends calls and waits from outside the coroutine that makes them, on the same strand. Safe to call at any time, also before and after the calls.
class CallAbort
{
public:
    void Abort();
    bool Aborted() const { return m_Aborted; }
    void Arm(const void* call, std::function<void()> close) { m_Close[call] = std::move(close); } // by the client: what ends that call
    void Disarm(const void* call) { m_Close.erase(call); }                                        // by the client: it is over

private:
    std::map<const void*, std::function<void()>> m_Close;           // of calls under way
    bool                                         m_Aborted = false; // never goes back to false
};

struct Endpoint
{
    asio::ip::address m_Address;  // IP number
    uint16_t          m_Port = 0; //
    std::string       ToString() const;
    bool              operator==(const Endpoint&) const = default;
    bool              operator<(const Endpoint& o) const { return std::tie(m_Address, m_Port) < std::tie(o.m_Address, o.m_Port); }
};

Result<Endpoint>               ParseEndpoint(std::string_view text); // "127.0.0.1:7000"; names are refused
awaitable<Result<tcp::socket>> ConnectTcp(Endpoint to, Duration timeout,
                                          std::optional<asio::any_io_executor> owner = std::nullopt, // executor of the socket
                                          CallAbort*                           abort = nullptr);                               // ends it early
Result<tcp::acceptor>          ListenTcp(asio::any_io_executor ex, const Endpoint& at);

//-----------------------------------------------------------------------------
// [SECTION] Waiting
//-----------------------------------------------------------------------------

// Suspends the calling coroutine.
awaitable<void> SleepFor(Duration d);
awaitable<void> SleepUntil(TimePoint until, CallAbort& abort); // or until it is aborted

} // namespace aldervale
