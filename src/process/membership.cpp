// Membership from the list, links and heartbeats. See membership.h.
#include "process/membership.h"
#include <boost/json.hpp>

namespace aldervale
{

namespace json = boost::json;

constexpr std::string_view kStateNames[] = {"live", "leaving", "gone"};

Result<BoxList> ParseBoxList(std::string_view text)
{
    json::error_code  ec;
    const json::value v = json::parse(text, ec);
    if (ec || !v.is_object())
        return MakeError(ErrorCode_Corrupt, "box list is no JSON object");
    const json::value* version = v.as_object().if_contains("version");
    const json::value* boxes   = v.as_object().if_contains("boxes");
    if (version == nullptr || boxes == nullptr || !version->is_int64() || !boxes->is_array())
        return MakeError(ErrorCode_Corrupt, "box list lacks version or boxes");
    BoxList list;
    list.m_Version = static_cast<uint64_t>(version->as_int64());
    for (const json::value& item : boxes->as_array())
    {
        const json::object* o     = item.if_object();
        const json::value*  name  = o != nullptr ? o->if_contains("name") : nullptr;
        const json::value*  state = o != nullptr ? o->if_contains("state") : nullptr;
        const json::value*  boot  = o != nullptr ? o->if_contains("boot") : nullptr;
        if (name == nullptr || state == nullptr || !name->is_string() || !state->is_string())
            return MakeError(ErrorCode_Corrupt, "box list entry lacks name or state");
        BoxListEntry entry{std::string(name->as_string()), ListState_Live,
                           boot != nullptr && boot->is_int64() ? static_cast<uint64_t>(boot->as_int64()) : 0};
        const auto   word = std::find(std::begin(kStateNames), std::end(kStateNames), std::string_view(state->as_string()));
        if (word == std::end(kStateNames))
            return MakeError(ErrorCode_Corrupt, "box list entry has an unknown state");
        entry.m_State                = static_cast<ListState>(word - std::begin(kStateNames));
        list.m_Entries[entry.m_Name] = entry;
    }
    return list;
}

std::string SerializeBoxList(const BoxList& list)
{
    json::array boxes;
    for (const auto& [name, e] : list.m_Entries)
        boxes.push_back(json::object{{"name", name}, {"state", kStateNames[e.m_State]}, {"boot", e.m_Boot}});
    return json::serialize(json::object{{"version", list.m_Version}, {"boxes", boxes}});
}

void Membership::OnList(BoxList list, TimePoint)
{
    if (list.m_Version > m_List.m_Version)
        m_List = std::move(list);
}

void Membership::OnHello(const std::string& name, uint64_t incarnation, TimePoint now)
{
    Seen& s = m_Seen[name];
    if (s.m_Incarnation != incarnation)
    {
        s.m_Replaced     = s.m_Incarnation != 0;
        s.m_JoinedAtList = m_List.m_Version;
        s.m_Leaving      = false;
    }
    s.m_Incarnation = incarnation;
    s.m_LastHeard   = now;
    s.m_Linked      = true;
}

void Membership::OnHeartbeat(const std::string& name, uint64_t incarnation, bool leaving, TimePoint now)
{
    const auto it = m_Seen.find(name);
    if (it == m_Seen.end() || it->second.m_Incarnation != incarnation)
        return;
    it->second.m_LastHeard = now;
    it->second.m_Leaving   = leaving;
}

void Membership::OnLinkLost(const std::string& name, uint64_t incarnation)
{
    const auto it = m_Seen.find(name);
    if (it != m_Seen.end() && it->second.m_Incarnation == incarnation)
        it->second.m_Linked = false;
}

bool Membership::Usable(const std::string& name, TimePoint now) const
{
    const auto it = m_Seen.find(name);
    if (it == m_Seen.end() || !it->second.m_Linked || it->second.m_Leaving)
        return false;
    const Seen& s = it->second;
    if (now - s.m_LastHeard > m_Config.m_SuspectAfter)
        return false;
    const auto entry = m_List.m_Entries.find(name);
    if (entry == m_List.m_Entries.end() || entry->second.m_State == ListState_Live)
        return true;
    return s.m_Replaced && s.m_JoinedAtList >= m_List.m_Version; // rule 2: the list speaks of the predecessor
}

bool Membership::Gone(const std::string& name) const
{
    const auto entry = m_List.m_Entries.find(name);
    return entry != m_List.m_Entries.end() && entry->second.m_State == ListState_Gone;
}

std::vector<std::string> Membership::GoneBoxes() const
{
    std::vector<std::string> out;
    for (const auto& [name, e] : m_List.m_Entries)
        if (e.m_State == ListState_Gone)
            out.push_back(name);
    return out;
}

} // namespace aldervale
