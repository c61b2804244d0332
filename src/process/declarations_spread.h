// aldervale: which routers read long declarations from the store, and how the others come to hold them
//
// Pure: news, answers and times in; decisions out. Reading declarations costs a region's link their bytes for every reader: 1.1 MB (4,200 routes)
// to 9 routers over 24 Mbit/s take 3.4 s, to 18 of them 6.8 s. So two routers of a region, its leads, follow the store; the others hear
// of new versions from them and fetch differences. Where another region's news come before the own read has ended (that region is near the store),
// the leads fetch differences from there and don't read either. Then a version costs a region's link two differences, however many routers
// it has; at worst two rows and a few more.
//
// A lead tells whom it knows. Lists of agents and meeting points may leave out routers of low ranks, so each router registers at the best ranks
// that it knows of; they keep it as long as it does.
//
// No lease and no vote: who hears nothing fresh reads for itself, the better its rank the sooner. Too many readers cost bytes, never truth:
// versions are the store's and only rise.
//   - A router's rank is the hash of its address among those of its region that agents list; the first kLeads are the leads.
//   - Fresh is what the store confirmed to somebody within kFresh. A reader that was refused, is frozen, slow or cut off from the store stops
//     confirming, and is passed by after kFresh + stagger.
//   - While bytes of a long answer come, others wait longer for it, each rank twice as long as the one before: a slow reader is passed by, and
//     still a full link isn't filled by all.
//
// Usage (src/process/declarations_peers.cpp):
//   DeclarationsSpread s(address, Now());
//   s.SetPeers(listed, now); s.OnNews(news, now); s.OnStoreAnswer(version, now); s.OnFetched(version, checked_age, now);
//   if (s.Reads(now)) ...                                  // follow the store
//   for (const Endpoint& to : s.Audience(now)) ...         // tell them
//   if (auto from = s.FetchFrom(now)) ...                  // behind: ask this one

#pragma once
#include "connection/router_list.h"
#include <map>

namespace aldervale
{

constexpr size_t kLeads = 2; // of a region: one may fail without anybody waiting for the other

// Who reads
constexpr auto   kFresh       = milliseconds(1200); // leads ask the store once in a second; longer than a pause, a wait and an answer
constexpr auto   kStagger     = milliseconds(120);  // until the first rank takes over when nothing comes; doubles with each further one
constexpr auto   kFlowStagger = milliseconds(400);  // the same while bytes come; doubles with each rank
constexpr auto   kWake        = milliseconds(400);  // of a lead that rested: to its first bytes, and to news of them
constexpr auto   kBehindMax   = milliseconds(1500); // of a router that can't fetch what others hold, before it reads for itself
constexpr size_t kLongAnswer  = 200 * 1024;         // bytes of rows: 65 ms of a link of 24 Mbit/s
constexpr auto   kQuickAnswer = milliseconds(150);  // for a long one, over a wide link to the store
constexpr auto   kSameAnswer  = milliseconds(300);  // between bytes of one answer: less than the shortest pause between two

// Who starts
constexpr auto   kFirstWait     = milliseconds(600);  // of a router that starts and holds nothing: in that time it hears of others
constexpr auto   kFirstNear     = milliseconds(3000); // in which it leaves fetching the whole from other regions to its leads
constexpr auto   kFirstStagger  = milliseconds(100);  // between routers that start, as long as no other is known
constexpr size_t kStaggersFirst = 8;                  // places of routers that start

// Who tells, who is asked
constexpr auto   kNewsEvery     = milliseconds(250);  // of who tells others; three may be lost before anything is passed by
constexpr auto   kNewsRecent    = milliseconds(600);  // who told within this is asked first: it isn't frozen
constexpr auto   kRelayCost     = milliseconds(60);   // added to an age told on: more than a way takes, so that routers don't keep each other fresh
constexpr auto   kPeerKept      = milliseconds(5000); // of a router that no agent lists and that tells nothing any more: two lists may be lost
constexpr auto   kRegisterEvery = milliseconds(1500); // of a router that leaves reading to others, to the best ranks: two may be lost
constexpr size_t kRegisteredAt  = 4;                  // best ranks of the region that it registers at: both leads and who takes over from them
constexpr size_t kPeersMax      = 8192;               // that are known: some 200 bytes each
constexpr auto   kFetchMax      = milliseconds(500);  // of one fetch; a difference comes within some tens of ms
constexpr auto   kAvoided       = milliseconds(1000); // a router whose fetch failed

struct SpreadNews // what another router told
{
    Endpoint m_From;          //
    uint64_t m_Version = 0;   // store version of the newest row that it holds
    Duration m_CheckedAge{};  // since the store confirmed that to anyone
    Duration m_FlowAge{};     // since bytes of the table came from the store to that router
    bool     m_Reads = false; // it follows the store, and was answered just now
    bool     m_Rests = false; // it would follow the store, but leaves that to another region
    bool     m_Near  = false; // it is in the own region
};

class DeclarationsSpread // touched on one thread
{
public:
    DeclarationsSpread(Endpoint self, TimePoint now);

