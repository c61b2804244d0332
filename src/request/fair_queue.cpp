// Start-time fair queueing over client accounts. See fair_queue.h.
#include "request/fair_queue.h"
#include <algorithm>
#include <boost/assert.hpp>

namespace aldervale
{

bool FairQueue::TryStart(size_t capacity)
{
    if (m_Running >= capacity || Waiting() > 0)
        return false;
    m_Running++;
    return true;
}

bool FairQueue::Push(uint64_t id, const std::string& account, double weight, bool offline)
{
    BOOST_ASSERT_MSG(weight > 0, "weight must be over 0");
    Account& a = m_Accounts[account];
    if (Waiting() >= m_Config.m_MaxWaiting || a.m_Waiting >= m_Config.m_MaxWaitingPerAccount)
    {
        if (a.m_Waiting == 0)
            m_Accounts.erase(account);
        return false;
    }
    const QueuePosition position{std::max(m_VirtualTime, a.m_FinishTag), ++m_Seq};
    a.m_FinishTag = position.m_StartTag + 1.0 / weight;
    a.m_Waiting++;
    (offline ? m_Offline : m_Online).emplace(position, Entry{id, account});
    m_ById.emplace(id, std::pair(offline, position));
    return true;
}

bool FairQueue::Remove(uint64_t id)
{
    const auto it = m_ById.find(id);
    if (it == m_ById.end())
        return false;
    auto&      queue = it->second.first ? m_Offline : m_Online;
    const auto entry = queue.find(it->second.second);
    m_Accounts[entry->second.m_Account].m_Waiting--;
    queue.erase(entry);
    m_ById.erase(it);
    return true;
}

std::map<FairQueue::QueuePosition, FairQueue::Entry>& FairQueue::NextQueue()
{
    const bool due = m_StartsSinceOffline + 1 >= m_Config.m_OfflineInterval;
    if (m_Online.empty() || (due && !m_Offline.empty()))
        return m_Offline;
    return m_Online;
}

std::optional<uint64_t> FairQueue::Pop(size_t capacity)
{
    if (m_Running >= capacity || Waiting() == 0)
        return std::nullopt;
    auto&       queue    = NextQueue();
    const bool  offline  = &queue == &m_Offline;
    const auto  first    = queue.begin();
    const Entry entry    = first->second;
    m_VirtualTime        = std::max(m_VirtualTime, first->first.m_StartTag);
    m_StartsSinceOffline = offline ? 0 : m_StartsSinceOffline + 1;
    queue.erase(first);
    m_ById.erase(entry.m_Id);
    Account& a = m_Accounts[entry.m_Account];
    a.m_Waiting--;
    m_Running++;
    if (a.m_Waiting == 0 && a.m_FinishTag <= m_VirtualTime)
        m_Accounts.erase(entry.m_Account);
    return entry.m_Id;
}

void FairQueue::OnEnd()
{
    BOOST_ASSERT_MSG(m_Running > 0, "OnEnd() without a running request");
    m_Running--;
    if (Waiting() == 0 && m_Running == 0)
        m_Accounts.clear(); // finish tags are irrelevant once nothing runs or waits
}

} // namespace aldervale
