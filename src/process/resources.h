// aldervale: declared resources and the configuration made of them
//
// A configuration is a set of resources under one revision. A ConfigSnapshot is immutable; a change makes a new one. Parsing turns the
// JSON spec of a resource into a typed struct and reports every fault with its field path.
//
// Usage:
//   Result<ServiceSpec> s = ParseService(resource);
//   std::vector<Error> faults = ValidateConfig(snapshot);           // each resource alone, then across resources
//   auto next = ApplyChange(*snapshot, delta);
//
// Index of this file:
// [SECTION] Resource
// [SECTION] Specs by kind
// [SECTION] ConfigSnapshot
// [SECTION] Changes

#pragma once
#include "common/hash.h"
#include "common/verdict.h"
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace aldervale
{

namespace json = boost::json;

//-----------------------------------------------------------------------------
// [SECTION] Resource
//-----------------------------------------------------------------------------

enum Kind
{
    Kind_DataCentre,
    Kind_Box,
    Kind_Model,
    Kind_Version,
    Kind_Adapter,
    Kind_Placement,
    Kind_Service,
    Kind_ClientAccount,
    Kind_Rollout,
    Kind_COUNT,
};

std::string_view    KindName(Kind k); // "ClientAccount"
std::optional<Kind> ParseKind(std::string_view name);

struct ResourceKey
{
    Kind        m_Kind = Kind_Box; //
    std::string m_Name;            // lower-case letters, digits, '-' and '.'; at most 63
    auto        operator<=>(const ResourceKey&) const = default;
};

struct Resource
{
    ResourceKey  m_Key;              //
    json::object m_Spec;             // as declared
    uint64_t     m_Revision = 0;     // configuration revision that wrote it last
    bool         m_Deleted  = false; // a tombstone: kept so that deltas carry the deletion
    std::string  m_Set;              // the declaration set that owns it, for pruning; empty: none
    std::string  m_By;               // operator who wrote it last
    int64_t      m_AtMs = 0;         // wall clock at that write, for people only
};

json::object     ToJson(const Resource& r);
Result<Resource> ResourceFromJson(const json::value& v); // as sent by operators and stored in rows; refuses unknown members

//-----------------------------------------------------------------------------
// [SECTION] Specs by kind
//-----------------------------------------------------------------------------

enum BoxRole
{
    BoxRole_Entry,
    BoxRole_Backend,
};

enum BackendType // of a backend server box
{
    BackendType_Engine,
    BackendType_Plain,
};

enum OriginScope // among whom one copy from the origin is shared
{
    OriginScope_DataCentre,
    OriginScope_Region,
    OriginScope_Fleet,
};

enum ServiceType
{
    ServiceType_Model,
    ServiceType_Plain,
};

struct DataCentreSpec
{
    std::string m_Region; // name of the region
};

struct BoxSpec
{
    std::string m_DataCentre;                   // name of a DataCentre
    std::string m_Address;                      // IP:PORT of the agent's or router's link
    BoxRole     m_Role    = BoxRole_Backend;    //
    BackendType m_Backend = BackendType_Engine; // what runs on a backend server box
    bool        m_Drained = false;              // takes no new work until declared otherwise
};

struct ModelSpec
{
    OriginScope m_OriginScope = OriginScope_Region; //
};

struct VersionSpec
{
    std::string m_Model;    // name of a Model
    std::string m_Manifest; // SHA-256 of the manifest, hex; pins every byte
    std::string m_Base;     // adapters: name of the Version they go on; empty for versions
};

struct PlacementSpec
{
    std::string                   m_Model;               // name of a Model
    std::string                   m_Version;             // name of a Version of that model
    std::vector<std::string>      m_Adapters;            // names of Adapters on that version
    std::map<std::string, size_t> m_Replicas;            // by data centre
    size_t                        m_BoxesPerReplica = 1; // boxes that hold one replica's shards together
};

struct ServiceSpec
{
    std::string              m_Path;                     // path prefix, such as "/v1/chat"; unique
    ServiceType              m_Type = ServiceType_Model; //
    std::string              m_Model;                    // model services: name of a Model
    std::vector<std::string> m_Boxes;                    // plain services: replicas in home order
    std::vector<std::string> m_NonRepeatable;            // methods that may run at most once and need an Idempotency-Key
    std::vector<std::string> m_Retired;                  // homes that take no new keys; must precede their removal
    uint32_t                 m_DeadlineMs = 30'000;      // longest time a request may take
    double                   m_SloMs      = 1000;        // latency that counts as good, ms; for streams the first token
    double                   m_SloTarget  = 0.99;        // share of requests that must be good
};

struct ClientAccountSpec
{
    std::string m_TokenSha256;  // hex; the token itself is nowhere
    double      m_LimitRps = 0; // requests a second over all routers; required
    double      m_Burst    = 0; // requests; default: one second's worth
    int64_t     m_Priority = 5; // 0 (offline work) to 9, handed to engines
    double      m_Weight   = 1; // share in fair queueing
};

struct RolloutSpec
{
    std::string m_Placement;           // name of a Placement
    int64_t     m_MaxUnavailable  = 1; // boxes of one data centre out of service at once
    bool        m_Paused          = false;
    int64_t     m_HaltAfterFailed = 2; // failures over all boxes that halt the rollout and roll it back
};

Result<DataCentreSpec>    ParseDataCentre(const Resource& r);
Result<BoxSpec>           ParseBox(const Resource& r);
Result<ModelSpec>         ParseModel(const Resource& r);
Result<VersionSpec>       ParseVersion(const Resource& r); // versions and adapters
Result<PlacementSpec>     ParsePlacement(const Resource& r);
Result<ServiceSpec>       ParseService(const Resource& r);
Result<ClientAccountSpec> ParseClientAccount(const Resource& r);
Result<RolloutSpec>       ParseRollout(const Resource& r);

//-----------------------------------------------------------------------------
// [SECTION] ConfigSnapshot: one revision, immutable, with typed views by name
//-----------------------------------------------------------------------------

template <class SpecT> struct Declared
{
    SpecT    m_Spec;         //
    uint64_t m_Revision = 0; // revision that wrote the resource last
};

struct ConfigSnapshot
{
    uint64_t                        m_Revision = 0; // 0: nothing known yet
    std::map<ResourceKey, Resource> m_Resources;    // tombstones included

    std::map<std::string, Declared<DataCentreSpec>, std::less<>>    m_DataCentres; // the typed views hold no tombstones
    std::map<std::string, Declared<BoxSpec>, std::less<>>           m_Boxes;
    std::map<std::string, Declared<ModelSpec>, std::less<>>         m_Models;
    std::map<std::string, Declared<VersionSpec>, std::less<>>       m_Versions;
    std::map<std::string, Declared<VersionSpec>, std::less<>>       m_Adapters;
    std::map<std::string, Declared<PlacementSpec>, std::less<>>     m_Placements;
    std::map<std::string, Declared<ServiceSpec>, std::less<>>       m_Services;
    std::map<std::string, Declared<ClientAccountSpec>, std::less<>> m_Accounts;
    std::map<std::string, Declared<RolloutSpec>, std::less<>>       m_Rollouts;
    std::map<std::string, std::string, std::less<>>                 m_AccountByToken; // token SHA-256 to account name
};
using ConfigPtr = std::shared_ptr<const ConfigSnapshot>;

// The service whose path is the longest prefix of `path`, nullptr if none.
const Declared<ServiceSpec>* FindService(const ConfigSnapshot& c, std::string_view path, std::string* name = nullptr);
std::string                  RegionOf(const ConfigSnapshot& c, std::string_view data_centre); // "" if unknown

// Manifests of all declared versions of a model. While a rollout goes on boxes serve different ones; a request may go to any of them.
std::set<std::string> DigestsOf(const ConfigSnapshot& c, std::string_view model);

// Boxes of a data centre that a placement puts replicas on, in order; groups of m_BoxesPerReplica neighbours make one replica.
std::vector<std::string> AssignBoxes(const ConfigSnapshot& c, std::string_view placement, std::string_view data_centre);
// Boxes that share one copy from the origin with `box`, itself included, in placement order.
std::vector<std::string> ScopeMembers(const ConfigSnapshot& c, std::string_view placement, std::string_view box);

//-----------------------------------------------------------------------------
// [SECTION] Changes
//-----------------------------------------------------------------------------

struct ConfigDelta // resources written after m_From, up to and with m_To
{
    uint64_t              m_From = 0; // revision it applies to, or any newer one below m_To
    uint64_t              m_To   = 0; //
    std::vector<Resource> m_Written;  // tombstones included
};

ConfigPtr           ApplyDelta(const ConfigSnapshot& base, const ConfigDelta& delta); // nullptr unless m_From <= base revision < m_To
ConfigDelta         DeltaSince(const ConfigSnapshot& c, uint64_t from);
std::string         DeltaToJson(const ConfigDelta& d);
Result<ConfigDelta> DeltaFromJson(std::string_view text);
std::vector<Error>  ValidateConfig(const ConfigSnapshot& c); // empty when it may be accepted
// Faults in going from one snapshot to the next that neither has alone, such as removing a home that still takes keys.
std::vector<Error> ValidateTransition(const ConfigSnapshot& from, const ConfigSnapshot& to, std::span<const std::string> homes_gone);

} // namespace aldervale
