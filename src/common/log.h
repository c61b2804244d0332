// aldervale: structured logs through log4cxx
//
// Usage:
//   LogSetup({.m_Format = LogFormat_Json, .m_Program = "aldervale-agent", .m_Name = "box-1"});
//   LogEvent(Event_LinkUp, {{"peer", "box-2"}, {"round_trip_ms", 1.2}});
// One line an event: {"t":...,"event":1101,"name":"LinkUp","level":"info","text":...,"program":...,"node":...,"peer":"box-2"}.
// Values that may hold secrets (tokens) are never passed here. Thread-safe after LogSetup().

#pragma once
#include "common/events.h"
#include <boost/json.hpp>
#include <initializer_list>
#include <string>

namespace aldervale
{

enum LogFormat
{
    LogFormat_Text,
    LogFormat_Json,
};

struct LogConfig
{
    LogFormat   m_Format = LogFormat_Json;  // [settings log.format]
    EventLevel  m_Level  = EventLevel_Info; // lowest level written [settings log.level]
    std::string m_Program;                  // program name in each line
    std::string m_Name;                     // node name in each line
};

struct LogField
{
    LogField(std::string_view key, boost::json::value value) : m_Key(key), m_Value(std::move(value)) {}
    LogField(std::string_view key, const std::string& value) : m_Key(key), m_Value(boost::json::string(value)) {}
    LogField(std::string_view key, std::string_view value) : m_Key(key), m_Value(boost::json::string(value)) {}
    LogField(std::string_view key, const char* value) : m_Key(key), m_Value(boost::json::string(value)) {}

    std::string_view   m_Key;   // JSON key
    boost::json::value m_Value; // any JSON value
};

void LogSetup(const LogConfig& cfg);                                 // once, before the first event
void LogEvent(Event e, std::initializer_list<LogField> fields = {}); // dropped silently before LogSetup(), as in unit tests

} // namespace aldervale
