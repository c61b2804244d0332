// aldervale: divides the rate limits of backend servers among the routers
//
// Performs no I/O and reads no clock. An overloaded server states in its answers how many requests per second it accepts from all routers together.
// Each router sees only its own requests, so it enforces a share of the limit.
//
// Division:
//   - Each router has a token bucket with a burst of one. N routers may spend their tokens simultaneously, so the number of senders is bounded by
//     1 + kSendersPerLimit x limit, each with an equal share. In any 4 s they send at most 4 x limit + 1 + 2 x limit requests, of 6 x limit + 5 that
//     are allowed; the margin covers routers whose views of the router set differ temporarily.
//   - If there are no more routers than that, all of them send. Otherwise the senders are selected for each server by rendezvous hashing among the
//     routers that are known in all regions.
//   - The senders notify the other routers when a limit ends. A router that is not a sender also probes the server with a single request after a long
//     interval.
//
// Cold servers: for some seconds after its start a server bears few requests, in any second, and fails under more. Load pattern: a data centre or a
// release comes back, and every router finds the same empty servers. The declared rate is divided in the same way, but among fewer senders, since
// the bound holds for each second. A router that doesn't know the others sends nothing to a cold server. Where views of the router set differ, the
// rate of a sender stays the same, so that the sum grows by the bursts of the additional senders only.
//
// Pauses: a server that rejects a request may state how long it wants no further request from this router. Load pattern: all servers of a service
// are overloaded and ask for it; each router then refuses its callers itself, at once, until the first pause ends. Unlike a suspension after a
// failure, which is this router's own guess and is overruled where no other server is left, a pause is never overruled. Other routers aren't told.
//
// A limit applies to one incarnation of a server (one run of its process), and so does a pause. A limit ends when a request that was sent after the
// limit was last stated gets an answer without a limit.
//
// Usage:
//   ServerLimits l(seed);
//   l.SetRouters(routers, now);
//   if (l.Allows(incarnation, now)) { l.OnSent(incarnation, now); ... }
//   l.OnAnswer(incarnation, limit, sent_at, now);                // for the head of each answer
//   l.OnPause(incarnation, now + pause, now);                    // stated by the head of an answer
//   l.SetColdServers(cold, now);                                 // when the list of servers or the declarations change
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

constexpr double   kSendersPerLimit        = 2;           // additional senders for each request per second of the limit
constexpr double   kSendersPerColdRate     = 0.5;         // additional senders for each request per second that a cold server bears
constexpr unsigned kAssumedRouterCount     = 8;           // used until the number of routers is known
constexpr auto     kProbeIntervalMin       = seconds(10); // since the last answer with a limit or the last probe of this router
constexpr auto     kProbeIntervalPerRouter = seconds(4);  // the mean interval is proportional to the number of routers
constexpr auto     kAnswerPrecedence       = seconds(1);  // time after an answer with a limit in which changes from other routers are ignored

struct LimitRouters // the routers that share the limits
{
    std::vector<std::string> m_KnownToAll; // addresses of routers known in all regions; the same list at all routers; m_Self may be missing
    std::string              m_Self;       // address of this router
    uint32_t                 m_Total = 0;  // number of all routers; 0: unknown

    bool operator==(const LimitRouters&) const = default;
};

struct LimitChange
{
    uint64_t              m_IncarnationHash = 0; // LifeHash() of the server
    std::optional<double> m_RequestsPerS;        // new limit; none: the limit ended
};

struct ColdServer
{
    uint64_t  m_IncarnationHash = 0; // LifeHash() of the server
    double    m_RequestsPerS    = 0; // that it bears from all routers together
    TimePoint m_Until{};             //
};

class ServerLimits // used on one thread
{
public:
    explicit ServerLimits(uint64_t seed) : m_Random(seed) {}

    bool     Allows(const ServerLife& incarnation, TimePoint now);
    bool     AllowsStated(const ServerLife& incarnation, TimePoint now);   // but for its being cold: of a place that its box grants
    double   ColdRate(const ServerLife& incarnation, TimePoint now) const; // requests per second that it bears now; 0: it isn't cold
    void     OnSent(const ServerLife& incarnation, TimePoint now);
    void     OnPause(const ServerLife& incarnation, TimePoint until, TimePoint now);
    Duration PauseLeft(const ServerLife& incarnation, TimePoint now) const; // zero: it hasn't asked for a pause, or that is over
    bool     OnAnswer(const ServerLife& incarnation, std::optional<double> requests_per_s, TimePoint sent_at, TimePoint now); // whether it changed
    bool     OnRemoteChange(const LimitChange& change, TimePoint now); // returns whether the limit changed
    void     RemoveUnlisted(std::span<const uint64_t> listed);         // removes limits whose LifeHash() is not in `listed`; pauses end by themselves
    void     SetColdServers(std::span<const ColdServer> cold, TimePoint now); // all that are known to be cold
    void     SetRouters(const LimitRouters& routers, TimePoint now);

    bool                     Empty() const { return m_Limits.empty() && m_Cold.empty() && m_PausedUntil.empty(); }
    size_t                   Count() const { return m_Limits.size(); }
    std::vector<LimitChange> TakeChanges() { return std::exchange(m_Changes, {}); } // changes detected locally, to be sent to the other routers

private:
    struct Limit
    {
        double      m_RequestsPerS = 0; // limit for all routers together
        TimePoint   m_LastStatedAt{};   // time of the last answer with a limit
        TimePoint   m_ProbeAt{};        // from this time on one request is allowed regardless of the rate
        double      m_LocalRate = 0;    // share of this router, requests per second; 0: not a sender
        TokenBucket m_Bucket;           // filled at m_LocalRate; unused if that is 0
    };

    struct ColdLimit
    {
        ColdServer  m_Server;        //
        double      m_LocalRate = 0; // share of this router, requests per second; 0: not a sender
        TokenBucket m_Bucket;        // filled at m_LocalRate; unused if that is 0
    };

    Limit&   Add(uint64_t incarnation, TimePoint now);
    bool     AllowsCold(uint64_t incarnation, TimePoint now);
    bool     IsSelectedSender(uint64_t incarnation, size_t senders) const; // this router is among the first `senders` of those that are known to all
    double   LocalRate(uint64_t incarnation, double requests_per_s) const;
    double   LocalColdRate(const ColdServer& server) const;
    void     UpdateLocalRate(uint64_t incarnation, Limit& limit, TimePoint now) const;
    void     UpdateColdRate(ColdLimit& limit, TimePoint now) const;
    Duration ProbeInterval();

    LimitRouters                            m_Routers;     //
    std::unordered_map<uint64_t, Limit>     m_Limits;      // by LifeHash()
    std::unordered_map<uint64_t, ColdLimit> m_Cold;        // by LifeHash()
    std::unordered_map<uint64_t, TimePoint> m_PausedUntil; // by LifeHash(); past times are removed as further ones are added
    std::vector<LimitChange>                m_Changes;     //
    Random                                  m_Random;      //
};

} // namespace aldervale
