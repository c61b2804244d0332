// Patterns of load. See load_pattern.h.
#include "emulator/load_pattern.h"

namespace aldervale
{

std::vector<SettingSpec> DescribePattern(LoadPattern& p)
{
    return {
        {"what", SettingText{&p.m_What, {}, true}, "what it shows, one line"},
        {"seconds", SettingReal{&p.m_Seconds, 1, 600}, "length"},
        {"servers", SettingInt{&p.m_Servers, 1, 10'000}, "model servers at first"},
        {"routers", SettingInt{&p.m_Routers, 1, 1000}, "routers"},
        {"data_centres", SettingInt{&p.m_DataCentres, 1, 100}, "routers and servers are spread over them"},
        {"rates", SettingList{&p.m_Rates}, "\"SECOND RATE\": requests a second from then on"},
        {"kinds", SettingList{&p.m_Kinds}, "\"SHARE PROMPT ANSWER GOAL_MS WORTH [PRIORITY]\" of each kind of request"},
        {"honours", SettingReal{&p.m_Honours, 0, 1}, "share of refused callers that come back when told; the others at once"},
        {"knows_back", SettingInt{&p.m_KnowsBack, 0, 2}, "1: routers know who was refused before; 2: they know by records"},
        {"limit_s", SettingReal{&p.m_LimitS, 0.1, 600}, "a caller's deadline, seconds"},
        {"grow.at_s", SettingReal{&p.m_GrowAtS, -1, 600}, "when empty servers come; negative: never"},
        {"grow.by", SettingInt{&p.m_GrowBy, 0, 10'000}, "how many"},
        {"lose.at_s", SettingReal{&p.m_LoseAtS, -1, 600}, "when all processes are killed; negative: never"},
        {"lose.for_s", SettingReal{&p.m_LostS, 0, 600}, "how long they are away"},
        {"none.from_s", SettingReal{&p.m_NoneFromS, -1, 600}, "from when no server may begin a request; negative: never"},
        {"none.for_s", SettingReal{&p.m_NoneS, 0, 600}, "how long"},
        {"report.near_ms", SettingReal{&p.m_ReportNearMs, 0, 10'000}, "between reports to routers of the own data centre, ms"},
        {"report.far_ms", SettingReal{&p.m_ReportFarMs, 0, 10'000}, "and to others, ms"},
        {"report.follow", SettingReal{&p.m_Follow, 0, 1}, "share of other data centres' servers whose reports a router follows; 0: all"},
        {"spread", SettingReal{&p.m_Spread, 0, 10}, "of prompts and answers, standard deviation over mean"},
        {"engine.slots", SettingInt{&p.m_Slots, 1, 1000}, "requests that a server works on at the same time"},
        {"engine.step_ms", SettingReal{&p.m_StepMs, 0.001, 1000}, "one token of a batch, ms"},
        {"engine.read_per_ms", SettingReal{&p.m_ReadPerMs, 0.001, 1e6}, "prompt tokens read in a ms"},
        {"engine.steps_per_pass", SettingInt{&p.m_StepsPerPass, 1, 1000}, "token steps between two reads"},
        {"slow.share", SettingReal{&p.m_SlowShare, 0, 1}, "share of the servers that are slower than declared"},
        {"slow.factor", SettingReal{&p.m_SlowFactor, 1, 100}, "how many times as long they take"},
        {"slow.above", SettingInt{&p.m_SlowAbove, 0, 1000}, "only while more requests than this are in the batch"},
        {"learn_capacity", SettingBool{&p.m_Learn}, "boxes learn the capacity of their servers from outcomes"},
        {"report.poll_ms", SettingReal{&p.m_PollMs, 1, 10'000}, "between two looks of a box at its server, ms"},
    };
}

} // namespace aldervale
