// aldervale: load reports from model servers' boxes to routers, by datagrams
//
// A router asks each box that it follows (followed_boxes.h) for its reports; the box sends them to whoever asked lately, more often to routers of
// its own data centre than to others, whose bytes are dearer. A lost datagram costs one interval; nothing waits for an answer. Each datagram is
// one wire::Frame without its length prefix. Questions for a place (place_channel.h) take the same way.
//
// A router also asks a few agents for the other routers that they know (router_list.h), and is told by those of their declarations. While no agent
// lists routers to it, it asks meeting points.
//
// A report tells when it was sent, and the router's next request tells that back with the time that lay between: however long the request then takes,
// the box knows a time before which it wasn't sent. So an age in it is turned into a time that isn't late by the request's time on the way.
//
// With its request a router tells what it knows of each model: the newest version named, at once when one is, and the origin of weights. Routers
// follow the store closely, and the boxes needn't. After a loss of all power 74 processes behind one link read the declarations (400 KB) at once,
// and most boxes knew what to fetch only 10 to 24 s later.
//
// Usage, router:
//   LoadListener l(ioc, self, [](const asio::ip::address& box, const LoadReport& r) { ... });
//   l.Listen(endpoint); l.SetBoxes(endpoints);
// Usage, agent:
//   LoadPublisher p(ioc, "dc-1"); p.Listen(endpoint); p.Publish(report);
//
// Index of this file:
// [SECTION] LoadListener
// [SECTION] LoadPublisher

#pragma once
#include "common/load_report.h"
#include "connection/paced_sender.h"
#include "connection/router_list.h"
#include <map>

namespace aldervale
{

constexpr auto   kSubscribeEvery   = milliseconds(1000); // of a router to each box of its data centre, and
constexpr auto   kSubscribeFar     = milliseconds(3000); // to each other one that it follows
constexpr auto   kSubscribeKeep    = milliseconds(3500); // a box forgets a router of its data centre that didn't ask for this long, and
constexpr auto   kSubscribeKeepFar = milliseconds(9500); // another one
constexpr auto   kNearEvery        = milliseconds(250);  // least pause between reports to a router of the own data centre: they only say whom to ask
constexpr auto   kFarEvery         = milliseconds(700);  // to others
constexpr auto   kUnchangedEvery   = milliseconds(500);  // a report that says nothing new is still sent this often: it shows that the box lives
constexpr auto   kListEvery        = milliseconds(2000); // of a router to some boxes, for the other routers that they know
constexpr auto   kListEarly        = milliseconds(100);  // between questions for other routers until an answer comes, and
constexpr auto   kListsFirst       = milliseconds(2000); // after the start: routers that start together don't know each other at first
constexpr auto   kListStale        = milliseconds(6000); // since an agent listed routers, until meeting points are asked again
constexpr size_t kListAsked        = 3;                  // boxes asked for other routers each time, others the next time: some may be silent
constexpr size_t kDatagramMax      = 1200;               // bytes

struct DeclaredBound
{
    uint64_t  m_Version = 0; // of the weights
    TimePoint m_NotBefore{}; // not after the time at which it was declared
    bool      operator==(const DeclaredBound&) const = default;
};

struct ModelNaming // what a router knows of a service's model
{
    std::string                m_Service;                                //
    std::string                m_Model;                                  //
    uint64_t                   m_Version = 0;                            // newest one named; 0: none is known
    TimePoint                  m_At{};                                   // when it was named; default: not known
    std::vector<DeclaredBound> m_Bounds;                                 // of the newest versions, as far as known
    std::optional<Endpoint>    m_Origin;                                 // where its weights come from first; none: not known
    double                     m_OriginMbps                         = 0; // of its link
    unsigned                   m_OriginConnections                  = 0; // that it takes from all boxes together
    uint64_t                   m_Declared                           = 0; // version of the declarations that say so, as the teller holds them
    bool                       operator==(const ModelNaming&) const = default;
};

struct FollowedBox
{
    Endpoint m_At;           //
    bool     m_Near  = true; // in the router's data centre
    double   m_Share = 1;    // of the boxes of its data centre, that the router follows
};

struct PlaceQuestion // of a router, as a box hears it
{
    Endpoint m_Router;     //
    uint64_t m_Number = 0; // of the question, by the router's count
};

struct ClaimMessage // of a router, as a box hears it
{
    PlaceQuestion m_Question;         //
    uint32_t      m_Most = 0;         // a place is free while fewer requests are there
    Duration      m_Wait{};           // in line
    double        m_ReadingMs    = 0; // engine time that its prompt takes to be read
    double        m_MaxPerSecond = 0; // places that the box may grant in a second; 0: no such limit
    unsigned      m_Rank         = 0; // claims with a lower rank are granted first
};

struct ServedOutcome // how one answer of a model server went
{
    uint32_t m_InFlight = 0;     // requests at the server when it was chosen, as its box told
    Duration m_TimeToFirst{};    // from sending to the first event
    Duration m_PredictedFirst{}; // the same, as predicted
    Duration m_EventInterval{};  // mean time between events; zero: fewer than two
    bool     m_Late = false;     // the first event missed the latency objective, or a pause was longer than the route allows
};

struct ProcessName
{
    std::string m_Name;       //
    std::string m_DataCentre; //
};

//-----------------------------------------------------------------------------
// [SECTION] LoadListener: of a router
//-----------------------------------------------------------------------------

class LoadListener
{
public:
    using Handler        = std::function<void(const asio::ip::address& box, const LoadReport& report)>;
    using RoutersHandler = std::function<void(std::span<const RouterPeer> routers)>;
    using NewsHandler    = std::function<void(const wire::DeclarationsNews& news, const Endpoint& from)>;
    using ServersHandler = std::function<void(const wire::ServersNews& news, Duration checked_age, const Endpoint& from)>;
    using AskedHandler   = std::function<void(uint64_t held, const Endpoint& from)>;
    using LimitsHandler  = std::function<void(const wire::LimitNews& news, const Endpoint& from)>;
    using CrashHandler   = std::function<void(const wire::CrashNews& news, const Endpoint& from)>;
    using PlaceHandler   = std::function<void(uint64_t number, const Endpoint& box, const LoadReport& state)>;
    using GrantHandler   = std::function<void(uint64_t number, const Endpoint& box, bool granted)>;
    using RefusalHandler = std::function<void(const wire::RefusalNote& note)>;
    using RefusalAsked   = std::function<void(uint64_t number, uint64_t request, const Endpoint& from)>;
    using RefusalAnswer  = std::function<void(uint64_t number, bool known, const Endpoint& from)>;

