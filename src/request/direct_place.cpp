// Choice of a server for a request. See direct_serve.h.
//
// A place is capacity for one more concurrent request at a model server. The router asks a few boxes for the state of their servers' places and takes
// the best server that answered. Where free places are scarce, it claims one: a request to reserve the next free place. Without answers the load
// reports decide.
#include "request/direct_serve_internal.h"
#include "request/engine_prediction.h"
#include "request/place_line.h"
#include <algorithm>

namespace aldervale
{

namespace
{

// Maximum rounds of asking boxes. One round finds a server with room while many have some; the next ones ask other boxes. 3 rounds of 3 boxes are
// 9 of the about 18 candidates that are drawn; further rounds found a server in time for less than 1 request in 100.
constexpr unsigned kAskRounds = 3;

constexpr auto kEventTransit = milliseconds(100); // from a server's event to the caller; deducted from the wait that a caller tolerates

// Maximum further wait that the caller of a request that lost its server tolerates. Zero if no server had it, or while its servers are only stalled:
// then another server takes it only where there is room to spare, or a full pool would do the work twice.
Duration MaxCallerWait(const Call& call, TimePoint now)
{
    if (call.m_Tried.empty() || !call.m_StalledAttempts.empty())
        return {};
    if (!call.IsStream())
        return call.TimeLeft(now);
    const TimePoint received = call.m_EventsSent > 0 ? call.m_LastEventAt : call.m_StartedAt;
    const Duration  left     = MaxToleratedPause(call.m_Route->m_Goal, call.m_Route->m_MaxGap) - (now - received) - kEventTransit;
    return std::max<Duration>(left, milliseconds(1));
}

} // namespace

struct DirectServe::Impl::PlaceQuery // boxes asked for one admission, and their answers
{
    std::vector<ServerLife>  m_Asked;    // servers whose boxes were asked
    std::vector<ServerEntry> m_Answered; // servers whose boxes answered; copies: the server directory may change meanwhile
    Choice                   m_Best;     // best of m_Answered
};

RequestNeed DirectServe::Impl::NeedOf(const Call& call, std::span<const WeightsDeadline> deadlines, TimePoint now)
{
    RequestNeed need;
    need.m_Service            = call.m_Service;
    need.m_Objective          = call.m_Route->m_Goal;
    need.m_StrictestObjective = call.m_Routes->StrictestObjective(call.m_Service->m_Name);
    need.m_TimeToDeadline     = call.TimeLeft(now);
    need.m_PromptTokens       = call.m_Caller.m_PromptTokens;
    need.m_AnswerTokens       = call.m_Caller.m_MaxAnswerTokens;
    need.m_KnownRetry         = call.m_KnownRetry && call.m_Tried.empty();
    need.m_IsRetry            = call.m_LikelyRetry || call.m_KnownRetry || !call.m_Tried.empty() || call.m_HeadSent;
    if (call.m_Service->m_Engine)
        need.m_Rank = m_Urgency[call.m_Service->m_Name].RankOf(call.UrgencyLevel(), call.AccountName(), now);
    need.m_WeightsDeadlines = deadlines;
    need.m_ToleratedWait    = MaxCallerWait(call, now);
    need.m_Limits           = &m_Limits;
    need.m_ClaimsAtCold     = ClaimsAtCold(call);
    need.m_LearnedCapacity  = m_Settings.m_LearnCapacity;
    need.m_DataCentre       = m_Daemon.Settings().m_DataCentre;
    need.m_Tried            = call.m_Tried;
    return need;
}

ServerEligibility DirectServe::Impl::EligibilityOf(const Call& call) const
{
    ServerEligibility out(m_World.m_Evacuated, m_World.m_Regions);
    out.LimitRegions(call.m_Route->m_AllowedRegions);
    if (call.m_Account != nullptr)
        out.LimitRegions(call.m_Account->m_AllowedRegions);
    if (m_World.m_Routes == call.m_Routes)
        return out;
    const Route* route = m_World.m_Routes->FindRoute(call.m_Caller.m_Host, call.m_Request.Path());
    if (route != nullptr)
        out.LimitRegions(route->m_AllowedRegions);
    const ClientAccount* account = call.m_Account != nullptr ? m_World.m_Routes->FindAccount(call.m_Caller.m_ApiKey) : nullptr;
    if (account != nullptr)
        out.LimitRegions(account->m_AllowedRegions);
    return out;
}

std::vector<const ServerEntry*> DirectServe::Impl::EligibleServers(const Call& call) const
{
    const ServerEligibility         eligibility = EligibilityOf(call);
    std::vector<const ServerEntry*> out         = m_World.m_Servers.Usable(call.m_Service->m_Name);
    std::erase_if(out, [&](const ServerEntry* e) { return !eligibility.IsEligible(e->m_DataCentre); });
    return out;
}

bool DirectServe::Impl::ClaimsAtCold(const Call& call) const
{
    return m_PlaceChannel != nullptr && call.m_Service->m_Engine.has_value();
}

bool DirectServe::Impl::IsUsable(const Call& call, const ServerLife& server, TimePoint now)
{
    const ServerEntry* listed = m_World.m_Servers.Find(server.m_Id);
    if (listed == nullptr || listed->m_Draining || !listed->Life().Is(server) || !m_Limits.AllowsStated(server, now))
        return false;
    return (ClaimsAtCold(call) || m_Limits.Allows(server, now)) && EligibilityOf(call).IsEligible(listed->m_DataCentre);
}

std::vector<const ServerEntry*> DirectServe::Impl::UsableServers(const Call& call, const PlaceQuery& query)
{
    const TimePoint                 now = Now();
    std::vector<const ServerEntry*> usable;
    for (const ServerEntry& e : query.m_Answered)
        if (IsUsable(call, e.Life(), now))
            usable.push_back(&e);
    return usable;
}

Choice DirectServe::Impl::BestAnswered(const Call& call, const PlaceQuery& query, RequestNeed need, TimePoint now)
{
    need.m_FreshAnswersOnly = true;
    return m_Choice.Best(UsableServers(call, query), need, now);
}

// Claims a place at the best servers that answered; the request is refused where none is granted.
awaitable<Choice> DirectServe::Impl::ClaimPlace(Call& call, const RequestNeed& need, const PlaceQuery& query)
{
    const TimePoint           began      = Now();
    const std::vector<Choice> candidates = m_Choice.ServersToClaim(UsableServers(call, query), need, began);
    if (candidates.empty())
        co_return m_Choice.Refuse(query.m_Best, need, began);
    std::vector<Endpoint> boxes;
    boxes.reserve(candidates.size());
    for (const Choice& c : candidates)
        boxes.push_back(PlaceEndpoint(*c.m_Server));
    const EngineCosts& costs  = *need.m_Service->m_Engine;
    PlaceWanted        wanted = {costs.m_Slots, m_Choice.ClaimQueueWait(candidates.front(), need), ReadingMs(costs, need.m_PromptTokens)};
    wanted.m_Rank             = need.m_KnownRetry ? kLastClaimRank : need.m_Rank;
    for (const Choice& c : candidates)
        if (c.m_ColdPerSecond > 0)
            wanted.m_MaxPerSecond[PlaceEndpoint(*c.m_Server)] = c.m_ColdPerSecond;
    const ClaimOutcome outcome = co_await m_PlaceChannel->Claim(boxes, wanted, call.m_Abort);
    const TimePoint    now     = Now();
    call.m_BoxesClaimed        = boxes.size();
    call.m_ClaimDuration       = now - began;
    if (call.m_Abort.Aborted()) // no decision: nobody waits for one
        co_return Choice{};
    if (!outcome.m_Heard && query.m_Best.m_ColdPerSecond == 0) // agents without support for claims, or lost datagrams: the earlier answers decide
        co_return m_Choice.Decide(query.m_Best, need, now);
    const std::vector<const ServerEntry*> usable = UsableServers(call, query); // a server may have been removed meanwhile
    for (const Choice& c : candidates)
        if (outcome.m_Granted && c.m_Server->m_Address.m_Address == *outcome.m_Granted && std::count(usable.begin(), usable.end(), c.m_Server) > 0)
        {
            call.m_ClaimGranted = true;
            co_return m_Choice.OnClaimGranted(c, need, now);
        }
    co_return m_Choice.Refuse(candidates.front(), need, now);
}

awaitable<void> DirectServe::Impl::AskOneRound(Call& call, const RequestNeed& need, PlaceQuery& query)
{
    const std::vector<const ServerEntry*> servers = EligibleServers(call);
    std::vector<ServerEntry>              round;
    std::vector<Endpoint>                 boxes;
    for (const ServerEntry* e : m_Choice.ServersToAsk(servers, need, query.m_Asked, Now()))
    {
        round.push_back(*e);
        boxes.push_back(PlaceEndpoint(*e));
        query.m_Asked.push_back(e->Life());
    }
    if (round.empty())
        co_return;
    const std::vector<PlaceAnswer> answers = co_await m_PlaceChannel->Ask(boxes);
    const TimePoint                now     = Now();
    for (const ServerEntry& e : round)
    {
        const auto of_box = [&](const PlaceAnswer& x) { return x.m_Box == e.m_Address.m_Address; };
        const auto answer = std::find_if(answers.begin(), answers.end(), of_box);
        if (answer == answers.end())
        {
            m_Choice.OnNoAnswer(e.Life(), now);
            continue;
        }
        m_Choice.OnReport({e.m_Id, answer->m_State.m_BornMs}, answer->m_State, now);
        query.m_Answered.push_back(e);
    }
    query.m_Best = BestAnswered(call, query, need, now);
}

Endpoint DirectServe::Impl::PlaceEndpoint(const ServerEntry& server) const
{
    return Endpoint{server.m_Address.m_Address, m_PlacePort};
}

void DirectServe::Impl::CountDecision(const Call& call, bool admitted)
{
    m_Urgency[call.m_Service->m_Name].OnDecided(call.UrgencyLevel(), call.AccountName(), admitted, Now());
    const std::string labels = "rank=\"" + std::to_string(call.m_Rank) + "\",decision=\"" + (admitted ? "admitted" : "refused") + "\"";
    Metrics().GetCounter("aldervale_requests_decided_total", labels).Add(1);
}

awaitable<void> DirectServe::Impl::AwaitRetryDetection(Call& call, RequestNeed& need, bool boxes_asked)
{
    if (call.m_RefusalQuery == 0)
        co_return;
    const uint64_t query   = std::exchange(call.m_RefusalQuery, 0);
    const Duration longest = boxes_asked ? Duration::zero() : Duration(kRefusalAnswerMax);
    call.m_KnownRetry      = co_await m_Refusals->Known(query, longest);
    need.m_KnownRetry      = call.m_KnownRetry;
    need.m_IsRetry         = need.m_IsRetry || call.m_KnownRetry;
}

awaitable<std::optional<ServerEntry>> DirectServe::Impl::FindServer(Call& call, RequestNeed need)
{
    PlaceQuery query;
    if (m_PlaceChannel != nullptr && call.m_Service->m_Engine)
    {
        const TimePoint began = Now();
        for (unsigned round = 0; round < kAskRounds; round++)
        {
            const size_t before = query.m_Asked.size();
            co_await AskOneRound(call, need, query);
            if (query.m_Asked.size() == before || (!query.m_Answered.empty() && !m_Choice.ShouldAskMore(query.m_Best, need)))
                break;
            if (query.m_Answered.empty() && round > 0)
                break; // no box answers: the router may be disconnected, and asking further boxes only takes time
        }
        call.m_BoxesAsked    = query.m_Asked.size();
        call.m_BoxesAnswered = query.m_Answered.size();
        call.m_AskDuration   = Now() - began;
    }
    co_await AwaitRetryDetection(call, need, !query.m_Asked.empty());
    call.m_AdmittedAsRetry = need.m_IsRetry;
    call.m_ClaimGranted    = false;
    call.m_BoxesClaimed    = 0;
    const bool must_claim  = !query.m_Answered.empty() && m_Choice.NeedsClaim(query.m_Best, need);
    if (query.m_Answered.empty())
    {
        RequestNeed without_boxes    = need;
        without_boxes.m_ClaimsAtCold = false;
        call.m_Choice                = m_Choice.Choose(EligibleServers(call), without_boxes, Now());
    }
    else if (must_claim)
        call.m_Choice = co_await ClaimPlace(call, need, query);
    else
        call.m_Choice = m_Choice.Decide(query.m_Best, need, Now());
    std::optional<ServerEntry> chosen;
    if (call.m_Choice.m_Server != nullptr && !call.m_Abort.Aborted())
        chosen = *call.m_Choice.m_Server;
    if (chosen && !call.m_ClaimGranted && m_PlaceChannel != nullptr && call.m_Service->m_Engine)
        m_PlaceChannel->Take(PlaceEndpoint(*chosen), ReadingMs(*call.m_Service->m_Engine, call.m_Caller.m_PromptTokens));
    call.m_Choice.m_Server = nullptr; // it points into `query` or the server directory
    co_return chosen;
}

awaitable<std::optional<ServerEntry>> DirectServe::Impl::Admit(Call& call)
{
    const std::vector<WeightsDeadline> deadlines = WeightsDeadlines(call);
    const RequestNeed                  need      = NeedOf(call, deadlines, Now());
    call.m_Rank                                  = need.m_Rank;
    std::optional<ServerEntry> server            = co_await FindServer(call, need);
    if (call.m_Abort.Aborted())
        co_return std::nullopt;
    if (call.m_Service->m_Engine && !call.m_AdmittedAsRetry)
        CountDecision(call, server.has_value());
    if (!server && call.m_Service->m_Engine &&
        call.m_StalledAttempts.empty()) // with stalled attempts the request isn't refused, so its caller won't retry
        m_RetryEstimate.OnRefused(Now());
    if (!server)
        call.m_FailureText = call.m_Choice.m_Candidates == 0 ? "no server can take it" : "no server would answer in time";
    co_return server;
}

} // namespace aldervale
