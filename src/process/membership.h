// aldervale: who is there, from three sources of different worth
//
//   the platform's box list   lags; may show a box as live that is gone, or as leaving that is back under the same address
//   links and heartbeats      fresh; a missing one may also be our own cut
//   the agent's own word      "leaving" in its heartbeat; the best there is
//
// Rules, in this order:
//   1. A box whose own heartbeat says leaving takes no new work.
//   2. A box that the list shows leaving or gone takes no new work, unless an incarnation that joined after the list's version was
//      made talks to us: the lagging list may speak of its predecessor.
//   3. A box without heartbeats for m_SuspectAfter takes no new work.
//
// Pure: events and times in, answers out.

#pragma once
#include "common/clock.h"
#include "common/verdict.h"
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace aldervale
{

enum ListState
{
    ListState_Live,
    ListState_Leaving,
    ListState_Gone, // the platform vouches that nothing runs there any more
};

struct BoxListEntry
{
    std::string m_Name;                   //
    ListState   m_State = ListState_Live; //
    uint64_t    m_Boot  = 0;              // platform's count of starts of this box; 0: not told
};

struct BoxList
{
    uint64_t                            m_Version = 0; // grows with every change at the platform
    std::map<std::string, BoxListEntry> m_Entries;     // by box name
};

Result<BoxList> ParseBoxList(std::string_view text); // {"version": 7, "boxes": [{"name": "box-1", "state": "live", "boot": 1}]}
std::string     SerializeBoxList(const BoxList& list);

struct MembershipConfig
{
    Duration m_SuspectAfter = milliseconds(3500); // silence after which a box gets no new work
};

class Membership
{
public:
    explicit Membership(MembershipConfig cfg) : m_Config(cfg) {}

    void OnList(BoxList list, TimePoint now);                                                     // ignored unless newer
    void OnHello(const std::string& name, uint64_t incarnation, TimePoint now);                   //
    void OnHeartbeat(const std::string& name, uint64_t incarnation, bool leaving, TimePoint now); // of an older incarnation: ignored
    void OnLinkLost(const std::string& name, uint64_t incarnation);                               //

    bool                     Usable(const std::string& name, TimePoint now) const; // may get new work
    bool                     Gone(const std::string& name) const;                  // the platform's list shows it gone
    std::vector<std::string> GoneBoxes() const;
    uint64_t                 ListVersion() const { return m_List.m_Version; }
    const BoxList&           List() const { return m_List; }

private:
    struct Seen
    {
        uint64_t  m_Incarnation = 0;      // of the process that talks to us
        TimePoint m_LastHeard{};          //
        bool      m_Linked       = false; //
        bool      m_Leaving      = false; // its own word
        uint64_t  m_JoinedAtList = 0;     // list version known when this incarnation replaced another one
        bool      m_Replaced     = false; // an earlier incarnation was known
    };

    MembershipConfig            m_Config; //
    BoxList                     m_List;   // newest seen; m_Version never falls
    std::map<std::string, Seen> m_Seen;   // by box name
};

} // namespace aldervale
