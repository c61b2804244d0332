// A model engine in virtual time. See engine_model.h.
#include "emulator/engine_model.h"
#include <algorithm>

namespace aldervale
{

void EngineModel::Clear()
{
    m_Waiting.clear();
    m_Batch.clear();
}

void EngineModel::LetIn()
{
    while (!m_Waiting.empty() && m_Batch.size() < m_Costs.m_Slots)
    {
        m_Batch.push_back({m_Waiting.front(), m_Waiting.front().m_Prompt, 0});
        m_Waiting.pop_front();
    }
}

double EngineModel::ReadMs()
{
    double left = m_Costs.m_PromptTokensPerPassMax; // tokens that this pass may still read
    double ms   = 0;
    for (InBatch& b : m_Batch)
    {
        const double read = std::min(left, b.m_Unread);
        if (read <= 0)
            continue;
        const double before = b.m_Request.m_Prompt - b.m_Unread; // tokens read before: each pair with a new one costs
        ms += read / m_Costs.m_ReadPerMs + m_Costs.m_MsPerMillionPairs * read * (before + read / 2) / 1e6;
        b.m_Unread -= read;
        left -= read;
    }
    return ms;
}

double EngineModel::StepsMs() const
{
    double writers = 0;
    double context = 0; // thousands of tokens
    for (const InBatch& b : m_Batch)
    {
        writers += b.Writes() ? 1 : 0;
        context += b.Writes() ? (b.m_Request.m_Prompt + b.m_Written) / 1000 : 0;
    }
    const double step = m_Costs.m_StepMs + writers * m_Costs.m_PerRequestMs + context * m_Costs.m_PerKContextMs;
    return writers > 0 ? step * m_Costs.m_StepsPerPass : 0;
}

void EngineModel::Write(std::vector<EngineEvent>& events)
{
    for (InBatch& b : m_Batch)
    {
        if (!b.Writes())
            continue;
        if (b.m_Written == 0)
            events.push_back({b.m_Request.m_Id, EngineEventKind_First});
        b.m_Written += m_Costs.m_StepsPerPass;
        if (b.m_Written >= b.m_Request.m_Answer)
            events.push_back({b.m_Request.m_Id, EngineEventKind_Done});
    }
    std::erase_if(m_Batch, [](const InBatch& b) { return b.Writes() && b.m_Written >= b.m_Request.m_Answer; });
}

Duration EngineModel::RunPass(std::vector<EngineEvent>& events)
{
    LetIn();
    if (m_Batch.empty())
        return Duration::zero();
    const double read  = ReadMs();
    const double steps = StepsMs();
    Write(events);
    return FromSeconds((read + steps) / 1000);
}

} // namespace aldervale
