// aldervale: history of what crashes servers, used to block requests
//
// Performs no I/O and reads no clock. A server may have crashed on the whole content of a request (request_hash.h; each attempt of a caller has its
// own id and may reach any router), or on a part of its prompt that other requests may share; no two requests with such a part need to be alike. Both
// are suspects, and are handled alike. A server is identified by the hash of its incarnation (one run of the server process).
//
// Blocking rules:
//   - A suspect is blocked after kCrashesToBlock (kPartCrashesToBlock) different servers crashed while running a request with it, unless a server
//     has since answered one. A crash also interrupts the other requests at that server; few of these lose three servers, and one complete answer at
//     any router clears them. With 192 requests in flight at 12 servers, 191 x (1 / 12)^3 = 0.11 other requests on average lose the same three.
//   - A block ends kInitialBlock after the last crash; the time doubles with each further crash. Then one attempt at a time is let through as
//     a trial, so that the request is served again once the service is fixed. After kTrialsMax trials that crash servers, the block lasts until the
//     record expires. The first block of a part is shorter (kPartFirstBlock), and crashes within kInFlightMax of the one that blocked it are no
//     trials: its requests were on their way.
//   - Servers that crash within kOutage of each other may have been killed together: one outage. A content that many callers send was then at all of
//     them, whether it is the cause or not, and while all are down no answer can clear it. So its block is short after one outage (kOutageBlock) and
//     after two (kSecondOutageBlock), and only a third one makes the block a long one. A server that crashes under a trial is an outage of its own.
//   - A trial counts from when a server has it. One that no server took has no outcome: the next attempt is a trial again. Once a server crashed
//     after a trial began, its outcome is known.
//
// Which suspect of several is the cause. Sound requests share most parts with those that crash servers, and run beside them at each of these servers:
//   - An answer clears the parts of its request, also one that has only begun: a server crashes as it begins one.
//   - Parts that were answered before the crash are weaker suspects, and so are contents: many callers may send the same one.
//   - Many servers may be killed together. So crashes within kEpisode of each other count as one for a part, and within kWeakEpisode if it is a
//   weaker
//     suspect.
//   - Crashes that a stronger suspect explains don't count. A part that meets the threshold is stronger than a content that was answered, and than
//     a part that is a weaker suspect, unless it is one itself; of two alike, the one with more crashes is the stronger.
//   - A request with a blocked part is let through as a trial if it lacks another part that meets the threshold and crashed the same servers: its
//     outcome tells which of both is the cause. At most kDecidingTrialsMax at each router, and none after one that crashed a server.
//
// Records of different routers are merged: the result has the crashes of both records, each at the earlier of its times, a crash is cleared if either
// record says so, and the later trial counts. A router may learn of a crash late; times that are sent as ages come out later, never earlier. Merging
// is commutative and idempotent, so each change is sent kSendCount times without acknowledgement, and records of blocked requests are resent
// periodically. The cleared flag is stored for each crash instead of being derived from times, because times are sent as ages and shift by the
// transit time. What was answered before a crash is known to each router by itself, and its record says so to all. Weaker suspects are mostly cleared
// soon, so they are sent only after kWeakSendDelay.
//
// Usage:
//   CrashHistory h;
//   h.OnCrash(suspects, LifeHash(server), now); h.OnAnswered(suspects);
//   if (!h.Empty() && h.CheckBlocked(suspects, now)) ...  // refuse; if false, a trial may have started
//   h.OnTrialSent(suspects, checked);          // a server has the attempt; `checked`: when CheckBlocked() let it through; no effect if it's no trial
//   h.WithdrawTrial(suspects, checked, false); // no server took it
//   for (const CrashRecord& r : h.TakeChanged(now)) ...   // send to other routers
//   h.Merge(record, now);                                 // received from another router

