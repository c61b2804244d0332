// Internal to resources*.cpp: reads a JSON spec field by field, remembers the first fault with its path, and refuses unknown fields.
#pragma once
#include "process/resources.h"
#include <set>

namespace aldervale
{

class SpecReader
{
public:
    explicit SpecReader(const Resource& r) : m_Spec(r.m_Spec) {}

    void Text(std::string_view key, std::string& out, bool required = true);
    void Texts(std::string_view key, std::vector<std::string>& out);
    void Int(std::string_view key, int64_t& out, int64_t min, int64_t max);
    void Real(std::string_view key, double& out, double min, double max, bool required = false);
    void Bool(std::string_view key, bool& out);
    void Digest(std::string_view key, std::string& out);
    void Address(std::string_view key, std::string& out);
    void Counts(std::string_view key, std::map<std::string, size_t>& out, int64_t max);
    // `names` lists the words in the order of the enumeration, from 0.
    template <class EnumT> void Choice(std::string_view key, EnumT& out, std::initializer_list<std::string_view> names, bool required = false)
    {
        std::string word;
        Text(key, word, required);
        if (m_Fault || word.empty())
            return;
        int index = 0;
        for (const std::string_view name : names)
        {
            if (name == word)
            {
                out = static_cast<EnumT>(index);
                return;
            }
            index++;
        }
        Fault(key, "'" + word + "' is not allowed");
    }
    void Fault(std::string_view key, std::string_view message);

    template <class SpecT> Result<SpecT> Finish(SpecT&& spec) // refuses what was not asked for
    {
        for (const auto& member : m_Spec)
            if (!m_Known.contains(std::string(member.key())))
                Fault(member.key(), "unknown field");
        if (m_Fault)
            return *m_Fault;
        return std::forward<SpecT>(spec);
    }

private:
    const json::value* Find(std::string_view key);

    const json::object&   m_Spec;
    std::set<std::string> m_Known; // fields asked for
    std::optional<Error>  m_Fault; // the first one
};

} // namespace aldervale
