// Shared life of a daemon. See daemon.h.
#include "process/daemon.h"
#include "common/hash.h"
#include "common/log.h"
#include "common/metrics.h"
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <sys/resource.h>
#include <thread>

namespace aldervale
{

namespace
{

constexpr auto kDrainPoll     = milliseconds(50);
constexpr auto kSettingsWatch = seconds(2);        // between looks at the settings file's time of change
constexpr auto kStallLook     = milliseconds(250); // between looks whether the process was held up
constexpr auto kStallLeast    = milliseconds(250); // a shorter hold-up ends no wait of ours that matters

EventLevel ParseLevel(std::string_view name)
{
    if (name == "debug")
        return EventLevel_Debug;
    if (name == "warn")
        return EventLevel_Warn;
    return name == "error" ? EventLevel_Error : EventLevel_Info;
}

std::string DescribeType(const SettingValue& v)
{
    struct Visitor
    {
        std::string operator()(const SettingInt& x) const
        {
            return "integer " + std::to_string(x.m_Min) + ".." + std::to_string(x.m_Max) + ", default " + std::to_string(*x.m_Target);
        }
        std::string operator()(const SettingReal& x) const { return "number, default " + std::to_string(*x.m_Target); }
        std::string operator()(const SettingBool& x) const { return std::string("true or false, default ") + (*x.m_Target ? "true" : "false"); }
        std::string operator()(const SettingText& x) const { return x.m_Required ? "string, required" : "string, default \"" + *x.m_Target + "\""; }
        std::string operator()(const SettingAddress& x) const
        {
            return x.m_Required ? "IP:PORT, required" : "IP:PORT, default \"" + *x.m_Target + "\"";
        }
        std::string operator()(const SettingList& x) const { return x.m_Addresses ? "array of IP:PORT" : "array of strings"; }
    };
    return std::visit(Visitor{}, v);
}

size_t DescriptorsMax(const DaemonSettings& s)
{
    if (s.m_DescriptorsMax > 0)
        return static_cast<size_t>(s.m_DescriptorsMax);
    rlimit limit = {};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : SIZE_MAX;
}

struct CommandLine
{
    std::string              m_File;              // of the settings; empty: none
    std::vector<std::string> m_Overrides;         // KEY=VALUE, over the file's
    bool                     m_CheckOnly = false; //
    std::optional<int>       m_Exit;              // nothing is to be run: the exit code
};

void PrintSettings(std::span<const SettingSpec> specs)
{
    std::cout << "\nSettings (TOML):\n";
    for (const SettingSpec& s : specs)
        std::cout << "  " << s.m_Key << ": " << s.m_Doc << " (" << DescribeType(s.m_Value) << ")\n";
}

// Signals that come before their handlers are set wait until then: by default they would end the process.
class HeldSignals
{
public:
    HeldSignals()
    {
        sigset_t held;
        sigemptyset(&held);
        for (const int signal : {SIGTERM, SIGINT, SIGHUP})
            sigaddset(&held, signal);
        pthread_sigmask(SIG_BLOCK, &held, &m_Before);
    }

