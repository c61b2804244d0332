// Choice of a backend server by predicted time, and statistics of its outcomes. See server_choice.h.
#include "request/server_choice.h"
#include <algorithm>
#include <cmath>

namespace aldervale
{

namespace
{

constexpr double   kFailureStep       = 0.15;   // weight of the newest outcome in m_FailureShare
constexpr double   kSlowFailureWeight = 0.5;    // a slow answer counts as this part of a failure
constexpr double   kFailureDecayS     = 4;      // time in which failures decay to 1/e: most passing faults of a server are shorter
constexpr double   kMeanStep          = 0.1;    // weight of the newest answer in m_MeanAnswerMs
constexpr double   kSendRateWindowS   = 2;      // time constant of the moving mean of the send rate
constexpr double   kPlainTieBreakMs   = 6;      // random part of a plain service's cost; below m_RemotePenalty, so that local servers go first
constexpr double   kDemotionMs        = 10'000; // more than any predicted time: boxes that don't answer or are suspended are asked last
constexpr double   kPauseSpread       = 0.25;   // of a pause that callers wait for: longest addition to their wait
constexpr unsigned kDoublingsMax      = 6;      // of m_SuspendMin: m_SuspendMax is reached long before, and the shift stays in range

// How much longer the request's own prompt takes to be read than a usual one, ms; negative for a shorter one.
double ExtraPromptMs(const RequestNeed& need)
{
    return (need.m_PromptTokens - need.m_Service->m_Engine->m_MeanPromptTokens) / need.m_Service->m_Engine->m_ReadPerMs;
}

// Weight of an outcome as a failure, 0 to 1.
double FailureOf(ServerOutcome outcome)
{
    if (outcome == ServerOutcome_Good)
        return 0;
    return outcome == ServerOutcome_Slow ? kSlowFailureWeight : 1;
}

} // namespace

double ServerChoice::FailureShare(const Server& s, TimePoint now) const
{
    return s.m_FailureShare > 0 ? s.m_FailureShare * std::exp(-ToSeconds(now - s.m_FailureAt) / kFailureDecayS) : 0;
}

void ServerChoice::RecordSent(TimePoint now)
{
    const double passed = m_LastSentAt == TimePoint{} ? kSendRateWindowS : ToSeconds(now - m_LastSentAt);
    m_SentPerSecond     = m_SentPerSecond * std::exp(-passed / kSendRateWindowS) + 1 / kSendRateWindowS;
    m_LastSentAt        = now;
}

bool ServerChoice::Excluded(const ServerEntry& entry, const Server& s, const RequestNeed& need, TimePoint now) const
{
    const ServerLife life  = entry.Life();
    const bool       tried = std::any_of(need.m_Tried.begin(), need.m_Tried.end(), [&](const ServerLife& t) { return t.Is(life); });
    if (tried)
        return true;
    if (need.m_Limits != nullptr && !(need.m_ClaimsAtCold ? need.m_Limits->AllowsStated(life, now) : need.m_Limits->Allows(life, now)))
        return true;
    if (!need.m_Service->m_Engine)
        return false;
    if (need.m_FreshAnswersOnly && !HasFreshAnswer(s, now))
        return true;
    if (!HasFreshReport(s, now))
        return entry.m_Weights == 0 || ServerLife::Earlier(entry.m_BornMs, s.m_BornMs);
    return s.m_Report.m_Starting || s.m_Report.m_Weights == 0;
}

// An agent that knows when the version was declared stops its server before the deadline, however long a request is on its way there.
bool ServerChoice::AgentKnowsDeadline(const Server& s, uint64_t version, TimePoint now) const
{
    const auto knows = [&](const NamedAge& n) { return n.m_Version == version && n.m_AgeMs >= 0; };
    return HasFreshReport(s, now) && std::any_of(s.m_Report.m_Named.begin(), s.m_Report.m_Named.end(), knows);
}

bool ServerChoice::StartsAfterDeadline(const Option& o, const RequestNeed& need, TimePoint now) const
{
    const Duration predicted = FromMs(o.m_PredictedMs * m_Config.m_DeadlineWaitFactor);
    const auto     late      = [&](const WeightsDeadline& d)
    {
        const Duration least = AgentKnowsDeadline(*o.m_Server, d.m_Version, now) ? m_Config.m_DeadlineMinWait : m_Config.m_DeadlineNoReportMinWait;
        return o.m_Weights < d.m_Version && now + std::max(least, predicted) + m_Config.m_DeadlineMargin > d.m_At;
    };
    return std::any_of(need.m_WeightsDeadlines.begin(), need.m_WeightsDeadlines.end(), late);
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
        const Server& s = known != nullptr ? *known : m_Servers[entry->m_Id]; // the entry is outdated: reports of a later incarnation have arrived
        if (!Excluded(*entry, s, need, now))
            out.push_back({entry, &s, HasFreshReport(s, now) ? s.m_Report.m_Weights : entry->m_Weights, 0, 0, 0, 1});
    }
    return out;
}

