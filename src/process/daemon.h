// aldervale: what every long-lived program shares: command line, settings, logs, threads, signals, operations page
//
// Usage:
//   int main(int argc, char** argv)
//   {
//       AgentSettings s;
//       DaemonSettings d;
//       return RunDaemon(argc, argv, "aldervale-agent", "moves weights, gates traffic", DescribeAgent(s), d,
//                        [&](Daemon& daemon) { return StartAgent(daemon, s); });
//   }
// Exit codes: 0 stopped as asked, 1 failure while running, 2 bad arguments or settings (nothing was started).
//
// Index of this file:
// [SECTION] Settings shared by all daemons
// [SECTION] Daemon

#pragma once
#include "connection/http.h"
#include "process/settings.h"
#include <boost/json.hpp>

namespace aldervale
{

namespace json = boost::json;

constexpr std::string_view kVersion = "0.1.0";

//-----------------------------------------------------------------------------
// [SECTION] Settings shared by all daemons
//-----------------------------------------------------------------------------

struct DaemonSettings
{
    std::string m_Name;                // node name; for agents the Box name [name]
    std::string m_DataCentre;          // [data_centre]
    std::string m_OpsListen;           // health, metrics [ops_listen]; empty: none
    std::string m_LogFormat  = "json"; // [log.format]
    std::string m_LogLevel   = "info"; // [log.level]
    int64_t     m_Threads    = 2;      // I/O threads [threads]
    int64_t     m_DrainMaxMs = 30'000; // longest drain after SIGTERM [drain_max_ms]
    double      m_MemoryMb   = 256;    // memory that the process may take; clients may hold a quarter of it [memory_mb]

    double m_DescriptorsMax = 0; // that the process may have; three quarters may be clients' connections; 0: the system's limit [descriptors_max]
};

std::vector<SettingSpec> DescribeDaemon(DaemonSettings& s);

//-----------------------------------------------------------------------------
// [SECTION] Daemon
//-----------------------------------------------------------------------------

constexpr auto kCutOffMax = milliseconds(350); // from m_CutOff to the process's end: for callers to be told

struct DaemonHooks
{
    std::function<bool()>          m_Ready;    // /readyz; also tells the balancer when to send callers elsewhere
    std::function<void(TimePoint)> m_Drain;    // SIGTERM: stop taking work; called once, with the end of the longest drain
    std::function<bool()>          m_Drained;  // polled until true or m_DrainMaxMs
    std::function<void()>          m_CutOff;   // m_DrainMaxMs are over and work is in progress: end it; the process ends shortly after
    std::function<json::object()>  m_Describe; // extra members of /statusz
    std::function<void()>          m_Measure;  // sets what /metrics is to tell of now; before it is answered
    std::function<void()>          m_Reloaded; // SIGHUP or a changed file: the settings structs hold the new values
};

class Daemon
{
public:
    Daemon(const DaemonSettings& s, std::string_view program);

    asio::io_context&     Ioc() { return m_Ioc; }
    const DaemonSettings& Settings() const { return m_Settings; }
    uint64_t              Incarnation() const { return m_Incarnation; } // differs at every start
    bool                  Draining() const { return m_Draining.load(); }
    ClientMemory&         Memory() { return m_Memory; }                                                 // of all clients of the process
    void                  SetDrainMax(Duration d) { m_Settings.m_DrainMaxMs = ToMs(d); }                // before Run()
    void                  SetHooks(DaemonHooks hooks) { m_Hooks = std::move(hooks); }                   // before Run()
    bool                  Ready() const;                                                                // takes new work
    void                  SetReload(std::string file, std::function<std::vector<SettingFault>()> load); // before Run()
    awaitable<bool>       ServeOps(HttpRequest& req, HttpReply& reply); // answers /healthz, /readyz, /metrics, /statusz; false: another path

    Status Start(); // listens on m_OpsListen
    int    Run();   // until a signal; returns the exit code

private:
    awaitable<void> WaitForSignal();
    awaitable<void> WatchSettings(); // the file may change without a signal
    awaitable<void> WatchStalls();   // tells when the process was held up
    void            Reload(std::string_view why);
    awaitable<bool> AwaitDrained(TimePoint until); // false: work is in progress then
    awaitable<void> DrainAndStop();

    DaemonSettings                             m_Settings;        //
    std::string                                m_Program;         //
    uint64_t                                   m_Incarnation;     //
    ClientMemory                               m_Memory;          //
    asio::io_context                           m_Ioc;             //
    asio::signal_set                           m_Signals;         //
    DaemonHooks                                m_Hooks;           //
    std::unique_ptr<HttpServer>                m_Ops;             // null when no ops_listen
    std::atomic<bool>                          m_Draining{false}; // never goes back to false
    std::string                                m_SettingsFile;    // empty: none to watch
    std::function<std::vector<SettingFault>()> m_Load;            // reads the settings again; empty: no reload
};

using StartFunction = std::function<Status(Daemon&)>;

int RunDaemon(int argc, char** argv, std::string_view program, std::string_view summary, std::vector<SettingSpec> specs, DaemonSettings& settings,
              const StartFunction& start);

// Runs a coroutine on its own strand; an escaping exception ends the process, as it is a fault of ours.
void Spawn(asio::io_context& ioc, awaitable<void> task);

} // namespace aldervale
