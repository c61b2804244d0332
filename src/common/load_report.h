// aldervale: what a model server's box tells routers of its load
#pragma once
#include <cstdint>

namespace aldervale
{

struct LoadReport
{
    uint32_t m_Running  = 0;     // requests in the batch
    uint32_t m_Waiting  = 0;     // requests taken, not yet in the batch
    float    m_Pace     = 1;     // over 1: the engine is that much slower than declared
    uint64_t m_Weights  = 0;     // version that it holds whole; 0: none, takes no requests
    uint64_t m_Target   = 0;     // version that it should hold, as its agent knows
    bool     m_Starting = false; // it takes nothing new: another version is being started
    uint32_t m_Routers  = 0;     // routers that asked for its reports lately
};

} // namespace aldervale
