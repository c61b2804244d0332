// Settings files. See settings.h.
#include "process/settings.h"
#include "connection/link.h"
#include <boost/json.hpp>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace aldervale
{

namespace
{

// One loading run: collects faults, and the writes to make if there are none.
struct Loader
{
    std::span<const SettingSpec>       m_Specs;
    std::vector<SettingFault>          m_Faults;
    std::vector<std::function<void()>> m_Writes;  // applied only when m_Faults stays empty
    std::set<std::string>              m_Seen;    // keys found
    std::set<std::string>              m_Listens; // addresses bound by this process

    void Fault(std::string_view file, unsigned line, std::string_view key, std::string_view message)
    {
        m_Faults.push_back({std::string(file), line, std::string(key), std::string(message)});
    }
};

struct Found // one key of a file
{
    std::string_view  m_File;
    unsigned          m_Line;
    std::string_view  m_Key;
    const toml::node* m_Node;
};

void CheckValue(Loader& ld, const Found& f, const SettingInt& v)
{
    const auto n = f.m_Node->value_exact<int64_t>();
    if (!n)
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "expected an integer");
    if (*n < v.m_Min || *n > v.m_Max)
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "out of range " + std::to_string(v.m_Min) + " to " + std::to_string(v.m_Max));
    ld.m_Writes.push_back([target = v.m_Target, x = *n] { *target = x; });
}

void CheckValue(Loader& ld, const Found& f, const SettingReal& v)
{
    const auto n = f.m_Node->is_number() ? f.m_Node->value<double>() : std::optional<double>();
    if (!n)
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "expected a number");
    if (!(*n >= v.m_Min && *n <= v.m_Max))
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "out of range " + std::to_string(v.m_Min) + " to " + std::to_string(v.m_Max));
    ld.m_Writes.push_back([target = v.m_Target, x = *n] { *target = x; });
}

void CheckValue(Loader& ld, const Found& f, const SettingBool& v)
{
    const auto b = f.m_Node->value_exact<bool>();
    if (!b)
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "expected true or false");
    ld.m_Writes.push_back([target = v.m_Target, x = *b] { *target = x; });
}

void CheckValue(Loader& ld, const Found& f, const SettingText& v)
{
    const auto s = f.m_Node->value_exact<std::string>();
    if (!s)
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "expected a string");
    if (!v.m_Choices.empty() && std::find(v.m_Choices.begin(), v.m_Choices.end(), *s) == v.m_Choices.end())
    {
        std::string all;
        for (const std::string_view c : v.m_Choices)
            all += (all.empty() ? "" : ", ") + std::string(c);
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "expected one of " + all);
    }
    ld.m_Writes.push_back([target = v.m_Target, x = *s] { *target = x; });
}

void CheckValue(Loader& ld, const Found& f, const SettingAddress& v)
{
    const auto s = f.m_Node->value_exact<std::string>();
    if (!s)
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "expected a string IP:PORT");
    const auto at = ParseEndpoint(*s);
    if (!at)
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, at.error().m_Message);
    if (v.m_Listens && !ld.m_Listens.insert(*s).second)
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "address " + *s + " is used twice");
    ld.m_Writes.push_back([target = v.m_Target, x = *s] { *target = x; });
}

void CheckValue(Loader& ld, const Found& f, const SettingList& v)
{
    const toml::array* list = f.m_Node->as_array();
    if (list == nullptr)
        return ld.Fault(f.m_File, f.m_Line, f.m_Key, "expected an array of strings");
    std::vector<std::string> out;
    for (const toml::node& node : *list)
    {
        const auto s = node.value_exact<std::string>();
        if (!s)
            return ld.Fault(f.m_File, node.source().begin.line, f.m_Key, "expected an array of strings");
        if (v.m_Addresses && !ParseEndpoint(*s))
            return ld.Fault(f.m_File, node.source().begin.line, f.m_Key, ParseEndpoint(*s).error().m_Message);
        if (v.m_Addresses && std::find(out.begin(), out.end(), *s) != out.end())
            return ld.Fault(f.m_File, node.source().begin.line, f.m_Key, "address " + *s + " is listed twice");
        out.push_back(*s);
    }
    ld.m_Writes.push_back([target = v.m_Target, x = std::move(out)] { *target = x; });
}

