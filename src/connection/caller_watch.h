// aldervale: whether the caller of a request is still there while its answer is made
//
// A caller that ended its sending side may still read: HTTP allows it. The watch sends such a caller early bytes of the answer (early_bytes.h); only
// an error of the connection says that the caller is gone. An end behind the bytes of a further request is seen, too.
//
// Usage, on the strand of the socket:
//   CallerWatch watch(socket);
//   watch.Start([] { ... });                    // the caller is gone
//   const CallerWatch::Writing writing(watch);  // for as long as the answer is being written

#pragma once
#include "common/clock.h"
#include "connection/early_bytes.h"
#include "connection/link.h"
#include <functional>
#include <memory>

namespace aldervale
{

class CallerWatch // used on the strand of its socket, which must outlive it
{
public:
    explicit CallerWatch(tcp::socket& socket);
    ~CallerWatch();
    CallerWatch(const CallerWatch&)            = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

    void        Start(std::function<void()> on_gone); // `on_gone` is called at most once, never from within Start()
    bool        Gone();                               // without a callback; starts the watch if it isn't running
    void        OnAnswered();                         // the answer was written whole
    EarlyBytes& Early();

    class Writing // no early byte is sent meanwhile
    {
    public:
        explicit Writing(CallerWatch& watch);
        ~Writing();
        Writing(const Writing&)            = delete;
        Writing& operator=(const Writing&) = delete;

    private:
        CallerWatch& m_Watch; //
    };

private:
    struct State;

    static void Look(const std::shared_ptr<State>& s);
    static void AwaitBytes(const std::shared_ptr<State>& s);

    std::shared_ptr<State> m_State; // kept alive by its handlers, which may run after the watch is gone
};

} // namespace aldervale