// Appends `count` random options of `from` to `out`, or all if there are fewer.
void ServerChoice::MoveSample(std::vector<Option>& from, size_t count, std::vector<Option>& out)
{
    const size_t taken        = std::min(count, from.size());
    const double sampled_from = static_cast<double>(from.size()) / static_cast<double>(std::max<size_t>(taken, 1));
    for (size_t i = 0; i < taken; i++)
    {
        const size_t pick = i + static_cast<size_t>(RandomPart() * static_cast<double>(from.size() - i));
        std::swap(from[i], from[std::min(pick, from.size() - 1)]);
        from[i].m_SampledFrom = sampled_from;
        out.push_back(from[i]);
    }
}

// From other data centres only servers whose boxes report are sampled: a router follows a few of them (followed_boxes.h) and has no data about
// the rest. Servers without reports are sampled only when there are no others.
void ServerChoice::SampleOptions(std::vector<Option>& options, const RequestNeed& need, TimePoint now)
{
    if (options.size() <= m_Config.m_LocalSampleSize)
        return;
    std::vector<Option> local;
    std::vector<Option> remote;
    std::vector<Option> without_report;
    for (const Option& o : options)
        (o.m_Entry->m_DataCentre == need.m_DataCentre ? local : HasFreshReport(*o.m_Server, now) ? remote : without_report).push_back(o);
    options.clear();
    MoveSample(local, m_Config.m_LocalSampleSize, options);
    MoveSample(remote, m_Config.m_RemoteSampleSize, options);
    if (options.empty())
        MoveSample(without_report, m_Config.m_LocalSampleSize, options);
}

std::vector<ServerChoice::Option> ServerChoice::Options(Servers candidates, const RequestNeed& need, TimePoint now)
{
    std::vector<Option> out = Eligible(candidates, need, now);
    if (need.m_Service->m_Engine && !need.m_FreshAnswersOnly)
    {
        SampleOptions(out, need, now);
        EstimateOthers(out, need, now);
    }
    for (Option& o : out)
        o.m_PredictedMs = Predict(o, need, now);
    if (need.m_Service->m_Engine)
        std::erase_if(out, [&](const Option& o) { return StartsAfterDeadline(o, need, now); });
    return out;
}

bool ServerChoice::NearWeightsDeadline(const Option& o, const RequestNeed& need, TimePoint now) const
{
    return std::any_of(need.m_WeightsDeadlines.begin(), need.m_WeightsDeadlines.end(),
                       [&](const WeightsDeadline& d) { return o.m_Weights < d.m_Version && now > d.m_At - m_Config.m_OldWeightsWindow; });
}

double ServerChoice::RandomPart()
{
    return static_cast<double>(m_Random() >> 11) * 0x1p-53;
}

double ServerChoice::RemoteMs(const Option& o, const RequestNeed& need) const
{
    return o.m_Entry->m_DataCentre == need.m_DataCentre ? 0 : ToMsReal(m_Config.m_RemotePenalty);
}