    LoadListener(asio::io_context& ioc, ProcessName self, Handler handler);

    Status Listen(const Endpoint& at);                                // other routers listen on the same port
    void   SetBoxes(std::vector<FollowedBox> boxes);                  // whose reports to ask for
    void   SetOnPlace(PlaceHandler fn) { m_OnPlace = std::move(fn); } // a box answered a question for a place
    void   AskPlace(const Endpoint& box, uint64_t number);
    void   TakePlace(const Endpoint& box, double reading_ms);
    void   SetOnGrant(GrantHandler fn) { m_OnGrant = std::move(fn); }  // a box settled a claim
    void   ClaimPlace(const Endpoint& box, const ClaimMessage& claim); // of m_Question only the number counts
    void   ReleasePlace(const Endpoint& box, uint64_t number);
    void   SetDeclared(uint64_t version) { m_Declared = version; }
    void   SetNamed(std::vector<ModelNaming> named); // told to all boxes, at once if it is news, and with every request for reports
    void   SetRegion(std::string region) { m_Region = std::move(region); }                         // of this router; before Listen()
    void   SetMeetingPoints(std::vector<Endpoint> points) { m_MeetingPoints = std::move(points); } // before Listen(); may include this router
    void   SetOnRouters(RoutersHandler fn) { m_OnRouters = std::move(fn); }                        // an agent listed the routers that it knows
    void   SetOnNews(NewsHandler fn) { m_OnNews = std::move(fn); }                                 // another router told of its declarations
    void   Tell(const Endpoint& router, const wire::DeclarationsNewsT& news);
    void   SetOnServers(ServersHandler fn) { m_OnServers = std::move(fn); }         // another router told of the list of servers
    void   SetOnServersAsked(AskedHandler fn) { m_OnServersAsked = std::move(fn); } // a router or box misses what changed since it held that
    // To these and the boxes of the own data centre; checked_at: the store was asked then for the answer that confirms them as the newest.
    void TellServers(std::span<const Endpoint> routers, const wire::ServersNewsT& news, TimePoint checked_at);
    void AnswerServers(const Endpoint& asker, const wire::ServersNewsT& news, TimePoint checked_at);
    void AskServers(const Endpoint& router, uint64_t held);
    void SetOnCrashes(CrashHandler fn) { m_OnCrashes = std::move(fn); } // another router sent crash records
    void TellCrashes(std::span<const Endpoint> routers, wire::CrashNewsT news);
    void SetOnLimits(LimitsHandler fn) { m_OnLimits = std::move(fn); } // another router sent changed rate limits of servers
    void TellLimits(std::span<const Endpoint> routers, wire::LimitNewsT news);
    void TellOutcome(const Endpoint& box, const ServedOutcome& outcome);
    void SetOnRefusal(RefusalHandler fn) { m_OnRefusal = std::move(fn); }         // another router refused a request whose record is kept here
    void SetOnRefusalAsked(RefusalAsked fn) { m_OnRefusalAsked = std::move(fn); } // another router asks whether a request was refused; answer at once
    void SetOnRefusalAnswer(RefusalAnswer fn) { m_OnRefusalAnswer = std::move(fn); } //
    void TellRefusal(const Endpoint& router, uint64_t request, Duration left);       // `left`: until the caller's deadline
    void AskRefusal(const Endpoint& router, uint64_t number, uint64_t request);
    void AnswerRefusal(const Endpoint& router, uint64_t number, bool known);

private:
    struct ReportEcho
    {
        uint64_t  m_SentMs = 0; // by the box's steady clock, as its report told; 0: it didn't
        TimePoint m_HeardAt{};  // when the report came
    };