    // What happened
    void SetPeers(std::span<const RouterPeer> listed, TimePoint now);      // by an agent; those that are not in it are kept for kPeerKept
    void OnNews(const SpreadNews& news, TimePoint now);                    // also from one that isn't listed yet
    void OnStoreBytes(TimePoint now);                                      // more of a long answer of the store came
    void OnStoreAnswer(uint64_t version, TimePoint now, size_t bytes = 0); // of rows; the newest row is `version`, and is held now
    void OnStoreBack(TimePoint now);                                       // it answered after a failure; what it holds isn't known yet
    void OnFetched(uint64_t version, TimePoint checked, TimePoint now);    // another router gave it; it is held now
    void OnFetchFailed(const Endpoint& from, TimePoint now);

    // What to do
    bool                    Reads(TimePoint now);           // follow the store
    bool                    Tells(TimePoint now) const;     // tell others every kNewsEvery and at once of a new version
    std::vector<Endpoint>   Audience(TimePoint now) const;  // whom
    std::vector<Endpoint>   Near() const;                   // routers of the own region
    std::vector<Endpoint>   RegisterAt() const;             // who has to know of this router, though it tells nothing new
    std::vector<Endpoint>   KnownToAll() const;             // routers known in all regions; may include this one
    std::vector<Endpoint>   AllPeers() const;               // all known routers: those of the own region and a few of each other region
    std::optional<Endpoint> FetchFrom(TimePoint now) const; // whom to ask for what is newer; nothing: nobody has it
    Duration                FetchTimeout(const Endpoint& from) const;
    SpreadNews              News(TimePoint now) const; // of the own process

    uint64_t  Held() const { return m_Held; }
    uint64_t  Heard() const { return m_Heard; } // never lower than Held(); falls when nobody that lives tells of it any more
    TimePoint CheckedAt() const { return m_CheckedAt; }
    size_t    Rank() const { return m_Rank; }
    bool      Lead() const { return m_PeersKnown && m_Rank < kLeads; }
    bool      PeersKnown() const { return m_PeersKnown; }
    size_t    Peers() const { return m_Peers.size(); }
    TimePoint FlowAt() const { return m_FlowAt; }

private:
    struct Peer
    {
        bool       m_Near = false;   // in the own region
        uint64_t   m_Rank = 0;       // RouterRank() of its address
        TimePoint  m_ListedAt{};     //
        TimePoint  m_HeardAt{};      // its last news; never: default
        SpreadNews m_News;           //
        TimePoint  m_RestedAt{};     // when it last said that it rests; never: default
        TimePoint  m_AvoidedUntil{}; // a fetch from it failed
        unsigned   m_Failures = 0;   // of fetches from it in a row
    };

    bool   Checked(TimePoint now) const { return now - m_CheckedAt < kFresh; }
    bool   ReadsFresh(const Peer& p, TimePoint now) const; // it follows the store, and said just now that it was answered just now
    size_t ReadersBefore(TimePoint now) const;             // routers of the region with better ranks that confirm what is held here, or more
    bool   ServedFromFar(TimePoint now) const;             // another region tells of new versions before the own reads end
    bool   Overdue(TimePoint now) const;                   // nobody has confirmed or sent anything for as long as the own rank waits
    bool   LeavesFar(TimePoint now) const;                 // fetching from other regions is for leads
    bool   LeadRested(TimePoint now) const;                // a lead of the region left reading to another region until just now
    bool   BehindLong(TimePoint now) const;                // others hold newer rows, and none of them gives them
    void   NoteFlow(TimePoint at);
    void   SetHeld(uint64_t version, TimePoint now);
    void   ForgetLostVersions(TimePoint now);
    void   SetRank();

    Endpoint                 m_Self;               //
    uint64_t                 m_SelfRank;           // RouterRank() of the own address
    std::map<Endpoint, Peer> m_Peers;              //
    size_t                   m_Rank       = 0;     // place of this router in its region, as listed
    bool                     m_PeersKnown = false; // an agent has listed routers, perhaps none but this one
    uint64_t                 m_Held       = 0;     // never falls
    uint64_t                 m_Heard      = 0;     // newest version that a live router told of; at least m_Held
    bool                     m_FarFirst   = false; // the newest version came from another region before it came from the store
    bool                     m_ReadsSlow  = false; // the last long answer came slowly; else reading costs little here
    bool                     m_TookOver   = false; // reads though it is no lead, or no other router is known
    TimePoint                m_StartedAt;          //
    TimePoint                m_HeldAt;             // when m_Held rose last, or m_Heard rose over it
    TimePoint                m_AnsweredAt{};       // the store's last answer to this router
    TimePoint                m_CheckedAt{};        // when somebody was last told by the store that m_Held is the newest
    TimePoint                m_OwnFlowAt{};        // when bytes of the table last came to this router
    TimePoint                m_AnswerSince{};      // when the first ones of that answer came
    TimePoint                m_FlowAt{};           // the same for any router heard of; not before m_OwnFlowAt
    TimePoint                m_FlowSince{};        // since when they have come without a pause of kFresh
};

} // namespace aldervale
