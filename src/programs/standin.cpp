// aldervale-standin: small fakes for tests, the demo and benches. One subcommand per outside system; many servers of a kind may share
// one process: aldervale-standin engine --listen 127.0.0.1:9000 --count 12 takes ports 9000 to 9011.
#include "standin/standin.h"
#include "common/log.h"
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

using namespace aldervale;

namespace
{

struct Arguments
{
    std::string   m_Kind;        //
    Endpoint      m_Listen;      // first address
    int           m_Count   = 1; //
    int           m_Threads = 2; //
    TableConfig   m_Table;       //
    OriginConfig  m_Origin;      //
    BoxListConfig m_List;        //
    EngineConfig  m_Engine;      //
    PlainConfig   m_Plain;       //
};

std::unique_ptr<HttpServer> Make(asio::io_context& ioc, const Arguments& a, int index)
{
    EngineConfig engine = a.m_Engine;
    PlainConfig  plain  = a.m_Plain;
    engine.m_Seed += static_cast<uint64_t>(index);
    plain.m_Seed += static_cast<uint64_t>(index);
    if (a.m_Kind == "table")
        return MakeTableStandin(ioc, a.m_Table);
    if (a.m_Kind == "origin")
        return MakeOriginStandin(ioc, a.m_Origin);
    if (a.m_Kind == "boxes")
        return MakeBoxListStandin(ioc, a.m_List);
    if (a.m_Kind == "engine")
        return MakeEngineStandin(ioc, engine);
    return a.m_Kind == "plain" ? MakePlainStandin(ioc, plain) : nullptr;
}

cxxopts::Options DescribeOptions(Arguments& a)
{
    cxxopts::Options options("aldervale-standin", "Fakes of the platform and of backend servers: table, origin, boxes, engine, plain");
    auto             add = options.add_options();
    add("kind", "table, origin, boxes, engine or plain", cxxopts::value<std::string>(a.m_Kind));
    add("listen", "first address", cxxopts::value<std::string>());
    add("count", "servers, on ports that follow", cxxopts::value<int>(a.m_Count));
    add("threads", "threads", cxxopts::value<int>(a.m_Threads));
    add("root", "origin: folder of weights", cxxopts::value<std::string>(a.m_Origin.m_Root));
    add("mib-s", "origin: link rate, MiB/s", cxxopts::value<double>(a.m_Origin.m_MibS));
    add("lag-ms", "boxes: lag of the list", cxxopts::value<int64_t>(a.m_List.m_LagMs));
    add("writes-per-s", "table: writes a second", cxxopts::value<double>(a.m_Table.m_WritesPerSecond));
    add("reads-per-s", "table: reads a second", cxxopts::value<double>(a.m_Table.m_ReadsPerSecond));
    add("unchecked", "engine: obeys orders of any fencing number");
    add("step-us", "engine: one decoding step", cxxopts::value<int64_t>(a.m_Engine.m_StepUs));
    add("prefix-slots", "engine: prefixes that its cache holds", cxxopts::value<int64_t>(a.m_Engine.m_PrefixSlots));
    add("prefill-us", "engine: per uncached prompt token", cxxopts::value<int64_t>(a.m_Engine.m_PrefillUs));
    add("max-batch", "engine: requests decoded together", cxxopts::value<int64_t>(a.m_Engine.m_MaxBatch));
    add("work-ms", "plain: time of one call", cxxopts::value<int64_t>(a.m_Plain.m_WorkMs));
    add("seed", "seed of random faults", cxxopts::value<uint64_t>(a.m_Engine.m_Seed));
    add("h,help", "print this page");
    options.parse_positional({"kind"});
    options.positional_help("KIND");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    Arguments a;
    try
    {
        cxxopts::Options options = DescribeOptions(a);
        const auto       args    = options.parse(argc, argv);
        if (args.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        auto at = ParseEndpoint(args.count("listen") > 0 ? args["listen"].as<std::string>() : std::string());
        if (!at)
        {
            std::cerr << "aldervale-standin: --listen: " << at.error().m_Message << "\n";
            return 2;
        }
        a.m_Listen                = at.value();
        a.m_Engine.m_CheckFencing = args.count("unchecked") == 0;
        a.m_Table.m_Seed = a.m_Origin.m_Seed = a.m_Plain.m_Seed = a.m_Engine.m_Seed;
    }
    catch (const std::exception& e)
    {
        std::cerr << "aldervale-standin: " << e.what() << "\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    LogSetup({LogFormat_Text, EventLevel_Warn, "aldervale-standin", a.m_Kind});
    asio::io_context                         ioc(a.m_Threads);
    std::vector<std::unique_ptr<HttpServer>> servers;
    for (int i = 0; i < a.m_Count; i++)
    {
        auto server = Make(ioc, a, i);
        if (!server)
        {
            std::cerr << "aldervale-standin: unknown kind '" << a.m_Kind << "'\n";
            return 2;
        }
        const Status s = server->Listen({a.m_Listen.m_Address, static_cast<uint16_t>(a.m_Listen.m_Port + i)});
        if (!s)
        {
            std::cerr << "aldervale-standin: " << s.error().m_Message << "\n";
            return 1;
        }
        servers.push_back(std::move(server));
    }
    asio::signal_set signals(ioc, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { ioc.stop(); });
    std::vector<std::thread> threads;
    for (int i = 1; i < a.m_Threads; i++)
        threads.emplace_back([&] { ioc.run(); });
    ioc.run();
    for (std::thread& t : threads)
        t.join();
    return 0;
}
