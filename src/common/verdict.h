// aldervale: the verdict on a request, and the error type of the whole code base
//
// A verdict says whether a request may have run. It is three-valued because a lost answer is neither a success nor a failure:
//   Verdict_NotRun      nobody handed the request to a backend server; repeating it is always safe
//   Verdict_MayHaveRun  it was handed over and the outcome is unknown; only a repeatable request may be tried again
//   Verdict_Ran         the backend server answered
// Only two places may say Verdict_NotRun: a failure before the first byte of the call left the process, and an agent that refuses
// a call before it hands it over.
//
// Usage:
//   Result<Manifest> r = ParseManifest(json);
//   if (!r)
//       return r.error();
//
// Index of this file:
// [SECTION] Verdict
// [SECTION] Error

#pragma once
#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Verdict
//-----------------------------------------------------------------------------

enum Verdict
{
    Verdict_NotRun,
    Verdict_MayHaveRun,
    Verdict_Ran,
};

std::string_view VerdictName(Verdict v); // "not-run", "may-have-run", "ran": the value of the Aldervale-Verdict header

//-----------------------------------------------------------------------------
// [SECTION] Error
//-----------------------------------------------------------------------------

enum ErrorCode
{
    ErrorCode_Invalid,     // the caller's input is wrong; m_Field names where
    ErrorCode_Conflict,    // somebody else changed it first
    ErrorCode_NotFound,    //
    ErrorCode_Denied,      // token missing, unknown, or without the role
    ErrorCode_Limited,     // over an account's limit or a queue's bound; try again after m_RetryAfterMs
    ErrorCode_Unavailable, // a peer or an outside system can't be reached now
    ErrorCode_Timeout,     // the deadline passed
    ErrorCode_Corrupt,     // bytes that don't match their digest, or a broken frame
    ErrorCode_Stale,       // an order or a call under an outdated fencing number, digest or revision
};

std::string_view ErrorCodeName(ErrorCode c);
unsigned         ErrorCodeStatus(ErrorCode c); // HTTP status that carries this code

struct Error
{
    ErrorCode   m_Code = ErrorCode_Unavailable;  // kind of failure
    std::string m_Field;                         // path of the faulty field, such as "spec.limit_rps"; empty if none
    std::string m_Message;                       // for people
    Verdict     m_Verdict      = Verdict_NotRun; // whether the request may have run
    unsigned    m_RetryAfterMs = 0;              // when to come back, ms; 0: unknown
};

template <class T> using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;
using Status                    = Result<void>;

inline Status Ok()
{
    return boost::outcome_v2::success();
}

inline Error MakeError(ErrorCode code, std::string_view message, std::string_view field = {}, Verdict v = Verdict_NotRun)
{
    return Error{code, std::string(field), std::string(message), v, 0};
}

} // namespace aldervale
