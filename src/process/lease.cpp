// Lease decision logic. See lease.h.
#include "process/lease.h"

namespace aldervale
{

LeaseStep Lease::Next(TimePoint now)
{
    LeaseStep step;
    if (!m_Known || m_Pending)
    {
        step.m_Action = now >= m_NextAt ? LeaseAction_Read : LeaseAction_Wait;
        step.m_Until  = m_NextAt;
        return step;
    }
    const bool own = m_HeldFencing != 0 && m_Row.m_Holder == m_Config.m_Holder && m_Row.m_Fencing == m_HeldFencing;
    if (now < m_NextAt)
    {
        step.m_Until = m_NextAt;
        return step;
    }
    const bool expired = m_Row.m_Holder.empty() || now >= m_ChangedAt + m_Config.m_Length + m_Config.m_Margin;
    if (!own && !expired)
    {
        step.m_Action = LeaseAction_Read;
        return step;
    }
    step.m_Action        = LeaseAction_Write;
    step.m_Row.m_Holder  = m_Config.m_Holder;
    step.m_Row.m_Fencing = own ? m_HeldFencing : m_Row.m_Fencing + 1;
    step.m_Row.m_Version = m_Row.m_Version;
    step.m_Row.m_WriteId = m_Config.m_Holder + "#" + std::to_string(++m_WriteCount);
    step.m_SentAt        = now;
    return step;
}

void Lease::OnRow(const LeaseRow& row, TimePoint now)
{
    if (!m_Known || row.m_Version != m_Row.m_Version)
    {
        m_Row       = row;
        m_ChangedAt = now;
    }
    m_Known = true;
    if (m_Pending && row.m_WriteId == m_Pending->m_Row.m_WriteId) // the lost answer was a yes
    {
        m_HeldFencing = row.m_Fencing;
        m_HeldUntil   = m_Pending->m_SentAt + m_Config.m_Length - m_Config.m_Margin;
    }
    m_Pending.reset();
    if (m_HeldFencing != 0 && (row.m_Holder != m_Config.m_Holder || row.m_Fencing != m_HeldFencing))
        m_HeldFencing = 0;
    const bool own = m_HeldFencing != 0;
    m_NextAt       = now + (own ? m_Config.m_Renew : m_Config.m_Poll);
    if (row.m_Holder.empty())
        m_NextAt = now;
}

void Lease::OnReadFailed(TimePoint now)
{
    m_NextAt = now + m_Config.m_Poll;
}

void Lease::OnWrite(LeaseWrite outcome, const LeaseStep& step, uint64_t new_version)
{
    if (outcome == LeaseWrite_Unknown)
    {
        m_Pending = step;
        m_NextAt  = step.m_SentAt;
        return;
    }
    if (outcome == LeaseWrite_Conflict)
    {
        m_Known  = false;
        m_NextAt = step.m_SentAt;
        return;
    }
    m_Row           = step.m_Row;
    m_Row.m_Version = new_version;
    m_ChangedAt     = step.m_SentAt;
    m_HeldFencing   = step.m_Row.m_Fencing;
    m_HeldUntil     = step.m_SentAt + m_Config.m_Length - m_Config.m_Margin;
    m_NextAt        = step.m_SentAt + m_Config.m_Renew;
}

void Lease::GiveUp()
{
    m_HeldFencing = 0;
    m_HeldUntil   = {};
}

} // namespace aldervale