    void Release() { pthread_sigmask(SIG_SETMASK, &m_Before, nullptr); }

private:
    sigset_t m_Before{};
};

} // namespace

std::vector<SettingSpec> DescribeDaemon(DaemonSettings& s)
{
    return {
        {"name", SettingText{&s.m_Name, {}, true}, "node name, the same as the declared Box"},
        {"data_centre", SettingText{&s.m_DataCentre, {}, true}, "data centre this process runs in"},
        {"ops_listen", SettingAddress{&s.m_OpsListen, true, false}, "address of /healthz, /readyz, /metrics, /statusz"},
        {"log.format", SettingText{&s.m_LogFormat, {"json", "text"}, false}, "how log lines look"},
        {"log.level", SettingText{&s.m_LogLevel, {"debug", "info", "warn", "error"}, false}, "lowest level written"},
        {"threads", SettingInt{&s.m_Threads, 1, 64}, "I/O threads"},
        {"drain_max_ms", SettingInt{&s.m_DrainMaxMs, 0, 3'600'000}, "longest drain after SIGTERM, ms"},
        {"memory_mb", SettingReal{&s.m_MemoryMb, 1, 1e9}, "memory that the process may take, MiB; a quarter of it may be held for clients"},
        {"descriptors_max", SettingReal{&s.m_DescriptorsMax, 0, 1e9},
         "descriptors that the process may have; three quarters of them may be connections of clients; 0: the system's limit"},
    };
}

Daemon::Daemon(const DaemonSettings& s, std::string_view program)
    : m_Settings(s), m_Program(program), m_Incarnation(RandomSeed() >> 1), m_Memory(ClientMemory::OfProcess(s.m_MemoryMb, DescriptorsMax(s))),
      m_Ioc(static_cast<int>(s.m_Threads)), m_Signals(m_Ioc, SIGTERM, SIGINT, SIGHUP)
{
}

bool Daemon::Ready() const
{
    return !Draining() && (!m_Hooks.m_Ready || m_Hooks.m_Ready());
}

void Daemon::SetReload(std::string file, std::function<std::vector<SettingFault>()> load)
{
    m_SettingsFile = std::move(file);
    m_Load         = std::move(load);
}

awaitable<bool> Daemon::ServeOps(HttpRequest& req, HttpReply& reply)
{
    const std::string_view path = req.Path();
    HttpResponse           res{200, {{"Content-Type", "text/plain"}}, "ok\n"};
    if (path == "/readyz")
    {
        const bool ready = Ready();
        res.m_Status     = ready ? 200 : 503;
        res.m_Body       = ready ? "ready\n" : Draining() ? "draining\n" : "not ready\n";
    }
    else if (path == "/metrics")
    {
        Metrics().GetGauge("aldervale_client_memory_bytes").Set(static_cast<double>(m_Memory.Held()));
        if (m_Hooks.m_Measure)
            m_Hooks.m_Measure();
        res.m_Body = Metrics().Prometheus();
    }
    else if (path == "/statusz")
    {
        json::object o   = m_Hooks.m_Describe ? m_Hooks.m_Describe() : json::object();
        o["name"]        = m_Settings.m_Name;
        o["program"]     = m_Program;
        o["version"]     = kVersion;
        o["incarnation"] = m_Incarnation;
        o["draining"]    = Draining();
        res              = JsonResponse(200, o);
    }
    else if (path != "/healthz")
        co_return false;
    co_await reply.Send(res);
    co_return true;
}

Status Daemon::Start()
{
    asio::co_spawn(
        m_Ioc, [this] { return WaitForSignal(); }, asio::detached);
    if (!m_SettingsFile.empty())
        asio::co_spawn(
            m_Ioc, [this] { return WatchSettings(); }, asio::detached);
    asio::co_spawn(
        m_Ioc, [this] { return WatchStalls(); }, asio::detached);
    if (m_Settings.m_OpsListen.empty())
        return Ok();
    const HttpHandler handler = [this](HttpRequest& req, HttpReply& reply) -> awaitable<void>
    {
        const bool served = co_await ServeOps(req, reply);
        if (!served)
        {
            const HttpResponse res = ErrorResponse(MakeError(ErrorCode_NotFound, "no such page"));
            co_await reply.Send(res);
        }
    };
    m_Ops = std::make_unique<HttpServer>(m_Ioc, HttpServerConfig{}, handler);
    m_Ops->SetMemory(m_Memory);
    return m_Ops->Listen(ParseEndpoint(m_Settings.m_OpsListen).value());
}

awaitable<void> Daemon::WaitForSignal()
{
    for (;;)
    {
        auto [ec, signal] = co_await m_Signals.async_wait(asio::as_tuple(use_awaitable));
        if (ec || signal != SIGHUP)
            break;
        Reload("signal");
    }
    co_await DrainAndStop();
}

awaitable<void> Daemon::WatchSettings()
{
    std::error_code ec;
    auto            seen = std::filesystem::last_write_time(m_SettingsFile, ec);
    for (;;)
    {
        co_await SleepFor(kSettingsWatch);
        const auto changed = std::filesystem::last_write_time(m_SettingsFile, ec);
        if (ec || changed == seen)
            continue;
        seen = changed;
        Reload("file changed");
    }
}

// Without it a process that got no processor, or was busy with one long task, looks in its logs as if its peers had been silent.
awaitable<void> Daemon::WatchStalls()
{
    static HistogramMetric& stalls = Metrics().GetHistogram("aldervale_process_stall_seconds");
    for (;;)
    {
        const TimePoint due = Now() + kStallLook;
        co_await SleepFor(kStallLook);
        const Duration late = Now() - due;
        if (late < kStallLeast)
            continue;
        stalls.Record(ToSeconds(late));
        LogEvent(Event_ProcessStalled, {{"late_ms", ToMs(late)}});
    }
}

void Daemon::Reload(std::string_view why)
{
    const std::vector<SettingFault> faults = m_Load ? m_Load() : std::vector<SettingFault>();
    for (const SettingFault& f : faults)
        LogEvent(Event_SettingsRefused, {{"what", FormatFault(f)}});
    if (!faults.empty())
        return;
    LogEvent(Event_SettingsReloaded, {{"why", why}});
    if (m_Hooks.m_Reloaded)
        m_Hooks.m_Reloaded();
}

awaitable<bool> Daemon::AwaitDrained(TimePoint until)
{
    while (m_Hooks.m_Drained && !m_Hooks.m_Drained())
    {
        if (Now() >= until)
            co_return false;
        co_await SleepFor(kDrainPoll);
    }
    co_return true;
}

awaitable<void> Daemon::DrainAndStop()
{
    LogEvent(Event_ProcessDraining);
    m_Draining.store(true);
    const TimePoint end = Now() + milliseconds(m_Settings.m_DrainMaxMs);
    if (m_Hooks.m_Drain)
        m_Hooks.m_Drain(end);
    const bool drained = co_await AwaitDrained(end);
    if (!drained && m_Hooks.m_CutOff)
    {
        m_Hooks.m_CutOff();
        co_await AwaitDrained(Now() + kCutOffMax);
    }
    LogEvent(Event_ProcessStopped, {{"drained", drained}});
    m_Ioc.stop();
}

int Daemon::Run()
{
    std::atomic<int>         code{0};
    std::vector<std::thread> threads;
    const auto               loop = [&]
    {
        try
        {
            m_Ioc.run();
        }
        catch (const std::exception& e)
        {
            LogEvent(Event_ProcessFailed, {{"what", e.what()}});
            code.store(1);
            m_Ioc.stop();
        }
    };
    for (int64_t i = 1; i < m_Settings.m_Threads; i++)
        threads.emplace_back(loop);
    loop();
    for (std::thread& t : threads)
        t.join();
    return code.load();
}

static CommandLine ParseCommandLine(int argc, char** argv, std::string_view program, std::string_view summary, std::span<const SettingSpec> specs)
{
    cxxopts::Options options{std::string(program), std::string(summary)};
    options.add_options()("s,settings", "settings file (TOML)", cxxopts::value<std::string>()->default_value(""))(
        "set", "one setting as KEY=VALUE, over the file's", cxxopts::value<std::vector<std::string>>()->default_value({}))(
        "check-settings", "check the settings and stop")("version", "print the version")("h,help", "print this page");
    CommandLine out;
    try
    {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0)
        {
            std::cout << options.help();
            PrintSettings(specs);
            out.m_Exit = 0;
            return out;
        }
        if (args.count("version") > 0)
        {
            std::cout << program << " " << kVersion << "\n";
            out.m_Exit = 0;
            return out;
        }
        out.m_File      = args["settings"].as<std::string>();
        out.m_Overrides = args.count("set") > 0 ? args["set"].as<std::vector<std::string>>() : std::vector<std::string>();
        out.m_CheckOnly = args.count("check-settings") > 0;
    }
    catch (const std::exception& e)
    {
        std::cerr << program << ": " << e.what() << "\n";
        out.m_Exit = 2;
    }
    return out;
}

