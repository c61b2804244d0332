// How long a backend server is predicted to take, and what other routers are believed to have sent it. See server_choice.h.
#include "request/server_choice.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr double kPlainUsualMs = 50;   // of a plain service's answer before one was seen
constexpr double kWayMs        = 3;    // of a request and its first event between boxes
constexpr double kReadShareMax = 0.8;  // of an engine's time
constexpr double kOthersMax    = 200;  // requests of other routers that are handed out in thought; more than that says nothing new
constexpr double kNotZeroMs    = 1e-9; // keeps a quotient of times defined when nothing is in flight

// Of one pass of the engine, ms. What is read takes its share of the engine's time, so a pass is longer by the prompts that are read in it.
double PassMs(const EngineCosts& e, double in_flight, double writers)
{
    const double context = (e.m_UsualPrompt + e.m_UsualAnswer / 2) / 1000;
    const double step    = e.m_StepMs + writers * (e.m_PerRequestMs + e.m_PerKContextMs * context);
    const double read    = in_flight * e.m_UsualPrompt / e.m_ReadPerMs; // ms spent on reading, against writing, by what is in flight
    const double share   = read / (read + in_flight * e.m_UsualAnswer * step / std::max(1.0, writers) + kNotZeroMs);
    return step * e.m_StepsPerPass / (1 - std::min(share, kReadShareMax));
}

// Until a slot is free for one more request, ms.
double SlotWaitMs(const EngineCosts& e, double in_flight, double pass)
{
    if (in_flight + 1 <= e.m_Slots)
        return 0;
    const double residence = e.m_UsualAnswer / e.m_StepsPerPass * pass; // of one request in a full batch
    return (in_flight + 1 - e.m_Slots) * residence / e.m_Slots;
}

} // namespace

//-----------------------------------------------------------------------------
// Requests in flight, and what other routers sent
//-----------------------------------------------------------------------------

double ServerChoice::InFlight(const Option& o, TimePoint now) const
{
    const Server& s = *o.m_Server;
    if (!Fresh(s, now))
        return s.m_InFlight * m_Config.m_BlindFactor;
    const double reported = static_cast<double>(s.m_Report.m_Running) + s.m_Report.m_Waiting + s.m_SentSince - s.m_EndedSince;
    return std::max<double>(s.m_InFlight, reported) + o.m_Others;
}

// Gives what others sent at `sent_at` to the server that looks best. What was sent before a server's report is in that report, so only
// servers with older reports take it, for their share of it.
void ServerChoice::HandOut(std::span<Option* const> fresh, double requests, TimePoint sent_at, const RequestNeed& need, TimePoint now) const
{
    Option* best     = nullptr;
    double  eligible = 0;
    for (Option* o : fresh)
    {
        if (o->m_Server->m_ReportAt > sent_at)
            continue;
        eligible += 1;
        if (best == nullptr || o->m_Ms < best->m_Ms)
            best = o;
    }
    if (best == nullptr)
        return;
    best->m_Others += requests * eligible / static_cast<double>(fresh.size());
    best->m_Unread = best->m_Others;
    best->m_Ms     = PredictModel(*best, need, now);
}

// Hands out what the others have sent since the oldest report, a request at a time, each to the server that looked best then.
void ServerChoice::FillWithOthers(std::span<Option> options, double rate, const RequestNeed& need, TimePoint now) const
{
    std::vector<Option*> fresh;
    double               oldest_s = 0;
    for (Option& o : options)
    {
        if (!Fresh(*o.m_Server, now))
            continue;
        o.m_Ms = PredictModel(o, need, now);
        fresh.push_back(&o);
        oldest_s = std::max(oldest_s, ToSeconds(now - o.m_Server->m_ReportAt));
    }
    for (double left = std::min(rate * oldest_s, kOthersMax); left > 0; left -= 1)
        HandOut(fresh, std::min(1.0, left), now - FromSeconds(left / rate), need, now);
}

std::vector<std::span<ServerChoice::Option>> ServerChoice::ByDataCentre(std::vector<Option>& options)
{
    std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) { return a.m_Entry->m_DataCentre < b.m_Entry->m_DataCentre; });
    std::vector<std::span<Option>> out;
    for (size_t from = 0, to = 0; from < options.size(); from = to)
    {
        while (to < options.size() && options[to].m_Entry->m_DataCentre == options[from].m_Entry->m_DataCentre)
            to++;
        out.push_back(std::span(options).subspan(from, to - from));
    }
    return out;
}

// Routers send to their own data centre's servers before others, and are taken to be spread evenly over the data centres.
void ServerChoice::SpreadOthers(std::vector<Option>& options, const RequestNeed& need, TimePoint now) const
{
    if (m_Routers < 2 || options.empty())
        return;
    const std::vector<std::span<Option>> data_centres = ByDataCentre(options);
    for (const std::span<Option> here : data_centres)
    {
        const bool   near   = here.front().m_Entry->m_DataCentre == need.m_DataCentre;
        const double others = m_Routers / static_cast<double>(data_centres.size()) - (near ? 1 : 0); // this router isn't one of them
        FillWithOthers(here, m_Config.m_OthersShare * m_SentRate * std::max(0.0, others), need, now);
    }
}

//-----------------------------------------------------------------------------
// Predicted times
//-----------------------------------------------------------------------------

double ServerChoice::PredictModel(const Option& o, const RequestNeed& need, TimePoint now) const
{
    const Server&      s         = *o.m_Server;
    const EngineCosts& e         = *need.m_Service->m_Engine;
    const double       in_flight = InFlight(o, now);
    const double       writers   = std::min<double>(in_flight, e.m_Slots);
    const double       pass      = PassMs(e, in_flight, writers);
    const double       waiting   = Fresh(s, now) ? s.m_Report.m_Waiting * e.m_UsualPrompt : 0;
    const double       unread    = std::max(s.m_Unread, waiting) + o.m_Unread * e.m_UsualPrompt;
    const double       pairs     = e.m_PairsPerMMs * need.m_Prompt * need.m_Prompt / 2 / 1e6;
    const double       begun     = writers > 0 ? pass / 2 : 0; // left of the pass under way
    const double       ms        = begun + (unread + need.m_Prompt) / e.m_ReadPerMs + pairs + pass + kWayMs + SlotWaitMs(e, in_flight, pass);
    return ms * (Fresh(s, now) ? std::max<double>(1, s.m_Report.m_Pace) : 1);
}

double ServerChoice::PredictPlain(const Option& o) const
{
    const double mean  = o.m_Server->m_MeanMs > 0 ? o.m_Server->m_MeanMs : kPlainUsualMs;
    const double ahead = o.m_Server->m_InFlight * m_Config.m_BlindFactor;
    return mean * (1 + ahead / std::max(1u, o.m_Entry->m_Slots));
}

double ServerChoice::Predict(const Option& o, const RequestNeed& need, TimePoint now) const
{
    return need.m_Service->m_Engine ? PredictModel(o, need, now) : PredictPlain(o);
}

// What is admitted by: without the prompts that others are only believed to have sent. Those tell servers apart; as a reason to refuse they
// turned callers away that would have been in time.
double ServerChoice::PredictAdmitted(Option o, const RequestNeed& need, TimePoint now) const
{
    o.m_Unread = 0;
    return Predict(o, need, now);
}

} // namespace aldervale
