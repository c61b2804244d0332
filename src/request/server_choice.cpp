// Choosing a backend server by predicted time, and what is learned from its answers. See server_choice.h.
#include "request/server_choice.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

namespace
{

constexpr double   kFailStep     = 0.15; // weight of the newest outcome in m_FailShare
constexpr double   kSlowFailure  = 0.5;  // of a failure, that a slow answer counts for
constexpr double   kFailFadeS    = 4;    // over which failures fade to 1/e: most faults of a server that pass are shorter
constexpr double   kMeanStep     = 0.1;  // weight of the newest answer in m_MeanMs
constexpr double   kRateWindowS  = 2;    // over which the rate of sending is a mean
constexpr double   kPlainTieMs   = 6;    // random part of a plain service's cost; below the far penalty: the own data centre's goes first
constexpr unsigned kDoublingsMax = 6;    // of m_SuspendMin: m_SuspendMax is reached long before, and the shift stays in range

double ToMsReal(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

Duration FromMs(double ms)
{
    return FromSeconds(ms / 1000);
}

// What a prompt longer than usual adds to the wait, ms; negative for a shorter one.
double OwnPart(const RequestNeed& need)
{
    return (need.m_Prompt - need.m_Service->m_Engine->m_UsualPrompt) / need.m_Service->m_Engine->m_ReadPerMs;
}

// How much of a failure an outcome is, 0 to 1.
double FailureOf(ServerOutcome outcome)
{
    if (outcome == ServerOutcome_Good)
        return 0;
    return outcome == ServerOutcome_Slow ? kSlowFailure : 1;
}

} // namespace

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

bool ServerChoice::SoonTooOld(const Option& o, const RequestNeed& need, TimePoint now) const
{
    return std::any_of(need.m_WeightsDeadlines.begin(), need.m_WeightsDeadlines.end(),
                       [&](const WeightsDeadline& d) { return o.m_Weights < d.m_Version && now > d.m_At - m_Config.m_OldFrom; });
}

double ServerChoice::RandomPart()
{
    return static_cast<double>(m_Random() >> 11) * 0x1p-53;
}

double ServerChoice::CostOf(const Option& o, const RequestNeed& need, bool others_report, TimePoint now)
{
    const bool   model = need.m_Service->m_Engine.has_value();
    const bool   blind = model && others_report && !Fresh(*o.m_Server, now);
    const bool   old   = model && SoonTooOld(o, need, now);
    const double far   = o.m_Entry->m_DataCentre == need.m_DataCentre ? 0 : ToMsReal(m_Config.m_FarPenalty);
    const double tie   = RandomPart() * (model ? m_Config.m_TieMs : kPlainTieMs);
    const double fails = FailShare(*o.m_Server, now) * m_Config.m_FailWeight * ToMsReal(need.m_Goal);
    return o.m_Ms + far + tie + fails + (blind ? ToMsReal(m_Config.m_BlindPenalty) : 0) + (old ? ToMsReal(m_Config.m_OldPenalty) : 0);
}

// Null: there are no options. One that is left out for a while is taken only when all are.
const ServerChoice::Option* ServerChoice::Cheapest(std::span<const Option> options, const RequestNeed& need, TimePoint now)
{
    const bool    reports   = std::any_of(options.begin(), options.end(), [&](const Option& o) { return Fresh(*o.m_Server, now); });
    const Option* best      = nullptr;
    double        best_cost = 0;
    bool          suspended = true; // the best so far is one that should be left out
    for (const Option& o : options)
    {
        const bool   out  = now < o.m_Server->m_SuspendedUntil;
        const double cost = CostOf(o, need, reports, now);
        if (best != nullptr && (out > suspended || (out == suspended && cost >= best_cost)))
            continue;
        best      = &o;
        best_cost = cost;
        suspended = out;
    }
    return best;
}

Choice ServerChoice::Choose(std::span<const ServerEntry* const> candidates, const RequestNeed& need, TimePoint now)
{
    const std::vector<Option> options = Options(candidates, need, now);
    const Option*             chosen  = Cheapest(options, need, now);
    Choice                    best;
    best.m_Candidates = options.size();
    if (chosen != nullptr)
    {
        best.m_Server    = chosen->m_Entry;
        best.m_Predicted = FromMs(PredictAdmitted(*chosen, options, need, now));
        best.m_InFlight  = static_cast<uint32_t>(InFlight(*chosen, now));
        best.m_Weights   = chosen->m_Weights;
        best.m_ReportAge = Fresh(*chosen->m_Server, now) ? now - chosen->m_Server->m_ReportAt : Duration::max();
    }
    return Admit(best, need, now);
}

// Refuses what can't be answered in time.
Choice ServerChoice::Admit(Choice best, const RequestNeed& need, TimePoint now)
{
    AdmissionNeed ask;
    ask.m_Goal               = need.m_StrictestGoal > Duration::zero() ? need.m_StrictestGoal : need.m_Goal;
    ask.m_Left               = need.m_Left;
    ask.m_CameBack           = need.m_CameBack;
    const bool     model     = need.m_Service->m_Engine.has_value();
    const Duration predicted = best.m_Server == nullptr ? ask.m_Goal : best.m_Predicted;
    const Duration usual     = model ? predicted - FromMs(OwnPart(need)) : predicted;
    const bool     taken     = best.m_Server != nullptr && (!model || m_Admission.Takes(ask, usual));
    if (model && !need.m_CameBack)
        m_Admission.OnFirst(!taken, now);
    if (taken)
        return best;
    best.m_RetryAfter = m_Admission.RetryAfter(ask, predicted, RandomPart());
    best.m_Server     = nullptr;
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
    CountFailure(s, FailureOf(outcome), now);
    if (outcome == ServerOutcome_Unreachable)
    {
        Suspend(s, now);
        return;
    }
    s.m_Unreachable = 0;
    if (outcome == ServerOutcome_Good || outcome == ServerOutcome_Slow)
        CountTook(s, took);
}

void ServerChoice::CountFailure(Server& s, double failure, TimePoint now) const
{
    const double before = FailShare(s, now);
    s.m_FailShare       = before + kFailStep * (failure - before);
    s.m_FailAt          = now;
}

void ServerChoice::CountTook(Server& s, Duration took)
{
    const double ms = ToMsReal(took);
    s.m_MeanMs      = s.m_MeanMs > 0 ? s.m_MeanMs + kMeanStep * (ms - s.m_MeanMs) : ms;
}

void ServerChoice::Suspend(Server& s, TimePoint now) const
{
    const Duration pause = m_Config.m_SuspendMin * (1u << std::min(s.m_Unreachable, kDoublingsMax));
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
