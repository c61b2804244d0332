// Emulating a pool of model servers. See pool_emulator.h.
#include "emulator/pool_emulator.h"
#include "emulator/engine_model.h"
#include "request/engine_prediction.h"
#include "request/followed_boxes.h"
#include "request/place_line.h"
#include "request/server_capacity.h"
#include "request/urgency.h"
#include <algorithm>
#include <functional>
#include <queue>
#include <sstream>

namespace aldervale
{

namespace
{

constexpr auto     kWay               = milliseconds(2);    // of a request or an event between router and server
constexpr auto     kAskWay            = milliseconds(1);    // of a question for a place, and of its answer
constexpr auto     kWayToRouter       = milliseconds(3);    // of a caller
constexpr auto     kSubscribe         = milliseconds(1000); // a router that starts is heard of by boxes within this
constexpr unsigned kAskRounds         = 3;                  // as direct_place.cpp
constexpr auto     kQueuePollInterval = milliseconds(10);   // as place_answers.h
constexpr auto     kBackAtOnce        = milliseconds(50);   // of callers that don't wait as told
const auto         kBegin             = TimePoint{} + seconds(1000);

struct Rate
{
    double m_From = 0; // second
    double m_Rate = 0; // requests a second
};

struct Kind
{
    double   m_Share = 0, m_Prompt = 0, m_Answer = 0, m_GoalMs = 0, m_Worth = 0;
    unsigned m_Priority = 0;
};

struct Caller
{
    size_t      m_Kind = 0;       //
    TimePoint   m_FirstAt{};      // of the first attempt
    TimePoint   m_SentAt{};       //
    bool        m_Back   = false; //
    size_t      m_Router = 0;     //
    std::string m_Server;         //
    Duration    m_Predicted{};    //
    uint32_t    m_InFlight = 0;   // at its server when it was chosen
    Duration    m_ToFirst{};      // from sending
    double      m_Prompt = 0;     // tokens
    double      m_Answer = 0;     //
};

struct Event
{
    TimePoint             m_At;    //
    uint64_t              m_Order; // of those at the same time
    std::function<void()> m_Do;    //
    bool                  operator<(const Event& o) const { return m_At != o.m_At ? m_At > o.m_At : m_Order > o.m_Order; }
};

std::vector<double> Numbers(const std::string& text)
{
    std::istringstream  in(text);
    std::vector<double> out;
    for (double d = 0; in >> d;)
        out.push_back(d);
    return out;
}

class Pool
{
public:
    Pool(const LoadPattern& p, const ServerChoiceConfig& config, PoolView view, uint64_t seed);
    PoolResult Run();

private:
    struct Server
    {
        Server(const EngineCosts& costs) : m_Engine(costs) {}
        EngineModel            m_Engine;             //
        bool                   m_Busy = false;       // a pass is under way
        uint64_t               m_Life = 0;           // grows with each restart: events of an earlier life are void
        std::vector<TimePoint> m_ReportedAt;         // by router
        PlaceReservations      m_Places;             // promised by its box
        PlaceQueue             m_Line;               // of claims at its box
        ServerCapacity         m_Capacity;           // learned by its box
        double                 m_SlowFactor = 1;     //
        bool                   m_Polls      = false; // the line is looked after
    };

    struct Asking // boxes for a place, for one request
    {
        uint64_t            m_Id = 0;   // of the caller
        RequestNeed         m_Need;     //
        std::string         m_Centre;   // of the router; m_Need refers to it
        std::vector<size_t> m_Answered; // servers
        unsigned            m_Round = 0;
    };

    using AskingPtr = std::shared_ptr<Asking>;

    struct Claiming // a place at one of some boxes, for one request
    {
        AskingPtr           m_Asking;          //
        std::vector<Choice> m_Hoped;           // where it was claimed
        size_t              m_Open    = 0;     // of these, that haven't denied it
        bool                m_Settled = false; //
    };

    using ClaimingPtr = std::shared_ptr<Claiming>;