int RunDaemon(int argc, char** argv, std::string_view program, std::string_view summary, std::vector<SettingSpec> specs, DaemonSettings& settings,
              const StartFunction& start)
{
    HeldSignals                    held;
    const std::vector<SettingSpec> shared = DescribeDaemon(settings);
    specs.insert(specs.begin(), shared.begin(), shared.end());
    const CommandLine line = ParseCommandLine(argc, argv, program, summary, specs);
    if (line.m_Exit)
        return *line.m_Exit;
    const std::vector<SettingFault> faults = LoadSettings(line.m_File, line.m_Overrides, specs);
    for (const SettingFault& f : faults)
        std::cerr << FormatFault(f) << "\n";
    if (!faults.empty())
        return 2;
    if (line.m_CheckOnly)
    {
        std::cout << "settings are good\n";
        return 0;
    }
    LogSetup(
        {settings.m_LogFormat == "text" ? LogFormat_Text : LogFormat_Json, ParseLevel(settings.m_LogLevel), std::string(program), settings.m_Name});
    std::signal(SIGPIPE, SIG_IGN);
    // Never freed: what main() holds (kept HTTP connections, timers) refers to its io_context until the process ends.
    static Daemon* const process = new Daemon(settings, program);
    Daemon&              daemon  = *process;
    held.Release();
    daemon.SetReload(line.m_File, [line, specs] { return LoadSettings(line.m_File, line.m_Overrides, specs); });
    const Status ops = daemon.Start();
    const Status own = ops ? start(daemon) : ops;
    if (!own)
    {
        LogEvent(Event_ProcessFailed, {{"what", own.error().m_Message}});
        return 1;
    }
    LogEvent(Event_ProcessStarted, {{"version", kVersion}, {"incarnation", daemon.Incarnation()}});
    return daemon.Run();
}

void Spawn(asio::io_context& ioc, awaitable<void> task)
{
    asio::co_spawn(asio::make_strand(ioc), std::move(task),
                   [](std::exception_ptr e)
                   {
                       if (e)
                           std::rethrow_exception(e);
                   });
}

} // namespace aldervale
