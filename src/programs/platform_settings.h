// Settings that the router and the agent on the users' platform share.
#pragma once
#include "platform/contracts.h"
#include "process/daemon.h"

namespace aldervale
{

struct PlatformSettings
{
    std::string m_Store;      // the platform's metadata store [store]
    std::string m_Ip;         // of this box [internal.ip]
    int64_t     m_Port   = 0; // links and load reports between our processes; the same on all boxes [internal.port]
    double      m_GraceS = 8; // from SIGTERM until the process is killed [grace_s]
    std::string m_Contracts;  // that this deployment meets, as the platform lists them, separated by commas [contracts]
    std::string m_Region;     // of data centres with wide links between them; empty: this data centre alone [region]
};

constexpr auto kListRest = seconds(3600); // mean pause of a process that is told of the list of servers; it ends when it isn't any more

constexpr double kGraceUsed = 0.92; // part of the grace that a drain may take: ending itself takes time too

constexpr auto kEndMargin = 2 * kCutOffMax; // of the grace, after the drain: for callers to be told that it is over, and for the end itself

inline Duration LongestDrain(const PlatformSettings& s)
{
    return std::max(Duration::zero(), std::min<Duration>(FromSeconds(s.m_GraceS * kGraceUsed), FromSeconds(s.m_GraceS) - kEndMargin));
}

inline std::vector<SettingSpec> DescribePlatform(PlatformSettings& s)
{
    return {
        {"store", SettingAddress{&s.m_Store, false, true}, "the platform's metadata store"},
        {"internal.ip", SettingText{&s.m_Ip, {}, true}, "IP number of this box"},
        {"internal.port", SettingInt{&s.m_Port, 1, 65535}, "port of links and load reports between our processes, the same on all boxes"},
        {"region", SettingText{&s.m_Region, {}, false}, "name of the region; data centres of one have wide links to each other"},
        {"grace_s", SettingReal{&s.m_GraceS, 0, 3600}, "seconds from SIGTERM until the process is killed"},
        {"contracts", SettingText{&s.m_Contracts, {}, false},
         "names of the contracts that the platform lists, separated by commas; some turn settings on"},
    };
}

inline bool LearnsCapacity(const PlatformSettings& s, bool set)
{
    return set || platform::DecodeContracts(s.m_Contracts).m_LearnCapacity;
}

inline Result<Endpoint> InternalEndpoint(const PlatformSettings& s)
{
    return ParseEndpoint(s.m_Ip + ":" + std::to_string(s.m_Port));
}

} // namespace aldervale
