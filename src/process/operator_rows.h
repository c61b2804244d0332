// aldervale: the operators' table as one process holds it: declarations and named weights
//
// Pure. Rows come from the store or from another process that holds them; either way only what is newer is taken, whole or not at all, so
// what is held never goes back. Its version is the highest store version among its rows and of those that went away: two processes with the same
// version hold the same rows.
//
// Usage:
//   OperatorRows rows;
//   if (rows.TakeAll(read)) Use(rows.Read());
//   const std::string text = rows.Encode();          // for another process
//   Result<OperatorRows> theirs = OperatorRows::Decode(text);

#pragma once
#include "external/row_source.h"
#include <map>

namespace aldervale
{

class OperatorRows
{
public:
    bool        TakeAll(const RowRead& read);         // the whole table; true: a row is newer than what was held
    bool        TakeChanges(const RowRead& read);     // changed rows in order; a later row of the same key replaces an earlier one
    bool        TakeCopy(const OperatorRows& copy);   // of another process; taken whole if its version is higher
    uint64_t    Version() const { return m_Version; } // never falls; 0: nothing is held
    RowRead     Read() const;                         // all rows, by key, as of Version()
    const Row*  Find(std::string_view key) const;     // null: there is no such row
    std::string Encode() const;                       // the same text for the same rows

    static Result<OperatorRows> Decode(std::string_view text);

private:
    bool LacksRow(const RowRead& whole) const; // a row that is held is not in it

    std::map<std::string, Row, std::less<>> m_Rows;        // by key; none of them gone
    uint64_t                                m_Version = 0; // highest one of a row taken, gone ones too
};

} // namespace aldervale