    void            OnFrame(const wire::Frame& frame, const udp::endpoint& from);
    awaitable<void> SubscribeLoop();
    void            Subscribe(bool near, bool far);
    void            AskForRouters();                                                  // some of the boxes, other ones than the last time
    void            AskMeetingPoint();                                                // another one than the last time
    void            OnMet(const wire::LoadSubscribe& ask, const udp::endpoint& from); // this router is a meeting point of the asker
    bool            IsMeetingPoint(const Endpoint& at) const;
    void            SendAsk(std::span<const FollowedBox> boxes, bool list_routers); // in several datagrams, if there are many models

    ProcessName                             m_Self;            //
    Handler                                 m_Handler;         //
    RoutersHandler                          m_OnRouters;       // may be empty
    NewsHandler                             m_OnNews;          // may be empty
    PlaceHandler                            m_OnPlace;         // may be empty
    GrantHandler                            m_OnGrant;         // may be empty
    ServersHandler                          m_OnServers;       // may be empty
    AskedHandler                            m_OnServersAsked;  // may be empty
    CrashHandler                            m_OnCrashes;       // may be empty
    LimitsHandler                           m_OnLimits;        // may be empty
    RefusalHandler                          m_OnRefusal;       // may be empty
    RefusalAsked                            m_OnRefusalAsked;  // may be empty
    RefusalAnswer                           m_OnRefusalAnswer; // may be empty
    std::string                             m_Region;          //
    udp::socket                             m_Socket;          // on a strand: what comes and what is asked for run one after the other
    PacedSender                             m_Paced{m_Socket}; // for what goes to many
    std::vector<FollowedBox>                m_Boxes;           //
    std::map<asio::ip::address, ReportEcho> m_Echoes;          // of the boxes' last reports
    size_t                                  m_NextAsked = 0;   // place in m_Boxes from which AskForRouters() goes on
    TimePoint                               m_ListedAt{};      // when an agent last listed routers
    Endpoint                                m_At;              // of this router
    std::vector<Endpoint>                   m_MeetingPoints;   //
    size_t                                  m_NextMet = 0;     // place in m_MeetingPoints of the one that is asked next
    TimePoint                               m_MetAt{};         // when one was last asked
    RouterRegistry                          m_Met;             // routers whose meeting point this one is
    uint64_t                                m_Declared = 0;    // version of the declarations in force here
    std::vector<ModelNaming>                m_Named;           // newest versions of weights known here
};

//-----------------------------------------------------------------------------
// [SECTION] LoadPublisher: of an agent
//-----------------------------------------------------------------------------

class LoadPublisher
{
public:
    using NamedHandler   = std::function<void(const ModelNaming& named)>;
    using ServersHandler = std::function<void(const wire::ServersNews& news, Duration checked_age, const Endpoint& from)>;
    using AskHandler     = std::function<void(const PlaceQuestion& question)>;
    using TakeHandler    = std::function<void(double reading_ms)>;
    using ClaimHandler   = std::function<void(const ClaimMessage& claim)>;
    using ReleaseHandler = std::function<void(const PlaceQuestion& question)>;
    using OutcomeHandler = std::function<void(const ServedOutcome& outcome, const Endpoint& router)>;
    using NamingAsked    = std::function<void(std::string_view service, const Endpoint& from)>;

