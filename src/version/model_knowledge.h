// aldervale: what an agent has learned about its server's model: its name, the origin of its weights, and the target version
//
// Pure. The origin is the server that weights come from first; the target version is the version of the model's weights that operators declared
// last. The table of declarations (the configuration that operators declare) holds all of this, but in one row with all other declarations: 30 agents
// of a region that read 1.1 MB each over a link of 3 MB/s between regions take 11 s. So agents read only the few short rows that hold target versions
// and get the rest from routers, which send it to every box with each request for a load report, once a second or more often.
//   - Model and origin come from the sender with the newest declarations so far. A sender with older declarations lags behind or has just started;
//     its updates change neither, however often they arrive. The model's name, once set, stays for the lifetime of the process.
//   - An agent that has just started may get the same from an agent of its service on another box (naming_search.h). Its answer counts like a
//     router's update, except that it doesn't show that routers send updates here.
//   - An agent that gets no update about its model reads the whole table as a last resort. The wait before that differs from box to box, and
//     doubles after each read that didn't contain the agent's service.
//
// The store's row holds the version that was written last. It isn't the newest one if a write that got no answer is carried out late. So the newest
// version is the highest one that anybody has told: the row, routers, neighbours (agents of the service on other boxes), the origin, the own server.
//
// The time of declaration of a version decides until when older versions may serve, so an unknown time is stated as such (default TimePoint):
//   - A router may state the time itself. It takes precedence. Agents pass a time on only if a router stated it to them, so it passes one of them.
//   - Versions in the first read of the rows may have been declared at any time, also before this process started: the time is unknown.
//   - A version that was not in that first read was declared after it. Routers and neighbours report a new version at once, so the time of receipt
//     is taken. This also holds if the agent's model was unknown at the first read, since versions are kept with their times for all models.
//
// Usage (src/programs/platform_agent.cpp):
//   ModelKnowledge k(service, own_address, Now());
//   k.OnRouterUpdate(naming, Now()); k.OnRow(model, version, Now()); k.OnVersionRowsRead();
//   if (k.NeedsFullRead(Now())) ...                // read the whole table
//   k.Model(); k.Origin(); k.Newest();             // the current state

#pragma once
#include "connection/load_channel.h"
#include "version/route_table.h"

namespace aldervale
{

constexpr auto   kFullReadWaitMin    = milliseconds(5000);  // shortest wait for a router's update before the whole table is read
constexpr auto   kFullReadWaitSpread = milliseconds(5000);  // largest addition, by a hash of the box's address: many boxes start at the same time
constexpr auto   kFullReadWaitMax    = milliseconds(80000); // upper bound of the wait, which doubles after reads without the agent's service
constexpr auto   kRouterUpdateMaxAge = milliseconds(3500);  // routers send an update every second
constexpr size_t kFullReadWaitSteps  = 64;                  // number of different waits within kFullReadWaitSpread

struct DeclaredVersion
{
    uint64_t  m_Version = 0;  // 0: none
    TimePoint m_At{};         // time of declaration; default: unknown
    bool      m_Told = false; // by a router; else m_At is when this process heard of it, which may be long after
};

class ModelKnowledge // used on one thread only
{
public:
    ModelKnowledge(std::string service, std::string_view own_address, TimePoint now);

    // Updates. Those with a result return whether model or origin changed.
    bool OnRouterUpdate(const ModelNaming& naming, TimePoint now);    // from a router, possibly about another service
    bool OnNeighbourNaming(const ModelNaming& naming, TimePoint now); // the same from an agent on another box
    bool OnDeclarations(const RouteTableSpec& spec);                  // from a read of the whole table
    void OnRow(std::string_view model, uint64_t version, TimePoint);  // one row with a model's target version
    void OnVersionHeard(uint64_t version, TimePoint now);             // of the agent's model, from a neighbour, the origin or the own server
    void OnVersionRowsRead() { m_RowsRead = true; }                   // all rows of one read have been passed to OnRow()
    void OnFullRead(TimePoint now);                                   // the same for a read of the whole table

    bool NeedsFullRead(TimePoint now) const; // the whole table must be read because neither a router nor a table read gave the model
    bool HasRecentRouterUpdate(TimePoint now) const { return m_RouterUpdateAt != TimePoint{} && now - m_RouterUpdateAt < kRouterUpdateMaxAge; }
    const std::string&                 Model() const { return m_Model; }   // empty: not known
    const std::optional<WeightOrigin>& Origin() const { return m_Origin; } // nullopt: not known
    uint64_t        DeclarationsVersion() const { return m_Declared; }     // version of the declarations that model and origin come from
    DeclaredVersion Newest() const;                                        // target version of the agent's model
    ModelNaming     ForNeighbours() const;                                 // what other agents may be told; its model is empty if none is known

private:
    bool      ApplyNaming(const ModelNaming& naming, TimePoint now);
    bool      ApplyDeclarations(uint64_t declared, const std::string& model, const std::optional<WeightOrigin>& origin);
    void      RecordVersion(std::string_view model, const DeclaredVersion& candidate);
    TimePoint ReceiveTime(TimePoint now) const { return m_RowsRead ? now : TimePoint{}; }

    std::string                                         m_Service;         //
    std::string                                         m_Model;           // empty: not known
    std::optional<WeightOrigin>                         m_Origin;          // none: not known
    uint64_t                                            m_Declared = 0;    // see DeclarationsVersion(); never decreases
    std::map<std::string, DeclaredVersion, std::less<>> m_NewestByModel;   // newest version of each model, also before m_Model is known
    uint64_t                                            m_RouterTimed = 0; // newest version whose time of declaration a router stated to this agent
    bool                                                m_RowsRead    = false; // the rows with target versions have been read at least once
    Duration                                            m_FullReadWait{};      // current wait before a read of the whole table
    TimePoint m_RouterUpdateAt{};    // when a router last sent an update about the agent's service; default: never
    TimePoint m_FullReadWaitStart{}; // start of the process, or of the wait since the last read of the whole table
};

} // namespace aldervale
