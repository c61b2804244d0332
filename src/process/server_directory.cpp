// Backend servers known from the platform's list. See server_directory.h.
#include "process/server_directory.h"
#include <algorithm>
#include <set>

namespace aldervale
{

namespace
{

constexpr size_t kGoneKept = 4096; // ids remembered as gone; the older half of them can be forgotten, nobody tells rows of minutes ago

}

bool ServerDirectory::Takes(const ServerEntry& entry) const
{
    const auto gone    = m_GoneAt.find(entry.m_Id);
    const auto present = m_Known.find(entry.m_Id);
    if (gone != m_GoneAt.end() && gone->second >= entry.m_RowVersion)
        return false;
    if (present == m_Known.end())
        return true;
    // A row from before it went away lists nothing: routers that came back told such rows again, and requests went to servers that had left
    // 5 s before.
    const uint64_t known = std::max(present->second.m_Entry.m_RowVersion, present->second.m_LapsedAt);
    return known < entry.m_RowVersion && !ServerLife::Earlier(entry.m_BornMs, present->second.m_Entry.m_BornMs);
}

void ServerDirectory::OnRow(ServerEntry entry, std::string text)
{
    m_StoreVersion = std::max(m_StoreVersion, entry.m_RowVersion);
    if (!Takes(entry))
        return;
    m_Changes++;
    m_GoneAt.erase(entry.m_Id);
    entry.m_Draining     = entry.m_Draining || SaidThatItLeaves(entry);
    const std::string id = entry.m_Id;
    m_Known[id]          = Known{std::move(entry), std::move(text)};
}

// Remembered also while its row is away: rows run out and come back while the store can't be reached.
bool ServerDirectory::OnLeaving(const ServerLife& life)
{
    if (m_LeavingBorn.size() >= kGoneKept)
        std::erase_if(m_LeavingBorn, [&](const auto& item) { return !m_Known.contains(item.first); });
    int64_t& born = m_LeavingBorn[life.m_Id];
    born          = std::max(born, life.m_BornMs);
    const auto it = m_Known.find(life.m_Id);
    if (it == m_Known.end() || it->second.m_Entry.m_Draining || !SaidThatItLeaves(it->second.m_Entry))
        return false;
    it->second.m_Entry.m_Draining = true;
    m_Changes++;
    return true;
}

bool ServerDirectory::SaidThatItLeaves(const ServerEntry& entry) const
{
    const auto it = m_LeavingBorn.find(entry.m_Id);
    return it != m_LeavingBorn.end() && !ServerLife::Earlier(it->second, entry.m_BornMs);
}

void ServerDirectory::OnRowGone(std::string_view id, uint64_t row_version, TimePoint now)
{
    Lapse(id, row_version, Unsettled(now), m_SettledAt);
}

void ServerDirectory::OnRowGoneTold(std::string_view id, uint64_t row_version, TimePoint now, TimePoint kept_until)
{
    Lapse(id, row_version, now < kept_until, kept_until);
}

// doubted: the row may have run out while its server lives.
void ServerDirectory::Lapse(std::string_view id, uint64_t row_version, bool doubted, TimePoint kept_until)
{
    m_StoreVersion = std::max(m_StoreVersion, row_version);
    const auto it  = m_Known.find(id);
    if (it == m_Known.end())
    {
        NoteGone(id, row_version);
        return;
    }
    Known& known = it->second;
    if (known.m_Entry.m_RowVersion > row_version)
        return;
    m_Changes++;
    if (!doubted || known.m_Entry.m_Draining)
    {
        Drop(it, row_version);
        return;
    }
    // Told again it is kept no longer: each router that comes back doubts it anew.
    known.m_KeptUntil = known.Lapsed() ? std::min(known.m_KeptUntil, kept_until) : kept_until;
    known.m_LapsedAt  = std::max(known.m_LapsedAt, row_version);
}

void ServerDirectory::OnRowRefused(std::string_view id, uint64_t row_version)
{
    m_StoreVersion = std::max(m_StoreVersion, row_version);
    const auto it  = m_Known.find(id);
    if (it == m_Known.end())
    {
        NoteGone(id, row_version);
        return;
    }
    if (it->second.m_Entry.m_RowVersion >= row_version)
        return;
    m_Changes++;
    Drop(it, row_version);
}

void ServerDirectory::Drop(KnownServers::iterator it, uint64_t row_version)
{
    NoteGone(it->first, std::max(row_version, it->second.m_LapsedAt));
    m_Known.erase(it);
}

void ServerDirectory::NoteGone(std::string_view id, uint64_t row_version)
{
    if (m_GoneAt.size() >= kGoneKept)
    {
        std::vector<uint64_t> versions;
        for (const auto& [gone, version] : m_GoneAt)
            versions.push_back(version);
        const auto middle = versions.begin() + static_cast<ptrdiff_t>(versions.size() / 2);
        std::nth_element(versions.begin(), middle, versions.end());
        std::erase_if(m_GoneAt, [&](const auto& item) { return item.second <= *middle; });
        if (m_TellsFrom)
            m_TellsFrom = std::max(*m_TellsFrom, *middle);
    }
    uint64_t& at = m_GoneAt[std::string(id)];
    at           = std::max(at, row_version);
}

void ServerDirectory::OnReadAll(std::vector<ListedServer> entries, uint64_t store_version, TimePoint now)
{
    if (store_version < m_StoreVersion)
        return; // a read that lags behind what is known
    std::set<std::string, std::less<>> listed;
    for (ListedServer& e : entries)
    {
        listed.insert(e.m_Entry.m_Id);
        OnRow(std::move(e.m_Entry), std::move(e.m_Text));
    }
    std::vector<std::string> missing;
    for (const auto& [id, known] : m_Known)
        if (!listed.contains(id))
            missing.push_back(id);
    for (const std::string& id : missing)
        OnRowGone(id, store_version, now);
    m_StoreVersion = store_version;
    m_TellsFrom    = m_TellsFrom.value_or(store_version);
}

// A row that went away is told as such also while its entry is kept for the grace of an outage.
std::optional<RowRead> ServerDirectory::ChangesSince(uint64_t version) const
{
    if (!m_TellsFrom || version < *m_TellsFrom)
        return std::nullopt;
    RowRead out;
    out.m_Since        = version;
    out.m_StoreVersion = m_StoreVersion;
    for (const auto& [id, known] : m_Known)
        if (known.m_LapsedAt > version)
            out.m_Rows.push_back({id, {}, known.m_LapsedAt, true, false});
        else if (!known.Lapsed() && known.m_Entry.m_RowVersion > version)
            out.m_Rows.push_back({id, known.m_Text, known.m_Entry.m_RowVersion, false, false});
    for (const auto& [id, gone_at] : m_GoneAt)
        if (gone_at > version)
            out.m_Rows.push_back({id, {}, gone_at, true, false});
    return out;
}

// An entry that is kept for the grace of an outage is told as a row and its end.
std::optional<RowRead> ServerDirectory::Whole() const
{
    if (!m_TellsFrom)
        return std::nullopt;
    RowRead out;
    out.m_StoreVersion = m_StoreVersion;
    for (const auto& [id, known] : m_Known)
        out.m_Rows.push_back({id, known.m_Text, known.m_Entry.m_RowVersion, false, false});
    for (const auto& [id, known] : m_Known)
        if (known.Lapsed())
            out.m_Rows.push_back({id, {}, known.m_LapsedAt, true, false});
    return out;
}

void ServerDirectory::OnUpTo(uint64_t store_version)
{
    m_StoreVersion = std::max(m_StoreVersion, store_version);
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
    for (auto& [id, known] : m_Known)
        if (known.Lapsed()) // its server couldn't write in the meantime either
            known.m_KeptUntil = std::max(known.m_KeptUntil, m_SettledAt);
}

void ServerDirectory::Expire(TimePoint now)
{
    if (m_Lost)
        return;
    for (auto it = m_Known.begin(); it != m_Known.end();)
    {
        const auto next = std::next(it);
        if (it->second.Lapsed() && now >= it->second.m_KeptUntil)
        {
            m_Changes++;
            Drop(it, it->second.m_LapsedAt);
        }
        it = next;
    }
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
