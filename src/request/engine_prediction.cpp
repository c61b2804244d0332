// Time to the first event of a model engine. See engine_prediction.h.
#include "request/engine_prediction.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr double kWayMs        = 3;    // of a request and its first event between boxes
constexpr double kReadShareMax = 0.8;  // of an engine's time
constexpr double kFirstPasses  = 1.5;  // usual passes until a first event, besides reading: the rest of one, and one of steps
constexpr double kNotZeroMs    = 1e-9; // keeps a quotient of times defined when nothing is in flight

// One token step of a batch.
double StepMs(const EngineCosts& e, double writers)
{
    const double context = (e.m_MeanPromptTokens + e.m_MeanAnswerTokens / 2) / 1000;
    return e.m_StepMs + writers * (e.m_PerRequestMs + e.m_PerKContextMs * context);
}

// One pass with the usual share of reading. What is read takes its share of the engine's time.
double PassMs(const EngineCosts& e, double in_flight, double writers)
{
    const double step  = StepMs(e, writers);
    const double read  = in_flight * e.m_MeanPromptTokens / e.m_ReadPerMs; // ms spent on reading, against writing, by what is in flight
    const double write = in_flight * e.m_MeanAnswerTokens * step / std::max(1.0, writers);
    const double share = read / (read + write + kNotZeroMs);
    return step * e.m_StepsPerPass / (1 - std::min(share, kReadShareMax));
}

// Of the requests in a batch, the part whose prompts aren't read yet: as the time to a first event is to the whole time in the batch.
double UnreadShare(const EngineCosts& e, double pass)
{
    const double first   = kFirstPasses * pass + e.m_MeanPromptTokens / e.m_ReadPerMs;
    const double writing = e.m_MeanAnswerTokens / e.m_StepsPerPass * pass;
    return first / (first + writing);
}

// Until a slot is free for one more request.
double SlotWaitMs(const EngineCosts& e, double in_flight, double pass)
{
    if (in_flight + 1 <= e.m_Slots)
        return 0;
    const double residence = e.m_MeanAnswerTokens / e.m_StepsPerPass * pass; // of one request in a full batch
    return (in_flight + 1 - e.m_Slots) * residence / e.m_Slots;
}

// Prompt tokens in the batch that are read before those of a new request.
double UnreadTokens(const EngineCosts& e, const EngineLoad& load, double pass)
{
    const double in_batch = std::min<double>(load.m_InFlight, e.m_Slots);
    const double usual    = in_batch * UnreadShare(e, pass) * e.m_MeanPromptTokens;
    const double own      = std::max(0.0, load.m_Unread - load.m_Waiting * e.m_MeanPromptTokens); // what waits for a slot isn't ahead
    return std::max(usual, own) + load.m_Coming;
}

} // namespace

double FirstEventMs(const EngineCosts& e, const EngineLoad& load, double prompt)
{
    const double writers = std::min<double>(load.m_InFlight, e.m_Slots);
    const double pass    = PassMs(e, load.m_InFlight, writers);
    const double steps   = StepMs(e, writers) * e.m_StepsPerPass;                // of one pass
    const double between = writers > 0 ? steps / e.m_PromptTokensPerPassMax : 0; // steps between two reads, for each token read
    const double begun   = writers > 0 ? steps / 2 : 0;                          // left of the pass under way
    const double guessed = UnreadTokens(e, load, pass) * (1 / e.m_ReadPerMs + between);
    const double ahead   = load.m_KnownAheadMs >= 0 ? load.m_KnownAheadMs : guessed;
    const double pairs   = e.m_MsPerMillionPairs * prompt * prompt / 2 / 1e6;
    const double wait    = std::max(SlotWaitMs(e, load.m_InFlight, pass), begun + ahead);
    return wait + prompt / e.m_ReadPerMs + pairs + steps + kWayMs;
}

double ReadingMs(const EngineCosts& e, double prompt)
{
    const double between = StepMs(e, e.m_Slots) * e.m_StepsPerPass / e.m_PromptTokensPerPassMax;
    return prompt * (1 / e.m_ReadPerMs + between) + e.m_MsPerMillionPairs * prompt * prompt / 2 / 1e6;
}

} // namespace aldervale
