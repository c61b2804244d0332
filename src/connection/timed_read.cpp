// Reads that end without an error when nothing comes in time. See timed_read.h.
#include "connection/timed_read.h"

namespace aldervale
{

namespace
{

constexpr auto   kNoThrow   = asio::as_tuple(asio::use_awaitable);
constexpr size_t kReadLeast = 512; // bytes asked for at once when the buffer has no room left

struct Wait // for bytes; kept alive by its timer's handler, which may run after the wait is over
{
    bool m_Over = false; //
    bool m_Late = false; // the time was up first
};

// kNothingCame: the time was up. operation_aborted: somebody cancelled the wait.
awaitable<boost::system::error_code> Readable(tcp::socket& socket, asio::steady_timer& timer, TimePoint until)
{
    const auto wait = std::make_shared<Wait>();
    timer.expires_at(until);
    timer.async_wait(
        [wait, &socket](const boost::system::error_code& ec)
        {
            if (ec || wait->m_Over)
                return;
            wait->m_Late = true;
            boost::system::error_code ignored;
            socket.cancel(ignored);
        });
    const auto [ec] = co_await socket.async_wait(tcp::socket::wait_read, kNoThrow);
    wait->m_Over    = true;
    timer.cancel();
    if (ec && wait->m_Late)
        co_return kNothingCame;
    co_return ec == asio::error::operation_aborted ? ec : boost::system::error_code{};
}

} // namespace

awaitable<boost::system::error_code> ReadSome(tcp::socket& socket, asio::steady_timer& timer, boost::beast::flat_buffer& buffer, TimePoint until)
{
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    for (;;)
    {
        const size_t room = std::max(kReadLeast, buffer.capacity() - buffer.size());
        const size_t got  = socket.receive(buffer.prepare(room), 0, ec);
        buffer.commit(ec ? 0 : got);
        if (ec != asio::error::would_block && ec != asio::error::try_again)
            co_return ec;
        const boost::system::error_code waited = co_await Readable(socket, timer, until);
        if (waited)
            co_return waited;
    }
}

} // namespace aldervale
