// aldervale: which lifetime of a backend server something was said of
//
// Usage:
//   ServerLife life{"i-7f3a91c2", 1764720000123};
//   if (ServerLife::Earlier(report.m_BornMs, known.m_BornMs)) return;   // it says nothing of the server that runs now

#pragma once
#include <cstdint>
#include <string>

namespace aldervale
{

// One lifetime of a server. It may start again under the id that it had; then it holds nothing of before, and nothing of before counts.
struct ServerLife
{
    std::string m_Id;         //
    int64_t     m_BornMs = 0; // Unix ms; 0: not told, then the id alone stands for it

    ServerLife(std::string id, int64_t born_ms = 0) : m_Id(std::move(id)), m_BornMs(born_ms) {}
    ServerLife(const char* id) : m_Id(id) {}

    // Who doesn't tell a time is taken for the same lifetime.
    static bool Earlier(int64_t born_ms, int64_t than_ms) { return born_ms > 0 && than_ms > 0 && born_ms < than_ms; }
    bool        Is(const ServerLife& o) const { return m_Id == o.m_Id && !Earlier(m_BornMs, o.m_BornMs) && !Earlier(o.m_BornMs, m_BornMs); }
};

uint64_t LifeHash(const ServerLife& life); // stable across processes

} // namespace aldervale
