// aldervale: a model engine in virtual time, by its published costs
//
// Works in passes: lets waiting requests into the batch, reads up to m_PromptTokensPerPassMax prompt tokens in the order of arrival, then plays
// m_StepsPerPass token steps for all whose prompts are read. It drives emulations and tests of decisions; it has no socket and no clock.
//
// Usage:
//   EngineModel e(costs);
//   e.Submit({1, 900, 120});
//   std::vector<EngineEvent> events;
//   const Duration took = e.RunPass(events);       // events happened at the pass's end

#pragma once
#include "common/clock.h"
#include "version/route_table.h"
#include <deque>

namespace aldervale
{

struct EngineRequest
{
    uint64_t m_Id     = 0; //
    double   m_Prompt = 0; // tokens in
    double   m_Answer = 0; // tokens out
};

enum EngineEventKind
{
    EngineEventKind_First, // its first tokens were made
    EngineEventKind_Done,  // and its last ones
};

struct EngineEvent
{
    uint64_t        m_Id   = 0;                     //
    EngineEventKind m_Kind = EngineEventKind_First; //
};

class EngineModel
{
public:
    explicit EngineModel(const EngineCosts& costs) : m_Costs(costs) {}

    void     Submit(const EngineRequest& r) { m_Waiting.push_back(r); }
    Duration RunPass(std::vector<EngineEvent>& events); // its length; nothing to do: zero
    void     Clear();                                   // a restart: everything is lost
    unsigned Running() const { return static_cast<unsigned>(m_Batch.size()); }
    unsigned Waiting() const { return static_cast<unsigned>(m_Waiting.size()); }
    bool     Idle() const { return m_Batch.empty() && m_Waiting.empty(); }

private:
    struct InBatch
    {
        EngineRequest m_Request;     //
        double        m_Unread  = 0; // prompt tokens
        double        m_Written = 0; // tokens
        bool          Writes() const { return m_Unread <= 0; }
    };

    void   LetIn();
    double ReadMs();                                // reads prompts; ms it takes
    void   Write(std::vector<EngineEvent>& events); // plays the steps of one pass
    double StepsMs() const;                         // of one pass

    EngineCosts               m_Costs;   //
    std::deque<EngineRequest> m_Waiting; // for a place in the batch, in order of arrival
    std::vector<InBatch>      m_Batch;   // at most m_Costs.m_Slots, in order of arrival
};

} // namespace aldervale
