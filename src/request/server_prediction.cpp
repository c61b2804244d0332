// How long a backend server is predicted to take, and what other routers are believed to have sent it. See server_choice.h.
#include "request/engine_prediction.h"
#include "request/server_choice.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr double kPlainUsualMs = 50;  // of a plain service's answer before one was seen
constexpr double kOthersMax    = 200; // requests of other routers that are handed out in thought; more than that says nothing new

} // namespace

//-----------------------------------------------------------------------------
// Requests in flight, and what other routers sent
//-----------------------------------------------------------------------------

double ServerChoice::InFlight(const Option& o, TimePoint now) const
{
    const Server& s = *o.m_Server;
    if (!Fresh(s, now))
        return s.m_InFlight * m_Config.m_BlindFactor;
    if (Answered(s, now))
        return static_cast<double>(s.m_Report.m_Running) + s.m_Report.m_Waiting + s.m_Report.m_Promised;
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
    rate /= options.front().m_Stands; // the others send to those that weren't drawn, too
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
    const Server&      s     = *o.m_Server;
    const EngineCosts& e     = *need.m_Service->m_Engine;
    const bool         fresh = Fresh(s, now);
    EngineLoad         load;
    load.m_InFlight = InFlight(o, now);
    if (need.m_Granted)
        load.m_InFlight = std::min<double>(load.m_InFlight, std::max(1u, e.m_Slots) - 1);
    load.m_Waiting = fresh ? s.m_Report.m_Waiting : 0;
    load.m_Unread  = s.m_Unread;
    load.m_Coming  = o.m_Unread * e.m_MeanPromptTokens;
    if (Answered(s, now))
        load.m_KnownAheadMs = s.m_Report.m_UnreadMs;
    return FirstEventMs(e, load, need.m_Prompt) * (fresh ? std::max<double>(1, s.m_Report.m_Pace) : 1);
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

// Requests at the mean server beyond those believed at this one. Of many servers with uncertain counts the one that looks best mostly has
// more than it seems.
double ServerChoice::BelowMean(const Option& chosen, std::span<const Option> options, TimePoint now) const
{
    double sum = 0;
    for (const Option& o : options)
        sum += InFlight(o, now);
    return std::max(0.0, sum / static_cast<double>(options.size()) - InFlight(chosen, now));
}

// What is admitted by: partly the mean of the servers' counts, and without the prompts that others are only believed to have sent. Those tell
// servers apart; as a reason to refuse they turned callers away that would have been in time.
double ServerChoice::PredictAdmitted(const Option& chosen, std::span<const Option> options, const RequestNeed& need, TimePoint now) const
{
    Option o   = chosen;
    o.m_Unread = 0;
    if (need.m_Service->m_Engine && !need.m_Asked)
        o.m_Others += m_Config.m_ToMean * BelowMean(chosen, options, now);
    return Predict(o, need, now);
}

} // namespace aldervale
