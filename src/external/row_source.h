// aldervale: tables of rows that a platform keeps, as a process follows them
//
// A table is read whole once, then by its changes from a store version on. Rows are handed on undecoded; the adapter that knows their
// format turns them into types.

#pragma once
#include "connection/http.h"

namespace aldervale
{

struct Row
{
    std::string m_Key;             //
    std::string m_Value;           // empty when gone
    uint64_t    m_Version = 0;     // store version that wrote or dropped it
    bool        m_Gone    = false; // changes only: the row was dropped
    bool        m_Unread  = false; // the value isn't in the store's encoding; m_Value is empty
};

struct RowRead
{
    std::vector<Row> m_Rows;             // whole table, or what changed, in order
    uint64_t         m_StoreVersion = 0; // that the read is consistent with
    uint64_t         m_Since        = 0; // changes: store version that they follow on; else the version up to which all rows were read before
    TimePoint        m_NotBefore{};      // rows that are new in it were written since, as the read before held all until then; default: unknown
    TimePoint        m_AskedAt{};        // when the store was asked: whatever it acknowledged before is in it; default: not told
    Duration         m_Wait{};           // for so long the store was asked to wait for changes
    int64_t          m_StoreMs = -1;     // time of the store's clock at which m_StoreVersion was its newest version; negative: not told
};

enum TableRead
{
    TableRead_Whole,   // all rows
    TableRead_Changes, // those that changed
    TableRead_Few,     // all rows of a key range
};

struct KeyRange // of rows in one table; empty: the whole table
{
    std::string m_From;     // first key
    std::string m_Until;    // first key after it; empty: to the table's end
    unsigned    m_Rows = 0; // at most so many rows, in one answer; 0: all
};

class RowSource
{
public:
    virtual ~RowSource()                                                                             = default;
    virtual awaitable<Result<RowRead>> ReadAll(std::string table, KeyRange keys, TimePoint deadline) = 0;
    // Waits up to `wait` for a change after `since`. ErrorCode_Stale: that history is gone, read the whole table.
    virtual awaitable<Result<RowRead>> ReadChanges(std::string table, uint64_t since, Duration wait, TimePoint deadline) = 0;
};

} // namespace aldervale
