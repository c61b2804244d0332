// aldervale: the backend servers that a process knows of, from the platform's list
//
// Pure: rows of the list and times in, usable servers out. Each server stands under its id, so an address that a later server takes over is
// another entry.
//
// What is believed, and why:
//   - A server may start again under its id: a row of an earlier lifetime than the known one (ServerLife) says nothing, however new the row.
//   - A row that can't be decoded names no server: what was known under its id ends for new work, until a later row can be read.
//   - A row that names a server as draining, or that goes away, ends new work for it at once.
//   - So does a server's own word that it leaves, in an answer to this process, until a later lifetime is listed: rows may lag behind it, and some
//     servers never change theirs. Other processes hear it from the server.
//   - While the list's store can't be reached, entries run out although their servers live. So an entry that goes away until kLapseGrace after the
//     store was reached again stays usable until that moment, or, if the store is lost once more before, until the same after that. Whether a
//     row may have run out so is known to who read it: of a row that another process told, that process's doubt counts, and the word of one
//     without a doubt ends it. Doubts of others say nothing of other rows: they come back one by one, and entries would never end.
//   - A row older than what is already known of the same id is ignored, also than that it went away: reads may lag behind, and a router that
//     comes back tells others all that it missed. So whatever goes away leaves the version behind at which it went, kept or not.
//
// Usage:
//   ServerDirectory d;
//   d.OnRow(entry, text); d.OnRowGone(id, row_version, now); d.OnReadAll(entries, store_version, now);
//   for (const ServerEntry* s : d.Usable("books")) ...
//   if (auto changes = d.ChangesSince(version)) ...      // for a process that holds that version

#pragma once
#include "common/server_life.h"
#include "connection/link.h"
#include "external/row_source.h"
#include <map>
#include <string>
#include <vector>

namespace aldervale
{

constexpr auto kLapseGrace = milliseconds(1900); // servers write their entries again within about two seconds of the store's return

struct ServerEntry
{
    std::string m_Id;                 // a server that starts again mostly has another one
    std::string m_Service;            //
    Endpoint    m_Address;            //
    std::string m_DataCentre;         //
    unsigned    m_Slots      = 1;     // requests that it works on at the same time
    bool        m_Draining   = false; // takes no new work
    uint64_t    m_Weights    = 0;     // version of the weights it holds whole; 0: none, or no model server
    uint64_t    m_RowVersion = 0;     // store version of the row
    int64_t     m_BornMs     = 0;     // when this lifetime began, Unix ms; 0: not told
    Duration    m_ColdFor{};          // how long it will stay cold, as of the writing of the entry
    TimePoint   m_ColdUntil{};        // until then it bears few requests; default: it isn't cold

    ServerLife Life() const { return {m_Id, m_BornMs}; }
};

struct ListedServer // a row of the whole list
{
    ServerEntry m_Entry; //
    std::string m_Text;  // see ServerDirectory::OnRow()

    ListedServer(ServerEntry entry, std::string text = {}) : m_Entry(std::move(entry)), m_Text(std::move(text)) {}
};

class ServerDirectory
{
public:
    void OnRow(ServerEntry entry, std::string text = {}); // text: the row's value as the list holds it, for other processes
    bool Takes(const ServerEntry& entry) const;           // it is newer than all that is known of its id
    void OnRowGone(std::string_view id, uint64_t row_version, TimePoint now);
    void OnRowGoneTold(std::string_view id, uint64_t row_version, TimePoint now,
                       TimePoint kept_until);                                                 // by another process, which doubts it until then
    bool OnLeaving(const ServerLife& life);                                                   // true: that is news
    void OnRowRefused(std::string_view id, uint64_t row_version);                             // it can't be decoded
    void OnReadAll(std::vector<ListedServer> entries, uint64_t store_version, TimePoint now); // whole list; what isn't in it is gone
    void OnUpTo(uint64_t store_version);                                                      // all rows until then are known
    void OnStoreLost();                                                                       // it can't be reached
    void OnStoreReached(TimePoint now);                                                       // an answer came after OnStoreLost()
    void Expire(TimePoint now); // drops what was kept over an outage; call every second or so

    std::vector<const ServerEntry*> Usable(std::string_view service) const; // ready; by id
    std::vector<const ServerEntry*> All(std::string_view service) const;    // draining ones too
    std::vector<const ServerEntry*> Everywhere() const;                     // of all services, draining ones too
    const ServerEntry*              Find(std::string_view id) const;        // null: gone
    uint64_t                        StoreVersion() const { return m_StoreVersion; }
    std::optional<uint64_t> HeldVersion() const { return m_StoreVersion > 0 ? std::optional(m_StoreVersion) : std::nullopt; } // nothing: no list
    std::optional<RowRead>  ChangesSince(uint64_t version) const; // newest row of each id that changed; nothing: too old to tell
    std::optional<RowRead>  Whole() const;                        // all rows for a process that holds none; nothing: the list wasn't read whole
    Duration                UnsettledFor(TimePoint now) const { return std::max(Duration::zero(), m_SettledAt - now); }
    bool                    Lost() const { return m_Lost; }
    uint64_t                Changes() const { return m_Changes; } // grows with every change of what All() says

private:
    struct Known
    {
        ServerEntry m_Entry;        //
        std::string m_Text;         // its row's value
        TimePoint   m_KeptUntil{};  // if it lapsed: usable until then
        uint64_t    m_LapsedAt = 0; // row version at which it went away during an outage; usable until the grace ends; 0: it is listed

        bool Lapsed() const { return m_LapsedAt > 0; }
    };

    using KnownServers = std::map<std::string, Known, std::less<>>; // by id

    std::vector<const ServerEntry*> Of(std::string_view service, bool with_draining) const;
    void                            Drop(KnownServers::iterator it, uint64_t row_version);
    void                            Lapse(std::string_view id, uint64_t row_version, bool doubted, TimePoint kept_until);
    bool                            SaidThatItLeaves(const ServerEntry& entry) const;
    void                            NoteGone(std::string_view id, uint64_t row_version);

    bool Unsettled(TimePoint now) const { return m_Lost || now < m_SettledAt; }

    KnownServers                                 m_Known;            //
    std::map<std::string, uint64_t, std::less<>> m_GoneAt;           // row version at which an id that isn't known went away, against late rows
    std::map<std::string, int64_t, std::less<>>  m_LeavingBorn;      // by id: start of the lifetime that said that it leaves; 0: not told
    uint64_t                                     m_StoreVersion = 0; // newest read; never falls
    std::optional<uint64_t>                      m_TellsFrom;        // all that went away since is remembered; none: the list wasn't read whole
    uint64_t                                     m_Changes = 0;      //
    bool                                         m_Lost    = false;  // the store can't be reached
    TimePoint                                    m_SettledAt{};      // entries that went away before are believed gone only from here
};

} // namespace aldervale
