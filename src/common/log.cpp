// Structured logs: formats each event as one JSON or text line and hands it to log4cxx. See log.h.
#include "common/log.h"
#include <boost/assert.hpp>
#include <chrono>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace aldervale
{

namespace
{

constexpr EventInfo kEvents[] = {
#define X(num, name, level, text) {Event_##name, #name, EventLevel_##level, text},
    ALDERVALE_EVENTS(X)
#undef X
};

constexpr int kLinesQueued = 4096; // lines waiting to be written

constexpr std::string_view kLevelNames[] = {"debug", "info", "warn", "error"};

struct LogState
{
    LogConfig          m_Config; // written once by LogSetup(), read-only after
    log4cxx::LoggerPtr m_Logger; // null until LogSetup()
};

LogState& State()
{
    static LogState* state = new LogState; // never freed: log4cxx may outlive static destructors
    return *state;
}

log4cxx::LevelPtr ToLog4cxx(EventLevel level)
{
    switch (level)
    {
    case EventLevel_Debug:
        return log4cxx::Level::getDebug();
    case EventLevel_Info:
        return log4cxx::Level::getInfo();
    case EventLevel_Warn:
        return log4cxx::Level::getWarn();
    case EventLevel_Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

std::string FormatJson(const EventInfo& info, const LogConfig& cfg, double now_s, std::initializer_list<LogField> fields)
{
    boost::json::object line;
    line["t"]       = now_s;
    line["event"]   = static_cast<int>(info.m_Event);
    line["name"]    = info.m_Name;
    line["level"]   = kLevelNames[info.m_Level];
    line["text"]    = info.m_Text;
    line["program"] = cfg.m_Program;
    line["node"]    = cfg.m_Name;
    for (const LogField& f : fields)
        line[f.m_Key] = f.m_Value;
    return boost::json::serialize(line);
}

std::string FormatText(const EventInfo& info, const LogConfig& cfg, double now_s, std::initializer_list<LogField> fields)
{
    std::string line = std::to_string(now_s) + " " + std::string(kLevelNames[info.m_Level]) + " " + cfg.m_Name + " E" +
                       std::to_string(static_cast<int>(info.m_Event)) + " " + std::string(info.m_Text);
    for (const LogField& f : fields)
        line += " " + std::string(f.m_Key) + "=" + boost::json::serialize(f.m_Value);
    return line;
}

} // namespace

const EventInfo& GetEventInfo(Event e)
{
    for (const EventInfo& info : kEvents)
        if (info.m_Event == e)
            return info;
    BOOST_ASSERT_MSG(false, "event number is not in the catalogue");
    return kEvents[0];
}

void LogSetup(const LogConfig& cfg)
{
    LogState& state = State();
    state.m_Config  = cfg;
    auto layout     = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    auto console    = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    // A reader that falls behind costs lines, never time: what finds the queue full is dropped, and the appender writes how many.
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBlocking(false);
    queue->setBufferSize(kLinesQueued);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::configure(queue);
    state.m_Logger = log4cxx::Logger::getLogger("aldervale");
    state.m_Logger->setLevel(ToLog4cxx(cfg.m_Level));
}

void LogEvent(Event e, std::initializer_list<LogField> fields)
{
    LogState& state = State();
    if (!state.m_Logger)
        return;
    const EventInfo& info = GetEventInfo(e);
    if (info.m_Level < state.m_Config.m_Level)
        return;
    const double now_s = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::string  line =
        state.m_Config.m_Format == LogFormat_Json ? FormatJson(info, state.m_Config, now_s, fields) : FormatText(info, state.m_Config, now_s, fields);
    state.m_Logger->forcedLog(ToLog4cxx(info.m_Level), line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace aldervale
