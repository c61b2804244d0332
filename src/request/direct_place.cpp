// A server for a request: boxes are asked for a place, and the best that answers is taken; without answers reports decide. See direct_serve.h.
#include "request/direct_serve_internal.h"
#include "request/engine_prediction.h"
#include <algorithm>

namespace aldervale
{

namespace
{

// Rounds of questions: one finds a server with room while there are any; a second one looks where the first found none. 3 rounds of 3 boxes are
// 9 of the some 18 that are drawn; further ones found a server in time for under 1 request in 100.
constexpr unsigned kAskRounds = 3;

constexpr auto kEventTransit = milliseconds(100); // from a server's first event to the caller: what a caller bears is less by this

// How long the caller of a request that has lost its server still waits. A request whose server only pauses is not lost: it is taken elsewhere where
// there is room to spare, or a full pool would do its work twice.
Duration MaxCallerWait(const Call& call, TimePoint now)
{
    if (call.m_Tried.empty() || !call.m_StalledAttempts.empty())
        return {};
    if (!call.IsStream())
        return call.TimeLeft(now);
    const TimePoint heard = call.m_EventsSent > 0 ? call.m_LastEventAt : call.m_StartedAt;
    const Duration  left  = LongestPause(call.m_Route->m_Goal, call.m_Route->m_MaxGap) - (now - heard) - kEventTransit;
    return std::max<Duration>(left, milliseconds(1));
}

} // namespace

struct DirectServe::Impl::PlaceQuery // for one admission
{
    std::vector<ServerLife>  m_Asked;    //
    std::vector<ServerEntry> m_Answered; // copies: the directory may change meanwhile
    Choice                   m_Best;     // of m_Answered
};

RequestNeed DirectServe::Impl::NeedOf(const Call& call, std::span<const WeightsDeadline> deadlines, TimePoint now)
{
    RequestNeed need;
    need.m_Service          = call.m_Service;
    need.m_Goal             = call.m_Route->m_Goal;
    need.m_StrictestGoal    = call.m_Routes->StrictestGoal(call.m_Service->m_Name);
    need.m_Left             = call.TimeLeft(now);
    need.m_Prompt           = call.m_Caller.m_Prompt;
    need.m_Answer           = call.m_Caller.m_Answer;
    need.m_CameBack         = call.m_LikelyRetry || !call.m_Tried.empty() || call.m_HeadSent;
    need.m_WeightsDeadlines = deadlines;
    need.m_Bears            = MaxCallerWait(call, now);
    need.m_Limits           = &m_Limits;
    need.m_DataCentre       = m_Daemon.Settings().m_DataCentre;
    need.m_Tried            = call.m_Tried;
    return need;
}

bool DirectServe::Impl::IsUsable(const ServerLife& server, TimePoint now)
{
    const ServerEntry* listed = m_World.m_Servers.Find(server.m_Id);
    return listed != nullptr && !listed->m_Draining && listed->Life().Is(server) && m_Limits.Allows(server, now);
}

std::vector<const ServerEntry*> DirectServe::Impl::UsableServers(const PlaceQuery& query)
{
    const TimePoint                 now = Now();
    std::vector<const ServerEntry*> usable;
    for (const ServerEntry& e : query.m_Answered)
        if (IsUsable(e.Life(), now))
            usable.push_back(&e);
    return usable;
}

Choice DirectServe::Impl::BestAnswered(const PlaceQuery& query, RequestNeed need, TimePoint now)
{
    need.m_Asked = true;
    return m_Choice.Best(UsableServers(query), need, now);
}

// A place at one of the boxes that answered, or a refusal.
awaitable<Choice> DirectServe::Impl::ClaimPlace(Call& call, const RequestNeed& need, const PlaceQuery& query)
{
    const TimePoint           began = Now();
    const std::vector<Choice> hoped = m_Choice.WhomToClaim(UsableServers(query), need, began);
    if (hoped.empty())
        co_return m_Choice.Refuse(query.m_Best, need, began);
    std::vector<Endpoint> boxes;
    boxes.reserve(hoped.size());
    for (const Choice& c : hoped)
        boxes.push_back(PlaceEndpoint(*c.m_Server));
    const EngineCosts& costs   = *need.m_Service->m_Engine;
    const PlaceWanted  wanted  = {costs.m_Slots, m_Choice.LineWait(hoped.front(), need), ReadingMs(costs, need.m_Prompt)};
    const ClaimOutcome outcome = co_await m_PlaceChannel->Claim(boxes, wanted);
    const TimePoint    now     = Now();
    call.m_BoxesClaimed        = boxes.size();
    call.m_ClaimDuration       = now - began;
    if (!outcome.m_Heard) // agents that know no claims, or datagrams that were lost: what was answered before decides
        co_return m_Choice.Decide(query.m_Best, need, now);
    const std::vector<const ServerEntry*> usable = UsableServers(query); // a server may have left meanwhile
    for (const Choice& c : hoped)
        if (outcome.m_Granted && c.m_Server->m_Address.m_Address == *outcome.m_Granted && std::count(usable.begin(), usable.end(), c.m_Server) > 0)
        {
            call.m_ClaimGranted = true;
            co_return m_Choice.Granted(c, need, now);
        }
    co_return m_Choice.Refuse(hoped.front(), need, now);
}

awaitable<void> DirectServe::Impl::AskOneRound(Call& call, const RequestNeed& need, PlaceQuery& query)
{
    const std::vector<const ServerEntry*> servers = m_World.m_Servers.Usable(call.m_Service->m_Name);
    std::vector<ServerEntry>              round;
    std::vector<Endpoint>                 boxes;
    for (const ServerEntry* e : m_Choice.WhomToAsk(servers, need, query.m_Asked, Now()))
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
            m_Choice.OnSilent(e.Life(), now);
            continue;
        }
        m_Choice.OnReport({e.m_Id, answer->m_State.m_BornMs}, answer->m_State, now);
        query.m_Answered.push_back(e);
    }
    query.m_Best = BestAnswered(query, need, now);
}

