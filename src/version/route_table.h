// aldervale: routes, services and client accounts of one declared version, as requests are matched against them
//
// A RouteTable is immutable and lives as long as some request uses it; a new declared version makes a new table. It is built from plain
// structs, whoever declared them.
//
// Usage:
//   RouteTablePtr t = MakeRouteTable(std::move(spec));
//   const Route* r = t->FindRoute("api.example", "/books/7");       // longest prefix; null: none
//   const ClientAccount* a = t->FindAccount(key);                   // null: nobody holds this key
//
// Index of this file:
// [SECTION] Services
// [SECTION] Routes
// [SECTION] Client accounts
// [SECTION] RouteTable

#pragma once
#include "connection/link.h"
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace aldervale
{

//-----------------------------------------------------------------------------
// [SECTION] Services
//-----------------------------------------------------------------------------

struct EngineCosts // of a model service; what the declarations say of its engines
{
    std::string m_Model;                         // name of the model it runs
    unsigned    m_Slots                  = 1;    // requests in one batch
    uint64_t    m_KvTokens               = 0;    // tokens that its memory holds
    double      m_StepMs                 = 10;   // one token step
    double      m_PerRequestMs           = 0;    // added to a step by each request that writes
    double      m_PerKContextMs          = 0;    // added to a step by 1,000 tokens of context
    double      m_ReadPerMs              = 1;    // prompt tokens read in a millisecond
    double      m_MsPerMillionPairs      = 0;    // added to reading by a million pairs of a token and one before it
    unsigned    m_PromptTokensPerPassMax = 2048; // prompt tokens read between two steps
    unsigned    m_StepsPerPass           = 1;    // token steps between two looks at the queue
    double      m_MeanPromptTokens       = 1000; // mean tokens in
    double      m_MeanAnswerTokens       = 100;  // mean tokens out
    uint32_t    m_Pieces                 = 0;    // pieces that a version's weights are cut into; 0: weights aren't moved
    uint32_t    m_PieceBytes             = 0;    //
    double      m_WarmS                  = 0;    // from the order to start until it serves, seconds
};

struct Service
{
    std::string                m_Name;               //
    std::string                m_HealthPath;         //
    unsigned                   m_MaxConnections = 0; // from all callers together; 0: not said
    std::optional<EngineCosts> m_Engine;             // model services
};

struct WeightOrigin // where weights come from first
{
    Endpoint m_Address;            //
    double   m_Mbps           = 0; // of its link
    unsigned m_MaxConnections = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Routes
//-----------------------------------------------------------------------------

enum RouteKind
{
    RouteKind_Repeatable, // may run more than once
    RouteKind_Once,       // at most once per attempt of the caller
    RouteKind_Stream,     // an event stream; at most once unless it can be resumed
};

struct RouteTarget
{
    std::string m_Service; //
    unsigned    m_Weight = 1;
};

struct Route
{
    std::string              m_Name;                           //
    std::string              m_Host;                           // lower case
    std::string              m_Prefix;                         // starts and ends with '/'
    RouteKind                m_Kind        = RouteKind_Once;   //
    Duration                 m_Timeout     = seconds(30);      // longest time an answer may take
    Duration                 m_Goal        = seconds(1);       // latency objective; of streams for the first event
    Duration                 m_MaxGap      = seconds(1);       // streams: longest pause between events that is still in time
    unsigned                 m_MaxAttempts = 1;                // backend servers that one attempt of a caller may reach
    unsigned                 m_Priority    = kDefaultPriority; // 0 is the most urgent
    bool                     m_Public      = false;            // needs no key
    bool                     m_Resumable   = false;            // streams: may be taken up after an event
    std::vector<RouteTarget> m_Targets;                        // at least one, weights over 0

    static constexpr unsigned kDefaultPriority = 5; // of the engines
    bool                      MayRepeat() const { return m_Kind == RouteKind_Repeatable || (m_Kind == RouteKind_Stream && m_Resumable); }
};

//-----------------------------------------------------------------------------
// [SECTION] Client accounts
//-----------------------------------------------------------------------------

struct ClientAccount
{
    std::string              m_Name;     //
    std::vector<std::string> m_Keys;     //
    std::optional<unsigned>  m_Priority; // goes before the route's
};

//-----------------------------------------------------------------------------
// [SECTION] RouteTable
//-----------------------------------------------------------------------------

struct CallerLimits
{
    uint32_t m_HeadMax     = 16 * 1024;       // bytes of request line and fields
    uint64_t m_BodyMax     = 4 * 1024 * 1024; // bytes
    Duration m_HeadTimeout = seconds(30);     // for a request's head
    Duration m_IdleTimeout = seconds(30);     // of a resting connection
};

struct RouteTableSpec
{
    uint64_t                    m_Version = 0; // of the declarations; only rises
    std::vector<Route>          m_Routes;      //
    std::vector<Service>        m_Services;    //
    std::optional<WeightOrigin> m_Origin;      //
    std::vector<ClientAccount>  m_Accounts;    // empty: no request needs a key
    CallerLimits                m_Limits;      //
};

class RouteTable
{
public:
    explicit RouteTable(RouteTableSpec spec);

    uint64_t              Version() const { return m_Spec.m_Version; }
    const RouteTableSpec& Spec() const { return m_Spec; }
    const Route*          FindRoute(std::string_view host, std::string_view path) const; // host without port, any case; longest prefix
    const ClientAccount*  FindAccount(std::string_view key) const;
    const Service*        FindService(std::string_view name) const;
    Duration              StrictestObjective(std::string_view service) const; // of the routes that lead to it; zero: none does
    bool                  NeedsKey(const Route& r) const { return !r.m_Public && !m_Spec.m_Accounts.empty(); }

private:
    RouteTableSpec                                             m_Spec;                // not changed after construction: the maps point into it
    std::unordered_map<std::string, std::vector<const Route*>> m_ByHost;              // longest prefix first
    std::unordered_map<std::string_view, const ClientAccount*> m_ByKey;               //
    std::unordered_map<std::string_view, const Service*>       m_ByName;              // services
    std::unordered_map<std::string_view, Duration>             m_StrictestObjectives; // strictest one of each service's routes
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

// The target that a request goes to: the same for the same request id, in parts as the weights say.
const RouteTarget& PickTarget(const Route& r, std::string_view request_id);

} // namespace aldervale