#pragma once
#include "common/clock.h"
#include "common/server_life.h"
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace aldervale
{

constexpr size_t   kCrashesToBlock     = 3;            // different servers, of a content
constexpr size_t   kPartCrashesToBlock = 5;            // the same of a part of prompts, which more requests share
constexpr size_t   kTrialsMax          = 3;            // trials that crash servers, after which the block lasts until the record expires
constexpr auto     kInitialBlock       = seconds(600); // after the last crash; doubles with each further crash
constexpr auto     kTrialTimeout       = seconds(30);  // time after which the next trial may start if the outcome of the last one is unknown
constexpr auto     kPartFirstBlock     = seconds(10); // of a part, until its first trial: a rare sound one may have been at five servers that crashed
constexpr auto     kTrialStaggerMax    = seconds(5);  // added to it, by router: the others learn of a trial before theirs
constexpr auto     kOutage             = seconds(1);  // crashes of a content within this time of the first one are one outage
constexpr auto     kOutageBlock        = seconds(1);  // of a content after one outage, plus the stagger by router, until its first trial
constexpr auto     kSecondOutageBlock  = seconds(10); // the same after two
constexpr auto     kBlockedRetryMin    = seconds(1);  // Retry-After of a blocked request: the rest of the block, within these bounds
constexpr auto     kBlockedRetryMax    = seconds(60); //
constexpr auto     kInFlightMax        = seconds(6);  // time in which requests that were sent before a block may still crash servers
constexpr auto     kEpisode            = milliseconds(30);          // crashes within this time count as one
constexpr auto     kWeakEpisode        = milliseconds(250);         // the same of a weaker suspect
constexpr unsigned kDecidingTrialsMax  = 3;                         // of one record, at one router
constexpr auto     kDecidingTrialInterval = seconds(1);             // between trials that tell which of several parts is the cause, at one router
constexpr auto     kWeakSendDelay         = milliseconds(300);      // from a crash until its weaker suspects are sent: most are cleared by then
constexpr auto     kUnblockedRetention    = seconds(600);           // of records that are not blocked, after the last crash or trial
constexpr auto     kBlockedRetention      = std::chrono::hours(24); // of blocked records, after the last crash or trial
constexpr size_t   kRecordsMax            = 1024;                   // the oldest record that doesn't meet its threshold is evicted first
constexpr size_t   kCrashesPerRecordMax   = 16;                     // when full, the oldest cleared crash is evicted, else the oldest
constexpr size_t   kAnsweredMax           = 4096; // parts, and contents, known to have been answered, half of them at least; the oldest are forgotten
constexpr unsigned kSendCount             = 3;    // times each change is sent; datagrams may be lost

enum SuspectKind
{
    SuspectKind_Content,    // of a whole request
    SuspectKind_PromptPart, // that several prompts share
};

struct Suspect
{
    uint64_t    m_Hash = 0; // HashRequest() or HashPromptPart()
    SuspectKind m_Kind = SuspectKind_Content;
};

struct ObservedCrash
{
    uint64_t  m_IncarnationHash = 0; // LifeHash() of the server
    TimePoint m_At{};                // the earliest at which any router saw it
    bool      m_Cleared = false;     // a later answer cleared the crash; never reset to false
};

struct CrashRecord // history of one suspect
{
    uint64_t                   m_Request = 0;                   // Suspect::m_Hash
    SuspectKind                m_Kind    = SuspectKind_Content; //
    std::vector<ObservedCrash> m_Crashes;                       // sorted by time; one for each incarnation; at most kCrashesPerRecordMax
    bool                       m_Answered = false; // some router knew of an answer before a crash: a weaker suspect; never reset to false
    TimePoint                  m_TrialAt{};        // start of the last trial; default value: none

    size_t UnclearedCount() const;
    bool   MeetsThreshold() const; // uncleared crashes suffice to block it, whatever explains them
};

enum MergeResult
{
    MergeResult_Unchanged,
    MergeResult_Changed,        // the local record changed
    MergeResult_SenderOutdated, // the local record did not change; the sender lacks cleared flags
};

class RecentHashes // the last kAnsweredMax / 2 to kAnsweredMax that were added
{
public:
    void Add(uint64_t hash);
    bool Contains(uint64_t hash) const { return m_New.contains(hash) || m_Old.contains(hash); }

private:
    std::unordered_set<uint64_t> m_New; // at most kAnsweredMax / 2
    std::unordered_set<uint64_t> m_Old; // those before, until m_New is full again
};

class CrashHistory // used on one thread
{
public:
    using Suspects = std::span<const Suspect>; // of one request

    explicit CrashHistory(Duration trial_stagger = {}) : m_TrialStagger(trial_stagger) {} // up to kTrialStaggerMax

    void OnCrash(Suspects suspects, uint64_t incarnation, TimePoint now);
    void OnAnswered(Suspects suspects);                     // a server answered completely; clears earlier crashes
    void OnAnswerBegun(Suspects suspects);                  // it didn't crash as it began: clears those of the parts
    bool CheckBlocked(Suspects suspects, TimePoint now);    // call once before each attempt is sent; starts a trial if one is due
    bool OnTrialSent(Suspects suspects, TimePoint checked); // a server has the attempt that CheckBlocked() let through at `checked`; false: no trial
    void WithdrawTrial(Suspects suspects, TimePoint checked, bool refused); // unless it was sent; refused: or if it was, as it wasn't run
    MergeResult Merge(const CrashRecord& received, TimePoint now);
    void        Expire(TimePoint now);

    bool                     Empty() const { return m_Records.empty(); }
    bool                     IsBlocked(Suspects suspects, TimePoint now) const; // like CheckBlocked() without starting a trial
    bool                     IsBlockedSince(Suspects suspects, TimePoint checked, TimePoint now) const; // by what was learned after CheckBlocked()
    bool                     OneCrashFromBlock(Suspects suspects) const;                                // a further crash may block the request
    const CrashRecord*       FindBlocked(Suspects suspects, TimePoint now) const; // the first suspect that is blocked; null: none is
    size_t                   BlockedCount(TimePoint now) const;                   // of suspects
    const CrashRecord*       FindRecord(uint64_t hash) const;                     // null if there is none
    std::vector<CrashRecord> TakeChanged(TimePoint now);     // records that changed locally and must be sent to the other routers
    std::vector<CrashRecord> RecordsToResend() const;        // records that meet their threshold
    TimePoint BlockedUntil(const CrashRecord& record) const; // if nothing explains it; default: not blocked; max: until the record expires
    Duration  RetryAfter(const CrashRecord& record, TimePoint now) const; // of a blocked request

    // Of a request without parts, by the hash of its content.
    void OnCrash(uint64_t request, uint64_t incarnation, TimePoint now);
    void OnAnswered(uint64_t request);
    bool CheckBlocked(uint64_t request, TimePoint now);
    bool OnTrialSent(uint64_t request, TimePoint checked);
    void WithdrawTrial(uint64_t request, TimePoint checked, bool refused);
    bool IsBlocked(uint64_t request, TimePoint now) const;

private:
    struct Entry
    {
        TimePoint   m_CrashLearnedAt{};     // when the last crash was recorded here
        unsigned    m_DecidingTrials = 0;   // of this router
        CrashRecord m_Record;               //
        TimePoint   m_UnsentTrialAt{};      // start of a trial that no server has yet; default value: none
        bool        m_TrialDecides = false; // the last trial of this router is one of m_DecidingTrials
        unsigned    m_SendsLeft    = 0;     // number of times that the record is still to be sent
        TimePoint   m_SendAfter{};          // not sent before this time
        bool        m_Shared = false;       // another router may have the record or a part of it
    };

    Entry& FindOrAdd(const Suspect& suspect);
    void   EvictOldest();
    void   RecordCrash(const Suspect& suspect, uint64_t incarnation, TimePoint now, Duration send_delay);
    void   Clear(uint64_t hash);
    bool   WasAnswered(const Suspect& s) const
    {
        return (s.m_Kind == SuspectKind_PromptPart ? m_AnsweredParts : m_AnsweredContents).Contains(s.m_Hash);
    }
    TimePoint LastTrial(const CrashRecord& r) const; // start, whether a server has it yet or not; default value: none
    TimePoint BlockEnd(const CrashRecord& r) const;  // of a record that meets its threshold, apart from trials
    bool      IsStronger(const CrashRecord& a, const CrashRecord& than) const;
    bool      Explained(const CrashRecord& r, uint64_t incarnation) const; // a stronger suspect crashed this server
    bool      IsGuilty(const CrashRecord& r) const;
    bool      IsBlocked(const CrashRecord& r, TimePoint now) const { return now < BlockedUntil(r) && IsGuilty(r); }
    // Whether the outcome of a request with `suspects` tells whether `blocked` is the cause.
    bool IsDeciding(const CrashRecord& blocked, Suspects suspects, TimePoint now) const;

    Duration                            m_TrialStagger;     //
    std::unordered_map<uint64_t, Entry> m_Records;          // by hash
    RecentHashes                        m_AnsweredParts;    //
    RecentHashes                        m_AnsweredContents; //
};

} // namespace aldervale