Endpoint DirectServe::Impl::PlaceEndpoint(const ServerEntry& server) const
{
    return Endpoint{server.m_Address.m_Address, m_PlacePort};
}

awaitable<std::optional<ServerEntry>> DirectServe::Impl::FindServer(Call& call, const RequestNeed& need)
{
    PlaceQuery query;
    if (m_PlaceChannel != nullptr && call.m_Service->m_Engine)
    {
        const TimePoint began = Now();
        for (unsigned round = 0; round < kAskRounds; round++)
        {
            const size_t before = query.m_Asked.size();
            co_await AskOneRound(call, need, query);
            if (query.m_Asked.size() == before || (!query.m_Answered.empty() && !m_Choice.Scarce(query.m_Best, need)))
                break;
            if (query.m_Answered.empty() && round > 0)
                break; // nobody answers: this router may be cut off, and more questions only take time
        }
        call.m_BoxesAsked    = query.m_Asked.size();
        call.m_BoxesAnswered = query.m_Answered.size();
        call.m_AskDuration   = Now() - began;
    }
    call.m_ClaimGranted = false;
    call.m_BoxesClaimed = 0;
    const bool scarce   = !query.m_Answered.empty() && m_Choice.PlacesScarce(query.m_Best, need);
    if (query.m_Answered.empty())
        call.m_Choice = m_Choice.Choose(m_World.m_Servers.Usable(call.m_Service->m_Name), need, Now());
    else if (scarce)
        call.m_Choice = co_await ClaimPlace(call, need, query);
    else
        call.m_Choice = m_Choice.Decide(query.m_Best, need, Now());
    std::optional<ServerEntry> taken;
    if (call.m_Choice.m_Server != nullptr)
        taken = *call.m_Choice.m_Server;
    if (taken && !call.m_ClaimGranted && m_PlaceChannel != nullptr && call.m_Service->m_Engine)
        m_PlaceChannel->Take(PlaceEndpoint(*taken), ReadingMs(*call.m_Service->m_Engine, call.m_Caller.m_Prompt));
    call.m_Choice.m_Server = nullptr; // what it points to may not outlive this
    co_return taken;
}

awaitable<std::optional<ServerEntry>> DirectServe::Impl::Admit(Call& call)
{
    const std::vector<WeightsDeadline> deadlines = WeightsDeadlines(call);
    const RequestNeed                  need      = NeedOf(call, deadlines, Now());
    call.m_AdmittedAsRetry                       = need.m_CameBack;
    std::optional<ServerEntry> server            = co_await FindServer(call, need);
    if (!server && call.m_Service->m_Engine && call.m_StalledAttempts.empty()) // one whose server pauses doesn't come back: it is still here
        m_RetryEstimate.OnRefused(Now());
    if (!server)
        call.m_FailureText = call.m_Choice.m_Candidates == 0 ? "no server can take it" : "no server would answer in time";
    co_return server;
}

} // namespace aldervale
