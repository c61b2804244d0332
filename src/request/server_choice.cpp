// Choosing a backend server by predicted time. See server_choice.h.
#include "request/server_choice.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

namespace
{

constexpr double kFailStep     = 0.15; // weight of the newest outcome in m_FailShare
constexpr double kSlowStep     = 0.5;  // of a failure, that a slow answer counts for
constexpr double kFailFadeS    = 4; // over which what failed fades to 1/e: longer than most of what ails a server for a while, shorter than a minute
constexpr double kMeanStep     = 0.1;    // weight of the newest answer in m_MeanMs
constexpr double kPlainUsualMs = 50;     // of a plain service's answer before one was seen
constexpr double kRateWindowS  = 2;      // over which the rate of sending is a mean
constexpr double kRefusedWindowS = 2.5;  // over which the share of refused first attempts is a mean
constexpr double kFewFirsts      = 5;    // first attempts below which that share says little
constexpr double kPlainTieMs     = 6;    // random part of a plain service's cost; below the far penalty: the own data centre's goes first
constexpr double kWayMs          = 3;    // of a request and its first event between boxes
constexpr double kReadShareMax   = 0.8;  // of an engine's time
constexpr double kOthersMax      = 200;  // requests of other routers that are handed out in thought; more than that says nothing new
constexpr double kRetryMinMs     = 150;  // shortest and longest wait that a refusal asks for
constexpr double kRetryMaxMs     = 1500; //

double ToMsReal(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

Duration FromMs(double ms)
{
    return FromSeconds(ms / 1000);
}

} // namespace

double ServerChoice::InFlight(const Option& o, TimePoint now) const
{
    const Server& s = *o.m_Server;
    if (!Fresh(s, now))
        return s.m_InFlight * m_Config.m_BlindFactor;
    const double reported = static_cast<double>(s.m_Report.m_Running) + s.m_Report.m_Waiting + s.m_SentSince - s.m_EndedSince;
    return std::max<double>(s.m_InFlight, reported) + o.m_Others;
}

// Hands out what the others have sent since the oldest report, a request at a time, each to the server that looked best then. One that was
// sent before a server's report is in that report, so only servers with older reports take it, for their share of it.
void ServerChoice::FillWithOthers(std::span<Option> options, double rate, const RequestNeed& need, TimePoint now) const
{
    std::vector<std::pair<double, Option*>> fresh; // predicted ms
    double                                  oldest = 0;
    for (Option& o : options)
    {
        if (!Fresh(*o.m_Server, now))
            continue;
        fresh.emplace_back(PredictModel(o, need, now), &o);
        oldest = std::max(oldest, ToSeconds(now - o.m_Server->m_ReportAt));
    }
    for (double left = std::min(rate * oldest, kOthersMax); left > 0; left -= 1)
    {
        const TimePoint             sent_at  = now - FromSeconds(left / rate);
        std::pair<double, Option*>* best     = nullptr;
        double                      eligible = 0;
        for (auto& f : fresh)
        {
            if (f.second->m_Server->m_ReportAt > sent_at)
                continue;
            eligible += 1;
            if (best == nullptr || f.first < best->first)
                best = &f;
        }
        if (best == nullptr)
            continue;
        best->second->m_Others += std::min(1.0, left) * eligible / static_cast<double>(fresh.size());
        best->second->m_Unread = best->second->m_Others;
        best->first            = PredictModel(*best->second, need, now);
    }
}

// Routers send to their own data centre's servers before others, and are taken to be spread evenly over the data centres.
void ServerChoice::SpreadOthers(std::vector<Option>& options, const RequestNeed& need, TimePoint now) const
{
    if (m_Routers < 2 || options.empty())
        return;
    std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) { return a.m_Entry->m_DataCentre < b.m_Entry->m_DataCentre; });
    std::vector<std::span<Option>> data_centres;
    for (size_t from = 0, to = 0; from < options.size(); from = to)
    {
        while (to < options.size() && options[to].m_Entry->m_DataCentre == options[from].m_Entry->m_DataCentre)
            to++;
        data_centres.push_back(std::span(options).subspan(from, to - from));
    }
    for (const std::span<Option> here : data_centres)
    {
        const bool   near   = here.front().m_Entry->m_DataCentre == need.m_DataCentre;
        const double others = m_Routers / static_cast<double>(data_centres.size()) - (near ? 1 : 0);
        FillWithOthers(here, m_Config.m_OthersShare * m_SentRate * std::max(0.0, others), need, now);
    }
}

