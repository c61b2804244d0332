// aldervale: how a router learns whether a request was refused before
//
// One datagram to the router that keeps the record (refusal_records.h) and one back, while the boxes are asked for a place; one datagram at each
// refusal. Nothing is sent again: a request whose record is lost counts as a first attempt.
//
// Usage (src/request/direct_place.cpp):
//   const uint64_t query = channel.Ask(fingerprint);            // 0: not asked
//   const bool     retry = co_await channel.Known(query, longest_wait);
//   channel.OnRefused(fingerprint, time_left);                  // once the caller is told

#pragma once
#include "connection/load_channel.h"
#include "request/refusal_records.h"

namespace aldervale
{

constexpr auto kRefusalAnswerMax = milliseconds(3); // wait for an answer where nothing else is waited for: one within a region takes 0.2 to 2 ms

class RefusalChannel // used on one thread
{
public:
    RefusalChannel(asio::io_context& ioc, LoadListener& datagrams, const Endpoint& self);

    void            SetRouters(std::vector<Endpoint> region); // routers of the own region that are known; may lack this one
    void            OnRefused(uint64_t fingerprint, Duration left);
    bool            ShouldAsk() const { return m_Records.ShouldAsk(Now()); }
    uint64_t        Ask(uint64_t fingerprint);               // number of the query, for Known()
    awaitable<bool> Known(uint64_t query, Duration longest); // call once for each query; false also if no answer came within `longest`

private:
    struct Query
    {
        Query(asio::io_context& ioc, const Endpoint& owner) : m_Owner(owner), m_Timer(ioc) {}

        Endpoint            m_Owner; // who may answer
        asio::steady_timer  m_Timer; // cancelled by the answer
        std::optional<bool> m_Known; // none: no answer yet
    };

    void OnAnswer(uint64_t number, bool known, const Endpoint& from);

    asio::io_context&                                    m_Ioc;        //
    LoadListener&                                        m_Datagrams;  //
    Endpoint                                             m_Self;       //
    std::vector<Endpoint>                                m_Routers;    // of the region, this one included
    RefusalRecords                                       m_Records;    // whose owner this router is
    std::unordered_map<uint64_t, std::unique_ptr<Query>> m_Queries;    // by number; those whose Known() hasn't ended
    uint64_t                                             m_Number = 0; // of the last query
};

} // namespace aldervale
