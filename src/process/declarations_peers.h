// aldervale: the declarations of a router, from the store or from other routers, and handed on to those
//
// With its news a router tells when the store was at which version (store_times.h), as it heard of it: whoever learns of a new row has bounds from
// all processes that read the store. A row's bound goes with the row.
//
// The shell around DeclarationsSpread: news by datagrams, fetches by links. A fetch is one connection and one exchange: the asker says what
// it holds, and gets the difference to it, or the whole compressed where the other has forgotten that version. 1.2 MB of rows become 173
// bytes where one route of 4,200 changed (test text_delta). Touched on one thread.
//
// Usage (src/programs/platform_router.cpp):
//   DeclarationsPeers peers(ioc, {"router-1", "10.1.0.7:7700", "north"}, datagrams, store_times, [](const DeclaredRows& rows) { ... });
//   peers.Listen();
//   peers.OnStoreRead(read, TableRead_Whole);          // from the follower of the store
//   follower_config.m_Urgent = [&] { return peers.ReadsStore(); };

#pragma once
#include "connection/load_channel.h"
#include "process/declarations_spread.h"
#include "process/operator_rows.h"
#include "process/store_times.h"
#include <deque>

namespace aldervale
{

constexpr size_t kTextsKept      = 8;                // versions that differences can be made to: a series of changes 0.2 s apart, 1.6 s long
constexpr size_t kTextsKeptBytes = 16 * 1024 * 1024; // of them together; of 160 MB that a small box has

constexpr std::string_view kFromStore = "store"; // as who gave rows; others are addresses

struct RouterName
{
    std::string m_Name;    //
    Endpoint    m_Address; // of links and datagrams, the same port on all boxes
    std::string m_Region;  // of data centres with wide links between them
};

struct DeclaredRows // newer than what was held before
{
    RowRead     m_Rows;         // all of the operators' table, as of its newest row
    TimePoint   m_LearnedAt{};  // when the first process that read their newest version had it; not before it was written
    TimePoint   m_NotBefore{};  // rows newer than m_Previous were written since; default: unknown
    uint64_t    m_Previous = 0; // version that was held before
    std::string m_From;         // "store", or the address of a router
};

class DeclarationsPeers // lives as long as the process
{
public:
    using RowsHandler   = std::function<void(const DeclaredRows& rows)>;
    using BeliefHandler = std::function<void()>; // Held(), Heard() or CheckedAt() of Spread() may have changed; before such rows are used

    using BoundHandler = std::function<void(uint64_t row_version, TimePoint not_before)>; // a later bound than WrittenSince() gave before

    DeclarationsPeers(asio::io_context& ioc, RouterName self, LoadListener& datagrams, StoreTimes& times, RowsHandler on_rows);

    Status Listen(); // for other routers' fetches
    void   SetOnBelief(BeliefHandler on_belief) { m_OnBelief = std::move(on_belief); }

    // Of the follower of the store
    bool                    ReadsStore();        // asked often; each change is logged
    std::optional<uint64_t> HeldVersion() const; // if others have just said that it is the newest: reading can go on after it
    void                    OnStoreRead(const RowRead& read, TableRead kind); // by the follower's handler for all rows or for changes
    void OnFewRows(const RowRead& read); // some of the rows, which are not held here afterwards: only bounds of their times are recorded
    void OnStoreBytes() { m_Spread.OnStoreBytes(Now()); }
    void OnStoreBack();

    // Another process asks for the whole list of servers by the same kind of connection; the frame answers its exchange.
    using ServersHandler = std::function<FrameBytes(uint64_t exchange)>;
    void SetOnServersAsked(ServersHandler fn) { m_OnServersAsked = std::move(fn); }

    // The row's value wasn't written before; default: unknown. nullopt: nothing was recorded of that row.
    std::optional<TimePoint> WrittenSince(uint64_t row_version) const;
    void                     SetOnBound(BoundHandler fn) { m_OnBound = std::move(fn); }

    // Whether two rows of one key declare the same although their values may differ. By default those with the same value do.
    using DeclareSame = std::function<bool(const Row& a, const Row& b)>;
    void SetDeclareSame(DeclareSame fn) { m_DeclareSame = std::move(fn); }

    const Endpoint&           Self() const { return m_Self.m_Address; }
    const DeclarationsSpread& Spread() const { return m_Spread; }
    bool                      Reading() const { return m_Reading; } // what ReadsStore() last said

private:
    struct RowBound
    {
        TimePoint m_NotBefore{};    // default: unknown
        TimePoint m_RefinedUntil{}; // further answers of the store may give a later bound; default: it is final
        uint64_t  m_After = 0;      // the value was declared after this version of the store; 0: unknown
    };
    struct Text // rows as text
    {
        uint64_t    m_Version = 0; //
        std::string m_Text;        //
        TimePoint   m_NotBefore{}; // rows newer than those of the text before were written since; default: unknown
    };

    void                    RecordBounds(const RowRead& read, TableRead kind); // before the rows are taken
    void                    RecordBound(uint64_t row_version, const RowBound& bound);
    void                    RefineBounds(TimePoint now);
    void                    LogReading(TimePoint now) const;
    void                    OnBelief() const;
    void                    OnNews(const wire::DeclarationsNews& news, const Endpoint& from);
    void                    Hold(DeclaredRows news);   // m_Rows holds a newer version than before; news: without the rows
    wire::DeclarationsNewsT News(TimePoint now) const; // of this router
    void                    Tell();
    void                    Register(TimePoint now); // if it is time
    awaitable<void>         TellLoop();
    awaitable<void>         AcceptLoop();
    awaitable<void>         FetchLoop();
    awaitable<void>         Fetch(Endpoint from);
    void                    TakeData(const wire::DeclarationsData& data, const Endpoint& from, TimePoint asked);
    void                    Serve(const LinkPtr& link, const FrameBuf& frame);
    FrameBytes              DataFor(uint64_t exchange, uint64_t base);
    const Text*             FindText(uint64_t version) const;       // null: forgotten
    TimePoint               NotBeforeAfter(uint64_t version) const; // of all rows newer than that; default: unknown

    asio::io_context&               m_Ioc;              //
    RouterName                      m_Self;             //
    LoadListener&                   m_Datagrams;        //
    RowsHandler                     m_OnRows;           //
    BeliefHandler                   m_OnBelief;         // may be empty
    ServersHandler                  m_OnServersAsked;   // may be empty
    BoundHandler                    m_OnBound;          // may be empty
    DeclareSame                     m_DeclareSame;      //
    StoreTimes&                     m_Times;            //
    std::map<uint64_t, RowBound>    m_Bounds;           // of rows' values, by row version; the newest kBoundsKept
    DeclarationsSpread              m_Spread;           //
    OperatorRows                    m_Rows;             //
    std::deque<Text>                m_Texts;            // newest last; its last one is of m_Rows
    std::map<uint64_t, std::string> m_Compressed;       // by base, 0 alone: to the newest text
    TimePoint                       m_LearnedAt{};      // of the newest version
    TimePoint                       m_RegisteredAt{};   // at routers of better ranks
    std::optional<tcp::acceptor>    m_Acceptor;         //
    asio::steady_timer              m_Wake;             // of FetchLoop(), when there may be something to fetch
    bool                            m_Reading  = false; // as last told
    bool                            m_AskWhole = false; // the last difference was spoilt
    size_t                          m_Serving  = 0;     // connections of askers
};

} // namespace aldervale
