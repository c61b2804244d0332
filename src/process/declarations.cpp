// Declarations from TOML files. See declarations.h.
#include "process/declarations.h"
#include <filesystem>
#include <fstream>
#include <sstream>
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace aldervale
{

namespace
{

json::value ToJsonValue(const toml::node& node);

json::object ToJsonObject(const toml::table& table)
{
    json::object out;
    for (const auto& [key, node] : table)
        out[std::string_view(key.str())] = ToJsonValue(node);
    return out;
}

json::value ToJsonValue(const toml::node& node)
{
    if (const toml::table* t = node.as_table())
        return ToJsonObject(*t);
    if (const toml::array* a = node.as_array())
    {
        json::array out;
        for (const toml::node& item : *a)
            out.push_back(ToJsonValue(item));
        return out;
    }
    if (const auto b = node.value_exact<bool>())
        return *b;
    if (const auto i = node.value_exact<int64_t>())
        return *i;
    if (const auto d = node.value_exact<double>())
        return *d;
    return json::string(node.value<std::string>().value_or(""));
}

} // namespace

Result<std::vector<json::object>> ParseDeclarations(std::string_view text, std::string_view file)
{
    toml::parse_result parsed = toml::parse(text, file);
    const auto         fault  = [&](unsigned line, std::string_view what)
    { return MakeError(ErrorCode_Invalid, what, std::string(file) + ":" + std::to_string(line)); };
    if (!parsed)
        return fault(parsed.error().source().begin.line, parsed.error().description());
    std::vector<json::object> out;
    for (const auto& [key, node] : parsed.table())
    {
        const toml::array* list = node.as_array();
        if (key.str() != "resource" || list == nullptr)
            return fault(key.source().begin.line, "unknown key '" + std::string(key.str()) + "', expected [[resource]]");
        for (const toml::node& item : *list)
        {
            if (!item.is_table())
                return fault(item.source().begin.line, "expected [[resource]] tables");
            json::object o       = ToJsonObject(*item.as_table());
            const auto   checked = ResourceFromJson(o);
            if (!checked)
                return fault(item.source().begin.line, checked.error().m_Field + ": " + checked.error().m_Message);
            out.push_back(std::move(o));
        }
    }
    return out;
}

Result<std::vector<json::object>> ReadDeclarations(const std::string& folder)
{
    std::error_code          ec;
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder, ec))
        if (entry.path().extension() == ".toml")
            files.push_back(entry.path().string());
    if (ec)
        return MakeError(ErrorCode_Invalid, ec.message(), folder);
    std::sort(files.begin(), files.end());
    std::vector<json::object> out;
    for (const std::string& file : files)
    {
        std::ifstream     in(file, std::ios::binary);
        std::stringstream text;
        text << in.rdbuf();
        if (!in)
            return MakeError(ErrorCode_Invalid, "can't be read", file);
        auto part = ParseDeclarations(text.str(), file);
        if (!part)
            return part.error();
        out.insert(out.end(), part.value().begin(), part.value().end());
    }
    return out;
}

} // namespace aldervale
