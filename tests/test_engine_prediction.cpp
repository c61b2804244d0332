// Compares predicted times to a first event with those of the modelled engine.
#include "emulator/engine_model.h"
#include "request/engine_prediction.h"
#include "support.h"

using namespace aldervale;

namespace
{

EngineCosts Costs()
{
    EngineCosts e;
    e.m_Slots             = 16;
    e.m_StepMs            = 6.73;
    e.m_PerRequestMs      = 0.0219;
    e.m_PerKContextMs     = 0.0068;
    e.m_ReadPerMs         = 30.6;
    e.m_MsPerMillionPairs = 0.647;
    e.m_StepsPerPass      = 6;
    e.m_MeanPromptTokens  = 960;
    e.m_MeanAnswerTokens  = 120;
    return e;
}

EngineLoad Load(double in_flight, double waiting = 0, double unread = 0)
{
    return {in_flight, waiting, unread, 0};
}

// Time to the first event of a request at a modelled engine to which `before` other requests were submitted before, `apart` from each other.
double TrueFirstMs(unsigned before, Duration apart)
{
    EngineModel              engine(Costs());
    std::vector<EngineEvent> events;
    Duration                 now{};
    unsigned                 submitted = 0;
    for (;;)
    {
        for (; submitted <= before && apart * static_cast<int>(submitted) <= now; submitted++)
            engine.Submit({submitted, 960, 120});
        const Duration took = engine.RunPass(events);
        now                 = took > Duration::zero() ? now + took : apart * static_cast<int>(submitted);
        for (const EngineEvent& e : events)
            if (e.m_Id == before && e.m_Kind == EngineEventKind_First)
                return 1000 * ToSeconds(now - apart * static_cast<int>(before));
        events.clear();
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(an_idle_engine_reads_the_prompt_and_runs_one_pass)
{
    BOOST_TEST(std::abs(FirstEventMs(Costs(), Load(0), 960) - TrueFirstMs(0, milliseconds(1))) < 10);
}

BOOST_AUTO_TEST_CASE(more_requests_never_make_a_first_event_come_sooner)
{
    double last = 0;
    for (int n = 0; n < 40; n++)
    {
        const double ms = FirstEventMs(Costs(), Load(n, std::max(0, n - 16)), 960);
        BOOST_TEST(ms >= last - 1e-9, n);
        last = ms;
    }
}

// Requests sent together to an empty engine all have unread prompts, which must count in full.
BOOST_AUTO_TEST_CASE(known_unread_prompts_count)
{
    const double truth = TrueFirstMs(10, Duration::zero());
    const double ms    = FirstEventMs(Costs(), Load(10, 0, 10 * 960), 960);
    BOOST_TEST(std::abs(ms - truth) < truth * 0.25, ms << " of " << truth);
}

BOOST_AUTO_TEST_CASE(one_request_more_than_slots_waits_for_the_next_free_one_and_not_for_a_whole_residence)
{
    const double full = FirstEventMs(Costs(), Load(15), 960);
    const double over = FirstEventMs(Costs(), Load(17, 1), 960);
    BOOST_TEST(over > full + 50);
    BOOST_TEST(over < full + 200);
}
