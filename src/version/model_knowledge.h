// aldervale: what an agent knows of its server's model: its name, where its weights come from, and the newest version named
//
// Pure. The operators' table holds all of it, but in a row as long as the declarations: 30 agents of a region that read 1.1 MB each over a link of
// 3 MB/s between regions take 11 s. So agents read only the few short rows that name weights, and learn the rest from routers, which tell
// every box with each request for reports, once a second or more often.
//   - Model and origin are those of the teller with the newest declarations so far. One with older declarations is late, or starts: it changes
//     nothing, whatever it says and however often. A model once known stays, as long as the process lives.
//   - An agent that nobody tells of its model reads the whole table as a last resort. Agents wait for that by differing times, and twice as long
//     after each read that didn't hold the own service.
//
// When a version was named decides until when older ones may serve, so a time that isn't known is said so (default TimePoint):
//   - A router may tell the time itself; it is taken before any other.
//   - What the first read of the named versions tells may have been named at any time, also before this process began.
//   - Once that read is over, a version that it didn't tell was named after it, and routers and neighbours tell of one at once: the time
//     of hearing of it. That holds whether or not the own model was known at that read, since versions are kept with their time for all models.
//
// Usage (src/programs/platform_agent.cpp):
//   ModelKnowledge k(service, own_address, Now());
//   k.OnRouterUpdate(naming, Now()); k.OnRow(model, version, Now()); k.OnVersionRowsRead();
//   if (k.NeedsFullRead(Now())) ...                     // read the whole table
//   k.Model(); k.Origin(); k.Newest();             // what is known now

#pragma once
#include "connection/load_channel.h"
#include "version/route_table.h"

namespace aldervale
{

constexpr auto   kFullReadWaitMin    = milliseconds(5000);  // least wait for a router to tell the model before the whole table is read
constexpr auto   kFullReadWaitSpread = milliseconds(5000);  // and up to this much more, by hash of the own address: boxes start by the dozen
constexpr auto   kFullReadWaitMax    = milliseconds(80000); // of that wait, after reads without the own service
constexpr auto   kRouterUpdateMaxAge = milliseconds(3500);  // routers tell every second
constexpr size_t kFullReadWaitSteps  = 64;                  // differing waits

struct DeclaredVersion
{
    uint64_t  m_Version = 0; // 0: none is known
    TimePoint m_At{};        // when; default: not known
};

class ModelKnowledge // touched on one thread
{
public:
    ModelKnowledge(std::string service, std::string_view own_address, TimePoint now);

    // What was told; true: model or origin changed
    bool OnRouterUpdate(const ModelNaming& naming, TimePoint now);   // by a router, perhaps of another service
    bool OnDeclarations(const RouteTableSpec& spec);                 // by the store
    void OnRow(std::string_view model, uint64_t version, TimePoint); // by the store: one row that names weights
    void OnNeighbourVersion(uint64_t version, TimePoint now);        // by a neighbour, of the own model
    void OnVersionRowsRead() { m_RowsRead = true; }                  // all rows of one read were handed on
    void OnFullRead(TimePoint now);                                  // the same, of the whole table

    bool NeedsFullRead(TimePoint now) const; // the whole table, until a router or the table tells the model
    bool HasRecentRouterUpdate(TimePoint now) const { return m_RouterUpdateAt != TimePoint{} && now - m_RouterUpdateAt < kRouterUpdateMaxAge; }
    const std::string&                 Model() const { return m_Model; }
    const std::optional<WeightOrigin>& Origin() const { return m_Origin; }
    uint64_t                           DeclarationsVersion() const { return m_Declared; }
    DeclaredVersion                    Newest() const; // of the own model

private:
    bool      ApplyDeclarations(uint64_t declared, const std::string& model, const std::optional<WeightOrigin>& origin);
    void      RecordVersion(std::string_view model, const DeclaredVersion& named);
    TimePoint ReceiveTime(TimePoint now) const { return m_RowsRead ? now : TimePoint{}; }

    std::string                                         m_Service;             //
    std::string                                         m_Model;               // empty: not known
    std::optional<WeightOrigin>                         m_Origin;              // none: not known
    uint64_t                                            m_Declared = 0;        // version of the declarations that told both; never falls
    std::map<std::string, DeclaredVersion, std::less<>> m_NewestByModel;       // newest one of each model; may come before the own model is known
    bool                                                m_RowsRead = false;    // the rows that name weights were read once
    Duration                                            m_FullReadWait{};      // see NeedsFullRead()
    TimePoint                                           m_RouterUpdateAt{};    // when a router last told anything of the own model
    TimePoint                                           m_FullReadWaitStart{}; // start, or last own read of the whole table
};

} // namespace aldervale
