// Leases: several contenders against one fake row, with lost answers, store outages and pauses of any length.
#include "common/hash.h"
#include "process/lease.h"
#include "support.h"

using namespace aldervale;

namespace
{

struct FakeStore
{
    LeaseRow m_Row; // m_Version 0: not there
    uint64_t m_Commits = 0;

    bool Write(const LeaseRow& row) // conditional
    {
        if (row.m_Version != m_Row.m_Version)
            return false;
        m_Row           = row;
        m_Row.m_Version = ++m_Commits;
        return true;
    }
};

struct Contender
{
    explicit Contender(const std::string& name) : m_Name(name), m_Lease(Config(name)) {}

    static LeaseConfig Config(const std::string& name)
    {
        LeaseConfig cfg;
        cfg.m_Holder = name;
        return cfg;
    }

    std::string m_Name;
    Lease       m_Lease;
    TimePoint   m_PausedUntil{};
};

} // namespace

BOOST_AUTO_TEST_CASE(lost_answer_is_settled_by_reading)
{
    FakeStore store;
    Lease     lease(Contender::Config("a"));
    TimePoint now = TimePoint() + seconds(100);
    BOOST_REQUIRE_EQUAL(lease.Next(now).m_Action, LeaseAction_Read);
    lease.OnRow(store.m_Row, now);
    const LeaseStep write = lease.Next(now);
    BOOST_REQUIRE_EQUAL(write.m_Action, LeaseAction_Write);
    BOOST_REQUIRE(store.Write(write.m_Row));
    lease.OnWrite(LeaseWrite_Unknown, write, 0);
    BOOST_CHECK(!lease.Holds(now));
    now += milliseconds(300);
    BOOST_REQUIRE_EQUAL(lease.Next(now).m_Action, LeaseAction_Read);
    lease.OnRow(store.m_Row, now);
    BOOST_CHECK(lease.Holds(now));
    BOOST_CHECK_EQUAL(lease.Fencing(), 1u);
    // It counts from when the write was sent, not from when it was settled.
    BOOST_CHECK(!lease.Holds(write.m_SentAt + milliseconds(3500)));
}

BOOST_AUTO_TEST_CASE(paused_holder_wakes_without_its_lease)
{
    FakeStore store;
    Lease     lease(Contender::Config("a"));
    TimePoint now = TimePoint() + seconds(100);
    lease.Next(now);
    lease.OnRow(store.m_Row, now);
    const LeaseStep write = lease.Next(now);
    store.Write(write.m_Row);
    lease.OnWrite(LeaseWrite_Done, write, store.m_Row.m_Version);
    BOOST_CHECK(lease.Holds(now));
    BOOST_CHECK(!lease.Holds(now + seconds(60)));
}

BOOST_AUTO_TEST_CASE(at_most_one_holder)
{
    ALDERVALE_PROPERTY("never two holders at once; fencing grows with each holder; somebody holds again after trouble",
                       [](uint64_t seed)
                       {
                           Random                 random(seed);
                           FakeStore              store;
                           std::vector<Contender> all;
                           for (int i = 0; i < 4; i++)
                               all.emplace_back("c" + std::to_string(i));
                           std::map<uint64_t, std::string> holders; // by fencing number
                           TimePoint                       now = TimePoint() + seconds(1000);
                           const auto chance                   = [&](double share) { return static_cast<double>(random() >> 11) * 0x1p-53 < share; };
                           const auto step                     = [&](bool trouble)
                           {
                               for (Contender& c : all)
                               {
                                   if (now < c.m_PausedUntil)
                                       continue;
                                   if (trouble && chance(0.01))
                                       c.m_PausedUntil = now + milliseconds(random() % 12'000);
                                   const LeaseStep s = c.m_Lease.Next(now);
                                   if (s.m_Action == LeaseAction_Read)
                                   {
                                       if (trouble && chance(0.2))
                                           c.m_Lease.OnReadFailed(now);
                                       else
                                           c.m_Lease.OnRow(store.m_Row, now);
                                   }
                                   else if (s.m_Action == LeaseAction_Write)
                                   {
                                       // The write may reach the store late: others may act first, and the holder's own clock runs on.
                                       const bool lost_before = trouble && chance(0.1);
                                       const bool done        = !lost_before && store.Write(s.m_Row);
                                       const bool lost_after  = trouble && chance(0.2);
                                       c.m_Lease.OnWrite(lost_before || lost_after ? LeaseWrite_Unknown
                                                         : done                    ? LeaseWrite_Done
                                                                                   : LeaseWrite_Conflict,
                                                         s, store.m_Row.m_Version);
                                   }
                               }
                               int holding = 0;
                               for (const Contender& c : all)
                               {
                                   if (!c.m_Lease.Holds(now))
                                       continue;
                                   holding++;
                                   const auto [it, fresh] = holders.emplace(c.m_Lease.Fencing(), c.m_Name);
                                   RC_ASSERT(it->second == c.m_Name);
                                   RC_ASSERT(c.m_Lease.Fencing() == holders.rbegin()->first);
                               }
                               RC_ASSERT(holding <= 1);
                               now += milliseconds(50);
                               return holding;
                           };
                           for (int t = 0; t < 2000; t++)
                               step(true);
                           int held = 0;
                           for (int t = 0; t < 600; t++)
                               held += step(false);
                           RC_ASSERT(held > 0);
                       });
}
