// aldervale: fair queueing of requests that wait for room at the backend servers
//
// Start-time fair queueing over client accounts by weight: an account that offers twenty times its share waits behind itself. Offline
// work (priority 0) goes when nothing else waits, and gets every m_OfflineInterval-th place all the same, so that it never starves
// (backfill with a reserved share, after "Maximizing GPU Utilization: Mixing Online and Offline Inference Workloads", 2025).
// Pure; the caller locks.
//
// Usage:
//   if (queue.TryStart(capacity)) { run; queue.OnEnd(); }
//   else if (queue.Push(id, "desk", 1.0, false)) { wait until Pop() returns id; }
//   else refuse: the queue is at its bound;

#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace aldervale
{

struct FairQueueConfig
{
    size_t   m_MaxWaiting           = 2000; // over all accounts
    size_t   m_MaxWaitingPerAccount = 400;  //
    unsigned m_OfflineInterval      = 10;   // places between two that are reserved for offline work
};

class FairQueue
{
public:
    explicit FairQueue(const FairQueueConfig& cfg) : m_Config(cfg) {}

    bool                    TryStart(size_t capacity);                                                  // room, and nobody waits: counts as running
    bool                    Push(uint64_t id, const std::string& account, double weight, bool offline); // false: over a bound
    bool                    Remove(uint64_t id);  // gave up waiting; false: it was popped already
    std::optional<uint64_t> Pop(size_t capacity); // next to start, counts as running; nothing: no room or nobody
    void                    OnEnd();              // one running request ended
    size_t                  Running() const { return m_Running; }
    size_t                  Waiting() const { return m_Online.size() + m_Offline.size(); }

private:
    struct QueuePosition // order of starting
    {
        double   m_StartTag                              = 0; // virtual start time
        uint64_t m_Seq                                   = 0; // ties: first come
        auto     operator<=>(const QueuePosition&) const = default;
    };

    struct Entry
    {
        uint64_t    m_Id = 0;  //
        std::string m_Account; //
    };

    struct Account
    {
        double m_FinishTag = 0; // virtual finish time of its newest request
        size_t m_Waiting   = 0; //
    };

    std::map<QueuePosition, Entry>& NextQueue();

    FairQueueConfig                                    m_Config;                 //
    std::map<QueuePosition, Entry>                     m_Online;                 //
    std::map<QueuePosition, Entry>                     m_Offline;                //
    std::map<std::string, Account>                     m_Accounts;               // those that wait, and those ahead of virtual time
    std::map<uint64_t, std::pair<bool, QueuePosition>> m_ById;                   // offline?, place
    double                                             m_VirtualTime        = 0; // tag of the newest start; never falls
    uint64_t                                           m_Seq                = 0; //
    unsigned                                           m_StartsSinceOffline = 0; // starts since offline work last got one
    size_t                                             m_Running            = 0; //
};

} // namespace aldervale