const SettingSpec* FindSpec(std::span<const SettingSpec> specs, std::string_view key)
{
    for (const SettingSpec& s : specs)
        if (s.m_Key == key)
            return &s;
    return nullptr;
}

bool IsTable(std::span<const SettingSpec> specs, std::string_view key)
{
    for (const SettingSpec& s : specs)
        if (s.m_Key.size() > key.size() && s.m_Key.substr(0, key.size()) == key && s.m_Key[key.size()] == '.')
            return true;
    return false;
}

void CheckTable(Loader& ld, std::string_view file, const std::string& prefix, const toml::table& table)
{
    for (const auto& [name, node] : table)
    {
        const std::string  key  = prefix + std::string(name.str());
        const unsigned     line = name.source().begin.line != 0 ? name.source().begin.line : node.source().begin.line;
        const SettingSpec* spec = FindSpec(ld.m_Specs, key);
        if (spec != nullptr)
        {
            ld.m_Seen.insert(key);
            const Found found{file, line, key, &node};
            std::visit([&](const auto& v) { CheckValue(ld, found, v); }, spec->m_Value);
        }
        else if (node.is_table() && IsTable(ld.m_Specs, key))
            CheckTable(ld, file, key + ".", *node.as_table());
        else
            ld.Fault(file, line, key, "unknown key");
    }
}

void CheckText(Loader& ld, std::string_view text, std::string_view name)
{
    toml::parse_result parsed = toml::parse(text, name);
    if (!parsed)
        return ld.Fault(name, parsed.error().source().begin.line, "", std::string(parsed.error().description()));
    CheckTable(ld, name, "", parsed.table());
}

void CheckRequired(Loader& ld, std::string_view file)
{
    for (const SettingSpec& s : ld.m_Specs)
    {
        const auto* text    = std::get_if<SettingText>(&s.m_Value);
        const auto* address = std::get_if<SettingAddress>(&s.m_Value);
        const bool  needed  = (text != nullptr && text->m_Required) || (address != nullptr && address->m_Required);
        if (needed && !ld.m_Seen.contains(std::string(s.m_Key)))
            ld.Fault(file, 0, s.m_Key, "missing");
    }
}

std::vector<SettingFault> Finish(Loader& ld)
{
    if (ld.m_Faults.empty())
        for (const auto& write : ld.m_Writes)
            write();
    return std::move(ld.m_Faults);
}

void CheckOverride(Loader& ld, std::string_view pair)
{
    const size_t eq = pair.find('=');
    if (eq == std::string_view::npos)
        return ld.Fault("--set", 0, pair, "expected KEY=VALUE");
    const std::string key(pair.substr(0, eq));
    const std::string value(pair.substr(eq + 1));
    const std::string plain = key + " = " + value + "\n";
    if (toml::parse(std::string_view(plain), std::string_view("--set")))
        return CheckText(ld, plain, "--set");
    const std::string quoted = boost::json::serialize(boost::json::string(value));
    CheckText(ld, key + " = " + quoted + "\n", "--set");
}

} // namespace

std::vector<SettingFault> LoadSettings(const std::string& file, std::span<const std::string> overrides, std::span<const SettingSpec> specs)
{
    Loader ld{specs, {}, {}, {}, {}};
    if (!file.empty())
    {
        std::ifstream in(file, std::ios::binary);
        if (!in)
            return {{file, 0, "", "can't be read"}};
        std::stringstream text;
        text << in.rdbuf();
        CheckText(ld, text.str(), file);
    }
    for (const std::string& pair : overrides)
        CheckOverride(ld, pair);
    CheckRequired(ld, file.empty() ? std::string_view("settings") : std::string_view(file));
    return Finish(ld);
}

std::vector<SettingFault> CheckSettingsText(std::string_view text, std::string_view name, std::span<const SettingSpec> specs)
{
    Loader ld{specs, {}, {}, {}, {}};
    CheckText(ld, text, name);
    CheckRequired(ld, name);
    return Finish(ld);
}

std::string FormatFault(const SettingFault& f)
{
    std::string out = f.m_File;
    if (f.m_Line > 0)
        out += ":" + std::to_string(f.m_Line);
    if (!f.m_Key.empty())
        out += ": key '" + f.m_Key + "'";
    return out + ": " + f.m_Message;
}

} // namespace aldervale
