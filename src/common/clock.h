// aldervale: time types
//
// Decision logic takes times as arguments and never reads a clock; shells read these. Leases and deadlines use the monotonic clock,
// only key minting times (UUIDv7) use the wall clock.

#pragma once
#include <chrono>
#include <cstdint>

namespace aldervale
{

using Clock     = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration  = Clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline TimePoint Now()
{
    return Clock::now();
}

inline double ToSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

inline Duration FromSeconds(double s)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

inline Duration FromMs(double ms)
{
    return FromSeconds(ms / 1000);
}

inline double ToMsReal(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

inline int64_t ToMs(Duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

inline int64_t WallMs() // milliseconds since 1970, wall clock
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace aldervale
