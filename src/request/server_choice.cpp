// Choosing a backend server by predicted time, and what is learned from its answers. See server_choice.h.
#include "request/server_choice.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

namespace
{

constexpr double   kFailStep     = 0.15;   // weight of the newest outcome in m_FailShare
constexpr double   kSlowFailure  = 0.5;    // of a failure, that a slow answer counts for
constexpr double   kFailFadeS    = 4;      // over which failures fade to 1/e: most faults of a server that pass are shorter
constexpr double   kMeanStep     = 0.1;    // weight of the newest answer in m_MeanMs
constexpr double   kRateWindowS  = 2;      // over which the rate of sending is a mean
constexpr double   kPlainTieMs   = 6;      // random part of a plain service's cost; below the far penalty: the own data centre's goes first
constexpr double   kAskedLastMs  = 10'000; // more than any predicted time: boxes that are silent or left out are asked when no other one is left
constexpr unsigned kDoublingsMax = 6;      // of m_SuspendMin: m_SuspendMax is reached long before, and the shift stays in range

// What a prompt longer than usual adds to the wait, ms; negative for a shorter one.
double OwnPart(const RequestNeed& need)
{
    return (need.m_Prompt - need.m_Service->m_Engine->m_MeanPromptTokens) / need.m_Service->m_Engine->m_ReadPerMs;
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
    const ServerLife life  = entry.Life();
    const bool       tried = std::any_of(need.m_Tried.begin(), need.m_Tried.end(), [&](const ServerLife& t) { return t.Is(life); });
    if (tried || (need.m_Limits != nullptr && !need.m_Limits->Allows(life, now)))
        return true;
    if (!need.m_Service->m_Engine)
        return false;
    if (need.m_Asked && !Answered(s, now))
        return true;
    if (!Fresh(s, now))
        return entry.m_Weights == 0 || ServerLife::Earlier(entry.m_BornMs, s.m_BornMs);
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

ServerChoice::Server* ServerChoice::Find(const ServerLife& life)
{
    Server& s = m_Servers[life.m_Id];
    if (ServerLife::Earlier(life.m_BornMs, s.m_BornMs))
        return nullptr;
    if (ServerLife::Earlier(s.m_BornMs, life.m_BornMs))
        s = Server{};
    s.m_BornMs = std::max(s.m_BornMs, life.m_BornMs);
    return &s;
}

std::vector<ServerChoice::Option> ServerChoice::Eligible(Servers candidates, const RequestNeed& need, TimePoint now)
{
    std::vector<Option> out;
    for (const ServerEntry* entry : candidates)
    {
        const Server* known = Find(entry->Life());
        const Server& s     = known != nullptr ? *known : m_Servers[entry->m_Id]; // an outdated entry: its box's reports are newer
        if (!Excluded(*entry, s, need, now))
            out.push_back({entry, &s, Fresh(s, now) ? s.m_Report.m_Weights : entry->m_Weights, 0, 0, 0, 1});
    }
    return out;
}

// Moves `count` of them by chance, or all.
void ServerChoice::DrawSome(std::vector<Option>& from, size_t count, std::vector<Option>& out)
{
    const size_t taken  = std::min(count, from.size());
    const double stands = static_cast<double>(from.size()) / static_cast<double>(std::max<size_t>(taken, 1));
    for (size_t i = 0; i < taken; i++)
    {
        const size_t pick = i + static_cast<size_t>(RandomPart() * static_cast<double>(from.size() - i));
        std::swap(from[i], from[std::min(pick, from.size() - 1)]);
        from[i].m_Stands = stands;
        out.push_back(from[i]);
    }
}

// Of other data centres only servers whose boxes report are drawn: a router follows a few of those (followed_boxes.h), and knows nothing of the
// rest. When there is nothing else they are drawn, too.
void ServerChoice::Draw(std::vector<Option>& options, const RequestNeed& need, TimePoint now)
{
    if (options.size() <= m_Config.m_DrawNear)
        return;
    std::vector<Option> near;
    std::vector<Option> far;
    std::vector<Option> unknown;
    for (const Option& o : options)
        (o.m_Entry->m_DataCentre == need.m_DataCentre ? near : Fresh(*o.m_Server, now) ? far : unknown).push_back(o);
    options.clear();
    DrawSome(near, m_Config.m_DrawNear, options);
    DrawSome(far, m_Config.m_DrawFar, options);
    if (options.empty())
        DrawSome(unknown, m_Config.m_DrawNear, options);
}

std::vector<ServerChoice::Option> ServerChoice::Options(Servers candidates, const RequestNeed& need, TimePoint now)
{
    std::vector<Option> out = Eligible(candidates, need, now);
    if (need.m_Service->m_Engine && !need.m_Asked)
    {
        Draw(out, need, now);
        SpreadOthers(out, need, now);
    }
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

// By what is known of them, without what others may have sent: the boxes know that, and say it.
std::vector<const ServerEntry*> ServerChoice::WhomToAsk(Servers candidates, const RequestNeed& need, std::span<const ServerLife> asked, TimePoint now)
{
    std::vector<Option> options = Eligible(candidates, need, now);
    const auto          known   = [&](const Option& o)
    {
        const ServerLife life = o.m_Entry->Life();
        return std::any_of(asked.begin(), asked.end(), [&](const ServerLife& a) { return a.Is(life); });
    };
    std::erase_if(options, known);
    Draw(options, need, now);
    std::vector<std::pair<double, const ServerEntry*>> costs;
    const bool reports = std::any_of(options.begin(), options.end(), [&](const Option& o) { return Fresh(*o.m_Server, now); });
    for (Option& o : options)
    {
        o.m_Ms            = Predict(o, need, now);
        const bool   late = BeginsTooLate(o, need, now);
        const bool   last = late || now < o.m_Server->m_SuspendedUntil || now < o.m_Server->m_SilentUntil;
        const double cost = CostOf(o, need, reports, now) + (last ? kAskedLastMs : 0);
        costs.emplace_back(cost, o.m_Entry);
    }
    std::sort(costs.begin(), costs.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    costs.resize(std::min(costs.size(), m_Config.m_AskAtOnce));
    std::vector<const ServerEntry*> out;
    out.reserve(costs.size());
    for (const auto& [cost, entry] : costs)
        out.push_back(entry);
    return out;
}

bool ServerChoice::PlacesScarce(const Choice& best, const RequestNeed& need) const
{
    const bool model = need.m_Service->m_Engine.has_value();
    return model && best.m_Server != nullptr && !need.m_CameBack && best.m_InFlight + m_Config.m_ClaimSpare > need.m_Service->m_Engine->m_Slots;
}

std::vector<Choice> ServerChoice::WhomToClaim(Servers answered, RequestNeed need, TimePoint now)
{
    need.m_Asked                                          = true;
    need.m_Granted                                        = true;
    const std::vector<Option>                     options = Options(answered, need, now);
    std::vector<std::pair<double, const Option*>> costs;
    for (const Option& o : options)
        if (now >= o.m_Server->m_SuspendedUntil)
            costs.emplace_back(CostOf(o, need, false, now), &o);
    std::sort(costs.begin(), costs.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    costs.resize(std::min(costs.size(), m_Config.m_ClaimAtOnce));
    std::vector<Choice> out;
    for (const auto& [cost, option] : costs)
    {
        const Choice c = ChoiceOf(*option, options, need, now);
        if (m_Admission.Takes(AdmissionOf(need), c.m_Predicted - FromMs(OwnPart(need))))
            out.push_back(c);
    }
    return out;
}

// What is left of the time that admission allows, up to a part of the objective: who is refused early can still be served in time elsewhere.
Duration ServerChoice::LineWait(const Choice& best, const RequestNeed& need) const
{
    const double   goal  = ToSeconds(StrictGoal(need));
    const Duration usual = best.m_Predicted - FromMs(OwnPart(need));
    return std::clamp(FromSeconds(goal * m_Config.m_Admission.m_GoalShare) - usual, Duration::zero(), FromSeconds(goal * m_Config.m_LineShare));
}

Choice ServerChoice::Granted(const Choice& granted, const RequestNeed& need, TimePoint now)
{
    if (!need.m_CameBack)
        m_Admission.OnFirst(false, now);
    return granted;
}

bool ServerChoice::Scarce(const Choice& best, const RequestNeed& need) const
{
    return best.m_Server == nullptr || best.m_Predicted > std::chrono::duration_cast<Duration>(need.m_Goal * m_Config.m_ScarceAt);
}

Choice ServerChoice::Choose(Servers candidates, const RequestNeed& need, TimePoint now)
{
    return Decide(Best(candidates, need, now), need, now);
}

Choice ServerChoice::Best(Servers candidates, const RequestNeed& need, TimePoint now)
{
    const std::vector<Option> options = Options(candidates, need, now);
    const Option*             chosen  = Cheapest(options, need, now);
    if (chosen != nullptr)
        return ChoiceOf(*chosen, options, need, now);
    Choice none;
    none.m_Candidates = options.size();
    return none;
}

Choice ServerChoice::ChoiceOf(const Option& o, std::span<const Option> options, const RequestNeed& need, TimePoint now) const
{
    Choice c;
    c.m_Candidates = options.size();
    c.m_Server     = o.m_Entry;
    c.m_Predicted  = FromMs(PredictAdmitted(o, options, need, now));
    c.m_InFlight   = static_cast<uint32_t>(InFlight(o, now));
    c.m_Weights    = o.m_Weights;
    c.m_ReportAge  = Fresh(*o.m_Server, now) ? now - o.m_Server->m_ReportAt : Duration::max();
    return c;
}

// Refuses what can't be answered in time.
Choice ServerChoice::Decide(Choice best, const RequestNeed& need, TimePoint now)
{
    const bool     model = need.m_Service->m_Engine.has_value();
    const Duration usual = model ? best.m_Predicted - FromMs(OwnPart(need)) : best.m_Predicted;
    const bool     taken = best.m_Server != nullptr && (!model || m_Admission.Takes(AdmissionOf(need), usual));
    if (!taken)
        return Refuse(best, need, now);
    if (model && !need.m_CameBack)
        m_Admission.OnFirst(false, now);
    return best;
}

Choice ServerChoice::Refuse(Choice best, const RequestNeed& need, TimePoint now)
{
    const AdmissionNeed ask       = AdmissionOf(need);
    const Duration      predicted = best.m_Server == nullptr ? ask.m_Goal : best.m_Predicted;
    if (need.m_Service->m_Engine && !need.m_CameBack)
        m_Admission.OnFirst(true, now);
    best.m_RetryAfter = m_Admission.RetryAfter(ask, predicted, RandomPart());
    best.m_Server     = nullptr;
    return best;
}

void ServerChoice::OnSent(const ServerLife& life, double prompt, TimePoint now)
{
    if (prompt > 0)
        CountSent(now);
    Server* s = Find(life);
    if (s == nullptr)
        return;
    s->m_InFlight++;
    s->m_SentSince++;
    s->m_Unread += prompt;
}

void ServerChoice::OnFirstEvent(const ServerLife& life, double prompt)
{
    Server* s = Find(life);
    if (s != nullptr)
        s->m_Unread = std::max(0.0, s->m_Unread - prompt);
}

void ServerChoice::OnEnd(const ServerLife& life, ServerOutcome outcome, double unread_prompt, Duration took, TimePoint now)
{
    Server* s = Find(life);
    if (s == nullptr)
        return; // what happened to the lifetime before says nothing of this one
    s->m_InFlight -= s->m_InFlight > 0 ? 1 : 0;
    s->m_EndedSince++;
    s->m_Unread = std::max(0.0, s->m_Unread - unread_prompt);
    if (outcome == ServerOutcome_Cancelled)
        return;
    CountFailure(*s, FailureOf(outcome), now);
    if (outcome == ServerOutcome_Unreachable)
    {
        Suspend(*s, now);
        return;
    }
    s->m_Unreachable = 0;
    if (outcome == ServerOutcome_Good || outcome == ServerOutcome_Slow)
        CountTook(*s, took);
}

void ServerChoice::OnPause(const ServerLife& life, TimePoint now)
{
    Server* s = Find(life);
    if (s != nullptr)
        CountFailure(*s, FailureOf(ServerOutcome_Failed), now);
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

void ServerChoice::OnReport(const ServerLife& life, const LoadReport& r, TimePoint now)
{
    Server* s = Find(life);
    if (s == nullptr)
        return;
    s->m_Report      = r;
    s->m_ReportAt    = now;
    s->m_SentSince   = 0;
    s->m_EndedSince  = 0;
    s->m_SilentUntil = {};
    m_Routers        = r.m_Routers > 0 ? r.m_Routers : m_Routers; // answers of boxes don't say
}

void ServerChoice::OnSilent(const ServerLife& life, TimePoint now)
{
    Server* s = Find(life);
    if (s != nullptr)
        s->m_SilentUntil = now + m_Config.m_SilentFor;
}

void ServerChoice::Forget(Servers keep)
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
