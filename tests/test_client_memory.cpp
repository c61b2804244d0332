// Tests of the budget of memory for clients: what is evicted, what is refused, and that nothing is taken twice.
#include "connection/client_memory.h"
#include "support.h"
#include <memory>
#include <vector>

using namespace aldervale;

namespace
{

constexpr size_t kMax   = 64 * kSmallShareMax;
const TimePoint  kStart = TimePoint{} + seconds(100);

struct Connection
{
    Connection(ClientMemory& memory, size_t bytes, MemoryPhase phase = MemoryPhase_Receiving, TimePoint since = kStart)
        : m_Share(
              memory, [this] { m_Told++; }, since)
    {
        BOOST_TEST(m_Share.SetPhase(phase, since));
        BOOST_TEST(m_Share.Resize(bytes, since) == MemoryGrant_Taken);
    }

    int         m_Told = 0; // how often it was told that it is evicted
    MemoryShare m_Share;
};

} // namespace

BOOST_AUTO_TEST_CASE(the_connection_that_has_held_most_for_longest_is_evicted)
{
    ClientMemory     memory(kMax);
    const size_t     quarter = memory.MaxOfLarge() / 4;
    const Connection old(memory, quarter, MemoryPhase_Receiving, kStart);
    const Connection older_but_short(memory, kSmallShareMax, MemoryPhase_Receiving, kStart - seconds(1));
    const Connection recent(memory, 2 * quarter, MemoryPhase_Sending, kStart + seconds(2));
    Connection       asking(memory, 0);
    BOOST_TEST(asking.m_Share.Resize(quarter, kStart + seconds(3)) == MemoryGrant_Wait);
    BOOST_TEST(old.m_Share.Evicted());
    BOOST_TEST(old.m_Told == 1);
    BOOST_TEST(!older_but_short.m_Share.Evicted());
    BOOST_TEST(!recent.m_Share.Evicted());
    BOOST_TEST(asking.m_Share.Resize(quarter, kStart + seconds(3)) == MemoryGrant_Wait); // nobody else is evicted meanwhile
    BOOST_TEST(memory.Evicted() == 1u);
}

BOOST_AUTO_TEST_CASE(memory_is_taken_once_the_evicted_connection_has_given_its_own_back)
{
    ClientMemory memory(kMax);
    auto         old = std::make_unique<Connection>(memory, memory.MaxOfLarge());
    Connection   asking(memory, 0);
    BOOST_TEST(asking.m_Share.Resize(memory.MaxOfLarge() / 2, kStart + seconds(1)) == MemoryGrant_Wait);
    BOOST_TEST(memory.Held() == memory.MaxOfLarge());
    BOOST_TEST(!old->m_Share.SetPhase(MemoryPhase_Processing, kStart + seconds(1)));
    BOOST_TEST(old->m_Share.Resize(memory.MaxOfLarge() + 1, kStart + seconds(1)) == MemoryGrant_Refused);
    old.reset();
    BOOST_TEST(asking.m_Share.Resize(memory.MaxOfLarge() / 2, kStart + seconds(1)) == MemoryGrant_Taken);
    BOOST_TEST(memory.Held() == memory.MaxOfLarge() / 2);
}

BOOST_AUTO_TEST_CASE(a_connection_that_costs_more_than_all_others_is_refused_itself)
{
    ClientMemory     memory(kMax);
    const Connection recent(memory, memory.MaxOfLarge() / 2, MemoryPhase_Receiving, kStart + seconds(9));
    Connection       old(memory, memory.MaxOfLarge() / 2);
    BOOST_TEST(old.m_Share.Resize(memory.MaxOfLarge() / 2 + 1, kStart + seconds(10)) == MemoryGrant_Refused);
    BOOST_TEST(!recent.m_Share.Evicted());
    BOOST_TEST(old.m_Share.Bytes() == memory.MaxOfLarge() / 2);
    BOOST_TEST(memory.Refused() == 1u);
}

BOOST_AUTO_TEST_CASE(what_is_processed_is_not_evicted_and_leaves_room_for_short_requests)
{
    ClientMemory     memory(kMax);
    const Connection processed(memory, memory.MaxOfLarge(), MemoryPhase_Processing);
    Connection       large(memory, 0);
    Connection       small(memory, 0);
    BOOST_TEST(large.m_Share.Resize(kSmallShareMax + 1, kStart + seconds(60)) == MemoryGrant_Refused);
    BOOST_TEST(small.m_Share.Resize(kSmallShareMax, kStart + seconds(60)) == MemoryGrant_Taken);
    BOOST_TEST(!processed.m_Share.Evicted());
}

