// aldervale: the two tables of the platform's store that its router and its agent follow
//
// The operators' table holds the declarations and the named weights, the other one the backend servers. Rows that can't be decoded are
// logged and left out. The list of servers goes straight into a ServerDirectory, which also hears of the store's outages.
//
// A process that shares the operators' table with others takes what is read of it itself (m_OnOperatorTable), and gives back what is to be
// used (UseOperatorRows()).
//
// Usage:
//   PlatformTables tables(ioc, settings, paces, directory, handlers);   // follows from now on
//   json["store_reachable"] = tables.Reachable();

#pragma once
#include "platform/declarations_decode.h"
#include "platform/store_client.h"
#include "platform_settings.h"
#include "process/server_news.h"
#include "process/table_follower.h"
#include "request/server_eligibility.h"

namespace aldervale
{

struct PlatformHandlers
{
    std::function<void(const RowRead& read, TableRead kind)> m_OnOperatorTable;       // instead of using them; empty: they are used at once
    std::function<void(const RowRead& read)>                 m_OnOperatorFew;         // those that name weights; empty: they are used at once
    std::function<void()>                                    m_OnOperatorBytes;       // some of an answer of the operators' table came; may be empty
    std::function<void()>                                    m_OnOperatorBack;        // it answers again after a failure; may be empty
    std::function<void(const RouteTableSpec& spec, uint64_t row_version)> m_OnConfig; // declarations, perhaps ones known already
    std::function<void(const platform::NamedWeights& named)>              m_OnNamed;  // a version of weights, perhaps a known one
    std::function<TimePoint(const RowRead& read)>  m_OnAnswered; // any answer about either table; returns a time not after it was made; may be empty
    std::function<void()>                          m_OnOperatorRead; // after what one read of the operators' table told
    std::function<void(const ServerEntry& entry)>  m_OnListed;       // before it goes into the directory; may be empty
    std::function<void(const Row& row, bool kept)> m_OnUnlisted;     // its row went away; kept: its entry stays a while, it may live; may be empty
    std::function<void(bool changed)>              m_OnServers;      // the directory took a read; the first one changes it
    std::function<void(uint64_t since, TimePoint asked)>
        m_OnListRead; // the directory took an answer of the store about what follows on `since`; may be empty
};

struct TablePaces // how closely each table is followed
{
    TableFollowerConfig m_Operator; // declarations and named weights
    TableFollowerConfig m_List;     // backend servers
};

struct FewServers // some rows of the list
{
    std::vector<std::string> m_Keys;    // of all rows
    std::vector<ServerEntry> m_Entries; // of those that can be decoded
};

class PlatformTables // lives as long as the process
{
public:
    PlatformTables(asio::io_context& ioc, const PlatformSettings& s, const TablePaces& paces, ServerDirectory& servers, PlatformHandlers handlers);

    void                        UseOperatorRows(const RowRead& read);
    static EvacuatedDataCentres DecodeEvacuations(const RowRead& all);             // all rows of the operators' table
    void                        UseWeightsRows(const RowRead& read);               // only those that name weights
    void                        UseServerNews(const ServersTold& told);            // of another process; its rows follow on what is held
    void                        UseServerList(const ServersTold& told);            // of another process: the whole list
    awaitable<FewServers>       ReadFewServers(KeyRange keys, TimePoint deadline); // of the list, straight from the store; the directory takes none
    bool                        Reachable() const { return m_Operator->Reachable() && m_List->Reachable(); }
    bool                        ListReachable() const { return m_List->Reachable(); }
    uint64_t                    Calls() const { return m_Store.Calls(); } // of the store; each is priced

private:
    struct NamedRow // that names weights
    {
        uint64_t m_Version    = 0; // highest one that a row of its key named
        uint64_t m_RowVersion = 0; // of the last row that named it, or that was logged
    };

    void          OnConfigRow(const Row& row);
    void          OnWeightsRow(const Row& row);
    TableHandlers OperatorHandlers();
    void          OnServerList(const RowRead& read); // rows that went away are passed over
    void          OnServerGone(const Row& row, std::optional<TimePoint> doubted_until);
    void          OnServerChanges(const RowRead& read, std::optional<TimePoint> doubted_until = {}); // doubted_until: told by another process

    std::optional<ServerEntry> TakeEntry(const Row& row); // nothing: it can't be decoded, and names no server any more

    platform::StoreClient           m_Store;    //
    ServerDirectory&                m_Servers;  //
    PlatformHandlers                m_Handlers; //
    std::shared_ptr<TableFollower>  m_Operator; // declarations and named weights
    std::shared_ptr<TableFollower>  m_List;     // backend servers
    std::map<std::string, uint64_t> m_Refused;  // by key: row version of the entry that was last refused and logged
    std::map<std::string, NamedRow> m_Named;    // by key
};

} // namespace aldervale
