// Bytes of an answer that can be sent before its content is known. See early_bytes.h.
#include "connection/early_bytes.h"

namespace aldervale
{

std::optional<char> EarlyBytes::Next() const
{
    if (m_Phase == Phase_Head && m_Sent < kStatusStart.size())
        return kStatusStart[m_Sent];
    if (m_Phase == Phase_Chunks && m_Sent < kSizeZerosMax)
        return '0';
    return std::nullopt;
}

void EarlyBytes::OnHead(bool chunked)
{
    m_Phase = chunked ? Phase_Chunks : Phase_Whole;
    m_Sent  = 0;
}

} // namespace aldervale
