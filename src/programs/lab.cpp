// aldervale-lab: plays load patterns in the emulator and prints what callers got, by second and in sum. Built with the tests, not deployed.
#include "emulator/pool_emulator.h"
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>

using namespace aldervale;

namespace
{

void PrintSecond(const char* name, const PoolSecond& s)
{
    const unsigned answered = s.m_InTime + s.m_Late;
    std::printf("%-6s %6u %8u %6u %8u %10u %8.3f %9.0f\n", name, s.m_Asked, s.m_InTime, s.m_Late, s.m_Refused, s.m_Back,
                s.m_Earned / std::max(s.m_Owed, 1e-9), answered > 0 ? s.m_ErrorMs / answered : 0);
}

void Print(const PoolResult& r, bool by_second)
{
    std::printf("%-6s %6s %8s %6s %8s %10s %8s %9s\n", "second", "asked", "in time", "late", "refused", "came back", "credit", "error ms");
    for (size_t i = 0; by_second && i < r.m_Seconds.size(); i++)
        PrintSecond(std::to_string(i).c_str(), r.m_Seconds[i]);
    PrintSecond("all", r.Total());
    std::printf("credit by kind:");
    for (const double share : r.m_KindEarned)
        std::printf(" %.3f", share);
    std::printf("\nlearned capacities:");
    for (const unsigned capacity : r.m_Capacities)
        std::printf(" %u", capacity);
    std::printf("\n");
}

struct Mechanism // of the decisions, that can be left out here to see what it is worth
{
    const char* m_Name;                        //
    const char* m_What;                        //
    void (*m_LeaveOut)(ServerChoiceConfig& c); //
};

const Mechanism kMechanisms[] = {
    {"back", "callers that came back are taken like first attempts",
     [](ServerChoiceConfig& c) { c.m_Admission.m_StrictRetryShare = c.m_Admission.m_FirstAttemptShare; }},
    {"strict", "callers that came back are taken late whatever is refused",
     [](ServerChoiceConfig& c) { c.m_Admission.m_StrictAboveRefusedShare = 1e9; }},
    {"retry", "refusals ask for the shortest wait", [](ServerChoiceConfig& c) { c.m_Admission.m_RetryMax = c.m_Admission.m_RetryMin; }},
    {"mean", "the server that looks best is believed", [](ServerChoiceConfig& c) { c.m_MeanInFlightWeight = 0; }},
    {"others", "what other routers send isn't counted", [](ServerChoiceConfig& c) { c.m_OthersToBestShare = 0; }},
    {"line", "no claim stands in line", [](ServerChoiceConfig& c) { c.m_QueueWaitMaxShare = 0; }},
    {"many", "a place is claimed at one box", [](ServerChoiceConfig& c) { c.m_ClaimsAtOnce = 1; }},
    {"spare", "a place is claimed only when none is left", [](ServerChoiceConfig& c) { c.m_MinFreeWithoutClaim = 1; }},
    {"tie", "equal views choose alike", [](ServerChoiceConfig& c) { c.m_TieBreakMs = 0; }},
    {"far", "other data centres' servers cost no more", [](ServerChoiceConfig& c) { c.m_RemotePenalty = Duration::zero(); }},
};

// False: no mechanism has that name.
bool LeaveOut(ServerChoiceConfig& config, std::string_view name)
{
    for (const Mechanism& m : kMechanisms)
        if (name == m.m_Name)
        {
            m.m_LeaveOut(config);
            return true;
        }
    std::cerr << "no mechanism '" << name << "'; there are:\n";
    for (const Mechanism& m : kMechanisms)
        std::cerr << "  " << m.m_Name << ": " << m.m_What << "\n";
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("aldervale-lab", "Plays a load pattern (loads/*.toml) against the decisions of routers, in virtual time");
    options.add_options()("pattern", "TOML file", cxxopts::value<std::string>())("seed", "of everything random",
                                                                                 cxxopts::value<uint64_t>()->default_value("1"))(
        "bound", "one router that knows the present state of all servers")("ask", "routers ask boxes for a place")(
        "claim", "and claim one where there are few")("seconds", "print each second")("set", "KEY=VALUE in place of the pattern's",
                                                                                      cxxopts::value<std::vector<std::string>>())(
        "without", "leave a mechanism out; an unknown name lists them", cxxopts::value<std::vector<std::string>>())("help", "this text");
    options.parse_positional({"pattern"});
    try
    {
        const cxxopts::ParseResult args = options.parse(argc, argv);
        if (args.count("help") > 0 || args.count("pattern") == 0)
        {
            std::cout << options.help() << "\n";
            return args.count("help") > 0 ? 0 : 2;
        }
        LoadPattern                     pattern;
        const std::vector<std::string>  set    = args.count("set") > 0 ? args["set"].as<std::vector<std::string>>() : std::vector<std::string>();
        const std::vector<SettingFault> faults = LoadSettings(args["pattern"].as<std::string>(), set, DescribePattern(pattern));
        for (const SettingFault& f : faults)
            std::cerr << FormatFault(f) << "\n";
        if (!faults.empty())
            return 2;
        ServerChoiceConfig config;
        if (args.count("without") > 0)
            for (const std::string& name : args["without"].as<std::vector<std::string>>())
                if (!LeaveOut(config, name))
                    return 2;
        const PoolView view = args.count("bound") > 0   ? PoolView_Bound
                              : args.count("claim") > 0 ? PoolView_Claimed
                              : args.count("ask") > 0   ? PoolView_Asked
                                                        : PoolView_Reports;
        std::printf("%s\n", pattern.m_What.c_str());
        Print(EmulatePool(pattern, config, view, args["seed"].as<uint64_t>()), args.count("seconds") > 0);
        return 0;
    }
    catch (const cxxopts::exceptions::exception& e)
    {
        std::cerr << e.what() << "\n";
        return 2;
    }
}
