// aldervale: settings files (TOML), checked whole before anything starts
//
// A program declares its settings as a list of SettingSpec, each bound to a member of its settings struct. LoadSettings() reports one
// fault per wrong line, with file, line and key, and writes nothing unless the whole file is good.
//
// Usage:
//   AgentSettings s;
//   std::vector<SettingFault> faults = LoadSettings("agent.toml", {"name=box-9"}, DescribeSettings(s));
//   if (!faults.empty()) { PrintFaults(faults); return 2; }
//
// Index of this file:
// [SECTION] Declaring
// [SECTION] Loading

#pragma once
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Declaring
//-----------------------------------------------------------------------------

struct SettingInt
{
    int64_t* m_Target; // written when the whole file is good
    int64_t  m_Min;    // inclusive
    int64_t  m_Max;    // inclusive
};

struct SettingReal
{
    double* m_Target; //
    double  m_Min;    // inclusive
    double  m_Max;    // inclusive
};

struct SettingBool
{
    bool* m_Target; //
};

struct SettingText
{
    std::string*                  m_Target;           //
    std::vector<std::string_view> m_Choices  = {};    // allowed values; empty: any
    bool                          m_Required = false; // a default of "" isn't good enough
};

struct SettingAddress // IP:PORT; two settings of one file that listen may not be equal
{
    std::string* m_Target;           //
    bool         m_Listens  = false; // the process binds it
    bool         m_Required = false; //
};

struct SettingList // array of strings
{
    std::vector<std::string>* m_Target;            //
    bool                      m_Addresses = false; // each entry must be IP:PORT, no two equal
};

using SettingValue = std::variant<SettingInt, SettingReal, SettingBool, SettingText, SettingAddress, SettingList>;

struct SettingSpec
{
    std::string_view m_Key;   // dotted path, such as "log.level"
    SettingValue     m_Value; //
    std::string_view m_Doc;   // one line for --help and docs/SETTINGS.md
};

//-----------------------------------------------------------------------------
// [SECTION] Loading
//-----------------------------------------------------------------------------

struct SettingFault
{
    std::string m_File;     // or "--set"
    unsigned    m_Line = 0; // 0: no line, such as a missing key
    std::string m_Key;      //
    std::string m_Message;  //
};

// `overrides` are KEY=VALUE pairs from the command line, VALUE in TOML syntax (bare words are taken as strings).
std::vector<SettingFault> LoadSettings(const std::string& file, std::span<const std::string> overrides, std::span<const SettingSpec> specs);
std::vector<SettingFault> CheckSettingsText(std::string_view text, std::string_view name, std::span<const SettingSpec> specs); // also applies
std::string               FormatFault(const SettingFault& f); // "agent.toml:3: key 'x': ..."

} // namespace aldervale