double ServerChoice::CostOf(const Option& o, const RequestNeed& need, bool others_report, TimePoint now)
{
    const bool   model       = need.m_Service->m_Engine.has_value();
    const bool   no_report   = model && others_report && !HasFreshReport(*o.m_Server, now);
    const bool   old_weights = model && NearWeightsDeadline(o, need, now);
    const double tie         = RandomPart() * (model ? m_Config.m_TieBreakMs : kPlainTieBreakMs);
    const double failures    = FailureShare(*o.m_Server, now) * m_Config.m_FailurePenaltyObjectives * ToMsReal(need.m_Objective);
    return o.m_PredictedMs + RemoteMs(o, need) + tie + failures + (no_report ? ToMsReal(m_Config.m_NoReportPenalty) : 0) +
           (old_weights ? ToMsReal(m_Config.m_OldWeightsPenalty) : 0);
}

// Null: there are no options. A suspended server is chosen only when all are suspended.
const ServerChoice::Option* ServerChoice::Cheapest(std::span<const Option> options, const RequestNeed& need, TimePoint now)
{
    const bool    any_report     = std::any_of(options.begin(), options.end(), [&](const Option& o) { return HasFreshReport(*o.m_Server, now); });
    const Option* best           = nullptr;
    double        best_cost      = 0;
    bool          best_suspended = true; // the best option so far is suspended
    for (const Option& o : options)
    {
        const bool   suspended = now < o.m_Server->m_SuspendedUntil;
        const double cost      = CostOf(o, need, any_report, now);
        if (best != nullptr && (suspended > best_suspended || (suspended == best_suspended && cost >= best_cost)))
            continue;
        best           = &o;
        best_cost      = cost;
        best_suspended = suspended;
    }
    return best;
}

