// Content hash of a request. See request_hash.h.
#include "request/request_hash.h"
#include "common/hash.h"
#include <cstring>

namespace aldervale
{

namespace
{

// Appends the field prefixed with its length, so that different lists of fields never produce the same bytes.
void AppendField(std::string& out, std::string_view field)
{
    out.append(std::to_string(field.size())).append(":").append(field);
}

uint64_t FirstBytes(const Digest& digest)
{
    uint64_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof hash);
    return hash;
}

} // namespace

uint64_t HashRequest(const RequestContent& request)
{
    const std::string_view path   = request.m_Target.substr(0, request.m_Target.find('?'));
    const std::string_view target = request.m_Body.empty() ? request.m_Target : path;
    std::string            input;
    for (const std::string_view field : {request.m_Account, request.m_Method, request.m_Host, target})
        AppendField(input, field);
    input.append(request.m_Body);
    return FirstBytes(Sha256(input));
}

uint64_t RetryFingerprint(const RequestContent& request, std::span<const std::string> parts, double prompt_tokens, double answer_tokens)
{
    std::string input;
    for (const std::string_view field : {request.m_Account, request.m_Method, request.m_Host, request.m_Target, request.m_Body})
        AppendField(input, field);
    for (const std::string& part : parts)
        AppendField(input, part);
    AppendField(input, std::to_string(prompt_tokens));
    AppendField(input, std::to_string(answer_tokens));
    return Hash64(input);
}

uint64_t HashPromptPart(std::string_view service, std::string_view part)
{
    std::string input;
    AppendField(input, service);
    AppendField(input, part);
    return FirstBytes(Sha256(input));
}

} // namespace aldervale
