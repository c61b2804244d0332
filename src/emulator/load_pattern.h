// aldervale: what is asked of an emulated pool of servers, and what happens to it
//
// A pattern is a TOML file (loads/); the same loader as for settings checks it.
//
// Usage:
//   LoadPattern p;
//   std::vector<SettingFault> faults = LoadSettings("loads/burst.toml", {}, DescribePattern(p));

#pragma once
#include "process/settings.h"

namespace aldervale
{

struct LoadPattern
{
    std::string              m_What;                 // one line
    double                   m_Seconds     = 20;     //
    int64_t                  m_Servers     = 12;     // at first
    int64_t                  m_Routers     = 9;      //
    int64_t                  m_DataCentres = 3;      // routers and servers are spread over them by turns
    std::vector<std::string> m_Rates;                // "SECOND RATE": requests a second from then on
    std::vector<std::string> m_Kinds;                // "SHARE PROMPT ANSWER GOAL_MS WORTH [PRIORITY]", 0 without it
    double                   m_Honours      = 0.9;   // share of refused callers that come back when they are told; the others at once
    int64_t                  m_KnowsBack    = 1;     // 1: routers know by callers' limits who was refused before; 0: those don't tell; 2: by records
    double                   m_LimitS       = 6;     // a caller's deadline
    double                   m_GrowAtS      = -1;    // m_GrowBy empty servers come; negative: never
    int64_t                  m_GrowBy       = 0;     //
    double                   m_LoseAtS      = -1;    // all routers and servers are killed, and forget everything; negative: never
    double                   m_LostS        = 0.5;   // how long they are away
    double                   m_NoneFromS    = -1;    // no server may begin a request from then; negative: never
    double                   m_NoneS        = 0;     // how long
    double                   m_ReportNearMs = 70;    // between a server's reports to routers of its data centre
    double                   m_ReportFarMs  = 240;   // and to others
    double                   m_PollMs       = 75;    // between two looks of a box at its server
    double                   m_Follow       = 0;     // share of other data centres' servers whose reports a router follows; 0: all
    double                   m_Spread       = 0;     // of prompts and answers: standard deviation over mean
    int64_t                  m_Slots        = 16;    // of a server; these costs are a mid-sized model's
    double                   m_StepMs       = 6.73;  //
    double                   m_ReadPerMs    = 30.6;  // prompt tokens
    int64_t                  m_StepsPerPass = 6;     //
    double                   m_SlowShare    = 0;     // of the servers that are slower than declared
    double                   m_SlowFactor   = 1;     // by which they are
    int64_t                  m_SlowAbove    = 0;     // while more requests than this are in the batch
    bool                     m_Learn        = false; // boxes learn the capacity of their servers from outcomes (server_capacity.h)
};

std::vector<SettingSpec> DescribePattern(LoadPattern& p);

} // namespace aldervale
