// Division of the rate limit of a backend server among routers.
#include "request/server_limits.h"
#include "support.h"
#include <deque>

using namespace aldervale;

namespace
{

const TimePoint  kStart  = TimePoint{} + seconds(100'000);
const ServerLife kServer = {"i-1", 17};

constexpr auto kUncountedInterval = milliseconds(500); // after the first answer with a limit to a router, in which its requests are not counted
constexpr auto kWindow            = seconds(4);

std::vector<std::string> Addresses(size_t count)
{
    std::vector<std::string> out;
    for (size_t i = 0; i < count; i++)
        out.push_back("10.0.0." + std::to_string(i) + ":7700");
    return out;
}

struct Fleet
{
    Fleet(size_t routers, size_t known_count)
    {
        const std::vector<std::string> all = Addresses(routers);
        const std::vector<std::string> known_to_all(all.begin(), all.begin() + std::min(known_count, routers));
        for (size_t i = 0; i < routers; i++)
        {
            m_Routers.emplace_back(i + 1);
            m_Routers.back().SetRouters({known_to_all, all[i], static_cast<uint32_t>(routers)}, kStart);
        }
    }

    // Each router tries to send every `interval`; the routers start 100 ms apart. The server answers immediately with the limit `requests_per_s`.
    // Returns the maximum number of counted requests in any window of kWindow.
    size_t MaxInWindow(double requests_per_s, Duration interval, Duration duration)
    {
        size_t                 max = 0;
        std::deque<TimePoint>  counted;
        std::vector<TimePoint> first_answers(m_Routers.size());
        for (TimePoint now = kStart; now < kStart + duration; now += interval)
            for (size_t i = 0; i < m_Routers.size(); i++)
            {
                ServerLimits& r = m_Routers[i];
                if (now < kStart + milliseconds(100) * i || !r.Allows(kServer, now))
                    continue;
                r.OnSent(kServer, now);
                r.OnAnswer(kServer, requests_per_s, now, now);
                m_Received++;
                first_answers[i] = first_answers[i] == TimePoint{} ? now : first_answers[i];
                if (now < first_answers[i] + kUncountedInterval)
                    continue;
                counted.push_back(now);
                while (counted.front() <= now - kWindow)
                    counted.pop_front();
                max = std::max(max, counted.size());
            }
        return max;
    }

    std::vector<ServerLimits> m_Routers;
    size_t                    m_Received = 0; // requests received by the server
};

double AllowedInWindow(double requests_per_s)
{
    return 1.5 * requests_per_s * ToSeconds(kWindow) + 5;
}

} // namespace

// Guards against each router applying the whole limit, so that the routers together exceed it many times.
BOOST_AUTO_TEST_CASE(routers_together_stay_within_the_limit_of_a_server)
{
    for (const size_t routers : {1, 2, 7, 9, 30, 150})
        for (const double requests_per_s : {0.0, 0.2, 1.0, 2.5, 5.0, 20.0, 100.0})
        {
            Fleet        fleet(routers, 9);
            const size_t max = fleet.MaxInWindow(requests_per_s, milliseconds(20), seconds(40));
            BOOST_TEST(static_cast<double>(max) <= AllowedInWindow(requests_per_s),
                       routers << " routers, " << requests_per_s << " requests/s: " << max << " in 4 s");
            const bool utilized = requests_per_s < 1 || requests_per_s > 40 || static_cast<double>(fleet.m_Received) >= requests_per_s * 40 * 0.6;
            BOOST_TEST(utilized, routers << " routers, " << requests_per_s << " requests/s: " << fleet.m_Received << " in 40 s");
        }
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_limit_to_a_later_request_ends_the_limit)
{
    ServerLimits l(1);
    l.OnAnswer(kServer, 0.0, kStart, kStart);
    BOOST_TEST(!l.Allows(kServer, kStart + seconds(1)));
    l.OnAnswer(kServer, std::nullopt, kStart - milliseconds(1), kStart + seconds(1)); // the request was sent before the server stated the limit
    BOOST_TEST(!l.Allows(kServer, kStart + seconds(1)));
    l.OnAnswer(kServer, std::nullopt, kStart + milliseconds(1), kStart + seconds(1));
    BOOST_TEST(l.Allows(kServer, kStart + seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_limit_does_not_apply_to_a_new_incarnation_of_the_server)
{
    ServerLimits l(1);
    l.OnAnswer(kServer, 0.0, kStart, kStart);
    BOOST_TEST(!l.Allows(kServer, kStart));
    BOOST_TEST(l.Allows({"i-1", 18}, kStart));
}

BOOST_AUTO_TEST_CASE(limit_changes_from_another_router_are_applied)
{
    Fleet         fleet(2, 9);
    ServerLimits& first  = fleet.m_Routers[0];
    ServerLimits& second = fleet.m_Routers[1];
    first.OnAnswer(kServer, 0.0, kStart, kStart);
    for (const LimitChange& c : first.TakeChanges())
        second.OnRemoteChange(c, kStart);
    BOOST_TEST(!second.Allows(kServer, kStart));
    BOOST_TEST(second.TakeChanges().empty());
    first.OnAnswer(kServer, std::nullopt, kStart + seconds(1), kStart + seconds(2));
    for (const LimitChange& c : first.TakeChanges())
        second.OnRemoteChange(c, kStart + seconds(2));
    BOOST_TEST(second.Allows(kServer, kStart + seconds(2)));
}

// Guards against a server that stays excluded because no router notices the end of its limit.
BOOST_AUTO_TEST_CASE(a_router_without_a_share_probes_the_server_after_an_interval)
{
    Fleet         fleet(7, 9);
    ServerLimits& r = fleet.m_Routers[3];
    r.OnAnswer(kServer, 0.0, kStart, kStart);
    BOOST_TEST(!r.Allows(kServer, kStart + kProbeIntervalMin - seconds(1)));
    const TimePoint later = kStart + seconds(60);
    BOOST_TEST(r.Allows(kServer, later));
    r.OnSent(kServer, later);
    BOOST_TEST(!r.Allows(kServer, later));
}

BOOST_AUTO_TEST_CASE(a_router_assumes_a_router_count_until_it_is_known)
{
    ServerLimits l(1);
    l.OnAnswer(kServer, 8.0, kStart, kStart);
    size_t sent = 0;
    for (TimePoint now = kStart; now < kStart + seconds(10); now += milliseconds(10))
        if (l.Allows(kServer, now))
        {
            l.OnSent(kServer, now);
            l.OnAnswer(kServer, 8.0, now, now);
            sent++;
        }
    BOOST_TEST(sent <= 11u);
    BOOST_TEST(sent >= 8u);
}

// Guards against forwarding loops: a router forwards a change only if OnRemoteChange() returns true.
BOOST_AUTO_TEST_CASE(a_repeated_remote_change_does_not_change_the_limit)
{
    ServerLimits      l(1);
    const LimitChange limit_set   = {LifeHash(kServer), 2.0};
    const LimitChange limit_ended = {LifeHash(kServer), std::nullopt};
    BOOST_TEST(l.OnRemoteChange(limit_set, kStart));
    BOOST_TEST(!l.OnRemoteChange(limit_set, kStart));
    BOOST_TEST(l.OnRemoteChange(limit_ended, kStart));
    BOOST_TEST(!l.OnRemoteChange(limit_ended, kStart));
}

// Guards against keeping limits of servers that no longer exist.
BOOST_AUTO_TEST_CASE(limits_of_unlisted_servers_are_removed)
{
    ServerLimits     l(1);
    const ServerLife unlisted = {"i-2", 18};
    l.OnAnswer(kServer, 1.0, kStart, kStart);
    l.OnAnswer(unlisted, 1.0, kStart, kStart);
    const uint64_t listed = LifeHash(kServer);
    l.RemoveUnlisted(std::span(&listed, 1));
    BOOST_TEST(l.Count() == 1u);
    BOOST_TEST(!l.Allows(kServer, kStart));
}
