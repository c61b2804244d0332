// Following the platform's tables. See platform_tables.h.
#include "platform_tables.h"
#include "common/log.h"
#include "common/metrics.h"
#include "platform/names.h"
#include <set>

namespace aldervale
{

namespace
{

constexpr size_t kRefusedKept = 256; // refused entries whose log line is remembered: one a version, also when the table is read again

} // namespace

PlatformTables::PlatformTables(asio::io_context& ioc, const PlatformSettings& s, const TablePaces& paces, ServerDirectory& servers,
                               PlatformHandlers handlers)
    : m_Store(ParseEndpoint(s.m_Store).value()), m_Servers(servers), m_Handlers(std::move(handlers))
{
    const TableHandlers operators = OperatorHandlers();
    TableHandlers       list;
    list.m_OnAll = [this](const RowRead& read)
    {
        const uint64_t since = m_Servers.StoreVersion();
        OnServerList(read);
        if (m_Handlers.m_OnListRead)
            m_Handlers.m_OnListRead(since, read.m_AskedAt);
    };
    list.m_OnChanges = [this](const RowRead& read)
    {
        OnServerChanges(read);
        if (m_Handlers.m_OnListRead)
            m_Handlers.m_OnListRead(read.m_Since, read.m_AskedAt); // not what the directory held: others may lack what another reader told it
    };
    list.m_OnAnswered = m_Handlers.m_OnAnswered;
    list.m_OnLost     = [this] { m_Servers.OnStoreLost(); };
    list.m_OnReached  = [this] { m_Servers.OnStoreReached(Now()); };
    m_Operator        = std::make_shared<TableFollower>(ioc, m_Store, std::string(platform::kOperatorTable), paces.m_Operator, operators);
    m_List            = std::make_shared<TableFollower>(ioc, m_Store, std::string(platform::kServerTable), paces.m_List, list);
    m_Operator->Start();
    m_List->Start();
}

//-----------------------------------------------------------------------------
// The operators' table
//-----------------------------------------------------------------------------

TableHandlers PlatformTables::OperatorHandlers()
{
    const auto taken = [this](TableRead kind)
    {
        return [this, kind](const RowRead& read)
        {
            if (m_Handlers.m_OnOperatorTable)
                m_Handlers.m_OnOperatorTable(read, kind);
            else
                UseOperatorRows(read);
        };
    };
    TableHandlers h;
    h.m_OnAll     = taken(TableRead_Whole);
    h.m_OnChanges = taken(TableRead_Changes);
    h.m_OnFew     = m_Handlers.m_OnOperatorFew;
    if (!h.m_OnFew)
        h.m_OnFew = [this](const RowRead& read) { UseOperatorRows(read); };
    h.m_OnAnswered = m_Handlers.m_OnAnswered;
    h.m_OnReached  = m_Handlers.m_OnOperatorBack;
    if (m_Handlers.m_OnOperatorBytes)
        m_Store.SetOnBytes(
            [this](std::string_view table)
            {
                if (table == platform::kOperatorTable)
                    m_Handlers.m_OnOperatorBytes();
            });
    return h;
}

void PlatformTables::OnConfigRow(const Row& row)
{
    const auto spec = platform::DecodeConfig(row.m_Value);
    if (!spec)
    {
        LogEvent(Event_DeclarationsRefused, {{"row_version", row.m_Version}, {"field", spec.error().m_Field}, {"what", spec.error().m_Message}});
        return;
    }
    m_Handlers.m_OnConfig(spec.value(), row.m_Version);
}

void PlatformTables::OnWeightsRow(const Row& row)
{
    const auto named = platform::DecodeWeights(row);
    if (!named)
    {
        LogEvent(Event_RowRefused, {{"key", row.m_Key}, {"what", named.error().m_Message}});
        return;
    }
    NamedRow& newest = m_Named[row.m_Key];
    if (named.value().m_Version >= newest.m_Version)
        newest = {named.value().m_Version, row.m_Version};
    else if (row.m_Version > newest.m_RowVersion)
    {
        LogEvent(
            Event_OlderWeightsNamed,
            {{"model", named.value().m_Model}, {"version", named.value().m_Version}, {"newest", newest.m_Version}, {"row_version", row.m_Version}});
        newest.m_RowVersion = row.m_Version; // each row is logged once
    }
    m_Handlers.m_OnNamed(named.value());
}

void PlatformTables::UseOperatorRows(const RowRead& read)
{
    const Row* config = nullptr; // the newest one: those before it in the same read are never in force
    for (const Row& row : read.m_Rows)
        if (!row.m_Gone && platform::IsConfigRow(row))
            config = &row;
    if (config != nullptr)
        OnConfigRow(*config);
    UseWeightsRows(read);
    m_Handlers.m_OnOperatorRead();
}

void PlatformTables::UseWeightsRows(const RowRead& read)
{
    for (const Row& row : read.m_Rows)
        if (!row.m_Gone && platform::IsWeightsRow(row))
            OnWeightsRow(row);
}

EvacuatedDataCentres PlatformTables::DecodeEvacuations(const RowRead& all)
{
    EvacuatedDataCentres out;
    for (const Row& row : all.m_Rows)
        if (auto data_centre = platform::DecodeEvacuation(row))
            out.insert(std::move(*data_centre));
    return out;
}

//-----------------------------------------------------------------------------
// The list of servers
//-----------------------------------------------------------------------------

std::optional<ServerEntry> PlatformTables::TakeEntry(const Row& row)
{
    static Counter& refused = Metrics().GetCounter("aldervale_server_entries_refused_total");
    auto            entry   = platform::DecodeServer(row);
    if (entry)
    {
        if (entry.value().m_ColdFor > Duration::zero())
            entry.value().m_ColdUntil = Now() + entry.value().m_ColdFor; // the entry may be older, so this is too long rather than too short
        return std::move(entry.value());
    }
    if (m_Refused.size() >= kRefusedKept)
        m_Refused.clear();
    uint64_t& told = m_Refused[row.m_Key];
    if (told < row.m_Version || told == 0)
    {
        refused.Add(1);
        LogEvent(Event_RowRefused,
                 {{"key", row.m_Key}, {"row_version", row.m_Version}, {"field", entry.error().m_Field}, {"what", entry.error().m_Message}});
    }
    told = row.m_Version;
    m_Servers.OnRowRefused(row.m_Key, row.m_Version);
    return std::nullopt;
}

awaitable<FewServers> PlatformTables::ReadFewServers(KeyRange keys, TimePoint deadline)
{
    const std::string table(platform::kServerTable);
    const auto        read = co_await m_Store.ReadAll(table, keys, deadline);
    FewServers        out;
    if (!read)
        co_return out;
    for (const Row& row : read.value().m_Rows)
    {
        out.m_Keys.push_back(row.m_Key);
        auto entry = platform::DecodeServer(row);
        if (entry)
            out.m_Entries.push_back(std::move(entry.value()));
    }
    co_return out;
}

void PlatformTables::OnServerList(const RowRead& read)
{
    std::vector<ListedServer> entries;
    for (const Row& row : read.m_Rows)
        if (auto entry = row.m_Gone ? std::nullopt : TakeEntry(row))
            entries.push_back({std::move(*entry), row.m_Value});
    if (m_Handlers.m_OnListed)
        for (const ListedServer& e : entries)
            if (m_Servers.Takes(e.m_Entry))
                m_Handlers.m_OnListed(e.m_Entry);
    m_Servers.OnReadAll(std::move(entries), read.m_StoreVersion, Now());
    m_Handlers.m_OnServers(true);
}

void PlatformTables::OnServerGone(const Row& row, std::optional<TimePoint> doubted_until)
{
    const TimePoint now   = Now();
    const bool      known = m_Servers.Find(row.m_Key) != nullptr;
    if (doubted_until)
        m_Servers.OnRowGoneTold(row.m_Key, row.m_Version, now, *doubted_until);
    else
        m_Servers.OnRowGone(row.m_Key, row.m_Version, now);
    if (known && m_Handlers.m_OnUnlisted)
        m_Handlers.m_OnUnlisted(row, m_Servers.Find(row.m_Key) != nullptr);
}

void PlatformTables::OnServerChanges(const RowRead& read, std::optional<TimePoint> doubted_until)
{
    const uint64_t before = m_Servers.Changes();
    for (const Row& row : read.m_Rows)
    {
        if (row.m_Gone)
            OnServerGone(row, doubted_until);
        else if (auto entry = TakeEntry(row))
        {
            if (m_Handlers.m_OnListed && m_Servers.Takes(*entry))
                m_Handlers.m_OnListed(*entry);
            m_Servers.OnRow(std::move(*entry), row.m_Value);
        }
    }
    m_Servers.OnUpTo(read.m_StoreVersion);
    m_Handlers.m_OnServers(m_Servers.Changes() != before);
}

void PlatformTables::UseServerList(const ServersTold& told)
{
    OnServerList(told.m_Rows);
    for (const Row& row : told.m_Rows.m_Rows)
        if (row.m_Gone)
            OnServerGone(row, Now() + told.m_Unsettled);
}

void PlatformTables::UseServerNews(const ServersTold& told)
{
    OnServerChanges(told.m_Rows, Now() + told.m_Unsettled);
}

} // namespace aldervale