    void                            At(TimePoint t, std::function<void()> fn) { m_Events.push({t, m_Order++, std::move(fn)}); }
    double                          Random01() { return static_cast<double>(m_Random() >> 11) * 0x1p-53; }
    double                          RateAt(TimePoint t) const;
    void                            AddServer();
    void                            ScheduleArrival();
    void                            Arrive();
    void                            Attempt(uint64_t id);
    std::vector<const ServerEntry*> Candidates() const;
    RequestNeed                     NeedOf(const Caller& c) const;
    void                            Ask(const AskingPtr& a);
    void                            OnAnswers(const AskingPtr& a, std::span<const size_t> asked);
    void                            Claim(const AskingPtr& a, const Choice& best);
    size_t                          IndexOf(const Choice& x) const { return static_cast<size_t>(x.m_Server - m_Entries.data()); }
    void                            ClaimAt(const ClaimingPtr& c, size_t server, Duration wait);
    void                            SettleLine(size_t server);
    void                            Tell(size_t server, std::span<const SettledClaim> settled);
    void                            OnGrant(const ClaimingPtr& c, size_t server, bool granted);
    void                            ReleaseAt(size_t server, uint64_t id);
    PlaceReservations&              PlacesNow(size_t server); // as its box counts them after a look at its server
    void                            Send(uint64_t id, const Choice& x);
    double                          Drawn(double mean);
    void                            Refuse(uint64_t id, Duration retry);
    void                            Submit(uint64_t id, size_t server, uint64_t life);
    void                            Pass(size_t server);
    void                            TellOutcome(size_t server, const Caller& c);
    void                            OnPassEnd(size_t server, uint64_t life, const std::vector<EngineEvent>& events);
    void                            OnFirst(uint64_t id);
    void                            Poll(size_t server);
    void                            Report(size_t server, size_t router);
    void                            LoseAll();
    bool                            NoneServes() const;
    LoadReport                      StateOf(size_t server) const;
    PoolSecond&                     SecondOf(const Caller& c);

