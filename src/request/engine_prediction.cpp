// Time to the first event of a model engine. See engine_prediction.h.
#include "request/engine_prediction.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr double kNetworkMs          = 3;    // network latency of a request and its first event between boxes
constexpr double kReadShareMax       = 0.8;  // largest share of an engine's time that is spent on reading
constexpr double kPassesToFirstEvent = 1.5;  // usual passes until a first event, besides reading: the rest of one, and one of steps
constexpr double kDivisorFloorMs     = 1e-9; // keeps a quotient of times defined when nothing is in flight

// Duration of one decode step of a batch.
double StepMs(const EngineCosts& e, double decoding)
{
    const double context = (e.m_MeanPromptTokens + e.m_MeanAnswerTokens / 2) / 1000;
    return e.m_StepMs + decoding * (e.m_PerRequestMs + e.m_PerKContextMs * context);
}

// Duration of one pass with the usual share of reading, which takes its share of the engine's time.
double PassMs(const EngineCosts& e, double in_flight, double decoding)
{
    const double step   = StepMs(e, decoding);
    const double read   = in_flight * e.m_MeanPromptTokens / e.m_ReadPerMs;                  // ms that the requests in flight spend on reading
    const double decode = in_flight * e.m_MeanAnswerTokens * step / std::max(1.0, decoding); // and on decoding
    const double share  = read / (read + decode + kDivisorFloorMs);
    return step * e.m_StepsPerPass / (1 - std::min(share, kReadShareMax));
}

// Share of the requests in a batch whose prompts aren't read yet: the time to the first event divided by the whole time in the batch.
double UnreadShare(const EngineCosts& e, double pass)
{
    const double first  = kPassesToFirstEvent * pass + e.m_MeanPromptTokens / e.m_ReadPerMs;
    const double decode = e.m_MeanAnswerTokens / e.m_StepsPerPass * pass;
    return first / (first + decode);
}

// Time until one of `places` is free for one more request.
double PlaceWaitMs(const EngineCosts& e, double places, double in_flight, double pass)
{
    if (in_flight + 1 <= places)
        return 0;
    const double residence = e.m_MeanAnswerTokens / e.m_StepsPerPass * pass; // time of one request in a full batch
    return (in_flight + 1 - places) * residence / places;
}

// Prompt tokens in the batch that are read before those of a new request.
double UnreadTokens(const EngineCosts& e, const EngineLoad& load, double pass)
{
    const double in_batch = std::min<double>(load.m_InFlight, e.m_Slots);
    const double usual    = in_batch * UnreadShare(e, pass) * e.m_MeanPromptTokens;
    const double own = std::max(0.0, load.m_OwnUnreadTokens - load.m_Waiting * e.m_MeanPromptTokens); // requests that wait for a slot aren't ahead
    return std::max(usual, own) + load.m_OthersUnreadTokens;
}

} // namespace

double FirstEventMs(const EngineCosts& e, const EngineLoad& load, double prompt)
{
    const double decoding        = std::min<double>(load.m_InFlight, e.m_Slots);
    const double pass            = PassMs(e, load.m_InFlight, decoding);
    const double steps           = StepMs(e, decoding) * e.m_StepsPerPass;                // duration of the steps of one pass
    const double steps_per_token = decoding > 0 ? steps / e.m_PromptTokensPerPassMax : 0; // time of the steps between two reads, per token read
    const double pass_remainder  = decoding > 0 ? steps / 2 : 0;                          // mean remainder of the pass in progress
    const double estimated       = UnreadTokens(e, load, pass) * (1 / e.m_ReadPerMs + steps_per_token);
    const double ahead           = load.m_ReportedUnreadMs >= 0 ? load.m_ReportedUnreadMs : estimated;
    const double attention       = e.m_MsPerMillionPairs * prompt * prompt / 2 / 1e6;
    const double places          = load.m_Places > 0 ? std::min<double>(load.m_Places, e.m_Slots) : e.m_Slots;
    const double wait            = std::max(PlaceWaitMs(e, places, load.m_InFlight, pass), pass_remainder + ahead);
    return wait + prompt / e.m_ReadPerMs + attention + steps + kNetworkMs;
}

double ReadingMs(const EngineCosts& e, double prompt)
{
    const double steps_per_token = StepMs(e, e.m_Slots) * e.m_StepsPerPass / e.m_PromptTokensPerPassMax;
    return prompt * (1 / e.m_ReadPerMs + steps_per_token) + e.m_MsPerMillionPairs * prompt * prompt / 2 / 1e6;
}

} // namespace aldervale
