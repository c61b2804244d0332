// Records of refused requests, kept between the routers of a region. See refusal_channel.h.
#include "request/refusal_channel.h"
#include "common/metrics.h"

namespace aldervale
{

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

RefusalChannel::RefusalChannel(asio::io_context& ioc, LoadListener& datagrams, const Endpoint& self)
    : m_Ioc(ioc), m_Datagrams(datagrams), m_Self(self), m_Routers({self})
{
    const auto keep = [this](const wire::RefusalNote& note)
    {
        const TimePoint now = Now();
        m_Records.Add(note.request(), now + std::min<Duration>(milliseconds(note.left_ms()), kRefusalRetention), now);
    };
    m_Datagrams.SetOnRefusal(keep);
    m_Datagrams.SetOnRefusalAsked([this](uint64_t number, uint64_t request, const Endpoint& from)
                                  { m_Datagrams.AnswerRefusal(from, number, m_Records.Take(request, Now())); });
    m_Datagrams.SetOnRefusalAnswer([this](uint64_t number, bool known, const Endpoint& from) { OnAnswer(number, known, from); });
}

void RefusalChannel::SetRouters(std::vector<Endpoint> region)
{
    static Gauge& records = Metrics().GetGauge("aldervale_refusal_records");
    records.Set(static_cast<double>(m_Records.Count()));
    m_Routers = std::move(region);
    if (std::find(m_Routers.begin(), m_Routers.end(), m_Self) == m_Routers.end())
        m_Routers.push_back(m_Self);
}

void RefusalChannel::OnRefused(uint64_t fingerprint, Duration left)
{
    const TimePoint now   = Now();
    const Endpoint  owner = OwnerOf(fingerprint, m_Routers);
    m_Records.NoteRefusal(now);
    if (owner == m_Self)
        m_Records.Add(fingerprint, now + left, now);
    else
        m_Datagrams.TellRefusal(owner, fingerprint, left);
}

uint64_t RefusalChannel::Ask(uint64_t fingerprint)
{
    const Endpoint owner  = OwnerOf(fingerprint, m_Routers);
    const uint64_t number = ++m_Number;
    auto           query  = std::make_unique<Query>(m_Ioc, owner);
    if (owner == m_Self)
        query->m_Known = m_Records.Take(fingerprint, Now());
    else
        m_Datagrams.AskRefusal(owner, number, fingerprint);
    m_Queries[number] = std::move(query);
    return number;
}

awaitable<bool> RefusalChannel::Known(uint64_t query, Duration longest)
{
    static Counter& known   = Metrics().GetCounter("aldervale_refusal_asks_total", "answer=\"known\"");
    static Counter& unknown = Metrics().GetCounter("aldervale_refusal_asks_total", "answer=\"unknown\"");
    static Counter& none    = Metrics().GetCounter("aldervale_refusal_asks_total", "answer=\"none\"");
    const auto      it      = m_Queries.find(query);
    if (it == m_Queries.end())
        co_return false;
    Query& q = *it->second;
    if (!q.m_Known && longest > Duration::zero())
    {
        q.m_Timer.expires_after(longest);
        co_await q.m_Timer.async_wait(kNoThrow);
    }
    const std::optional<bool> answer = q.m_Known;
    m_Queries.erase(query);
    (!answer ? none : *answer ? known : unknown).Add(1);
    co_return answer.value_or(false);
}

void RefusalChannel::OnAnswer(uint64_t number, bool known, const Endpoint& from)
{
    const auto it = m_Queries.find(number);
    if (it == m_Queries.end() || it->second->m_Owner != from)
        return; // it came too late, or from a process that wasn't asked
    it->second->m_Known = known;
    it->second->m_Timer.cancel();
}

} // namespace aldervale
