// Predicted times of backend servers, and estimates of what other routers sent to them. See server_choice.h.
#include "request/engine_prediction.h"
#include "request/server_choice.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr double kPlainDefaultMs    = 50;  // answer time of a plain service before the first answer
constexpr double kOthersRequestsMax = 200; // requests of other routers that are assigned in the estimate; more add no information

} // namespace

//-----------------------------------------------------------------------------
// Requests in flight, and the estimate of other routers' requests
//-----------------------------------------------------------------------------

double ServerChoice::InFlight(const Option& o, TimePoint now) const
{
    const Server& s = *o.m_Server;
    if (!HasFreshReport(s, now))
        return s.m_InFlight * m_Config.m_NoReportFactor;
    if (HasFreshAnswer(s, now))
        return static_cast<double>(s.m_Report.m_Running) + s.m_Report.m_Waiting + s.m_Report.m_Promised;
    const double reported = static_cast<double>(s.m_Report.m_Running) + s.m_Report.m_Waiting + s.m_SentSinceReport - s.m_EndedSinceReport;
    return std::max<double>(s.m_InFlight, reported) + o.m_OthersInFlight;
}

double ServerChoice::PlacesOf(const Option& o, const RequestNeed& need, TimePoint now) const
{
    const unsigned slots   = need.m_Service->m_Engine ? need.m_Service->m_Engine->m_Slots : o.m_Entry->m_Slots;
    const uint32_t learned = need.m_LearnedCapacity && HasFreshReport(*o.m_Server, now) ? o.m_Server->m_Report.m_Capacity : 0;
    return learned > 0 ? std::min<double>(learned, slots) : slots;
}

// Assigns requests that others sent at `sent_at` to the server that looks best. A report includes what was sent before it, so only servers with
// older reports are considered, for their share of the requests.
void ServerChoice::AssignToBest(std::span<Option* const> fresh, double requests, TimePoint sent_at, const RequestNeed& need, TimePoint now) const
{
    Option* best     = nullptr;
    double  eligible = 0;
    for (Option* o : fresh)
    {
        if (o->m_Server->m_ReportAt > sent_at)
            continue;
        eligible += 1;
        if (best == nullptr || o->m_PredictedMs < best->m_PredictedMs)
            best = o;
    }
    if (best == nullptr)
        return;
    best->m_OthersInFlight += requests * eligible / static_cast<double>(fresh.size());
    best->m_OthersUnread = best->m_OthersInFlight;
    best->m_PredictedMs  = PredictModel(*best, need, now);
}

// Assigns the estimated requests of other routers since the oldest report, one at a time, each to the server that looked best at that time.
void ServerChoice::AssignOthers(std::span<Option> options, double rate, const RequestNeed& need, TimePoint now) const
{
    std::vector<Option*> fresh;
    double               oldest_s = 0;
    for (Option& o : options)
    {
        if (!HasFreshReport(*o.m_Server, now))
            continue;
        o.m_PredictedMs = PredictModel(o, need, now);
        fresh.push_back(&o);
        oldest_s = std::max(oldest_s, ToSeconds(now - o.m_Server->m_ReportAt));
    }
    rate /= options.front().m_SampledFrom; // other routers also send to servers outside the sample
    for (double remaining = std::min(rate * oldest_s, kOthersRequestsMax); remaining > 0; remaining -= 1)
        AssignToBest(fresh, std::min(1.0, remaining), now - FromSeconds(remaining / rate), need, now);
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

// Routers prefer the servers of their own data centre, and are assumed to be spread evenly over the data centres.
void ServerChoice::EstimateOthers(std::vector<Option>& options, const RequestNeed& need, TimePoint now) const
{
    if (m_Routers < 2 || options.empty())
        return;
    const std::vector<std::span<Option>> data_centres = ByDataCentre(options);
    for (const std::span<Option> here : data_centres)
    {
        const bool   local  = here.front().m_Entry->m_DataCentre == need.m_DataCentre;
        const double others = m_Routers / static_cast<double>(data_centres.size()) - (local ? 1 : 0); // without this router
        AssignOthers(here, m_Config.m_OthersToBestShare * m_SentPerSecond * std::max(0.0, others), need, now);
    }
}

//-----------------------------------------------------------------------------
// Predicted times
//-----------------------------------------------------------------------------

double ServerChoice::PredictModel(const Option& o, const RequestNeed& need, TimePoint now) const
{
    const Server&      s     = *o.m_Server;
    const EngineCosts& e     = *need.m_Service->m_Engine;
    const bool         fresh = HasFreshReport(s, now);
    EngineLoad         load;
    load.m_InFlight = InFlight(o, now);
    load.m_Places   = PlacesOf(o, need, now);
    if (need.m_AssumeFreePlace)
        load.m_InFlight = std::min(load.m_InFlight, std::max(1.0, load.m_Places) - 1);
    load.m_Waiting            = fresh ? s.m_Report.m_Waiting : 0;
    load.m_OwnUnreadTokens    = s.m_UnreadTokens;
    load.m_OthersUnreadTokens = o.m_OthersUnread * e.m_MeanPromptTokens;
    if (HasFreshAnswer(s, now))
        load.m_ReportedUnreadMs = s.m_Report.m_UnreadMs;
    return FirstEventMs(e, load, need.m_PromptTokens) * (fresh ? std::max<double>(1, s.m_Report.m_Pace) : 1);
}

double ServerChoice::PredictPlain(const Option& o) const
{
    const double mean  = o.m_Server->m_MeanAnswerMs > 0 ? o.m_Server->m_MeanAnswerMs : kPlainDefaultMs;
    const double ahead = o.m_Server->m_InFlight * m_Config.m_NoReportFactor;
    return mean * (1 + ahead / std::max(1u, o.m_Entry->m_Slots));
}

double ServerChoice::Predict(const Option& o, const RequestNeed& need, TimePoint now) const
{
    return need.m_Service->m_Engine ? PredictModel(o, need, now) : PredictPlain(o);
}

// By how many requests in flight this server is below the mean. Of many servers with uncertain counts the one that looks best usually has more
// requests than estimated.
double ServerChoice::InFlightBelowMean(const Option& chosen, std::span<const Option> options, TimePoint now) const
{
    double sum = 0;
    for (const Option& o : options)
        sum += InFlight(o, now);
    return std::max(0.0, sum / static_cast<double>(options.size()) - InFlight(chosen, now));
}

// Predicted time that admission is decided by. Corrects the requests in flight towards the mean of all servers, and leaves out the estimated
// prompts of other routers: they help to compare servers, but used for admission they refused callers that would have been served in time.
double ServerChoice::PredictAdmitted(const Option& chosen, std::span<const Option> options, const RequestNeed& need, TimePoint now) const
{
    Option o         = chosen;
    o.m_OthersUnread = 0;
    if (need.m_Service->m_Engine && !need.m_FreshAnswersOnly)
        o.m_OthersInFlight += m_Config.m_MeanInFlightWeight * InFlightBelowMean(chosen, options, now);
    return Predict(o, need, now);
}

} // namespace aldervale
