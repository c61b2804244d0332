// aldervale: routes, services and client accounts of one version of the declarations, for matching requests
//
// Declarations are the configuration that operators declare. A RouteTable is immutable and lives as long as some request uses it; a new version of
// the declarations makes a new table. It is built from plain structs and doesn't depend on where the declarations come from.
//
// Usage:
//   RouteTablePtr t = std::make_shared<const RouteTable>(std::move(spec));
//   const Route* r = t->FindRoute("api.example", "/books/7");       // longest matching prefix; null: none
//   const ClientAccount* a = t->FindAccount(key);                   // null: no account has this key
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

struct EngineCosts // declared costs of the engines of a model service
{
    std::string m_Model;                         // name of the model that the engines run
    unsigned    m_Slots                  = 1;    // requests in one batch
    uint64_t    m_KvTokens               = 0;    // capacity of the key-value cache, tokens
    double      m_StepMs                 = 10;   // duration of one decoding step
    double      m_PerRequestMs           = 0;    // added to a step by each request that is generating tokens
    double      m_PerKContextMs          = 0;    // added to a step by each 1,000 tokens of context
    double      m_ReadPerMs              = 1;    // prompt tokens that are read (prefilled) in 1 ms
    double      m_MsPerMillionPairs      = 0;    // added to reading a prompt by each million pairs of a token and an earlier one
    unsigned    m_PromptTokensPerPassMax = 2048; // prompt tokens that are read between two decoding steps
    unsigned    m_StepsPerPass           = 1;    // decoding steps between two looks at the queue of waiting requests
    double      m_MeanPromptTokens       = 1000; // of one request
    double      m_MeanAnswerTokens       = 100;  // of one request
    uint32_t    m_Pieces                 = 0;    // pieces that a version's weights are cut into; 0: weights are not distributed
    uint32_t    m_PieceBytes             = 0;    // size of one piece
    double      m_WarmS                  = 0;    // time from the order to start until the server serves, seconds
};

struct Service
{
    std::string                m_Name;               //
    std::string                m_HealthPath;         //
    unsigned                   m_MaxConnections = 0; // limit over all callers; 0: no limit declared
    double                     m_ColdPerSecond  = 0; // requests per second that a cold server bears from all routers together; 0: no bound declared
    std::optional<EngineCosts> m_Engine;             // model services only
};

struct WeightOrigin // server that weights come from first
{
    Endpoint m_Address;            //
    double   m_Mbps           = 0; // bandwidth of its link
    unsigned m_MaxConnections = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Routes
//-----------------------------------------------------------------------------

enum RouteKind
{
    RouteKind_Repeatable, // may run more than once
    RouteKind_Once,       // at most once per attempt of the caller
    RouteKind_Stream,     // an event stream; runs at most once unless it can be resumed
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
    Duration                 m_Timeout     = seconds(30);      // longest duration of an answer
    Duration                 m_Goal        = seconds(1);       // latency objective; for streams, of the first event
    Duration                 m_MaxGap      = seconds(1);       // streams: longest gap between two events that still meets the objective
    unsigned                 m_MaxAttempts = 1;                // backend servers that one attempt of a caller may be sent to
    unsigned                 m_Priority    = kDefaultPriority; // 0 is the most urgent
    bool                     m_Public      = false;            // needs no API key
    bool                     m_Resumable   = false;            // streams: may be resumed after an event
    std::vector<RouteTarget> m_Targets;                        // at least one, weights over 0
    std::vector<std::string> m_AllowedRegions;                 // regions whose servers may get its requests; empty: all

    static constexpr unsigned kDefaultPriority = 5; // default priority of model engines
    bool                      MayRepeat() const { return m_Kind == RouteKind_Repeatable || (m_Kind == RouteKind_Stream && m_Resumable); }
};

//-----------------------------------------------------------------------------
// [SECTION] Client accounts
//-----------------------------------------------------------------------------

struct ClientAccount
{
    std::string              m_Name;                //
    std::vector<std::string> m_Keys;                //
    std::optional<unsigned>  m_Priority;            // overrides the priority of the route
    std::vector<std::string> m_AllowedRegions = {}; // regions whose servers may get its requests; empty: all; the route's apply as well
};

//-----------------------------------------------------------------------------
// [SECTION] RouteTable
//-----------------------------------------------------------------------------

struct CallerLimits
{
    uint32_t m_HeadMax     = 16 * 1024;       // bytes of request line and header fields
    uint64_t m_BodyMax     = 4 * 1024 * 1024; // bytes
    Duration m_HeadTimeout = seconds(30);     // for receiving a request's head
    Duration m_IdleTimeout = seconds(30);     // of a connection without a request
};

struct RouteTableSpec
{
    uint64_t                    m_Version = 0; // version of the declarations; only increases
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
    const RouteTableSpec& Spec() const { return m_Spec; }                                // not modified after construction: the maps point into it
    const Route*          FindRoute(std::string_view host, std::string_view path) const; // `host`: port is ignored, any case
    const ClientAccount*  FindAccount(std::string_view key) const;
    const Service*        FindService(std::string_view name) const;
    Duration              StrictestObjective(std::string_view service) const; // shortest one of the routes that lead to it; zero: no route does
    bool                  NeedsKey(const Route& r) const { return !r.m_Public && !m_Spec.m_Accounts.empty(); }

private:
    RouteTableSpec                                             m_Spec;                // not changed after construction: the maps point into it
    std::unordered_map<std::string, std::vector<const Route*>> m_ByHost;              // longest prefix first
    std::unordered_map<std::string_view, const ClientAccount*> m_ByKey;               //
    std::unordered_map<std::string_view, const Service*>       m_ByName;              // services by name
    std::unordered_map<std::string_view, Duration>             m_StrictestObjectives; // by service
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

// Chooses the target of a request. The same request id always gives the same target; ids are distributed in proportion to the weights.
const RouteTarget& PickTarget(const Route& r, std::string_view request_id);

} // namespace aldervale
