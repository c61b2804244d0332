// aldervale: the list of backend servers, told by the few that read it from the store to all others
//
// Pure: reads of the list, news and times in; news and decisions out. A standing request of the store ends at any row of any table, so each
// reader asks about once a second: 149 routers that each read for themselves made 7,000 calls in a minute, 204 agents another 4,000. Who reads
// the declarations (declarations_spread.h) reads the list, too, and tells the routers of its region and the boxes of its data centre what changed.
//
// How it is told:
//   - News are datagrams: rows that changed from one store version to another. Each follows on what was told before, so who misses one sees the
//     gap, at the latest with the next sign of life (kServersNewsEvery).
//   - Who sees a gap asks the teller at once for what changed since, and reads itself only if that brings nothing. 29 routers of a region that
//     each read 200 to 400 kB over the region's one link of 26 Mbit/s had them 2 to 4 s later.
//   - Intervals may overlap: two readers of a region each tell all that they read. A row that is known already changes nothing.
//   - What is told has an age: how long ago the store was asked for the answer that confirmed it. What a process holds is as old as the best
//     that it was told, or read itself. A sign of life says nothing more: readers that the store had fallen silent to went on telling that
//     they live, and a region sent to servers for 4 to 5 s after those had said that they leave.
//   - Whoever holds nothing younger than m_Fresh reads for itself, the better its rank the sooner, and tells the others. So the age of what
//     anybody acts on has one bound, whatever failed: kServersFresh and what it takes to read (kServersKnownMax). Two leads of a
//     region that were cut off from the store while the third router was not, and waited for them, had it send 7 requests to a server 2.1 to 2.6 s
//     after that had said that it leaves.
//
//   - Who holds nothing asks who told it for the whole list, and reads it from the store only if nobody gives it: after m_First, and then in
//     exponentially growing steps by its rank, or by chance while no rank is known.
//
// Usage (src/programs/platform_router.cpp, platform_agent.cpp):
//   for (const ServersTold& t : SplitServerNews(since, changes)) ...                  // a reader, after each answer of the store
//   if (listener.OnNews(told, directory.StoreVersion(), now)) use told.m_Rows;        // others
//   follower_config.m_Urgent = [&] { return listener.Reads(directory.StoreVersion(), rank, Now()); };

#pragma once
#include "external/row_source.h"