double ServerChoice::FailShare(const Server& s, TimePoint now) const
{
    return s.m_FailShare > 0 ? s.m_FailShare * std::exp(-ToSeconds(now - s.m_FailAt) / kFailFadeS) : 0;
}

void ServerChoice::CountSent(TimePoint now)
{
    const double passed = m_SentAt == TimePoint{} ? kRateWindowS : ToSeconds(now - m_SentAt);
    m_SentRate          = m_SentRate * std::exp(-passed / kRateWindowS) + 1 / kRateWindowS;
    m_SentAt            = now;
}

double ServerChoice::PredictModel(const Option& o, const RequestNeed& need, TimePoint now) const
{
    const Server&      s         = *o.m_Server;
    const EngineCosts& e         = *need.m_Service->m_Engine;
    const double       in_flight = InFlight(o, now);
    const double       writers   = std::min<double>(in_flight, e.m_Slots);
    const double       context   = (e.m_UsualPrompt + e.m_UsualAnswer / 2) / 1000;
    const double       step      = e.m_StepMs + writers * (e.m_PerRequestMs + e.m_PerKContextMs * context);
    const double       read      = in_flight * e.m_UsualPrompt / e.m_ReadPerMs; // ms spent on reading, against writing, by what is in flight
    const double       share     = read / (read + in_flight * e.m_UsualAnswer * step / std::max(1.0, writers) + 1e-9);
    const double       pass      = step * e.m_StepsPerPass / (1 - std::min(share, kReadShareMax));
    const double       waiting   = Fresh(s, now) ? s.m_Report.m_Waiting * e.m_UsualPrompt : 0;
    const double       unread    = std::max(s.m_Unread, waiting) + o.m_Unread * e.m_UsualPrompt;
    const double       pairs     = e.m_PairsPerMMs * need.m_Prompt * need.m_Prompt / 2 / 1e6;
    double             ms        = (writers > 0 ? pass / 2 : 0) + (unread + need.m_Prompt) / e.m_ReadPerMs + pairs + pass + kWayMs;
    if (in_flight + 1 > e.m_Slots)
    {
        const double residence = e.m_UsualAnswer / e.m_StepsPerPass * pass; // of one request in a full batch
        ms += (in_flight + 1 - e.m_Slots) * residence / e.m_Slots;
    }
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

bool ServerChoice::Excluded(const ServerEntry& entry, const Server& s, const RequestNeed& need, TimePoint now) const
{
    const bool tried = std::find(need.m_Tried.begin(), need.m_Tried.end(), entry.m_Id) != need.m_Tried.end();
    if (tried)
        return true;
    if (!need.m_Service->m_Engine)
        return false;
    if (!Fresh(s, now))
        return entry.m_Weights == 0;
    return s.m_Report.m_Starting || s.m_Report.m_Weights == 0;
}

bool ServerChoice::BeginsTooLate(const Option& o, const RequestNeed& need, TimePoint now) const
{
    const Duration  least  = Fresh(*o.m_Server, now) ? m_Config.m_BeginLeast : m_Config.m_BeginBlind;
    const Duration  wait   = std::max(least, FromMs(o.m_Ms * m_Config.m_BeginFactor));
    const TimePoint begins = now + wait + m_Config.m_BeginMargin;
    return std::any_of(need.m_WeightsDeadlines.begin(), need.m_WeightsDeadlines.end(),
                       [&](const WeightsDeadline& d) { return o.m_Weights < d.m_Version && begins > d.m_At; });
}

Duration ServerChoice::RetryAfter(const RequestNeed& need, double predicted_ms) const
{
    const double over = predicted_ms - ToMsReal(need.m_Goal) / 2;
    return FromMs(std::clamp(over, kRetryMinMs, kRetryMaxMs));
}

// What a prompt longer than usual adds to the wait, ms; negative for a shorter one.
static double OwnPart(const RequestNeed& need)
{
    return (need.m_Prompt - need.m_Service->m_Engine->m_UsualPrompt) / need.m_Service->m_Engine->m_ReadPerMs;
}

double ServerChoice::AllowedMs(const RequestNeed& need) const
{
    const double goal = ToMsReal(need.m_Goal);
    if (!need.m_CameBack)
        return goal * m_Config.m_GoalShare;
    const double late    = std::max(goal, ToMsReal(m_Config.m_LateMax));
    const double refused = m_FirstRefused / (m_FirstSeen + kFewFirsts);
    const double lenient = std::max(0.0, 1 - refused / m_Config.m_StrictAt);
    return goal + lenient * (late - goal);
}

void ServerChoice::CountFirst(bool refused, TimePoint now)
{
    const double keep = m_FirstAt == TimePoint{} ? 0 : std::exp(-ToSeconds(now - m_FirstAt) / kRefusedWindowS);
    m_FirstSeen       = m_FirstSeen * keep + 1;
    m_FirstRefused    = m_FirstRefused * keep + (refused ? 1 : 0);
    m_FirstAt         = now;
}

// What is admitted by: without the prompts that others are only believed to have sent. Those tell servers apart; as a reason to refuse they
// turned callers away that would have been in time.
double ServerChoice::PredictAdmitted(Option o, const RequestNeed& need, TimePoint now) const
{
    o.m_Unread = 0;
    return Predict(o, need, now);
}

std::vector<ServerChoice::Option> ServerChoice::Options(std::span<const ServerEntry* const> candidates, const RequestNeed& need, TimePoint now)
{
    std::vector<Option> out;
    for (const ServerEntry* entry : candidates)
    {
        const Server& s = m_Servers[entry->m_Id];
        if (!Excluded(*entry, s, need, now))
            out.push_back({entry, &s, Fresh(s, now) ? s.m_Report.m_Weights : entry->m_Weights, 0, 0, 0});
    }
    if (need.m_Service->m_Engine)
        SpreadOthers(out, need, now);
    for (Option& o : out)
        o.m_Ms = Predict(o, need, now);
    if (need.m_Service->m_Engine)
        std::erase_if(out, [&](const Option& o) { return BeginsTooLate(o, need, now); });
    return out;
}

ServerChoice::View ServerChoice::ViewOf(std::span<const Option> options, TimePoint now) const
{
    View view;
    for (const Option& o : options)
    {
        view.m_Reports |= Fresh(*o.m_Server, now);
        view.m_Newest = std::max(view.m_Newest, o.m_Weights);
    }
    return view;
}

double ServerChoice::CostOf(const Option& o, const RequestNeed& need, const View& view, TimePoint now)
{
    const bool   model = need.m_Service->m_Engine.has_value();
    const bool   blind = model && view.m_Reports && !Fresh(*o.m_Server, now);
    const bool   old   = model && o.m_Weights < view.m_Newest;
    const double far   = o.m_Entry->m_DataCentre == need.m_DataCentre ? 0 : ToMsReal(m_Config.m_FarPenalty);
    const double tie   = static_cast<double>(m_Random() >> 11) * 0x1p-53 * (model ? m_Config.m_TieMs : kPlainTieMs);
    const double fails = FailShare(*o.m_Server, now) * m_Config.m_FailWeight * ToMsReal(need.m_Goal);
    return o.m_Ms + far + tie + fails + (blind ? ToMsReal(m_Config.m_BlindPenalty) : 0) + (old ? ToMsReal(m_Config.m_OldPenalty) : 0);
}

Choice ServerChoice::Choose(std::span<const ServerEntry* const> candidates, const RequestNeed& need, TimePoint now)
{
    const std::vector<Option> options   = Options(candidates, need, now);
    const View                view      = ViewOf(options, now);
    const Option*             chosen    = nullptr;
    double                    best_cost = 0;
    bool                      suspended = true; // the best so far is one that should be left out
    for (const Option& o : options)
    {
        const bool   out  = now < o.m_Server->m_SuspendedUntil;
        const double cost = CostOf(o, need, view, now);
        if (chosen != nullptr && (out > suspended || (out == suspended && cost >= best_cost)))
            continue;
        chosen    = &o;
        best_cost = cost;
        suspended = out;
    }
    Choice best;
    best.m_Candidates = options.size();
    if (chosen != nullptr)
    {
        best.m_Server    = chosen->m_Entry;
        best.m_Predicted = FromMs(PredictAdmitted(*chosen, need, now));
        best.m_InFlight  = static_cast<uint32_t>(InFlight(*chosen, now));
        best.m_Weights   = chosen->m_Weights;
        best.m_ReportAge = Fresh(*chosen->m_Server, now) ? now - chosen->m_Server->m_ReportAt : Duration::max();
    }
    return Admit(best, need, now);
}

// Refuses what can't be answered in time.
Choice ServerChoice::Admit(Choice best, const RequestNeed& need, TimePoint now)
{
    const double ms   = ToMsReal(best.m_Predicted);
    const bool   late = need.m_Service->m_Engine.has_value() && ms - OwnPart(need) > AllowedMs(need);
    if (need.m_Service->m_Engine && !need.m_CameBack)
        CountFirst(late || best.m_Server == nullptr, now);
    if (best.m_Server == nullptr || late)
    {
        best.m_RetryAfter = RetryAfter(need, best.m_Server == nullptr ? ToMsReal(need.m_Goal) : ms);
        best.m_Server     = nullptr;
    }
    return best;
}

void ServerChoice::OnSent(const std::string& id, double prompt, TimePoint now)
{
    if (prompt > 0)
        CountSent(now);
    Server& s = m_Servers[id];
    s.m_InFlight++;
    s.m_SentSince++;
    s.m_Unread += prompt;
}

void ServerChoice::OnFirstEvent(const std::string& id, double prompt)
{
    Server& s  = m_Servers[id];
    s.m_Unread = std::max(0.0, s.m_Unread - prompt);
}

void ServerChoice::OnEnd(const std::string& id, ServerOutcome outcome, double unread_prompt, Duration took, TimePoint now)
{
    Server& s = m_Servers[id];
    s.m_InFlight -= s.m_InFlight > 0 ? 1 : 0;
    s.m_EndedSince++;
    s.m_Unread = std::max(0.0, s.m_Unread - unread_prompt);
    if (outcome == ServerOutcome_Cancelled)
        return;
    const double failed = outcome == ServerOutcome_Good ? 0 : outcome == ServerOutcome_Slow ? kSlowStep : 1;
    const double before = FailShare(s, now);
    s.m_FailShare       = before + kFailStep * (failed - before);
    s.m_FailAt          = now;
    if (outcome != ServerOutcome_Unreachable)
    {
        s.m_Unreachable = 0;
        if (outcome == ServerOutcome_Good || outcome == ServerOutcome_Slow)
            s.m_MeanMs = s.m_MeanMs > 0 ? s.m_MeanMs + kMeanStep * (ToMsReal(took) - s.m_MeanMs) : ToMsReal(took);
        return;
    }
    const Duration pause = m_Config.m_SuspendMin * (1u << std::min(s.m_Unreachable, 6u));
    s.m_SuspendedUntil   = now + std::min(pause, m_Config.m_SuspendMax);
    s.m_Unreachable++;
}

void ServerChoice::OnReport(const std::string& id, const LoadReport& r, TimePoint now)
{
    Server& s      = m_Servers[id];
    s.m_Report     = r;
    s.m_ReportAt   = now;
    s.m_SentSince  = 0;
    s.m_EndedSince = 0;
    m_Routers      = r.m_Routers;
}

void ServerChoice::Forget(std::span<const ServerEntry* const> keep)
{
    std::unordered_map<std::string, Server> kept;
    for (const ServerEntry* e : keep)
    {
        const auto it = m_Servers.find(e->m_Id);
        if (it != m_Servers.end())
            kept.insert(*it);
    }
    m_Servers = std::move(kept);
}

} // namespace aldervale
