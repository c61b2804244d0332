// aldervale: reads that end without an error when nothing comes in time
//
// Boost.Beast's own time limits close the connection. A read that ends here loses nothing: the next one goes on where it stopped.
//
// Usage, on the strand of the socket and the timer:
//   const auto ec = co_await ReadSome(socket, timer, buffer, Now() + seconds(1));
//   if (ec == kNothingCame) ...

#pragma once
#include "common/clock.h"
#include "connection/link.h"
#include <boost/beast/core/flat_buffer.hpp>

namespace aldervale
{

constexpr auto kNothingCame = asio::error::try_again; // until the time was up

// Takes what lies in the socket into `buffer`, or waits for it until `until`. Bytes that lie there count before any time that is up: this process may
// have stood still. Cancels the socket's other pending operations when the time is up. operation_aborted: its own wait was cancelled.
awaitable<boost::system::error_code> ReadSome(tcp::socket& socket, asio::steady_timer& timer, boost::beast::flat_buffer& buffer, TimePoint until);

} // namespace aldervale