BOOST_AUTO_TEST_CASE(what_is_processed_has_precedence_over_what_comes_or_waits_for_its_reader)
{
    ClientMemory     memory(kMax);
    const Connection sending(memory, memory.MaxOfLarge(), MemoryPhase_Sending, kStart + seconds(60));
    Connection       processed(memory, 1, MemoryPhase_Processing, kStart);
    BOOST_TEST(processed.m_Share.Resize(memory.MaxOfLarge(), kStart + seconds(60)) == MemoryGrant_Wait);
    BOOST_TEST(sending.m_Share.Evicted());
}

BOOST_AUTO_TEST_CASE(a_lone_connection_may_take_all_that_large_ones_may)
{
    ClientMemory memory(kMax);
    Connection   lone(memory, memory.MaxOfLarge());
    BOOST_TEST(lone.m_Share.Resize(memory.MaxOfLarge() + 1, kStart) == MemoryGrant_Refused);
}

BOOST_AUTO_TEST_CASE(of_too_many_connections_one_that_has_rested_goes_and_what_is_processed_stays)
{
    ClientMemory     memory(kMax, 3);
    const Connection processed(memory, 1, MemoryPhase_Processing, kStart - seconds(60));
    const Connection rested(memory, 0, MemoryPhase_Receiving, kStart - seconds(1));
    const Connection recent(memory, kConnectionBytes, MemoryPhase_Receiving, kStart);
    BOOST_TEST(memory.Evicted() == 0u);
    const Connection next(memory, 0, MemoryPhase_Receiving, kStart + milliseconds(1));
    BOOST_TEST(rested.m_Share.Evicted());
    BOOST_TEST(rested.m_Told == 1);
    const Connection another(memory, 0, MemoryPhase_Receiving, kStart + milliseconds(2));
    BOOST_TEST(recent.m_Share.Evicted());
    BOOST_TEST(!processed.m_Share.Evicted());
    BOOST_TEST(!next.m_Share.Evicted());
}

BOOST_AUTO_TEST_CASE(a_connection_that_none_can_go_for_is_evicted_itself)
{
    ClientMemory      memory(kMax, 1);
    const Connection  processed(memory, 1, MemoryPhase_Processing);
    int               told = 0;
    const MemoryShare next(
        memory, [&] { told++; }, kStart);
    BOOST_TEST(next.Evicted());
    BOOST_TEST(told == 1);
    BOOST_TEST(!processed.m_Share.Evicted());
}

// Whatever connections do, no more is taken than there is, apart from what is overdrawn, and all of it comes back.
BOOST_AUTO_TEST_CASE(no_more_is_taken_than_there_is)
{
    ALDERVALE_PROPERTY("the budget is kept",
                       [](const std::vector<std::tuple<uint8_t, uint32_t, uint8_t>>& steps)
                       {
                           constexpr size_t                         kConnections = 8;
                           ClientMemory                             memory(kMax);
                           std::vector<std::unique_ptr<Connection>> all(kConnections);
                           TimePoint                                now = kStart;
                           for (const auto& [who, bytes, what] : steps)
                           {
                               now += milliseconds(what);
                               auto& c = all[who % kConnections];
                               if (!c || c->m_Share.Evicted())
                                   c = std::make_unique<Connection>(memory, 0, MemoryPhase_Receiving, now);
                               if (what % 5 == 0)
                                   c->m_Share.SetPhase(static_cast<MemoryPhase>(bytes % 3), now);
                               else if (what % 5 == 1)
                                   c->m_Share.Release();
                               else
                                   c->m_Share.Resize(bytes % (2 * kMax / kConnections), now);
                               size_t held = 0;
                               for (const auto& other : all)
                                   held += other ? other->m_Share.Bytes() : 0;
                               RC_ASSERT(memory.Held() == held);
                               RC_ASSERT(held <= kMax);
                           }
                           all.clear();
                           RC_ASSERT(memory.Held() == 0u);
                       });
}
