// aldervale: the list of backend servers, told by the few that read it from the store to all others
//
// Pure: reads of the list, news and times in; news and decisions out. A standing request of the store ends at any row of any table, so each
// reader asks about once a second: 149 routers that each read for themselves made 7,000 calls in a minute, 204 agents another 4,000. Who reads
// the declarations (declarations_spread.h) reads the list, too, and tells the routers of its region and the boxes of its data centre what changed.
//
// How it is told:
//   - News are datagrams: rows that changed from one store version to another. Each follows on what was told before, so who misses one sees the
//     gap, at the latest with the next sign of life (kServersNewsEvery), and reads from the store where it is.
//   - Intervals may overlap: two readers of a region each tell all that they read. A row that is known already changes nothing.
//   - Who hears of no reader that reaches the store for m_Silent reads for itself, the better its rank the sooner, and tells the others: a
//     server that leaves must be known within two seconds. Two leads of a region that were cut off from the store while the third router
//     was not, and waited for them, had it send 7 requests to a server 2.1 to 2.6 s after that had said that it leaves.
//
// Usage (src/programs/platform_router.cpp, platform_agent.cpp):
//   for (const ServersTold& t : SplitServerNews(since, changes)) ...                  // a reader, after each answer of the store
//   if (listener.OnNews(told, directory.StoreVersion(), now)) use told.m_Rows;        // others
//   follower_config.m_Urgent = [&] { return listener.Reads(directory.StoreVersion(), rank, Now()); };

#pragma once
#include "external/row_source.h"

namespace aldervale
{

constexpr auto   kServersNewsEvery   = milliseconds(250);  // signs of life of a reader; three may be lost before anybody notices
constexpr auto   kServersStagger     = milliseconds(60);   // between two ranks that begin to read for want of news
constexpr auto   kServersFirst       = milliseconds(3000); // of a process that starts: until it is known to who reads
constexpr auto   kServersAnswered    = milliseconds(3500); // of a reader: since its last answer; a standing request waits 2 s
constexpr auto   kServersWait        = milliseconds(2000); // of a reader's standing request: a silent connection is seen in 3.2 s
constexpr auto   kServersMargin      = milliseconds(1200); // for its answer beyond that
constexpr auto   kServersQuiet       = milliseconds(700);  // pause of a reader after an answer without changes
constexpr size_t kServersNewsBytes   = 1000;               // of the rows in one datagram, about
constexpr size_t kServersStaggersMax = 10;                 // ranks beyond that begin together

// The aim: so long after a server said that it leaves, no router sends to it any more. The smallest that deployments ask for.
constexpr auto kServersKnownMax = milliseconds(2000);
constexpr auto kServersAttempt  = milliseconds(250); // part of it from the choice of a server until the request is there

struct ServersTold // one datagram
{
    uint64_t m_Since = 0;     // see wire::ServersNews
    bool     m_Lost  = false; //
    Duration m_Unsettled{};   //
    RowRead  m_Rows;          // m_StoreVersion: that they lead to
};

struct ServerNewsPatience
{
    Duration m_Silent = milliseconds(800); // without news of a reader that reaches the store
    Duration m_Behind = milliseconds(600); // with a gap: the other reader of the region mostly fills it within that
};

// Of an agent: it needs the other boxes when weights come, and 204 of them mustn't read because one router is away.
constexpr ServerNewsPatience kAgentPatience = {seconds(6), milliseconds(600)};

// What changed since a store version, in datagrams that each follow on the one before; at least one. Rows in any order.
std::vector<ServersTold> SplitServerNews(uint64_t since, RowRead changes);

class ServerNewsReader // touched on one thread
{
public:
    void        OnAnswer(TimePoint now) { m_AnsweredAt = now; }                 // of the store, about the list
    ServersTold SignOfLife(uint64_t held, bool reachable, TimePoint now) const; // or that it can't read. reachable: its last read didn't fail

private:
    TimePoint m_AnsweredAt{}; //
};

class ServerNewsListener // touched on one thread
{
public:
    ServerNewsListener(TimePoint now, const ServerNewsPatience& patience) : m_Patience(patience), m_HeardAt(now + kServersFirst) {}

    bool OnNews(const ServersTold& told, uint64_t held, TimePoint now);                // true: its rows follow on what is held
    bool Reads(uint64_t held, size_t rank, TimePoint now) const;                       // this process needs the store's list itself
    bool Behind(uint64_t held, TimePoint now) const;                                   // a gap, and nobody fills it
    bool Silent(TimePoint now) const { return now - m_HeardAt > m_Patience.m_Silent; } // nobody tells

private:
    ServerNewsPatience m_Patience; //

    uint64_t  m_Newest = 0; // store version that some reader told of
    TimePoint m_HeardAt;    // of the last news of a reader that reaches the store; kServersFirst after the start before that
    TimePoint m_NewestAt{}; // when m_Newest rose
};

} // namespace aldervale
