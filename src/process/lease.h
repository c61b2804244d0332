// aldervale: leases held through the table service, as pure decision logic
//
// A lease is one row: holder, fencing number, length. It is taken and renewed by conditional write. No clock is compared between
// processes: the holder counts from before it sent the renewal, on its own monotonic clock, and stops acting a margin early; a
// contender waits the whole length after it last saw the row change.
//
// Usage (shell):
//   LeaseStep step = lease.Next(now);
//   if (step.m_Action == LeaseAction_Read)  { row = store.Get(...); lease.OnRow(row, Now()); }
//   if (step.m_Action == LeaseAction_Write) { outcome = store.Put(step...); lease.OnWrite(outcome, step.m_SentAt); }
//   if (lease.Holds(Now())) SendOrder(lease.Fencing());

#pragma once
#include "common/clock.h"
#include <optional>
#include <string>

namespace aldervale
{

struct LeaseConfig
{
    std::string m_Holder;                      // this process and incarnation
    Duration    m_Length = milliseconds(4000); // [settings lease.length_ms]
    Duration    m_Margin = milliseconds(500);  // the holder stops acting this much before the end [settings lease.margin_ms]
    Duration    m_Renew  = milliseconds(1000); // renewal interval
    Duration    m_Poll   = milliseconds(1000); // how often a contender reads the row
};

struct LeaseRow
{
    std::string m_Holder;      // empty: given up
    uint64_t    m_Fencing = 0; // grows by one with every new holder
    uint64_t    m_Version = 0; // version of the row in the store, 0 if it doesn't exist
    std::string m_WriteId;     // of the write that made it
};

enum LeaseAction
{
    LeaseAction_Wait,  // until m_Until
    LeaseAction_Read,  // read the row
    LeaseAction_Write, // write m_Row if the row's version is still m_Row.m_Version
};

struct LeaseStep
{
    LeaseAction m_Action = LeaseAction_Wait; //
    TimePoint   m_Until{};                   // LeaseAction_Wait only
    LeaseRow    m_Row;                       // LeaseAction_Write only
    TimePoint   m_SentAt{};                  // hand back to OnWrite(); taken before the write leaves
};

enum LeaseWrite
{
    LeaseWrite_Done,
    LeaseWrite_Conflict,
    LeaseWrite_Unknown, // no answer: settled by the next read
};

class Lease
{
public:
    explicit Lease(LeaseConfig cfg) : m_Config(std::move(cfg)) {}

    LeaseStep Next(TimePoint now);
    void      OnRow(const LeaseRow& row, TimePoint now); // read answer
    void      OnReadFailed(TimePoint now);               //
    void      OnWrite(LeaseWrite outcome, const LeaseStep& step, uint64_t new_version);
    void      GiveUp(); // stop renewing at once; the caller writes an empty holder if it can

    bool      Holds(TimePoint now) const { return m_HeldFencing != 0 && now < m_HeldUntil; }
    uint64_t  Fencing() const { return m_HeldFencing; } // of the lease held or last held; meaningful while Holds()
    TimePoint HeldUntil() const { return m_HeldUntil; }
    uint64_t  Seen() const { return m_Row.m_Fencing; } // highest fencing number read

private:
    LeaseConfig              m_Config;          //
    LeaseRow                 m_Row;             // last row read or written
    bool                     m_Known = false;   // m_Row is from the store
    TimePoint                m_ChangedAt{};     // when m_Row was first seen with this version
    TimePoint                m_NextAt{};        // next read or renewal
    uint64_t                 m_HeldFencing = 0; // 0: not held; never falls otherwise
    TimePoint                m_HeldUntil{};     // margin already taken off
    std::optional<LeaseStep> m_Pending;         // a write without an answer
    uint64_t                 m_WriteCount = 0;  // makes write ids unique
};

} // namespace aldervale
