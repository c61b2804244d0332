// Account limits shared between routers, fair queueing, retry budget.
#include "request/fair_queue.h"
#include "request/limits.h"
#include "request/retry.h"
#include "support.h"

using namespace aldervale;

namespace
{

ClientAccountSpec Spec(double rps)
{
    ClientAccountSpec s;
    s.m_LimitRps = rps;
    s.m_Burst    = rps;
    return s;
}

// Routers that exchange their demand once per measurement interval, so that the rates of the others are up to one interval old.
struct FakeRouters
{
    explicit FakeRouters(size_t n)
    {
        for (size_t i = 0; i < n; i++)
            m_Limits.push_back(std::make_unique<AccountLimits>(LimitsConfig{}));
    }

    // Offers `rates[i]` requests per second to router i for `seconds_long`. Returns the admitted requests per second in the second half of that time.
    double Run(const std::vector<double>& rates, double seconds_long)
    {
        constexpr double    kStep    = 0.01;
        double              admitted = 0;
        std::vector<double> due(rates.size(), 0);
        const int           steps = static_cast<int>(seconds_long / kStep);
        for (int t = 0; t < steps; t++)
        {
            m_Now += FromSeconds(kStep);
            for (size_t i = 0; i < m_Limits.size(); i++)
            {
                for (due[i] += rates[i] * kStep; due[i] >= 1; due[i] -= 1)
                    admitted += !m_Limits[i]->Admit("a", Spec(m_Limit), m_Now) && t >= steps / 2 ? 1 : 0;
            }
            if (t % 25 != 0)
                continue;
            for (size_t i = 0; i < m_Limits.size(); i++)
            {
                const auto mine = m_Limits[i]->Tick(m_Now);
                for (size_t j = 0; j < m_Limits.size(); j++)
                    if (j != i)
                        m_Limits[j]->OnPeerRates("r" + std::to_string(i), mine, m_Now);
            }
        }
        return admitted / (seconds_long / 2);
    }

    std::vector<std::unique_ptr<AccountLimits>> m_Limits;
    TimePoint                                   m_Now   = TimePoint() + seconds(1000);
    double                                      m_Limit = 100;
};

} // namespace

BOOST_AUTO_TEST_CASE(summed_admissions_stay_within_the_limit)
{
    ALDERVALE_PROPERTY("for any split of the demand, admissions exceed the limit by at most 5% and reach at least 90% of demand or limit",
                       []
                       {
                           FakeRouters         routers(*rc::gen::inRange<size_t>(1, 8));
                           std::vector<double> rates;
                           double              sum = 0;
                           for (size_t i = 0; i < routers.m_Limits.size(); i++)
                           {
                               rates.push_back(*rc::gen::inRange(0, 300));
                               sum += rates.back();
                           }
                           const double got = routers.Run(rates, 20);
                           RC_ASSERT(got <= routers.m_Limit * 1.05);
                           RC_ASSERT(got >= 0.9 * std::min(sum, routers.m_Limit) - 1);
                       });
}

BOOST_AUTO_TEST_CASE(cut_off_router_keeps_its_share_only)
{
    FakeRouters routers(4);
    routers.Run({100, 100, 100, 100}, 10);
    // Router 0 receives no more reports, and its own demand rises to 400. It must not take the whole limit.
    double admitted = 0;
    for (int t = 0; t < 1000; t++)
    {
        routers.m_Now += milliseconds(10);
        for (int k = 0; k < 4; k++)
            admitted += !routers.m_Limits[0]->Admit("a", Spec(100), routers.m_Now) ? 1 : 0;
        if (t % 25 == 0)
            routers.m_Limits[0]->Tick(routers.m_Now);
    }
    BOOST_CHECK_LT(admitted / 10, 65); // its own demand of 400 against the last reported 300 of the other routers
}