// Ranks servers without an estimate of other routers' requests: the boxes' answers will include those.
std::vector<const ServerEntry*> ServerChoice::ServersToAsk(Servers candidates, const RequestNeed& need, std::span<const ServerLife> asked,
                                                           TimePoint now)
{
    std::vector<Option> options   = Eligible(candidates, need, now);
    const auto          was_asked = [&](const Option& o)
    {
        const ServerLife life = o.m_Entry->Life();
        return std::any_of(asked.begin(), asked.end(), [&](const ServerLife& a) { return a.Is(life); });
    };
    std::erase_if(options, was_asked);
    SampleOptions(options, need, now);
    std::vector<std::pair<double, const ServerEntry*>> costs;
    const bool any_report = std::any_of(options.begin(), options.end(), [&](const Option& o) { return HasFreshReport(*o.m_Server, now); });
    for (Option& o : options)
    {
        o.m_PredictedMs      = Predict(o, need, now);
        const bool   late    = StartsAfterDeadline(o, need, now);
        const bool   demoted = late || now < o.m_Server->m_SuspendedUntil || now < o.m_Server->m_DemotedUntil;
        const double cost    = CostOf(o, need, any_report, now) + (demoted ? kDemotionMs : 0);
        costs.emplace_back(cost, o.m_Entry);
    }
    std::sort(costs.begin(), costs.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    costs.resize(std::min(costs.size(), m_Config.m_QueriesAtOnce));
    std::vector<const ServerEntry*> out;
    out.reserve(costs.size());
    for (const auto& [cost, entry] : costs)
        out.push_back(entry);
    return out;
}

bool ServerChoice::NeedsClaim(const Choice& best, const RequestNeed& need) const
{
    const bool model = need.m_Service->m_Engine.has_value();
    if (!model || best.m_Server == nullptr)
        return false;
    if (need.m_ClaimsAtCold && best.m_ColdPerSecond > 0)
        return true;
    return (!need.m_IsRetry || need.m_KnownRetry) && best.m_InFlight + m_Config.m_MinFreeWithoutClaim > best.m_Places;
}

std::vector<Choice> ServerChoice::ServersToClaim(Servers answered, RequestNeed need, TimePoint now)
{
    need.m_FreshAnswersOnly                                = true;
    need.m_AssumeFreePlace                                 = true;
    const std::vector<Option>                     options  = Options(answered, need, now);
    const auto                                    has_free = [&](const Option& o) { return InFlight(o, now) < PlacesOf(o, need, now); };
    const bool                                    full     = std::none_of(options.begin(), options.end(), has_free);
    std::vector<std::pair<double, const Option*>> costs;
    for (const Option& o : options)
        if (now >= o.m_Server->m_SuspendedUntil)
            costs.emplace_back(CostOf(o, need, false, now) - (full ? RemoteMs(o, need) : 0), &o);
    std::sort(costs.begin(), costs.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    costs.resize(std::min(costs.size(), m_Config.m_ClaimsAtOnce));
    std::vector<Choice> out;
    for (const auto& [cost, option] : costs)
    {
        const Choice c = ChoiceOf(*option, options, need, now);
        if (m_Admission.Admits(AdmissionOf(need), c.m_Predicted - FromMs(ExtraPromptMs(need))))
            out.push_back(c);
    }
    return out;
}

// The rest of the wait that admission allows, up to a share of the objective: a caller that is refused early can still be served in time by
// another server.
Duration ServerChoice::ClaimQueueWait(const Choice& best, const RequestNeed& need) const
{
    if (need.m_KnownRetry && m_Admission.IsStrict())
        return {};
    const double   objective = ToSeconds(StrictestObjective(need));
    const Duration usual     = best.m_Predicted - FromMs(ExtraPromptMs(need));
    const Duration in_time   = std::max<Duration>(need.m_TimeToDeadline - kClaimedTimeMin, Duration::zero());
    return std::clamp(FromSeconds(objective * m_Config.m_Admission.m_FirstAttemptShare) - usual, Duration::zero(),
                      std::min(FromSeconds(objective * m_Config.m_QueueWaitMaxShare), in_time));
}

Choice ServerChoice::OnClaimGranted(const Choice& granted, const RequestNeed& need, TimePoint now)
{
    if (!need.m_IsRetry)
        m_Admission.OnFirstAttempt(false, now);
    return granted;
}

bool ServerChoice::ShouldAskMore(const Choice& best, const RequestNeed& need) const
{
    return best.m_Server == nullptr || best.m_Predicted > std::chrono::duration_cast<Duration>(need.m_Objective * m_Config.m_AskMoreAboveShare);
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
    none.m_Candidates     = options.size();
    none.m_FirstPauseLeft = FirstPauseLeft(candidates, need, now);
    return none;
}

Duration ServerChoice::FirstPauseLeft(Servers candidates, const RequestNeed& need, TimePoint now) const
{
    if (need.m_Limits == nullptr || candidates.empty())
        return {};
    Duration first = Duration::max();
    for (const ServerEntry* e : candidates)
        first = std::min(first, need.m_Limits->PauseLeft(e->Life(), now)); // zero: this one isn't pausing
    return first;
}

Choice ServerChoice::ChoiceOf(const Option& o, std::span<const Option> options, const RequestNeed& need, TimePoint now) const
{
    Choice c;
    c.m_Candidates = options.size();
    c.m_Server     = o.m_Entry;
    c.m_Predicted  = FromMs(PredictAdmitted(o, options, need, now));
    c.m_InFlight   = static_cast<uint32_t>(InFlight(o, now));
    c.m_Places     = static_cast<uint32_t>(PlacesOf(o, need, now));
    c.m_Weights    = o.m_Weights;
    c.m_ReportAge  = HasFreshReport(*o.m_Server, now) ? now - o.m_Server->m_ReportAt : Duration::max();
    if (need.m_Limits != nullptr)
        c.m_ColdPerSecond = need.m_Limits->ColdRate(o.m_Entry->Life(), now);
    return c;
}

// Refuses requests that can't be answered in time.
Choice ServerChoice::Decide(Choice best, const RequestNeed& need, TimePoint now)
{
    const bool     model    = need.m_Service->m_Engine.has_value();
    const Duration usual    = model ? best.m_Predicted - FromMs(ExtraPromptMs(need)) : best.m_Predicted;
    const bool     admitted = best.m_Server != nullptr && (!model || m_Admission.Admits(AdmissionOf(need), usual));
    if (!admitted)
        return Refuse(best, need, now);
    if (model && !need.m_IsRetry)
        m_Admission.OnFirstAttempt(false, now);
    return best;
}

Choice ServerChoice::Refuse(Choice best, const RequestNeed& need, TimePoint now)
{
    const AdmissionNeed admission = AdmissionOf(need);
    const Duration      predicted = best.m_Server == nullptr ? admission.m_StrictestObjective : best.m_Predicted;
    if (need.m_Service->m_Engine && !need.m_IsRetry)
        m_Admission.OnFirstAttempt(true, now);
    best.m_RetryAfter = m_Admission.RetryAfter(admission, predicted, RandomPart());
    if (best.m_FirstPauseLeft > Duration::zero()) // spread out, as otherwise all refused callers would come back as it ends
        best.m_RetryAfter = best.m_FirstPauseLeft + FromSeconds(ToSeconds(best.m_FirstPauseLeft) * kPauseSpread * RandomPart());
    best.m_Server = nullptr;
    return best;
}

void ServerChoice::OnSent(const ServerLife& life, double prompt, TimePoint now)
{
    if (prompt > 0)
        RecordSent(now);
    Server* s = Find(life);
    if (s == nullptr)
        return;
    s->m_InFlight++;
    s->m_SentSinceReport++;
    s->m_UnreadTokens += prompt;
}

void ServerChoice::OnFirstEvent(const ServerLife& life, double prompt)
{
    Server* s = Find(life);
    if (s != nullptr)
        s->m_UnreadTokens = std::max(0.0, s->m_UnreadTokens - prompt);
}

void ServerChoice::OnEnd(const ServerLife& life, ServerOutcome outcome, double unread_prompt, Duration took, TimePoint now)
{
    Server* s = Find(life);
    if (s == nullptr)
        return; // an outcome of an earlier incarnation says nothing about this one
    s->m_InFlight -= s->m_InFlight > 0 ? 1 : 0;
    s->m_EndedSinceReport++;
    s->m_UnreadTokens = std::max(0.0, s->m_UnreadTokens - unread_prompt);
    if (outcome == ServerOutcome_Cancelled)
        return;
    RecordFailure(*s, FailureOf(outcome), now);
    if (outcome == ServerOutcome_Unreachable)
    {
        Suspend(*s, now);
        return;
    }
    s->m_UnreachableInARow = 0;
    if (outcome == ServerOutcome_Good || outcome == ServerOutcome_Slow)
        RecordAnswerTime(*s, took);
}

void ServerChoice::OnPause(const ServerLife& life, TimePoint now)
{
    Server* s = Find(life);
    if (s != nullptr)
        RecordFailure(*s, FailureOf(ServerOutcome_Failed), now);
}

void ServerChoice::RecordFailure(Server& s, double failure, TimePoint now) const
{
    const double before = FailureShare(s, now);
    s.m_FailureShare    = before + kFailureStep * (failure - before);
    s.m_FailureAt       = now;
}

void ServerChoice::RecordAnswerTime(Server& s, Duration took)
{
    const double ms  = ToMsReal(took);
    s.m_MeanAnswerMs = s.m_MeanAnswerMs > 0 ? s.m_MeanAnswerMs + kMeanStep * (ms - s.m_MeanAnswerMs) : ms;
}

void ServerChoice::Suspend(Server& s, TimePoint now) const
{
    const Duration pause = m_Config.m_SuspendMin * (1u << std::min(s.m_UnreachableInARow, kDoublingsMax));
    s.m_SuspendedUntil   = now + std::min(pause, m_Config.m_SuspendMax);
    s.m_UnreachableInARow++;
}

void ServerChoice::OnReport(const ServerLife& life, const LoadReport& r, TimePoint now)
{
    Server* s = Find(life);
    if (s == nullptr)
        return;
    s->m_Report           = r;
    s->m_ReportAt         = now;
    s->m_SentSinceReport  = 0;
    s->m_EndedSinceReport = 0;
    s->m_DemotedUntil     = {};
    m_Routers             = r.m_Routers > 0 ? r.m_Routers : m_Routers; // answers of boxes leave it at 0
}

void ServerChoice::OnNoAnswer(const ServerLife& life, TimePoint now)
{
    Server* s = Find(life);
    if (s != nullptr)
        s->m_DemotedUntil = now + m_Config.m_NoAnswerDemotion;
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
