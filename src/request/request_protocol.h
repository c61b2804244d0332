// aldervale: what a request and an answer say, apart from how a platform writes it
//
// An adapter implements RequestProtocol. It translates names and formats and decides nothing.

#pragma once
#include "connection/http.h"
#include <optional>

namespace aldervale
{

struct CallerRequest // decoded once from a caller's request
{
    std::string             m_Id;                  // of this attempt of the caller
    std::string             m_Host;                //
    std::string             m_ApiKey;              // of the client account; empty: none was sent
    std::optional<Duration> m_Remaining;           // how long the caller will wait
    double                  m_PromptTokens    = 0; // tokens in
    double                  m_MaxAnswerTokens = 0; // tokens out at most
    std::string             m_ResumeAfter;         // streams: id of the last event the caller has; empty: from the start
};

struct ForwardFields // what the router adds to a request that it sends to a backend server
{
    std::string m_ServerId;           // only this lifetime of the server may run it
    std::string m_Account;            // name of the caller's account; empty: none
    Duration    m_Remaining{};        // after which nobody waits for the answer
    unsigned    m_Priority       = 5; // 0 is the most urgent
    uint64_t    m_WeightsVersion = 0; // only weights of this version may run it; 0: any
    std::string m_ResumeAfter;        // streams: id of the last event delivered; empty: from the start
};

struct ServerAnswer // decoded once from the head of a backend server's answer
{
    std::string m_RequestId;      // of the request that it answers
    bool        m_NotRun = false; // the server says that it did not and will not run the request
    bool        m_Stream = false; // an event stream follows

    std::optional<double> m_RateLimit; // requests per second, from all routers together; finite and not negative; none: no limit
};

class RequestProtocol
{
public:
    virtual ~RequestProtocol()                                                                    = default;
    virtual Result<CallerRequest> DecodeRequest(const HttpRequest& req) const                     = 0;
    virtual HttpRequest           Forward(const HttpRequest& req, const ForwardFields& add) const = 0;
    virtual ServerAnswer          DecodeAnswer(const HttpResponse& head) const                    = 0;
    virtual HttpFields            CallerFields(const HttpResponse& head) const                    = 0; // of an answer passed on
    virtual HttpResponse MakeLocalResponse(const CallerRequest& req, unsigned status, std::string_view reason, Duration retry_after) const = 0;
};

} // namespace aldervale
