// aldervale: divides the rate limits of backend servers among the routers
//
// Performs no I/O and reads no clock. An overloaded server names in its answers the requests per second that it accepts from all routers together.
// Each router sees only its own requests, so it enforces a share of the limit.
//
// Division:
//   - Each router has a token bucket with a burst of one. N routers may spend their tokens simultaneously, so the number of senders is bounded by
//     1 + kSendersPerLimit x limit, each with an equal share. In any 4 s they send at most 4 x limit + 1 + 2 x limit requests, of 6 x limit + 5 that
//     are allowed; the margin covers routers whose views of the router set differ temporarily.
//   - If there are no more routers than that, all of them send. Otherwise the senders are selected for each server by rendezvous hashing among the
//     routers that are known in all regions.
//   - Other routers learn of the end of the limit from the senders. They also probe the server with a single request after a long interval.
//
// A limit applies to one lifetime of a server, until an answer to a later request does not name it.
//
// Usage:
//   ServerLimits l(seed);
//   l.SetRouters(routers, now);
//   if (l.Allows(incarnation, now)) { l.OnSent(incarnation, now); ... }
//   l.OnAnswer(incarnation, limit, sent_at, now);                       // for the head of each answer
//   for (const LimitChange& c : l.TakeChanges()) ...             // send to other routers
//   l.OnRemoteChange(change, now);                               // received from another router

#pragma once
#include "common/hash.h"
#include "common/server_life.h"
#include "version/token_bucket.h"
#include <optional>
#include <span>
#include <unordered_map>

namespace aldervale
{

constexpr double   kSendersPerLimit        = 2;           // additional senders for each request per second
constexpr unsigned kLimitRoutersAssumed    = 8;           // until the number of routers is known
constexpr auto     kProbeIntervalMin       = seconds(10); // from the last answer with a limit or the last probe of this router
constexpr auto     kProbeIntervalPerRouter = seconds(4);  // the mean interval is proportional to the number of routers
constexpr auto     kAnswerPrecedence       = seconds(1);  // for this long after an answer that names a limit, changes from other routers are ignored

struct LimitRouters // that share the limits
{
    std::vector<std::string> m_KnownToAll; // addresses; the same at all routers; may lack m_Self
    std::string              m_Self;       // address of this router
    uint32_t                 m_Total = 0;  // 0: unknown

    bool operator==(const LimitRouters&) const = default;
};

struct LimitChange
{
    uint64_t              m_IncarnationHash = 0; // LifeHash() of the server
    std::optional<double> m_RequestsPerS;        // none: the limit ended
};

class ServerLimits // used on one thread
{
public:
    explicit ServerLimits(uint64_t seed) : m_Random(seed) {}

    bool Allows(const ServerLife& incarnation, TimePoint now);
    void OnSent(const ServerLife& incarnation, TimePoint now);
    bool OnAnswer(const ServerLife& incarnation, std::optional<double> requests_per_s, TimePoint sent_at,
                  TimePoint now);                                  // returns whether it changed
    bool OnRemoteChange(const LimitChange& change, TimePoint now); // returns whether the limit changed
    void RemoveUnlisted(std::span<const uint64_t> listed);         // removes limits whose LifeHash() is not in `listed`
    void SetRouters(const LimitRouters& routers, TimePoint now);

    bool                     Empty() const { return m_Limits.empty(); }
    size_t                   Count() const { return m_Limits.size(); }
    std::vector<LimitChange> TakeChanges() { return std::exchange(m_Changes, {}); } // detected locally and due to be sent to the other routers

private:
    struct Limit
    {
        double      m_RequestsPerS = 0; // of all routers together
        TimePoint   m_LastNamedAt{};    // last answer that named the limit
        TimePoint   m_ProbeAt{};        // a request is allowed from then on, regardless of the rate
        double      m_LocalRate = 0;    // share of this router, requests per second; 0: not a sender
        TokenBucket m_Bucket;           // at m_LocalRate; unused if that is 0
    };

    Limit&   Add(uint64_t incarnation, TimePoint now);
    double   LocalRate(uint64_t incarnation, double requests_per_s) const;
    void     UpdateLocalRate(uint64_t incarnation, Limit& limit, TimePoint now) const;
    Duration ProbeInterval();

    LimitRouters                        m_Routers; //
    std::unordered_map<uint64_t, Limit> m_Limits;  // by LifeHash()
    std::vector<LimitChange>            m_Changes; //
    Random                              m_Random;  //
};

} // namespace aldervale
