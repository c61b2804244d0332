// Backend servers known from the platform's list. See server_directory.h.
#include "process/server_directory.h"
#include <set>

namespace aldervale
{

namespace
{

constexpr size_t kGoneKept = 4096; // ids remembered as gone; older ones can't come back, ids are never used again

}

void ServerDirectory::OnRow(ServerEntry entry)
{
    m_StoreVersion     = std::max(m_StoreVersion, entry.m_RowVersion);
    const auto gone    = m_GoneAt.find(entry.m_Id);
    const auto present = m_Known.find(entry.m_Id);
    if (gone != m_GoneAt.end() && gone->second >= entry.m_RowVersion)
        return;
    if (present != m_Known.end() && present->second.m_Entry.m_RowVersion > entry.m_RowVersion)
        return;
    if (present != m_Known.end() && ServerLife::Earlier(entry.m_BornMs, present->second.m_Entry.m_BornMs))
        return;
    if (present != m_Known.end() && present->second.m_Entry.m_RowVersion == entry.m_RowVersion)
    {
        m_Changes += present->second.m_Lapsed ? 1 : 0;
        present->second.m_Lapsed = false; // it is listed
        return;
    }
    m_Changes++;
    m_GoneAt.erase(entry.m_Id);
    const std::string id = entry.m_Id;
    m_Known[id]          = Known{std::move(entry), false};
}

void ServerDirectory::OnRowGone(std::string_view id, uint64_t row_version, TimePoint now)
{
    m_StoreVersion = std::max(m_StoreVersion, row_version);
    const auto it  = m_Known.find(id);
    if (it == m_Known.end() || it->second.m_Entry.m_RowVersion > row_version)
        return;
    m_Changes++;
    if (Unsettled(now) && !it->second.m_Entry.m_Draining)
    {
        it->second.m_Lapsed = true;
        return;
    }
    Drop(it, row_version);
}

void ServerDirectory::OnRowRefused(std::string_view id, uint64_t row_version)
{
    m_StoreVersion = std::max(m_StoreVersion, row_version);
    const auto it  = m_Known.find(id);
    if (it == m_Known.end() || it->second.m_Entry.m_RowVersion >= row_version)
        return;
    m_Changes++;
    Drop(it, row_version);
}

void ServerDirectory::Drop(KnownServers::iterator it, uint64_t row_version)
{
    if (m_GoneAt.size() >= kGoneKept)
        m_GoneAt.clear();
    m_GoneAt[it->first] = row_version;
    m_Known.erase(it);
}

void ServerDirectory::OnReadAll(std::vector<ServerEntry> entries, uint64_t store_version, TimePoint now)
{
    if (store_version < m_StoreVersion)
        return; // a read that lags behind what is known
    std::set<std::string, std::less<>> listed;
    for (ServerEntry& e : entries)
    {
        listed.insert(e.m_Id);
        OnRow(std::move(e));
    }
    std::vector<std::string> missing;
    for (const auto& [id, known] : m_Known)
        if (!listed.contains(id))
            missing.push_back(id);
    for (const std::string& id : missing)
        OnRowGone(id, store_version, now);
    m_StoreVersion = store_version;
}

void ServerDirectory::OnUpTo(uint64_t store_version)
{
    m_StoreVersion = std::max(m_StoreVersion, store_version);
}

void ServerDirectory::OnUnsettled(TimePoint until)
{
    m_SettledAt = std::max(m_SettledAt, until);
}

void ServerDirectory::OnStoreLost()
{
    m_Lost = true;
}

void ServerDirectory::OnStoreReached(TimePoint now)
{
    if (!m_Lost)
        return;
    m_Lost      = false;
    m_SettledAt = now + kLapseGrace;
}

void ServerDirectory::Expire(TimePoint now)
{
    if (Unsettled(now))
        return;
    const size_t dropped = std::erase_if(m_Known, [](const auto& item) { return item.second.m_Lapsed; });
    m_Changes += dropped;
}

std::vector<const ServerEntry*> ServerDirectory::Of(std::string_view service, bool with_draining) const
{
    std::vector<const ServerEntry*> out;
    for (const auto& [id, known] : m_Known)
        if (known.m_Entry.m_Service == service && (with_draining || !known.m_Entry.m_Draining))
            out.push_back(&known.m_Entry);
    return out;
}

std::vector<const ServerEntry*> ServerDirectory::Usable(std::string_view service) const
{
    return Of(service, false);
}

std::vector<const ServerEntry*> ServerDirectory::All(std::string_view service) const
{
    return Of(service, true);
}

std::vector<const ServerEntry*> ServerDirectory::Everywhere() const
{
    std::vector<const ServerEntry*> out;
    for (const auto& [id, known] : m_Known)
        out.push_back(&known.m_Entry);
    return out;
}

const ServerEntry* ServerDirectory::Find(std::string_view id) const
{
    const auto it = m_Known.find(id);
    return it == m_Known.end() ? nullptr : &it->second.m_Entry;
}

} // namespace aldervale
