// aldervale: journal of keyed calls, which ensures that a call runs at most once on its home
//
// Each call that must not be repeated carries an Idempotency-Key, a UUIDv7, which contains the time when the key was minted. The home of a key is the
// one box that may run calls with this key (homes.h). The home's agent records the key before it forwards the call. A key that is not in the journal
// runs only if it was minted after the horizon: for keys minted before the horizon the journal can't tell whether they ran. The horizon is the latest
// of the start of the journal plus the clock skew, the newest key that was evicted, and the time when this box became the home. Keys from the future
// are refused because they could be minted after the horizon of the next restart.
//
// Thread-safe: entries are divided into shards, each with its own mutex.
//
// Usage:
//   JournalAnswer a = journal.Begin(scope, key, fingerprint, wall_ms, true);
//   if (a.m_Type == JournalDecision_Run) { ...forward...; journal.Finish(scope, key, std::move(result)); }
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

// Returns the milliseconds since 1970 in a UUIDv7 ("018f...-....-7...-[89ab]...-............"), or nothing for any other text.
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
    Verdict                  m_Verdict = Verdict_MayHaveRun; // Verdict_Ran with an answer, or Verdict_MayHaveRun without
    unsigned                 m_Status  = 0;                  // HTTP status of the answer
    std::vector<StoredField> m_Fields;                       //
    std::string              m_Body;                         //
};
using StoredResultPtr = std::shared_ptr<const StoredResult>;

enum JournalDecision
{
    JournalDecision_Run,        // recorded: forward the call, then call Finish() or Forget()
    JournalDecision_Running,    // a call with the same key is running: retry later
    JournalDecision_Replay,     // the call has ended: m_Result holds its result
    JournalDecision_TooOld,     // minted before the horizon: the call may have run
    JournalDecision_FromFuture, // minted too far ahead: not run
    JournalDecision_Mismatch,   // the key was used for a different call: not run
    JournalDecision_BadKey,     // not a UUIDv7: not run
    JournalDecision_Refused,    // the key is new and valid, but Begin() was called with accept = false: not run
};

struct JournalAnswer
{
    JournalDecision m_Type = JournalDecision_BadKey; //
    StoredResultPtr m_Result;                        // set only for JournalDecision_Replay
};

struct JournalConfig
{
    int64_t m_SkewMs     = 2000;             // maximum difference between the clocks of two boxes [settings journal.skew_ms]
    size_t  m_MaxEntries = 200'000;          // beyond it, the finished entry that ended first is evicted [settings journal.max_entries]
    size_t  m_MaxBytes   = 16 * 1024 * 1024; // total size of stored bodies [settings journal.max_bytes]
};

class KeyJournal
{
public:
    KeyJournal(const JournalConfig& cfg, int64_t started_wall_ms);

    // `scope` is the service and account. If `accept` is false, the key is only looked up and a new key does not run.
    JournalAnswer Begin(std::string_view scope, std::string_view key, uint64_t fingerprint, int64_t wall_ms, bool accept);
    void          Finish(std::string_view scope, std::string_view key, StoredResult result);
    void          Forget(std::string_view scope, std::string_view key); // removes a running entry whose call certainly did not run
    void          RaiseHorizon(int64_t wall_ms);                        // for example when the box becomes a home
    int64_t       HorizonMs() const { return m_HorizonMs.load(); }
    size_t        Entries() const { return m_Entries.load(); }

private:
    struct Entry
    {
        uint64_t        m_Fingerprint = 0; // hash of method, target and body
        int64_t         m_MintedMs    = 0; //
        StoredResultPtr m_Result;          // null while the call runs
    };

    struct Shard
    {
        std::mutex                   m_Mutex;     // guards the members below
        std::map<std::string, Entry> m_Entries;   // by scope and key
        std::deque<std::string>      m_Finished;  // ids of finished entries in order of completion, the order of eviction
        size_t                       m_Bytes = 0; // total size of stored bodies
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
