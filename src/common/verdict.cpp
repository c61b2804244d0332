// Names and HTTP statuses of verdicts and error codes. See verdict.h.
#include "common/verdict.h"

namespace aldervale
{

std::string_view VerdictName(Verdict v)
{
    switch (v)
    {
    case Verdict_NotRun:
        return "not-run";
    case Verdict_MayHaveRun:
        return "may-have-run";
    case Verdict_Ran:
        return "ran";
    }
    return "?";
}

std::string_view ErrorCodeName(ErrorCode c)
{
    switch (c)
    {
    case ErrorCode_Invalid:
        return "invalid";
    case ErrorCode_Conflict:
        return "conflict";
    case ErrorCode_NotFound:
        return "not-found";
    case ErrorCode_Denied:
        return "denied";
    case ErrorCode_Limited:
        return "limited";
    case ErrorCode_Unavailable:
        return "unavailable";
    case ErrorCode_Timeout:
        return "timeout";
    case ErrorCode_Corrupt:
        return "corrupt";
    case ErrorCode_Stale:
        return "stale";
    }
    return "?";
}

unsigned ErrorCodeStatus(ErrorCode c)
{
    switch (c)
    {
    case ErrorCode_Invalid:
        return 400;
    case ErrorCode_Conflict:
    case ErrorCode_Stale:
        return 409;
    case ErrorCode_NotFound:
        return 404;
    case ErrorCode_Denied:
        return 403;
    case ErrorCode_Limited:
        return 429;
    case ErrorCode_Timeout:
        return 504;
    case ErrorCode_Corrupt:
        return 502;
    case ErrorCode_Unavailable:
        return 503;
    }
    return 500;
}

} // namespace aldervale
