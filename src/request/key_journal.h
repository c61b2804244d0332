// aldervale: the journal of keyed calls, which makes a call run at most once on its home
//
// Each call that may not be repeated carries an Idempotency-Key, a UUIDv7, whose minting time is part of it. The home's agent notes the
// key before it hands the call over. A key that is not in the journal runs only if it was minted after the horizon: the time before
// which the journal can't vouch for its own memory (its own start plus the clock skew, the newest key it had to forget, or the time it
// became the home). Keys from the future are refused, since they could outlive the next restart's horizon.
//
// Thread-safe; entries live in shards, each under its own lock.
//
// Usage:
//   JournalAnswer a = journal.Begin(scope, key, fingerprint, wall_ms, true);
//   if (a.m_Type == JournalType_Run) { ...hand over...; journal.Finish(scope, key, std::move(result)); }
//
// Index of this file:
// [SECTION] Keys
// [SECTION] KeyJournal

#pragma once
#include "common/verdict.h"
#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Keys
//-----------------------------------------------------------------------------

// Milliseconds since 1970 in a UUIDv7 ("018f...-....-7...-[89ab]...-............"); nothing for any other text.
std::optional<int64_t> MintedAtMs(std::string_view uuid);
std::string            MakeUuid7(int64_t wall_ms, uint64_t random_high, uint64_t random_low);

//-----------------------------------------------------------------------------
// [SECTION] KeyJournal
//-----------------------------------------------------------------------------

struct StoredField
{
    std::string m_Name;  //
    std::string m_Value; //
};

struct StoredResult
{
    Verdict                  m_Verdict = Verdict_MayHaveRun; // Ran with an answer, or MayHaveRun without
    unsigned                 m_Status  = 0;                  // HTTP status of the answer
    std::vector<StoredField> m_Fields;                       //
    std::string              m_Body;                         //
};
using StoredResultPtr = std::shared_ptr<const StoredResult>;

enum JournalType
{
    JournalType_Run,        // noted; hand the call over, then Finish() or Forget()
    JournalType_Running,    // the same key runs now; ask again later
    JournalType_Replay,     // m_Result holds how it ended
    JournalType_TooOld,     // minted before the horizon: it may have run
    JournalType_FromFuture, // minted too far ahead: not run
    JournalType_Mismatch,   // the key was used for another call: not run
    JournalType_BadKey,     // no UUIDv7: not run
    JournalType_Refused,    // would have been Run, but the caller of Begin() doesn't accept new keys: not run
};

struct JournalAnswer
{
    JournalType     m_Type = JournalType_BadKey; //
    StoredResultPtr m_Result;                    // JournalType_Replay only
};

struct JournalConfig
{
    int64_t m_SkewMs     = 2000;             // largest difference between two clocks [settings journal.skew_ms]
    size_t  m_MaxEntries = 200'000;          // the oldest finished one is forgotten beyond this [settings journal.max_entries]
    size_t  m_MaxBytes   = 16 * 1024 * 1024; // of stored bodies [settings journal.max_bytes]
};

class KeyJournal
{
public:
    KeyJournal(const JournalConfig& cfg, int64_t started_wall_ms);

    // scope: service and account; accept: whether a new key may run, otherwise it is only looked up
    JournalAnswer Begin(std::string_view scope, std::string_view key, uint64_t fingerprint, int64_t wall_ms, bool accept);
    void          Finish(std::string_view scope, std::string_view key, StoredResult result);
    void          Forget(std::string_view scope, std::string_view key); // it certainly did not run
    void          RaiseHorizon(int64_t wall_ms);                        // such as on becoming a home
    int64_t       HorizonMs() const { return m_HorizonMs.load(); }
    size_t        Entries() const { return m_Entries.load(); }

private:
    struct Entry
    {
        uint64_t        m_Fingerprint = 0; // of method, target and body
        int64_t         m_MintedMs    = 0; //
        StoredResultPtr m_Result;          // null while it runs
    };

    struct Shard
    {
        std::mutex                   m_Mutex;     // guards the members below
        std::map<std::string, Entry> m_Entries;   // by scope and key
        std::deque<std::string>      m_Finished;  // oldest first; the ones to forget
        size_t                       m_Bytes = 0; // of stored bodies
    };

    static constexpr size_t kShards = 16;

    Shard& ShardOf(const std::string& id);
    void   EvictLocked(Shard& s);

    JournalConfig              m_Config;     //
    std::array<Shard, kShards> m_Shards;     //
    std::atomic<int64_t>       m_HorizonMs;  // never falls
    std::atomic<size_t>        m_Entries{0}; //
};

} // namespace aldervale