BOOST_AUTO_TEST_CASE(refusal_states_when_to_retry)
{
    AccountLimits           l({});
    TimePoint               now  = TimePoint() + seconds(1);
    const auto              spec = Spec(2);
    std::optional<Duration> wait;
    for (int i = 0; i < 10 && !wait; i++)
        wait = l.Admit("a", spec, now);
    BOOST_REQUIRE(wait.has_value());
    BOOST_CHECK(!l.Admit("a", spec, now + *wait + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(accounts_share_by_weight_whatever_one_offers)
{
    ALDERVALE_PROPERTY("an account with a long queue gets at most the share of its weight while other accounts wait",
                       []
                       {
                           FairQueue                       q({});
                           const double                    weight = *rc::gen::inRange(1, 5);
                           uint64_t                        id     = 0;
                           std::map<uint64_t, std::string> owner;
                           const auto                      push = [&](const std::string& who, double w)
                           {
                               if (q.Push(++id, who, w, false))
                                   owner[id] = who;
                           };
                           for (int i = 0; i < 300; i++)
                               push("greedy", 1);
                           std::map<std::string, int> served;
                           for (int t = 0; t < 200; t++)
                           {
                               if (t % 2 == 0)
                                   push("polite", weight);
                               const auto next = q.Pop(1);
                               RC_ASSERT(next.has_value());
                               served[owner[*next]]++;
                               q.OnEnd();
                           }
                           RC_ASSERT(served["polite"] >= std::min(95, static_cast<int>(200 * weight / (weight + 1)) - 5));
                       });
}

BOOST_AUTO_TEST_CASE(offline_work_waits_for_others_but_is_not_starved)
{
    FairQueue          q({});
    uint64_t           id = 0;
    std::set<uint64_t> offline;
    for (int i = 0; i < 100; i++)
    {
        q.Push(++id, "online", 1, false);
        q.Push(++id, "batch", 1, true);
        offline.insert(id);
    }
    int early = 0;
    for (int t = 0; t < 50; t++)
    {
        early += offline.contains(*q.Pop(1)) ? 1 : 0;
        q.OnEnd();
    }
    BOOST_CHECK_EQUAL(early, 5); // every tenth start
}

BOOST_AUTO_TEST_CASE(queue_counts_exactly)
{
    ALDERVALE_PROPERTY("the running count never exceeds the capacity; removed requests never start",
                       []
                       {
                           FairQueue          q({50, 20, 10});
                           std::set<uint64_t> waiting;
                           uint64_t           id      = 0;
                           size_t             running = 0;
                           const auto         steps   = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
                           for (const int step : steps)
                           {
                               if (step == 0 && q.TryStart(3))
                                   running++;
                               id++;
                               if (step == 1 && q.Push(id, "a" + std::to_string(id % 4), 1, id % 5 == 0))
                                   waiting.insert(id);
                               if (step == 2 && !waiting.empty())
                               {
                                   RC_ASSERT(q.Remove(*waiting.begin()));
                                   waiting.erase(waiting.begin());
                               }
                               if (step == 3)
                               {
                                   const auto next = q.Pop(3);
                                   RC_ASSERT(next.has_value() == (running < 3 && !waiting.empty()));
                                   running += next ? 1 : 0;
                                   if (next)
                                       RC_ASSERT(waiting.erase(*next) == 1u);
                               }
                               if (step == 4 && running > 0)
                               {
                                   q.OnEnd();
                                   running--;
                               }
                               RC_ASSERT(q.Running() == running);
                               RC_ASSERT(q.Waiting() == waiting.size());
                               RC_ASSERT(running <= 3u);
                           }
                       });
}

BOOST_AUTO_TEST_CASE(retries_only_where_nothing_can_run_twice)
{
    const TimePoint now      = TimePoint() + seconds(1);
    const TimePoint deadline = now + seconds(1);
    RetryBudget     budget({});
    BOOST_CHECK(MayRetry({Verdict_NotRun, false, false, 1}, deadline, now, budget));
    BOOST_CHECK(MayRetry({Verdict_MayHaveRun, true, false, 1}, deadline, now, budget));
    BOOST_CHECK(!MayRetry({Verdict_MayHaveRun, false, false, 1}, deadline, now, budget));
    BOOST_CHECK(!MayRetry({Verdict_NotRun, true, true, 1}, deadline, now, budget)); // the answer has begun
    BOOST_CHECK(!MayRetry({Verdict_Ran, true, false, 1}, deadline, now, budget));
    BOOST_CHECK(!MayRetry({Verdict_NotRun, true, false, 3}, deadline, now, budget)); // attempts used up
    BOOST_CHECK(!MayRetry({Verdict_NotRun, true, false, 1}, now, now, budget));      // no time left
    int granted = 0;
    for (int i = 0; i < 100; i++)
        granted += budget.TryTake() ? 1 : 0;
    BOOST_CHECK_LE(granted, 20); // the budget is exhausted
}

// Guards against breaking off streams 20 ms before the deadline of the route or the caller while events still arrive. The 20 ms leave time for an
// error response, which is impossible once the answer has begun. Shortening the timeout of a route broke twelve streams within half a minute:
//   AnswerBroken  cause deadline, left_ms 19, quiet_ms 34, events 47
BOOST_AUTO_TEST_CASE(an_answer_that_has_begun_is_not_ended_before_its_deadline)
{
    const TimePoint deadline = TimePoint{} + seconds(100);
    BOOST_TEST((AttemptEndTime(deadline, false) < deadline));
    BOOST_TEST((AttemptEndTime(deadline, true) > deadline));
    BOOST_TEST((AttemptEndTime(deadline, true) < deadline + milliseconds(250))); // tolerated overrun of the timeout of a route
}