namespace aldervale
{

constexpr auto   kServersNewsEvery = milliseconds(250); // signs of life of a reader; three may be lost before anybody notices
constexpr size_t kServersNewsBytes = 5000;              // of the rows in one datagram, about; compressed they are some 1000
constexpr auto   kServersAskEvery  = milliseconds(150); // of a process with a gap: a way and back, and what is sent to others that ask

// A reader asks, waits, pauses and asks again: with one of two readers gone and one answer late, what it tells is still fresh.
constexpr auto kServersWait   = milliseconds(100);  // of a reader's standing request, which any row of any table ends
constexpr auto kServersMargin = milliseconds(1200); // for its answer beyond that
constexpr auto kServersQuiet  = milliseconds(700);  // pause of a reader after an answer without changes

// The aim: so long after a server said that it leaves, no router sends to it any more. The smallest that deployments ask for.
constexpr auto   kServersKnownMax = milliseconds(2000);
constexpr auto   kServersFresh = milliseconds(1200); // age at which what is held needs to be confirmed; a single reader's news are 0.95 s old at most
constexpr auto   kServersStagger     = milliseconds(40);  // between two ranks that then begin to read
constexpr size_t kServersStaggersMax = 5;                 // ranks beyond that begin together
constexpr auto   kServersLook        = milliseconds(50);  // how often a process asks itself whether it needs to read
constexpr auto   kServersOwnRead     = milliseconds(150); // of one that hasn't read before: a connection and an answer
constexpr auto   kServersAttempt     = milliseconds(250); // from the choice of a server until the request is there

static_assert(2 * kServersWait + kServersQuiet < kServersFresh, "a reader that is answered keeps the others from reading");
static_assert(kServersFresh + kServersStagger * static_cast<int>(kServersStaggersMax) + kServersLook + kServersOwnRead + kServersAttempt <=
                  kServersKnownMax,
              "all steps together keep the aim");

struct ServersTold // one datagram
{
    uint64_t m_Since = 0;     // see wire::ServersNews
    bool     m_Lost  = false; //
    Duration m_Unsettled{};   //
    Duration m_CheckedAge{};  // since the store was asked for the answer that confirms m_StoreVersion as the newest
    bool     m_More = false;  // another datagram of the same changes follows: this one confirms nothing
    RowRead  m_Rows;          // m_StoreVersion: that they lead to
};

struct ServerNewsPatience
{
    Duration m_Fresh  = kServersFresh;      // age of what is held
    Duration m_Behind = milliseconds(600);  // with a gap: the other reader of the region mostly fills it within that
    Duration m_First  = milliseconds(1500); // since the start, for the whole list from another process
};

// Of an agent: it needs the other boxes when weights come, and 204 of them mustn't read because one router is away.
constexpr ServerNewsPatience kAgentPatience = {seconds(6), milliseconds(600), seconds(4)};

constexpr auto   kServersFirstStagger = milliseconds(120); // beyond m_First, of the first place; doubles with each further one
constexpr size_t kServersFirstPlaces  = 8;                 // places beyond that begin together, after 31 s

// What changed since a store version, in datagrams that each follow on the one before; at least one. Rows in any order.
std::vector<ServersTold> SplitServerNews(uint64_t since, RowRead changes);

class ServerNewsReader // touched on one thread
{
public:
    void        OnAnswer(TimePoint asked) { m_AskedAt = std::max(m_AskedAt, asked); } // the store answered about the list
    TimePoint   CheckedAt() const { return m_AskedAt; }
    ServersTold SignOfLife(uint64_t held, bool reachable, TimePoint now) const; // or that it can't read. reachable: its last read didn't fail

private:
    TimePoint m_AskedAt{}; // when the store was asked for its last answer: that holds all that was written before
};

class ServerNewsListener // touched on one thread
{
public:
    ServerNewsListener(TimePoint now, const ServerNewsPatience& patience) : m_Patience(patience), m_StartedAt(now), m_CheckedAt(now) {}

    bool OnNews(const ServersTold& told, uint64_t held, TimePoint now);                // true: its rows follow on what is held
    bool Asks(uint64_t held, TimePoint now);                                           // true: ask who told now; call after OnNews()
    void OnOwnRead(TimePoint asked) { m_CheckedAt = std::max(m_CheckedAt, asked); }    // the store answered this process; asked: when it was asked
    bool Reads(uint64_t held, size_t rank, TimePoint now) const;                       // this process needs the store's list itself
    void OnWholeList(TimePoint asked, TimePoint now);                                  // another process gave it; asked: when the store was
    bool ReadsFirst(size_t place, TimePoint now) const;                                // it holds nothing, and others may give it the list
    bool Behind(uint64_t held, TimePoint now) const;                                   // a gap, and nobody fills it
    bool Stale(TimePoint now) const { return now - m_CheckedAt > m_Patience.m_Fresh; } // nobody has confirmed lately what is held

    TimePoint CheckedAt() const { return m_CheckedAt; }
    uint64_t  Newest() const { return m_Newest; }

private:
    ServerNewsPatience m_Patience; //

    uint64_t  m_Newest = 0; // store version that some reader told of
    TimePoint m_StartedAt;  // of the process
    TimePoint m_CheckedAt;  // all that the store held then is held here; at first the start of the process
    TimePoint m_NewestAt{}; // when m_Newest rose
    TimePoint m_AskedAt{};  // a teller, for what was missed
};

} // namespace aldervale
