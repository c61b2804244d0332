// aldervale: hashes of a request's content and of the parts of its prompt
//
// Each attempt of a caller has its own id, so repeated requests are identified by their content: account, method, host, path and body. The query is
// included only if there is no body. The hash is a part of a SHA-256 digest, so that a caller can't craft a request with the hash of another
// caller's.

#pragma once
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace aldervale
{

struct RequestContent
{
    std::string_view m_Account; // name of the caller's account; empty: none
    std::string_view m_Method;  //
    std::string_view m_Host;    //
    std::string_view m_Target;  // path and query
    std::string_view m_Body;    //
};

uint64_t HashRequest(const RequestContent& request);

// The same at each attempt of a caller, whose id and time left differ. `parts`: all parts of the prompt, as listed; the last one is the
// request's or its session's own. Not proof against callers that look for collisions: one costs a single request a stricter admission.
uint64_t RetryFingerprint(const RequestContent& request, std::span<const std::string> parts, double prompt_tokens, double answer_tokens);
uint64_t HashPromptPart(std::string_view service, std::string_view part); // part: id of a part that several prompts may share

} // namespace aldervale
