// aldervale: rank of a request among those that claim a place, by its priority
//
// Pure logic without I/O or clocks. Input: priorities of requests (of their client account, else of their route), decisions and times. Output: ranks;
// a claim with a lower rank is granted first (place_line.h).
//
// Intended load: more requests of one service than its servers can take, of kinds that differ in urgency, or one kind that is requested several times
// as often as usual. Without ranks the kinds were refused alike: with the least urgent kind asked three times as often for 12 s, the most urgent one
// fell from 0.80 to 0.69 over the day.
//
// How it decides:
//   - The rank is the number of more urgent levels that were requested lately. The level of a request is its priority, which is its client account's
//     if that has one, and then its route's (LevelOf()): the requests of one account differ in urgency, too. A service with one level has one rank.
//   - Rank 0 also goes to requests of a kind or a client account of which less than m_RaisedBelowShare of the share of all requests was admitted
//     lately: ranks decide who is refused first, and nobody may be refused altogether. A kind or an account counts as starved at a quarter of the
//     share of all.
//   - An account of which a router sees less than one request a second is judged by its last few ones. When these decayed like the others, it was
//     never judged, and one with the last rank was refused altogether.
//
// Usage:
//   Urgency u;
//   const unsigned rank = u.RankOf(level, account, now);
//   u.OnDecided(level, account, admitted, now);          // each first attempt

#pragma once
#include "common/clock.h"
#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace aldervale
{

struct UrgencyConfig
{
    Duration m_Window           = seconds(4);  // time constant with which decisions decay; bursts take 3 to 7 s
    Duration m_LevelMaxAge      = seconds(60); // a level that wasn't requested for this long doesn't count
    double   m_RaisedBelowShare = 0.5;         // twice the share at which a kind or an account counts as starved
    double   m_DecisionsMin     = 4;           // decisions on a kind or an account below which it isn't judged, and that don't decay
    Duration m_JudgedFor        = seconds(12); // after the last decision on it
    size_t   m_AccountsMax      = 1024;        // the one decided upon longest ago is forgotten first
};

constexpr unsigned kRoutePriorities = 16; // more than a route's priority can be

// 0 is the most urgent level. priority: of the client account if it has one, else of the route.
constexpr unsigned LevelOf(unsigned priority, unsigned route_priority)
{
    return priority * kRoutePriorities + std::min(route_priority, kRoutePriorities - 1);
}

class Urgency // of one service at one router; used on one thread
{
public:
    explicit Urgency(const UrgencyConfig& cfg = {}) : m_Config(cfg) {}

    unsigned RankOf(unsigned level, std::string_view account, TimePoint now) const;
    void     OnDecided(unsigned level, std::string_view account, bool admitted, TimePoint now);
    bool     IsStarved(unsigned level, std::string_view account, TimePoint now) const; // raised to rank 0

private:
    struct Counts // with exponential decay
    {
        double    m_Decided  = 0; //
        double    m_Admitted = 0; // at most m_Decided
        TimePoint m_At{};         // of the last decision

        double Share() const { return m_Decided > 0 ? m_Admitted / m_Decided : 1; }
    };

    double Keep(const Counts& counts, TimePoint now) const; // share of earlier decisions that still counts
    void   Count(Counts& counts, bool admitted, TimePoint now) const;
    bool   IsStarved(const Counts& counts, TimePoint now) const;

    UrgencyConfig                              m_Config;    //
    Counts                                     m_All;       //
    std::map<unsigned, Counts>                 m_ByLevel;   //
    std::map<std::string, Counts, std::less<>> m_ByAccount; // at most m_Config.m_AccountsMax
};

} // namespace aldervale
