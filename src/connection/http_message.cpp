// HTTP messages: fields, queries, error bodies. See http.h.
#include "connection/http.h"
#include <boost/json.hpp>

namespace aldervale
{

static bool SameFieldName(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
}

std::string_view FindField(const HttpFields& fields, std::string_view name)
{
    for (const HttpField& f : fields)
        if (SameFieldName(f.m_Name, name))
            return f.m_Value;
    return {};
}

std::string_view HttpRequest::Path() const
{
    return std::string_view(m_Target).substr(0, m_Target.find('?'));
}

static std::string PercentDecode(std::string_view text)
{
    const auto hex = [](char c) -> int
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
    };
    std::string out;
    for (size_t i = 0; i < text.size(); i++)
    {
        const bool escaped = text[i] == '%' && i + 2 < text.size() && hex(text[i + 1]) >= 0 && hex(text[i + 2]) >= 0;
        out.push_back(escaped ? static_cast<char>(hex(text[i + 1]) * 16 + hex(text[i + 2])) : text[i]);
        if (escaped)
            i += 2;
    }
    return out;
}

std::string HttpRequest::Query(std::string_view name) const
{
    const size_t mark = m_Target.find('?');
    if (mark == std::string::npos)
        return {};
    std::string_view rest = std::string_view(m_Target).substr(mark + 1);
    while (!rest.empty())
    {
        const size_t     amp  = rest.find('&');
        std::string_view pair = rest.substr(0, amp);
        const size_t     eq   = pair.find('=');
        if (pair.substr(0, eq) == name)
            return eq == std::string_view::npos ? std::string() : PercentDecode(pair.substr(eq + 1));
        rest = amp == std::string_view::npos ? std::string_view() : rest.substr(amp + 1);
    }
    return {};
}

HttpResponse JsonResponse(unsigned status, const boost::json::value& body)
{
    return HttpResponse{status, {{"Content-Type", "application/json"}}, boost::json::serialize(body) + "\n"};
}

HttpResponse ErrorResponse(const Error& e)
{
    boost::json::object err;
    err["code"]    = ErrorCodeName(e.m_Code);
    err["message"] = e.m_Message;
    err["verdict"] = VerdictName(e.m_Verdict);
    if (!e.m_Field.empty())
        err["field"] = e.m_Field;
    if (e.m_RetryAfterMs > 0)
        err["retry_after_ms"] = e.m_RetryAfterMs;
    HttpResponse res = JsonResponse(ErrorCodeStatus(e.m_Code), boost::json::object{{"error", err}});
    res.m_Fields.push_back({"Aldervale-Verdict", std::string(VerdictName(e.m_Verdict))});
    if (e.m_RetryAfterMs > 0)
        res.m_Fields.push_back({"Retry-After", std::to_string((e.m_RetryAfterMs + 999) / 1000)});
    return res;
}

} // namespace aldervale
