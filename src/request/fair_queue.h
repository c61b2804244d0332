// aldervale: fair queueing of requests that wait for capacity at the backend servers
//
// Start-time fair queueing over client accounts by weight: an account that offers twenty times its share delays only its own requests. Offline
// requests (priority 0) start when no other request waits. In addition, every m_OfflineInterval-th start is reserved for them, so that they do not
// starve (backfill with a reserved share, after "Maximizing GPU Utilization: Mixing Online and Offline Inference Workloads", 2025).
//
// Performs no I/O. Not thread-safe: the owner serializes the calls.
//
// Usage:
//   if (queue.TryStart(capacity)) ...                       // run the request, then call queue.OnEnd()
//   else if (queue.Push(id, "desk", 1.0, false)) ...        // wait until Pop() returns id
//   else ...                                                // refuse: the queue is full

#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace aldervale
{

struct FairQueueConfig
{
    size_t   m_MaxWaiting           = 2000; // requests of all accounts
    size_t   m_MaxWaitingPerAccount = 400;  // requests of one account
    unsigned m_OfflineInterval      = 10;   // one of this many starts is reserved for offline requests
};

class FairQueue
{
public:
    explicit FairQueue(const FairQueueConfig& cfg) : m_Config(cfg) {}

    bool                    TryStart(size_t capacity); // true: capacity is free and no request waits; the request counts as running
    bool                    Push(uint64_t id, const std::string& account, double weight, bool offline); // false: the queue is full
    bool                    Remove(uint64_t id);  // the request no longer waits; false: Pop() has returned it already
    std::optional<uint64_t> Pop(size_t capacity); // next request to start, counts as running; none: no capacity or no request waits
    void                    OnEnd();              // a running request ended
    size_t                  Running() const { return m_Running; }
    size_t                  Waiting() const { return m_Online.size() + m_Offline.size(); }

private:
    struct QueuePosition // requests start in ascending order of position
    {
        double   m_StartTag                              = 0; // virtual start time
        uint64_t m_Seq                                   = 0; // arrival order, for equal tags
        auto     operator<=>(const QueuePosition&) const = default;
    };

    struct Entry
    {
        uint64_t    m_Id = 0;  //
        std::string m_Account; //
    };

    struct Account
    {
        double m_FinishTag = 0; // virtual finish time of the newest request
        size_t m_Waiting   = 0; //
    };

    std::map<QueuePosition, Entry>& NextQueue();

    FairQueueConfig                                    m_Config;   //
    std::map<QueuePosition, Entry>                     m_Online;   //
    std::map<QueuePosition, Entry>                     m_Offline;  //
    std::map<std::string, Account>                     m_Accounts; // accounts with waiting requests or with a finish tag beyond the virtual time
    std::map<uint64_t, std::pair<bool, QueuePosition>> m_ById;     // by request id: whether it is offline, and its position
    double                                             m_VirtualTime        = 0; // highest start tag of the requests that have started; never falls
    uint64_t                                           m_Seq                = 0; // of the newest request
    unsigned                                           m_StartsSinceOffline = 0; // since the last start of an offline request
    size_t                                             m_Running            = 0; //
};

} // namespace aldervale
