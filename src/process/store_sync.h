// aldervale: configuration between the table service and a router: reading what others accepted, committing what this one accepts
//
// Reading: whoever of a data centre has the oldest word from the store polls next. A router whose links told it that the store agreed
// less than a second ago doesn't ask, so reads stay near one a second per data centre however many routers there are.
//
// Committing: one transaction writes the changed rows and the head row, on condition that the head is still the one that the change was
// checked against; so accepted configurations form one serial order. Each write carries an id that the head row keeps for a while. An
// answer that gets lost is settled by reading the head, and by sending the same transaction again while the head hasn't moved.
//
// Rows: config/head {"revision": 7, "writes": [{"id": "...", "revision": 7}]}, config/res/KIND/NAME holds the resource.
//
// Usage:
//   StoreSync sync(daemon, node, table, box_list, {});
//   sync.Start();
//   Result<CommitDone> r = co_await sync.Commit(change, deadline);

#pragma once
#include "external/box_list.h"
#include "external/table_service.h"
#include "process/node.h"

namespace aldervale
{

struct StoreSyncConfig
{
    Duration m_PollEvery   = milliseconds(1000); // age of the store's word beyond which somebody asks
    Duration m_PollStagger = milliseconds(400);  // added per place in the order of asking, which changes every m_OrderPeriod
    Duration m_OrderPeriod = seconds(30);        //
    Duration m_ListEvery   = milliseconds(2000); // box list reads of the data centre's first in order
    Duration m_ReadTimeout = milliseconds(2000); //
};

struct ChangeRequest
{
    std::vector<Resource>           m_Write;      // m_Revision, m_By and m_AtMs are filled in; m_Deleted deletes
    std::map<ResourceKey, uint64_t> m_IfRevision; // revision that each of these must still have; 0: must not exist
    std::string                     m_Set;        // with m_Prune: what the set owned and m_Write lacks is deleted
    bool                            m_Prune  = false;
    bool                            m_DryRun = false;
    std::string                     m_By; // operator
};

struct CommitDone
{
    uint64_t              m_Revision = 0; // in force from here on; for a dry run and for no change the present one
    std::vector<Resource> m_Written;      // what changed, deletions included
};

// A fault list is joined into one Error; both sides of a conflict are in its message.
using ManifestCheck = std::function<awaitable<Status>(std::string digest)>; // does the weight store hold this manifest

class StoreSync
{
public:
    StoreSync(Daemon& daemon, Node& node, TableService& table, BoxListSource& list, StoreSyncConfig cfg, ManifestCheck check);
    ~StoreSync();

    void                          Start();
    awaitable<Result<CommitDone>> Commit(ChangeRequest change, TimePoint deadline);
    bool                          StoreSeen() const; // the store answered at least once since the start
    bool                          StoreReachable() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
