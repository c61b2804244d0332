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

constexpr auto kEventWay = milliseconds(100); // from a server's first event to the caller: what a caller bears is less by this

// How long the caller of a request that has lost its server still waits. A request whose server only pauses is not lost: it is taken elsewhere where
// there is room to spare, or a full pool would do its work twice.
Duration Bears(const Call& call, TimePoint now)
{
    if (call.m_Tried.empty() || !call.m_Paused.empty())
        return {};
    if (!call.IsStream())
        return call.Left(now);
    const TimePoint heard = call.m_Events > 0 ? call.m_EventAt : call.m_StartedAt;
    const Duration  left  = LongestPause(call.m_Route->m_Goal, call.m_Route->m_MaxGap) - (now - heard) - kEventWay;
    return std::max<Duration>(left, milliseconds(1));
}

} // namespace

struct DirectServe::Impl::Asking // for one admission
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
    need.m_StrictestGoal    = call.m_Routes->StrictestObjective(call.m_Service->m_Name);
    need.m_Left             = call.Left(now);
    need.m_Prompt           = call.m_Caller.m_Prompt;
    need.m_Answer           = call.m_Caller.m_Answer;
    need.m_CameBack         = call.m_Returned || !call.m_Tried.empty() || call.m_HeadSent;
    need.m_WeightsDeadlines = deadlines;
    need.m_Bears            = Bears(call, now);
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

std::vector<const ServerEntry*> DirectServe::Impl::UsableOf(const Asking& a)
{
    const TimePoint                 now = Now();
    std::vector<const ServerEntry*> usable;
    for (const ServerEntry& e : a.m_Answered)
        if (IsUsable(e.Life(), now))
            usable.push_back(&e);
    return usable;
}

Choice DirectServe::Impl::BestAnswered(const Asking& a, RequestNeed need, TimePoint now)
{
    need.m_Asked = true;
    return m_Choice.Best(UsableOf(a), need, now);
}

// A place at one of the boxes that answered, or a refusal.
awaitable<Choice> DirectServe::Impl::Claim(Call& call, const RequestNeed& need, const Asking& a)
{
    const TimePoint           began = Now();
    const std::vector<Choice> hoped = m_Choice.WhomToClaim(UsableOf(a), need, began);
    if (hoped.empty())
        co_return m_Choice.Refuse(a.m_Best, need, began);
    std::vector<Endpoint> boxes;
    boxes.reserve(hoped.size());
    for (const Choice& c : hoped)
        boxes.push_back(BoxOf(*c.m_Server));
    const EngineCosts& costs   = *need.m_Service->m_Engine;
    const PlaceWanted  wanted  = {costs.m_Slots, m_Choice.LineWait(hoped.front(), need), ReadingMs(costs, need.m_Prompt)};
    const ClaimOutcome outcome = co_await m_Places->Claim(boxes, wanted);
    const TimePoint    now     = Now();
    call.m_Claimed             = boxes.size();
    call.m_ClaimTook           = now - began;
    if (!outcome.m_Heard) // agents that know no claims, or datagrams that were lost: what was answered before decides
        co_return m_Choice.Decide(a.m_Best, need, now);
    const std::vector<const ServerEntry*> usable = UsableOf(a); // a server may have left meanwhile
    for (const Choice& c : hoped)
        if (outcome.m_Granted && c.m_Server->m_Address.m_Address == *outcome.m_Granted && std::count(usable.begin(), usable.end(), c.m_Server) > 0)
        {
            call.m_Granted = true;
            co_return m_Choice.Granted(c, need, now);
        }
    co_return m_Choice.Refuse(hoped.front(), need, now);
}

awaitable<void> DirectServe::Impl::AskRound(Call& call, const RequestNeed& need, Asking& a)
{
    const std::vector<const ServerEntry*> servers = m_World.m_Servers.Usable(call.m_Service->m_Name);
    std::vector<ServerEntry>              round;
    std::vector<Endpoint>                 boxes;
    for (const ServerEntry* e : m_Choice.WhomToAsk(servers, need, a.m_Asked, Now()))
    {
        round.push_back(*e);
        boxes.push_back(BoxOf(*e));
        a.m_Asked.push_back(e->Life());
    }
    if (round.empty())
        co_return;
    const std::vector<PlaceAnswer> answers = co_await m_Places->Ask(boxes);
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
        a.m_Answered.push_back(e);
    }
    a.m_Best = BestAnswered(a, need, now);
}

Endpoint DirectServe::Impl::BoxOf(const ServerEntry& server) const
{
    return Endpoint{server.m_Address.m_Address, m_BoxPort};
}

awaitable<std::optional<ServerEntry>> DirectServe::Impl::Place(Call& call, const RequestNeed& need)
{
    Asking a;
    if (m_Places != nullptr && call.m_Service->m_Engine)
    {
        const TimePoint began = Now();
        for (unsigned round = 0; round < kAskRounds; round++)
        {
            const size_t before = a.m_Asked.size();
            co_await AskRound(call, need, a);
            if (a.m_Asked.size() == before || (!a.m_Answered.empty() && !m_Choice.Scarce(a.m_Best, need)))
                break;
            if (a.m_Answered.empty() && round > 0)
                break; // nobody answers: this router may be cut off, and more questions only take time
        }
        call.m_Asked    = a.m_Asked.size();
        call.m_Answered = a.m_Answered.size();
        call.m_AskTook  = Now() - began;
    }
    call.m_Granted    = false;
    call.m_Claimed    = 0;
    const bool scarce = !a.m_Answered.empty() && m_Choice.PlacesScarce(a.m_Best, need);
    if (a.m_Answered.empty())
        call.m_Choice = m_Choice.Choose(m_World.m_Servers.Usable(call.m_Service->m_Name), need, Now());
    else if (scarce)
        call.m_Choice = co_await Claim(call, need, a);
    else
        call.m_Choice = m_Choice.Decide(a.m_Best, need, Now());
    std::optional<ServerEntry> taken;
    if (call.m_Choice.m_Server != nullptr)
        taken = *call.m_Choice.m_Server;
    if (taken && !call.m_Granted && m_Places != nullptr && call.m_Service->m_Engine)
        m_Places->Take(BoxOf(*taken), ReadingMs(*call.m_Service->m_Engine, call.m_Caller.m_Prompt));
    call.m_Choice.m_Server = nullptr; // what it points to may not outlive this
    co_return taken;
}

awaitable<std::optional<ServerEntry>> DirectServe::Impl::Admit(Call& call)
{
    const std::vector<WeightsDeadline> deadlines = WeightsDeadlines(call);
    const RequestNeed                  need      = NeedOf(call, deadlines, Now());
    call.m_CameBack                              = need.m_CameBack;
    std::optional<ServerEntry> server            = co_await Place(call, need);
    if (!server && call.m_Service->m_Engine && call.m_Paused.empty()) // one whose server pauses doesn't come back: it is still here
        m_Returns.OnRefused(Now());
    if (!server)
        call.m_Why = call.m_Choice.m_Candidates == 0 ? "no server can take it" : "no server would answer in time";
    co_return server;
}

} // namespace aldervale
