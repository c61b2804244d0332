// aldervale: decides which boxes an agent asks for its server's model, and when
//
// Pure: the time and a random seed are passed in.
//
// Load pattern: servers are added to a loaded service, 40 within half a second beside 58 that serve. Routers tell an agent its model only after they
// have read the list of servers with its server in it: 1.3 s after its start. Agents of the same service know the model already, and the list's rows
// give their addresses before any router knows this agent.
//
// Rules:
//   - kNamingAskedAtOnce boxes are asked at a time, and others after kNamingAnswerWait without an answer. Boxes whose servers hold weights go first:
//     the others may just have started, too. Within both groups the order is random, so that agents that start together ask different boxes.
//   - After kNamingQuickRounds rounds the pause doubles with each round, up to kNamingPauseMax: after a loss of all power no box knows the model, and
//     hundreds of agents would ask each other.
//   - While no box is left to ask, a few rows of the list are read from the store: at most kNamingReads times, and not sooner than kNamingReadPause
//     after the last time. A row takes about 400 bytes and each call is priced; 200 agents that start together share one link to the store.
//   - Where the rows of a service lie is unknown. The first read begins at random hexadecimal digits, the next one at a random digit after what the
//     keys of the first one have in common. Ids without such digits in them are read from the first one on.
//
// Usage (src/programs/platform_agent.cpp):
//   NamingSearch s(seed);
//   if (s.WantsRows(now)) { read kNamingRows rows from s.BeginRead(now) on; s.OnRows(keys); s.SetBoxes(boxes); }
//   for (const Endpoint& box : s.Next(now)) ask it;

#pragma once
#include "common/hash.h"
#include "connection/load_channel.h"
#include <set>

namespace aldervale
{

constexpr size_t   kNamingAskedAtOnce = 3;
constexpr auto     kNamingAnswerWait  = milliseconds(150);  // a way and back between regions takes 4 to 8 ms, and a busy box some tens
constexpr unsigned kNamingQuickRounds = 4;                  // 12 boxes, as many as one read may give
constexpr auto     kNamingPauseMax    = milliseconds(2400); // by then a router has mostly told
constexpr unsigned kNamingRows        = 10;                 // rows of one read, about 4 KB
constexpr unsigned kNamingReads       = 2;                  // of a process: 8 KB
constexpr auto     kNamingReadPause   = milliseconds(1000); // from the begin of a read to that of the next one

struct NamingBox
{
    Endpoint m_At;            // of its agent
    bool     m_Holds = false; // its server holds weights
};

class NamingSearch // used on one thread
{
public:
    explicit NamingSearch(uint64_t seed) : m_Random(seed) {}

    void                  SetBoxes(std::vector<NamingBox> boxes);    // of the own service, without the own one; those asked before go last
    bool                  WantsRows(TimePoint now) const;            // true: read a few rows of the list now
    std::string           BeginRead(TimePoint now);                  // returns the key from which on; at most kNamingRows rows
    void                  OnRows(std::span<const std::string> keys); // what it gave, of all services
    std::vector<Endpoint> Next(TimePoint now);                       // boxes to ask now

private:
    bool AllAsked() const { return m_NextBox >= m_Boxes.size(); }

    Random                 m_Random;        //
    std::vector<NamingBox> m_Boxes;         // in the order in which they are asked
    size_t                 m_NextBox = 0;   // place in m_Boxes of the one that is asked next; past the end: begin again
    std::set<Endpoint>     m_Asked;         //
    unsigned               m_Rounds = 0;    //
    TimePoint              m_NextRoundAt{}; //
    unsigned               m_Reads = 0;     // begun
    TimePoint              m_NextReadAt{};  //
    std::string            m_CommonPrefix;  // of the keys of the last read
};

} // namespace aldervale