    LoadPublisher(asio::io_context& ioc, std::string data_centre);

    Status   Listen(const Endpoint& at);
    void     SetOnNamed(NamedHandler fn) { m_OnNamed = std::move(fn); }               // a router knows of a version; mostly a known one
    void     SetOnAsk(AskHandler fn) { m_OnAsk = std::move(fn); }                     // a router wants a place; Answer() it soon or not at all
    void     SetOnTake(TakeHandler fn) { m_OnTake = std::move(fn); }                  // a router sends a request to the server now
    void     SetOnServers(ServersHandler fn) { m_OnServers = std::move(fn); }         // a router told of the list of servers
    void     SetOnClaim(ClaimHandler fn) { m_OnClaim = std::move(fn); }               // a router wants the next place; Grant() it or say no
    void     SetOnRelease(ReleaseHandler fn) { m_OnRelease = std::move(fn); }         // it wants it no longer
    void     SetOnOutcome(OutcomeHandler fn) { m_OnOutcome = std::move(fn); }         // a router tells how an answer of the server went
    void     SetOnNamingAsked(NamingAsked fn) { m_OnNamingAsked = std::move(fn); }    // another agent asks for the model of a service
    void     SetOnNamingAnswer(NamedHandler fn) { m_OnNamingAnswer = std::move(fn); } // another agent told what it knows
    void     AskNaming(const Endpoint& box, const std::string& service);
    void     AnswerNaming(const Endpoint& box, const ModelNaming& known);
    void     Answer(const PlaceQuestion& question, const LoadReport& state);
    void     Grant(const PlaceQuestion& question, bool granted);
    void     AskServers(const Endpoint& router, uint64_t held); // what changed in the list of servers since?
    void     Publish(LoadReport report);                        // its m_Routers is filled in
    uint64_t Sent() const { return m_Sent; }

private:
    struct Subscriber
    {
        TimePoint   m_AskedAt{};     //
        TimePoint   m_SentAt{};      //
        LoadReport  m_Last;          // as sent
        bool        m_Near  = false; // in the own data centre
        double      m_Share = 1;     // of boxes like this one, that the router follows
        std::string m_Region;        //

        Duration Keep() const { return m_Near ? kSubscribeKeep : kSubscribeKeepFar; }
    };

    void     OnFrame(const wire::Frame& frame, const udp::endpoint& from);
    void     OnSubscribe(const wire::LoadSubscribe& ask, const udp::endpoint& from);
    void     TellRouters(const udp::endpoint& asker); // of each other
    uint32_t Routers() const;                         // that share the servers, those that don't follow this box included

    udp::socket                         m_Socket;         //
    std::string                         m_DataCentre;     //
    std::map<udp::endpoint, Subscriber> m_Subscribers;    //
    uint64_t                            m_Sent = 0;       // datagrams
    NamedHandler                        m_OnNamed;        // may be empty
    AskHandler                          m_OnAsk;          // may be empty
    TakeHandler                         m_OnTake;         // may be empty
    ClaimHandler                        m_OnClaim;        // may be empty
    ReleaseHandler                      m_OnRelease;      // may be empty
    ServersHandler                      m_OnServers;      // may be empty
    OutcomeHandler                      m_OnOutcome;      // may be empty
    NamingAsked                         m_OnNamingAsked;  // may be empty
    NamedHandler                        m_OnNamingAnswer; // may be empty
};

} // namespace aldervale
