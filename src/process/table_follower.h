// aldervale: keeps up with one table of the platform's store
//
// Reads the table whole, then its changes with standing requests, and tells a handler. Each request is priced, so it pauses after each
// answer: shortly while changes are urgent, by a random length around m_Calm while they aren't. While the store fails it tries again with
// growing pauses; when the history it needs is gone it reads the whole table anew. Reads that lag behind what was seen are dropped.
// Changes hold every version of a row, the whole table only the newest: in a table of long rows that change in series (m_WholeAfter) it
// reads the whole table after a failure and while a series lasts. 44 versions of the declarations, 60 KB each, to 28 boxes over a link of
// 27 Mbit/s took them 14 s after an outage; the newest alone takes 0.5 s.
// A process that needs few rows of a table with long ones reads just those while it is calm (m_CalmKeys): standing requests bring all rows.
// They are also what it asks for first after a failure: when a store comes back to all that tried, long rows go to those that still want them.
// One that gets rows from elsewhere while it is calm (m_Known) reads nothing at first, and goes on after those when it is urgent.
// It runs on a strand of its own, and so do the handlers: with several I/O threads two followers may call theirs at once.
//
// Usage:
//   auto f = std::make_shared<TableFollower>(ioc, source, "servers", TableFollowerConfig{}, handlers);
//   f->Start();

#pragma once
#include "external/row_source.h"

namespace aldervale
{

struct TableFollowerConfig
{
    Duration                  m_Wait   = milliseconds(6000);  // of the standing request: bounds how long a silent loss of the store goes unseen
    Duration                  m_Margin = milliseconds(1200);  // for the answer beyond m_Wait; longer after each failure in a row
    Duration                  m_Gather = milliseconds(350);   // urgent: pause after changes, so that a series of them is taken together
    Duration                  m_Quiet  = milliseconds(700);   // urgent: pause after no changes; those of other tables end standing requests, too
    std::function<bool()>     m_Urgent;                       // changes matter now; empty: always
    std::function<Duration()> m_Calm;                         // not urgent: mean pause after any answer; empty: 5 s
    Duration                  m_RetryMin = milliseconds(100); // pause after a failure, urgent or not; doubles with each in a row
    Duration                  m_RetryMax = milliseconds(500); //
    std::function<Duration()> m_RetryMost;                    // instead of m_RetryMax, where it varies; may be empty
    Duration                  m_ReadMax = milliseconds(1500); // for a read of the whole table
    std::optional<KeyRange>   m_CalmKeys;                     // not urgent: only these rows are read, each time, without standing requests
    unsigned                  m_WholeAfter = 0;               // rows in one answer that make the next read one of the whole table; 0: never
    std::function<std::optional<uint64_t>()> m_Known;         // urgent again: version up to which rows came from elsewhere; empty, nothing: read all
};

struct TableHandlers // what becomes of the rows
{
    std::function<void(const RowRead&)>      m_OnAll;      // the whole table
    std::function<void(const RowRead&)>      m_OnChanges;  // rows that changed or went away; none: the answer came without
    std::function<void(const RowRead&)>      m_OnFew;      // the rows of m_CalmKeys; the others may have changed meanwhile
    std::function<TimePoint(const RowRead&)> m_OnAnswered; // any answer, before its rows; returns a time not after it was made; may be empty
    std::function<void()>                    m_OnLost;     // the store can't be reached; once until m_OnReached; may be empty
    std::function<void()>                    m_OnReached;  // it answered again; before the rows of that answer; may be empty
};

class TableFollower : public std::enable_shared_from_this<TableFollower>
{
public:
    TableFollower(asio::io_context& ioc, RowSource& source, std::string table, const TableFollowerConfig& cfg, TableHandlers handlers);

    void     Start();
    bool     Reachable() const { return m_Answered; }
    uint64_t StoreVersion() const { return m_Since; }

private:
    awaitable<void> Run();
    bool            Urgent() const { return !m_Config.m_Urgent || m_Config.m_Urgent(); }
    Duration        CalmPause();
    awaitable<bool> ReadNext();                          // false: failed
    awaitable<bool> ReadFew(KeyRange keys);              // false: failed
    awaitable<bool> ReadAll();                           // false: failed
    awaitable<bool> ReadChanges();                       // false: failed
    awaitable<void> Rest(Duration pause);                // shorter if changes become urgent
    void            GoOn();                              //
    Duration        Patience(Duration first) const;      // for an answer, after the failures so far
    bool            HasNews(const RowRead& whole) const; // a row newer than what was known
    void            OnFailure(const Error& e);
    void            OnAnswer();
    TimePoint       OnAnswered(RowRead& read, TimePoint asked, Duration wait); // returns a time not after the answer was made
    void            OnUsed(RowRead& read, TimePoint made);                     // before a read of the table or of its changes is told

    asio::io_context&   m_Ioc;              //
    RowSource&          m_Source;           //
    std::string         m_Table;            //
    TableFollowerConfig m_Config;           //
    TableHandlers       m_Handlers;         //
    uint64_t            m_Since = 0;        // store version up to which changes are known; never falls
    TimePoint           m_CompleteAt{};     // all rows written until then were read; default: the whole table wasn't read yet
    bool                m_Synced   = false; // the whole table was read, and no history is missing since
    bool                m_Changed  = true;  // the last answer held news
    bool                m_Series   = false; // more than the newest version of a row may have been missed: read the whole table next
    bool                m_Probed   = false; // the last read was one of m_CalmKeys
    bool                m_Missed   = false; // or it rested, so rows may have been missed, or came from elsewhere
    bool                m_Answered = false; // the last read was answered
    unsigned            m_Failures = 0;     // in a row
    uint64_t            m_Seed;             // of the pauses' random part; differs by process
};

} // namespace aldervale