    const LoadPattern&                           m_Pattern;     //
    size_t                                       m_Centres;     // data centres
    ServerChoiceConfig                           m_Config;      //
    PoolView                                     m_View;        //
    pcg64                                        m_Random;      //
    Service                                      m_Service;     //
    std::vector<Rate>                            m_Rates;       //
    std::vector<Kind>                            m_Kinds;       //
    Duration                                     m_Strictest{}; // goal
    std::vector<ServerChoice>                    m_Routers;     //
    std::vector<Urgency>                         m_Urgency;     // by router
    std::vector<TimePoint>                       m_HeardFrom;   // by router: boxes know of it from then
    std::vector<Server>                          m_Servers;     //
    std::vector<ServerEntry>                     m_Entries;     // of the servers
    std::vector<std::vector<bool>>               m_Follows;     // by router, then server: its reports
    std::unordered_map<uint64_t, Caller>         m_Callers;     // under way
    std::unordered_map<std::string, ClaimingPtr> m_InLine;      // by the claim's key: server and caller
    std::priority_queue<Event>                   m_Events;      //
    uint64_t                                     m_Order  = 0;  //
    uint64_t                                     m_NextId = 1;  //
    TimePoint                                    m_Now    = kBegin;
    TimePoint                                    m_End;
    TimePoint                                    m_AwayUntil{}; // all processes are dead
    PoolResult                                   m_Result;
    std::vector<double>                          m_KindOwed;
};

EngineCosts Costs(const LoadPattern& p, std::span<const Kind> kinds)
{
    EngineCosts e;
    e.m_Model             = "m";
    e.m_Slots             = static_cast<unsigned>(p.m_Slots);
    e.m_StepMs            = p.m_StepMs;
    e.m_PerRequestMs      = 0.0219;
    e.m_PerKContextMs     = 0.0068;
    e.m_ReadPerMs         = p.m_ReadPerMs;
    e.m_MsPerMillionPairs = 0.647;
    e.m_StepsPerPass      = static_cast<unsigned>(p.m_StepsPerPass);
    e.m_MeanPromptTokens  = 0;
    e.m_MeanAnswerTokens  = 0;
    for (const Kind& k : kinds)
    {
        e.m_MeanPromptTokens += k.m_Share * k.m_Prompt;
        e.m_MeanAnswerTokens += k.m_Share * k.m_Answer;
    }
    return e;
}

Pool::Pool(const LoadPattern& p, const ServerChoiceConfig& config, PoolView view, uint64_t seed)
    : m_Pattern(p), m_Centres(static_cast<size_t>(p.m_DataCentres)), m_Config(config), m_View(view), m_Random(seed),
      m_End(kBegin + FromSeconds(p.m_Seconds))
{
    for (const std::string& text : p.m_Rates)
    {
        const std::vector<double> n = Numbers(text);
        if (n.size() == 2)
            m_Rates.push_back({n[0], n[1]});
    }
    for (const std::string& text : p.m_Kinds)
    {
        const std::vector<double> n = Numbers(text);
        if (n.size() >= 5)
            m_Kinds.push_back({n[0], n[1], n[2], n[3], n[4], n.size() > 5 ? static_cast<unsigned>(n[5]) : 0});
    }
    m_Strictest = seconds(3600);
    for (const Kind& k : m_Kinds)
        m_Strictest = std::min(m_Strictest, FromSeconds(k.m_GoalMs / 1000));
    m_Service.m_Name     = "model";
    m_Service.m_Engine   = Costs(p, m_Kinds);
    const size_t routers = view == PoolView_Bound ? 1 : static_cast<size_t>(p.m_Routers);
    for (size_t r = 0; r < routers; r++)
        m_Routers.emplace_back(m_Config, m_Random());
    m_Urgency.resize(routers);
    m_HeardFrom.assign(routers, kBegin);
    m_Follows.resize(routers);
    m_Entries.reserve(static_cast<size_t>(p.m_Servers + p.m_GrowBy)); // claims under way point to them
    for (int64_t s = 0; s < p.m_Servers; s++)
        AddServer();
    m_Result.m_Seconds.resize(static_cast<size_t>(p.m_Seconds) + 1);
    m_Result.m_KindEarned.resize(m_Kinds.size());
    m_KindOwed.resize(m_Kinds.size());
}

void Pool::AddServer()
{
    const size_t s = m_Servers.size();
    m_Servers.emplace_back(*m_Service.m_Engine);
    m_Servers.back().m_ReportedAt.resize(m_Routers.size());
    const double before = std::floor(static_cast<double>(s) * m_Pattern.m_SlowShare); // slow servers are spread evenly
    if (std::floor(static_cast<double>(s + 1) * m_Pattern.m_SlowShare) > before)
        m_Servers.back().m_SlowFactor = m_Pattern.m_SlowFactor;
    ServerEntry e;
    e.m_Id         = "s" + std::to_string(s);
    e.m_Service    = m_Service.m_Name;
    e.m_DataCentre = "dc-" + std::to_string(s % m_Centres);
    e.m_Slots      = m_Service.m_Engine->m_Slots;
    e.m_Weights    = 1;
    m_Entries.push_back(e);
    for (size_t r = 0; r < m_Routers.size(); r++)
        m_Follows[r].push_back(m_Pattern.m_Follow == 0 || s % m_Centres == r % m_Centres || Random01() < m_Pattern.m_Follow);
    At(m_Now + FromSeconds(Random01() * m_Pattern.m_PollMs / 1000), [this, s] { Poll(s); });
}

double Pool::RateAt(TimePoint t) const
{
    double rate = 0;
    for (const Rate& r : m_Rates)
        if (ToSeconds(t - kBegin) >= r.m_From)
            rate = r.m_Rate;
    return rate;
}

bool Pool::NoneServes() const
{
    const double at = ToSeconds(m_Now - kBegin);
    return m_Pattern.m_NoneFromS >= 0 && at >= m_Pattern.m_NoneFromS && at < m_Pattern.m_NoneFromS + m_Pattern.m_NoneS;
}

PoolSecond& Pool::SecondOf(const Caller& c)
{
    return m_Result.m_Seconds[static_cast<size_t>(ToSeconds(c.m_FirstAt - kBegin))];
}

LoadReport Pool::StateOf(size_t server) const
{
    LoadReport r;
    r.m_Running = m_Servers[server].m_Engine.Running();
    r.m_Waiting = m_Servers[server].m_Engine.Waiting();
    r.m_Weights = 1;
    r.m_Routers = static_cast<uint32_t>(m_Routers.size());
    if (m_Pattern.m_Learn)
        r.m_Capacity = m_Servers[server].m_Capacity.Capacity(m_Now);
    return r;
}

//-----------------------------------------------------------------------------
// Callers
//-----------------------------------------------------------------------------

// About lognormal: its mean is `mean`, few are over three times that.
double Pool::Drawn(double mean)
{
    if (m_Pattern.m_Spread <= 0)
        return mean;
    double normal = -6; // of twelve evenly drawn parts
    for (int i = 0; i < 12; i++)
        normal += Random01();
    const double sigma = std::sqrt(std::log(1 + m_Pattern.m_Spread * m_Pattern.m_Spread));
    return std::max(1.0, std::min(3.0, std::exp(sigma * normal - sigma * sigma / 2)) * mean);
}

void Pool::ScheduleArrival()
{
    const double rate = std::max(0.1, RateAt(m_Now));
    const double wait = -std::log(1 - Random01()) / rate;
    At(m_Now + FromSeconds(wait), [this] { Arrive(); });
}

void Pool::Arrive()
{
    ScheduleArrival();
    Caller c;
    double pick = Random01();
    while (c.m_Kind + 1 < m_Kinds.size() && pick >= m_Kinds[c.m_Kind].m_Share)
        pick -= m_Kinds[c.m_Kind++].m_Share;
    c.m_FirstAt        = m_Now;
    c.m_Prompt         = Drawn(m_Kinds[c.m_Kind].m_Prompt);
    c.m_Answer         = Drawn(m_Kinds[c.m_Kind].m_Answer);
    const double worth = m_Kinds[c.m_Kind].m_Worth;
    SecondOf(c).m_Asked++;
    SecondOf(c).m_Owed += worth;
    m_KindOwed[c.m_Kind] += worth;
    const uint64_t id = m_NextId++;
    m_Callers[id]     = c;
    At(m_Now + kWayToRouter, [this, id] { Attempt(id); });
}

void Pool::Attempt(uint64_t id)
{
    if (m_Now < m_AwayUntil)
        return Refuse(id, kBackAtOnce); // no connection
    Caller& c              = m_Callers.at(id);
    c.m_Router             = static_cast<size_t>(Random01() * static_cast<double>(m_Routers.size()));
    auto a                 = std::make_shared<Asking>();
    a->m_Id                = id;
    a->m_Centre            = "dc-" + std::to_string(c.m_Router % m_Centres);
    a->m_Need              = NeedOf(c);
    a->m_Need.m_DataCentre = a->m_Centre;
    if ((m_View == PoolView_Asked || m_View == PoolView_Claimed) && !NoneServes())
        return Ask(a);
    ServerChoice& router = m_Routers[c.m_Router];
    if (m_View == PoolView_Bound)
        for (size_t s = 0; s < m_Servers.size(); s++)
            router.OnReport(m_Entries[s].m_Id, StateOf(s), m_Now);
    Send(id, router.Choose(Candidates(), a->m_Need, m_Now));
}

std::vector<const ServerEntry*> Pool::Candidates() const
{
    std::vector<const ServerEntry*> out;
    for (const ServerEntry& e : m_Entries)
        if (!NoneServes())
            out.push_back(&e);
    return out;
}

RequestNeed Pool::NeedOf(const Caller& c) const
{
    RequestNeed need;
    need.m_Service            = &m_Service;
    need.m_Objective          = FromSeconds(m_Kinds[c.m_Kind].m_GoalMs / 1000);
    need.m_StrictestObjective = m_Strictest;
    need.m_TimeToDeadline     = FromSeconds(m_Pattern.m_LimitS) - (m_Now - c.m_FirstAt);
    need.m_PromptTokens       = c.m_Prompt;
    need.m_AnswerTokens       = c.m_Answer;
    need.m_IsRetry            = c.m_Back && m_Pattern.m_KnowsBack > 0;
    need.m_KnownRetry         = c.m_Back && m_Pattern.m_KnowsBack > 1;
    need.m_LearnedCapacity    = m_Pattern.m_Learn;
    need.m_Rank               = m_Urgency[c.m_Router].RankOf(m_Kinds[c.m_Kind].m_Priority, {}, m_Now);
    return need;
}

void Pool::Send(uint64_t id, const Choice& x)
{
    const Caller& caller = m_Callers.at(id);
    if (!caller.m_Back)
        m_Urgency[caller.m_Router].OnDecided(m_Kinds[caller.m_Kind].m_Priority, {}, x.m_Server != nullptr, m_Now);
    if (x.m_Server == nullptr)
        return Refuse(id, x.m_RetryAfter);
    Caller&      c      = m_Callers.at(id);
    const size_t server = static_cast<size_t>(x.m_Server - m_Entries.data());
    c.m_Server          = x.m_Server->m_Id;
    c.m_Predicted       = x.m_Predicted;
    c.m_InFlight        = x.m_InFlight;
    c.m_SentAt          = m_Now;
    m_Routers[c.m_Router].OnSent(c.m_Server, c.m_Prompt, m_Now);
    At(m_Now + kWay, [this, id, server, life = m_Servers[server].m_Life] { Submit(id, server, life); });
}

// All boxes answer: the pattern has none that are silent.
void Pool::Ask(const AskingPtr& a)
{
    const Caller&           c = m_Callers.at(a->m_Id);
    std::vector<ServerLife> known;
    for (const size_t s : a->m_Answered)
        known.emplace_back(m_Entries[s].m_Id);
    std::vector<size_t> asked;
    for (const ServerEntry* e : m_Routers[c.m_Router].ServersToAsk(Candidates(), a->m_Need, known, m_Now))
        asked.push_back(static_cast<size_t>(e - m_Entries.data()));
    const size_t router = c.m_Router;
    for (const size_t s : asked)
        At(m_Now + kAskWay,
           [this, s, router]
           {
               LoadReport       state = StateOf(s);
               const PlaceState place = PlacesNow(s).State(m_Now);
               state.m_Promised       = place.m_Promised;
               state.m_UnreadMs       = static_cast<float>(place.m_UnreadMs);
               At(m_Now + kAskWay, [this, s, state, router] { m_Routers[router].OnReport(m_Entries[s].m_Id, state, m_Now); });
           });
    At(m_Now + 2 * kAskWay + microseconds(1), [this, a, asked] { OnAnswers(a, asked); });
}

void Pool::OnAnswers(const AskingPtr& a, std::span<const size_t> asked)
{
    a->m_Answered.insert(a->m_Answered.end(), asked.begin(), asked.end());
    std::vector<const ServerEntry*> answered;
    for (const size_t s : a->m_Answered)
        answered.push_back(&m_Entries[s]);
    ServerChoice& router    = m_Routers[m_Callers.at(a->m_Id).m_Router];
    RequestNeed   need      = a->m_Need;
    need.m_FreshAnswersOnly = true;
    const Choice best       = router.Best(answered, need, m_Now);
    if (!asked.empty() && ++a->m_Round < kAskRounds && router.ShouldAskMore(best, need))
        return Ask(a);
    if (m_View == PoolView_Claimed && router.NeedsClaim(best, need))
        return Claim(a, best);
    const Choice x = router.Decide(best, need, m_Now);
    if (x.m_Server != nullptr)
    {
        const size_t s       = static_cast<size_t>(x.m_Server - m_Entries.data());
        const double reading = ReadingMs(*m_Service.m_Engine, a->m_Need.m_PromptTokens);
        At(m_Now + kAskWay, [this, s, reading] { m_Servers[s].m_Places.Take(reading, m_Now); });
    }
    Send(a->m_Id, x);
}

PlaceReservations& Pool::PlacesNow(size_t server)
{
    Server& s = m_Servers[server];
    s.m_Places.OnReport(s.m_Engine.Running(), s.m_Engine.Waiting(), m_Now, m_Now);
    if (m_Pattern.m_Learn)
        s.m_Line.SetCapacity(s.m_Capacity.Capacity(m_Now));
    return s.m_Places;
}

static std::string ClaimKey(size_t server, uint64_t id)
{
    return std::to_string(server) + "/" + std::to_string(id);
}

void Pool::Claim(const AskingPtr& a, const Choice& best)
{
    std::vector<const ServerEntry*> answered;
    for (const size_t s : a->m_Answered)
        answered.push_back(&m_Entries[s]);
    ServerChoice& router = m_Routers[m_Callers.at(a->m_Id).m_Router];
    auto          c      = std::make_shared<Claiming>();
    c->m_Asking          = a;
    c->m_Hoped           = router.ServersToClaim(answered, a->m_Need, m_Now);
    c->m_Open            = c->m_Hoped.size();
    if (c->m_Open == 0)
        return Send(a->m_Id, router.Refuse(best, a->m_Need, m_Now));
    const Duration wait = router.ClaimQueueWait(c->m_Hoped.front(), a->m_Need);
    for (const Choice& hoped : c->m_Hoped)
        At(m_Now + kAskWay, [this, c, wait, s = IndexOf(hoped)] { ClaimAt(c, s, wait); });
}

void Pool::ClaimAt(const ClaimingPtr& c, size_t server, Duration wait)
{
    const std::string  key     = ClaimKey(server, c->m_Asking->m_Id);
    const double       reading = ReadingMs(*m_Service.m_Engine, c->m_Asking->m_Need.m_PromptTokens);
    Server&            s       = m_Servers[server];
    const RequestNeed& need    = c->m_Asking->m_Need;
    const PlaceClaim   claim   = {key, m_Service.m_Engine->m_Slots, m_Now + wait, reading, 0, need.m_KnownRetry ? kLastClaimRank : need.m_Rank};
    s.m_Capacity.OnSlots(claim.m_MaxRequests);
    const ClaimAnswer answer = s.m_Line.Claim(claim, PlacesNow(server), m_Now);
    Tell(server, s.m_Line.TakeDisplaced());
    if (answer != ClaimAnswer_Queued)
        return At(m_Now + kAskWay, [this, c, server, answer] { OnGrant(c, server, answer == ClaimAnswer_Granted); });
    m_InLine[key] = c;
    if (!s.m_Polls)
        At(m_Now + kQueuePollInterval, [this, server] { SettleLine(server); });
    s.m_Polls = true;
}

void Pool::Tell(size_t server, std::span<const SettledClaim> settled)
{
    for (const SettledClaim& s : settled)
    {
        const ClaimingPtr c = m_InLine.at(s.m_Claim.m_Key);
        m_InLine.erase(s.m_Claim.m_Key);
        At(m_Now + kAskWay, [this, c, server, granted = s.m_Granted] { OnGrant(c, server, granted); });
    }
}

void Pool::SettleLine(size_t server)
{
    Server& s = m_Servers[server];
    Tell(server, s.m_Line.Settle(PlacesNow(server), m_Now));
    s.m_Polls = !s.m_Line.Empty();
    if (s.m_Polls)
        At(m_Now + kQueuePollInterval, [this, server] { SettleLine(server); });
}

void Pool::ReleaseAt(size_t server, uint64_t id)
{
    At(m_Now + kAskWay,
       [this, server, id]
       {
           m_InLine.erase(ClaimKey(server, id));
           m_Servers[server].m_Line.Release(ClaimKey(server, id), m_Servers[server].m_Places, m_Now);
       });
}

void Pool::OnGrant(const ClaimingPtr& c, size_t server, bool granted)
{
    if (c->m_Settled)
    {
        if (granted)
            ReleaseAt(server, c->m_Asking->m_Id);
        return;
    }
    c->m_Open -= granted ? 0 : 1;
    if (!granted && c->m_Open > 0)
        return;
    c->m_Settled          = true;
    const uint64_t id     = c->m_Asking->m_Id;
    ServerChoice&  router = m_Routers[m_Callers.at(id).m_Router];
    if (!granted)
        return Send(id, router.Refuse(c->m_Hoped.front(), c->m_Asking->m_Need, m_Now));
    for (const Choice& hoped : c->m_Hoped)
        if (IndexOf(hoped) != server)
            ReleaseAt(IndexOf(hoped), id);
    for (const Choice& hoped : c->m_Hoped)
        if (IndexOf(hoped) == server)
        {
            Choice choice     = router.OnClaimGranted(hoped, c->m_Asking->m_Need, m_Now);
            choice.m_InFlight = std::min(choice.m_InFlight, std::max(1u, choice.m_Places) - 1); // the claim may have waited for its place
            return Send(id, choice);
        }
}

void Pool::Refuse(uint64_t id, Duration retry)
{
    Caller& c = m_Callers.at(id);
    if (c.m_Back)
    {
        SecondOf(c).m_Refused++;
        m_Callers.erase(id);
        return;
    }
    c.m_Back = true;
    SecondOf(c).m_Back++;
    const Duration left = FromSeconds(m_Pattern.m_LimitS) - (m_Now - c.m_FirstAt);
    const Duration wait = Random01() < m_Pattern.m_Honours ? std::min(retry, left / 3) : Duration(kBackAtOnce);
    At(m_Now + wait + 2 * kWayToRouter, [this, id] { Attempt(id); });
}

//-----------------------------------------------------------------------------
// Servers
//-----------------------------------------------------------------------------

void Pool::Submit(uint64_t id, size_t server, uint64_t life)
{
    Server& s = m_Servers[server];
    if (s.m_Life != life)
        return;
    const Caller& c = m_Callers.at(id);
    s.m_Engine.Submit({id, c.m_Prompt, c.m_Answer});
    if (!s.m_Busy)
        Pass(server);
}

void Pool::Pass(size_t server)
{
    Server&                  s = m_Servers[server];
    std::vector<EngineEvent> events;
    const bool               slow = s.m_Engine.Running() + s.m_Engine.Waiting() > m_Pattern.m_SlowAbove;
    const Duration           took = std::chrono::duration_cast<Duration>(s.m_Engine.RunPass(events) * (slow ? s.m_SlowFactor : 1));
    s.m_Busy                      = took > Duration::zero();
    if (s.m_Busy)
        At(m_Now + took, [this, server, life = s.m_Life, events] { OnPassEnd(server, life, events); });
}

void Pool::OnPassEnd(size_t server, uint64_t life, const std::vector<EngineEvent>& events)
{
    if (m_Servers[server].m_Life != life)
        return;
    for (const EngineEvent& e : events)
    {
        const auto it = m_Callers.find(e.m_Id);
        if (it == m_Callers.end())
            continue;
        const Caller& c      = it->second;
        ServerChoice& router = m_Routers[c.m_Router];
        if (e.m_Kind == EngineEventKind_First)
        {
            router.OnFirstEvent(c.m_Server, c.m_Prompt);
            OnFirst(e.m_Id);
            continue;
        }
        router.OnEnd(c.m_Server, ServerOutcome_Good, 0, m_Now - c.m_SentAt, m_Now);
        if (m_Pattern.m_Learn)
            TellOutcome(server, c);
        m_Callers.erase(it);
    }
    Pass(server);
}

void Pool::TellOutcome(size_t server, const Caller& c)
{
    CapacitySample sample;
    sample.m_Router         = c.m_Router;
    sample.m_InFlight       = c.m_InFlight;
    sample.m_TimeToFirst    = c.m_ToFirst;
    sample.m_PredictedFirst = c.m_Predicted;
    const double events     = c.m_Answer / static_cast<double>(m_Pattern.m_StepsPerPass);
    if (events > 2)
        sample.m_EventInterval = FromSeconds(ToSeconds(m_Now + kWay - c.m_SentAt - c.m_ToFirst) / (events - 1));
    sample.m_Late = CountsAsLate(c.m_ToFirst, c.m_Predicted, FromSeconds(m_Kinds[c.m_Kind].m_GoalMs / 1000), {}, seconds(1));
    At(m_Now + kWay, [this, server, sample] { m_Servers[server].m_Capacity.OnOutcome(sample, m_Now); });
}

void Pool::OnFirst(uint64_t id)
{
    Caller&        c       = m_Callers.at(id);
    const Kind&    k       = m_Kinds[c.m_Kind];
    const Duration took    = m_Now + kWay + kWayToRouter - c.m_FirstAt;
    const bool     in_time = took <= FromSeconds(k.m_GoalMs / 1000);
    const double   earned  = k.m_Worth * (in_time ? 1 : kLateCredit);
    PoolSecond&    s       = SecondOf(c);
    c.m_ToFirst            = m_Now + kWay - c.m_SentAt;
    s.m_InTime += in_time ? 1 : 0;
    s.m_Late += in_time ? 0 : 1;
    s.m_Earned += earned;
    s.m_ErrorMs += 1000 * std::abs(ToSeconds(m_Now + kWay - c.m_SentAt) - ToSeconds(c.m_Predicted));
    m_Result.m_KindEarned[c.m_Kind] += earned;
}

void Pool::Poll(size_t server)
{
    if (m_View == PoolView_Bound)
        return;
    At(m_Now + FromSeconds(m_Pattern.m_PollMs / 1000), [this, server] { Poll(server); });
    if (m_Now < m_AwayUntil)
        return;
    for (size_t r = 0; r < m_Routers.size(); r++)
        Report(server, r);
}

void Pool::Report(size_t server, size_t router)
{
    const bool     near  = server % m_Centres == router % m_Centres;
    const Duration every = FromSeconds((near ? m_Pattern.m_ReportNearMs : m_Pattern.m_ReportFarMs) / 1000);
    TimePoint&     last  = m_Servers[server].m_ReportedAt[router];
    if (!m_Follows[router][server] || m_Now < m_HeardFrom[router] || m_Now - last < every)
        return;
    last                   = m_Now;
    const LoadReport state = StateOf(server);
    const auto       hear  = [this, server, router, state] { m_Routers[router].OnReport(m_Entries[server].m_Id, state, m_Now); };
    At(m_Now + kWay, hear);
}

void Pool::LoseAll()
{
    m_AwayUntil = m_Now + FromSeconds(m_Pattern.m_LostS);
    for (size_t r = 0; r < m_Routers.size(); r++)
    {
        m_Routers[r]   = ServerChoice(m_Config, m_Random());
        m_HeardFrom[r] = m_AwayUntil + FromSeconds(Random01() * ToSeconds(kSubscribe));
    }
    for (Server& s : m_Servers)
    {
        s.m_Engine.Clear();
        s.m_Places.Clear();
        s.m_Capacity.Clear();
        s.m_Busy = false;
        s.m_Life++;
    }
}

PoolResult Pool::Run()
{
    ScheduleArrival();
    if (m_Pattern.m_LoseAtS >= 0)
        At(kBegin + FromSeconds(m_Pattern.m_LoseAtS), [this] { LoseAll(); });
    const auto grow = [this]
    {
        for (int64_t i = 0; i < m_Pattern.m_GrowBy; i++)
            AddServer();
    };
    if (m_Pattern.m_GrowAtS >= 0)
        At(kBegin + FromSeconds(m_Pattern.m_GrowAtS), grow);
    while (!m_Events.empty() && m_Events.top().m_At < m_End)
    {
        const Event e = m_Events.top();
        m_Events.pop();
        m_Now = e.m_At;
        e.m_Do();
    }
    for (size_t k = 0; k < m_Kinds.size(); k++)
        m_Result.m_KindEarned[k] /= std::max(m_KindOwed[k], 1.0);
    for (const Server& s : m_Servers)
        m_Result.m_Capacities.push_back(s.m_Capacity.Capacity(m_Now));
    return m_Result;
}

} // namespace

PoolSecond PoolResult::Total() const
{
    PoolSecond sum;
    for (const PoolSecond& s : m_Seconds)
    {
        sum.m_Asked += s.m_Asked;
        sum.m_InTime += s.m_InTime;
        sum.m_Late += s.m_Late;
        sum.m_Refused += s.m_Refused;
        sum.m_Back += s.m_Back;
        sum.m_Owed += s.m_Owed;
        sum.m_Earned += s.m_Earned;
        sum.m_ErrorMs += s.m_ErrorMs;
    }
    return sum;
}

double PoolResult::Credit() const
{
    const PoolSecond t = Total();
    return t.m_Earned / std::max(t.m_Owed, 1.0);
}

PoolResult EmulatePool(const LoadPattern& pattern, const ServerChoiceConfig& config, PoolView view, uint64_t seed)
{
    return Pool(pattern, config, view, seed).Run();
}

} // namespace aldervale
