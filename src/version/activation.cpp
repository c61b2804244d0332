// Activation state machine. See activation.h.
#include "version/activation.h"
#include <algorithm>
#include <boost/assert.hpp>

namespace aldervale
{

std::string_view VersionStateName(VersionState s)
{
    constexpr std::string_view kNames[] = {"absent", "fetching", "verified", "loading", "servable", "failed"};
    return kNames[s];
}

OrderOutcome Activation::OnOrder(const Order& o)
{
    if (o.m_Fencing < m_Fencing)
        return OrderOutcome_Stale;
    if (o.m_Fencing == m_Fencing && o.m_Id <= m_LastOrderId)
        return OrderOutcome_Done; // repeated, or overtaken by a later order of the same controller
    m_Fencing     = o.m_Fencing;
    m_LastOrderId = o.m_Id;
    switch (o.m_Kind)
    {
    case OrderKind_Prepare:
        Prepare(o);
        break;
    case OrderKind_Commit:
        Commit(o);
        break;
    case OrderKind_Unload:
        Unload(o);
        break;
    }
    return OrderOutcome_Started;
}

void Activation::OnFencing(uint64_t fencing)
{
    if (fencing <= m_Fencing)
        return;
    m_Fencing     = fencing;
    m_LastOrderId = 0;
}

void Activation::Prepare(const Order& o)
{
    HeldVersion& v = m_Versions[o.m_Digest];
    if (v.m_State != VersionState_Absent && v.m_State != VersionState_Failed)
        return;
    v.m_State = VersionState_Fetching;
    v.m_Base  = o.m_Base;
    m_Actions.push_back({ActivationAction_Fetch, o.m_Digest, o.m_Base, m_Fencing});
}

void Activation::Commit(const Order& o)
{
    HeldVersion& v = m_Versions[o.m_Digest];
    if (v.m_State == VersionState_Servable)
        return;
    if (v.m_State == VersionState_Absent || v.m_State == VersionState_Failed)
        Prepare(o);
    const std::string base = v.m_Base;
    if (v.m_State == VersionState_Fetching)
    {
        if (base.empty()) // replaces an earlier version whose commit is still deferred
            std::erase_if(m_DeferredCommits, [&](const std::string& d) { return m_Versions[d].m_Base.empty(); });
        m_DeferredCommits.push_back(o.m_Digest);
        return;
    }
    if (!base.empty())
    {
        if (v.m_State == VersionState_Verified && m_Active == base && m_Pending.empty())
        {
            v.m_State = VersionState_Loading;
            m_Actions.push_back({ActivationAction_EngineLoad, o.m_Digest, base, m_Fencing});
        }
        return; // without its base it stays verified; the controller orders the commit again once the base serves
    }
    if (m_LoadRequested)
    {
        if (m_Pending != o.m_Digest)
            m_DeferredCommits = {o.m_Digest}; // committed when the engine has answered
        return;
    }
    m_Pending = o.m_Digest;
    StartPendingLoad();
}

void Activation::Unload(const Order& o)
{
    const auto it = m_Versions.find(o.m_Digest);
    if (it == m_Versions.end() || o.m_Digest == m_Active || (o.m_Digest == m_Pending && m_LoadRequested) ||
        it->second.m_State == VersionState_Loading)
        return;
    if (it->second.m_State == VersionState_Servable) // an adapter in the engine
        return;
    if (m_Pending == o.m_Digest)
        m_Pending.clear();
    std::erase(m_DeferredCommits, o.m_Digest);
    if (it->second.m_State == VersionState_Fetching)
        m_Actions.push_back({ActivationAction_StopFetch, o.m_Digest, {}, m_Fencing});
    m_Actions.push_back({ActivationAction_Drop, o.m_Digest, {}, m_Fencing});
    m_Versions.erase(it);
}

void Activation::StartPendingLoad()
{
    if (m_Pending.empty() || m_LoadRequested || m_Running > 0)
        return;
    DeactivateAdapters();
    if (!m_Active.empty())
        m_Versions[m_Active].m_State = VersionState_Verified;
    m_Active.clear();
    m_Versions[m_Pending].m_State = VersionState_Loading;
    m_LoadRequested               = true;
    m_Actions.push_back({ActivationAction_EngineLoad, m_Pending, {}, m_Fencing});
}

void Activation::Fail(HeldVersion& v, std::string_view error)
{
    v.m_State = VersionState_Failed;
    v.m_Error = std::string(error);
    v.m_Failures++;
}

void Activation::DeactivateAdapters()
{
    for (auto& [digest, v] : m_Versions)
        if (!v.m_Base.empty() && (v.m_State == VersionState_Servable || v.m_State == VersionState_Loading))
            v.m_State = VersionState_Verified;
}

void Activation::OnVerified(const std::string& digest)
{
    const auto it = m_Versions.find(digest);
    if (it == m_Versions.end() || it->second.m_State != VersionState_Fetching)
        return;
    it->second.m_State  = VersionState_Verified;
    const auto deferred = std::find(m_DeferredCommits.begin(), m_DeferredCommits.end(), digest);
    if (deferred == m_DeferredCommits.end())
        return;
    m_DeferredCommits.erase(deferred);
    Order order;
    order.m_Digest = digest;
    order.m_Base   = it->second.m_Base;
    Commit(order);
}

void Activation::OnFetchFailed(const std::string& digest, std::string_view error)
{
    const auto it = m_Versions.find(digest);
    if (it == m_Versions.end() || it->second.m_State != VersionState_Fetching)
        return;
    Fail(it->second, error);
    std::erase(m_DeferredCommits, digest);
}

// Carries out the commits that were deferred while the engine was loading or chunks were being fetched.
void Activation::RunDeferredCommits()
{
    const std::vector<std::string> deferred = std::exchange(m_DeferredCommits, {});
    for (const std::string& digest : deferred)
    {
        Order order;
        order.m_Digest = digest;
        Commit(order);
    }
}

void Activation::OnLoaded(const std::string& digest, const std::string& confirmed)
{
    if (confirmed != digest)
        return OnLoadFailed(digest, "engine loaded a different digest than ordered");
    const auto it = m_Versions.find(digest);
    if (it == m_Versions.end() || it->second.m_State != VersionState_Loading)
        return;
    it->second.m_State = VersionState_Servable;
    if (!it->second.m_Base.empty())
        return;
    m_Active = digest;
    m_Pending.clear();
    m_LoadRequested = false;
    RunDeferredCommits();
}

void Activation::OnLoadFailed(const std::string& digest, std::string_view error)
{
    const auto it = m_Versions.find(digest);
    if (it == m_Versions.end() || it->second.m_State != VersionState_Loading)
        return;
    Fail(it->second, error);
    if (m_Pending != digest)
        return;
    m_Pending.clear();
    m_LoadRequested = false;
    RunDeferredCommits();
}

void Activation::OnEngineRestart()
{
    DeactivateAdapters();
    if (m_Active.empty())
        return;
    const std::string digest   = m_Active;
    m_Versions[digest].m_State = VersionState_Verified;
    m_Active.clear();
    if (m_Pending.empty())
        m_Pending = digest;
    StartPendingLoad();
}

bool Activation::MayServe(const std::string& digest, const std::string& adapter) const
{
    if (digest.empty() || digest != m_Active || !m_Pending.empty())
        return false;
    if (adapter.empty())
        return true;
    const auto it = m_Versions.find(adapter);
    return it != m_Versions.end() && it->second.m_State == VersionState_Servable;
}

bool Activation::RequestBegin(const std::string& digest, const std::string& adapter)
{
    if (!MayServe(digest, adapter))
        return false;
    m_Running++;
    return true;
}

void Activation::RequestEnd()
{
    BOOST_ASSERT_MSG(m_Running > 0, "RequestEnd() without RequestBegin()");
    m_Running--;
    StartPendingLoad();
}

std::vector<ActivationAction> Activation::TakeActions()
{
    return std::exchange(m_Actions, {});
}

} // namespace aldervale
