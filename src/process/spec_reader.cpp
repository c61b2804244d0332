// Reading JSON specs. See spec_reader_internal.h.
#include "connection/link.h"
#include "process/spec_reader_internal.h"

namespace aldervale
{

void SpecReader::Fault(std::string_view key, std::string_view message)
{
    if (!m_Fault)
        m_Fault = MakeError(ErrorCode_Invalid, message, "spec." + std::string(key));
}

const json::value* SpecReader::Find(std::string_view key)
{
    m_Known.insert(std::string(key));
    return m_Spec.if_contains(key);
}

void SpecReader::Text(std::string_view key, std::string& out, bool required)
{
    const json::value* v = Find(key);
    if (v == nullptr)
    {
        if (required)
            Fault(key, "missing");
        return;
    }
    if (!v->is_string() || (required && v->as_string().empty()))
        return Fault(key, "expected a string");
    out = std::string(v->as_string());
}

void SpecReader::Texts(std::string_view key, std::vector<std::string>& out)
{
    const json::value* v = Find(key);
    if (v == nullptr)
        return;
    if (!v->is_array())
        return Fault(key, "expected an array of strings");
    for (const json::value& item : v->as_array())
    {
        if (!item.is_string())
            return Fault(key, "expected an array of strings");
        out.emplace_back(item.as_string());
    }
    std::set<std::string> seen(out.begin(), out.end());
    if (seen.size() != out.size())
        Fault(key, "an entry stands twice");
}

void SpecReader::Int(std::string_view key, int64_t& out, int64_t min, int64_t max)
{
    const json::value* v = Find(key);
    if (v == nullptr)
        return;
    if (!v->is_int64())
        return Fault(key, "expected an integer");
    if (v->as_int64() < min || v->as_int64() > max)
        return Fault(key, "out of range " + std::to_string(min) + " to " + std::to_string(max));
    out = v->as_int64();
}

void SpecReader::Real(std::string_view key, double& out, double min, double max, bool required)
{
    const json::value* v = Find(key);
    if (v == nullptr)
    {
        if (required)
            Fault(key, "missing");
        return;
    }
    if (!v->is_number())
        return Fault(key, "expected a number");
    const double x = v->to_number<double>();
    if (!(x >= min && x <= max))
        return Fault(key, "out of range");
    out = x;
}

void SpecReader::Bool(std::string_view key, bool& out)
{
    const json::value* v = Find(key);
    if (v == nullptr)
        return;
    if (!v->is_bool())
        return Fault(key, "expected true or false");
    out = v->as_bool();
}

void SpecReader::Digest(std::string_view key, std::string& out)
{
    Text(key, out);
    aldervale::Digest d{};
    if (!m_Fault && !FromHex(out, d))
        Fault(key, "expected a SHA-256 as 64 lower-case hex digits");
}

void SpecReader::Address(std::string_view key, std::string& out)
{
    Text(key, out);
    if (m_Fault)
        return;
    const auto at = ParseEndpoint(out);
    if (!at)
        Fault(key, at.error().m_Message);
}

void SpecReader::Counts(std::string_view key, std::map<std::string, size_t>& out, int64_t max)
{
    const json::value* v = Find(key);
    if (v == nullptr)
        return Fault(key, "missing");
    if (!v->is_object())
        return Fault(key, "expected a table of counts");
    for (const auto& member : v->as_object())
    {
        const std::string path = std::string(key) + "." + std::string(member.key());
        if (!member.value().is_int64() || member.value().as_int64() < 0 || member.value().as_int64() > max)
            return Fault(path, "expected an integer from 0 to " + std::to_string(max));
        out[std::string(member.key())] = static_cast<size_t>(member.value().as_int64());
    }
}

} // namespace aldervale
