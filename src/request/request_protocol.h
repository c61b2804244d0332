// aldervale: the content of requests and answers, independent of the headers in which a platform encodes it
//
// Each platform implements RequestProtocol as an adapter, which translates names and formats and makes no decisions.

#pragma once
#include "connection/http.h"
#include <optional>

namespace aldervale
{

constexpr size_t kPromptPartsMax = 32;

struct CallerRequest // decoded once from a caller's request
{
    std::string              m_Id;                  // id of the caller's attempt
    std::string              m_Host;                //
    std::string              m_ApiKey;              // key of the client account; empty: none was sent
    std::optional<Duration>  m_Remaining;           // time that the caller will still wait
    double                   m_PromptTokens    = 0; // tokens of the prompt; 0: unknown
    double                   m_MaxAnswerTokens = 0; // maximum number of tokens of the answer; 0: unknown
    std::vector<std::string> m_PromptParts;         // ids of the parts of the prompt that other requests may share, in order; at most kPromptPartsMax
    std::vector<std::string> m_ListedParts;         // all parts of the prompt with their lengths, the request's own one last
    std::string              m_ResumeAfter;         // streams: id of the last event that the caller has received; empty: from the start
};

struct ForwardFields // added by the router to a request that it sends to a backend server
{
    std::string m_ServerId;           // only this incarnation (run of the server process) may run the request
    std::string m_Account;            // name of the caller's account; empty: none
    Duration    m_Remaining{};        // time for which the caller waits for the answer
    unsigned    m_Priority       = 5; // 0 is the most urgent
    uint64_t    m_WeightsVersion = 0; // only weights of this version may run the request; 0: any
    std::string m_ResumeAfter;        // streams: id of the last event delivered; empty: from the start
};

struct ServerAnswer // decoded once from the head of a backend server's answer
{
    std::string m_RequestId;       // id of the request that it answers
    bool        m_NotRun  = false; // the server states that it did not and will not run the request
    bool        m_Stream  = false; // the body is an event stream
    bool        m_Leaving = false; // the server leaves and takes no new work

    Duration              m_Pause{};   // the server wants no request from this router for so long
    std::optional<double> m_RateLimit; // requests per second accepted from all routers together; finite and not negative; none: no limit
};

class RequestProtocol
{
public:
    virtual ~RequestProtocol()                                                                    = default;
    virtual Result<CallerRequest> DecodeRequest(const HttpRequest& req) const                     = 0;
    virtual HttpRequest           Forward(const HttpRequest& req, const ForwardFields& add) const = 0;
    virtual ServerAnswer          DecodeAnswer(const HttpResponse& head) const                    = 0;
    virtual HttpFields            CallerFields(const HttpResponse& head) const                    = 0; // fields of a relayed answer for the caller
    virtual HttpResponse MakeLocalResponse(const CallerRequest& req, unsigned status, std::string_view reason, Duration retry_after) const = 0;
};

} // namespace aldervale
