// aldervale: what a model server's box tells routers of its load
#pragma once
#include <cstdint>
#include <vector>

namespace aldervale
{

struct NamedAge // a version of weights that should replace older ones
{
    uint64_t m_Version = 0;
    int64_t  m_AgeMs   = -1; // since it was declared, by a bound or else by the time of learning, both told by routers; negative: unknown
    bool     operator==(const NamedAge&) const = default;
};

struct LoadReport
{
    uint32_t              m_Running  = 0;     // requests in the batch
    uint32_t              m_Waiting  = 0;     // requests taken, not yet in the batch
    float                 m_Pace     = 1;     // over 1: the engine is that much slower than declared
    uint64_t              m_Weights  = 0;     // version that it holds whole; 0: none, takes no requests
    bool                  m_Starting = false; // it takes nothing new: another version is being started
    int64_t               m_BornMs   = 0;     // of the server's lifetime that this is of, Unix ms; 0: not told
    uint32_t              m_Routers  = 0;     // routers that asked for its reports lately
    uint32_t              m_Promised = 0;     // answers to a router's question: places promised to others and not seen at the server yet
    float                 m_UnreadMs = -1;    // the same: engine time until the prompts there are read; negative: it is a report
    uint32_t              m_Capacity = 0;     // requests that the server was found to serve well at once; 0: not known
    std::vector<NamedAge> m_Named;            // newest version named, and each other one that is newer than m_Weights
};

} // namespace aldervale
