// Tests of the choice of backend servers: prediction, refusals, failures.
#include "request/server_choice.h"
#include "support_servers.h"
#include <set>

using namespace aldervale;

namespace
{

Service ModelService()
{
    Service     s;
    EngineCosts e;
    e.m_Model            = "m";
    e.m_Slots            = 4;
    e.m_StepMs           = 10;
    e.m_ReadPerMs        = 20;
    e.m_StepsPerPass     = 5;
    e.m_MeanPromptTokens = 1000;
    e.m_MeanAnswerTokens = 100;
    s.m_Name             = "model";
    s.m_Engine           = e;
    return s;
}

Service PlainService()
{
    Service s;
    s.m_Name = "plain";
    return s;
}

RequestNeed Need(const Service& s, double prompt = 500)
{
    RequestNeed n;
    n.m_Service      = &s;
    n.m_Objective    = milliseconds(400);
    n.m_PromptTokens = prompt;
    n.m_DataCentre   = "dc-1";
    return n;
}

LoadReport Load(uint32_t running, uint32_t waiting, uint64_t weights = 1)
{
    LoadReport r;
    r.m_Running = running;
    r.m_Waiting = waiting;
    r.m_Weights = weights;
    return r;
}

// Of an agent that knows the target version 2.
LoadReport LoadKnowing2(uint32_t running, uint32_t waiting, uint64_t weights = 1)
{
    LoadReport r = Load(running, waiting, weights);
    r.m_Named    = {{2, 0}};
    return r;
}

struct Fleet
{
    std::vector<ServerEntry>        m_Entries;
    std::vector<const ServerEntry*> Candidates() const
    {
        std::vector<const ServerEntry*> out;
        for (const ServerEntry& e : m_Entries)
            out.push_back(&e);
        return out;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(the_idle_server_is_chosen_before_the_busy_one)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("a", "model"), Entry("b", "model")}};
    ServerChoice  c({}, 1);
    c.OnReport("a", Load(4, 3), kStart);
    c.OnReport("b", Load(0, 0), kStart);
    const Choice x = c.Choose(fleet.Candidates(), Need(s), kStart);
    BOOST_REQUIRE(x.m_Server != nullptr);
    BOOST_TEST(x.m_Server->m_Id == "b");
    BOOST_TEST(x.m_Candidates == 2u);
}

BOOST_AUTO_TEST_CASE(requests_sent_since_the_last_report_count)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("a", "model"), Entry("b", "model")}};
    ServerChoice  c({}, 1);
    c.OnReport("a", Load(0, 0), kStart);
    c.OnReport("b", Load(0, 0), kStart);
    for (int i = 0; i < 6; i++)
        c.OnSent("a", 1000, kStart);
    for (int i = 0; i < 20; i++)
        BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_Server->m_Id == "b");
    for (int i = 0; i < 6; i++)
        c.OnEnd("a", ServerOutcome_Good, 1000, milliseconds(10), kStart);
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_InFlight == 0u);
}

BOOST_AUTO_TEST_CASE(a_first_attempt_is_refused_when_no_server_is_in_time_and_a_retry_is_admitted)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("a", "model")}};
    ServerChoice  c({}, 1);
    c.OnReport("a", Load(4, 1), kStart);
    RequestNeed  need  = Need(s);
    const Choice first = c.Choose(fleet.Candidates(), need, kStart);
    BOOST_TEST(first.m_Server == nullptr);
    BOOST_TEST(ToMs(first.m_RetryAfter) > 0);
    BOOST_TEST((first.m_Predicted > need.m_Objective));
    need.m_IsRetry     = true;
    const Choice retry = c.Choose(fleet.Candidates(), need, kStart);
    BOOST_TEST(retry.m_Server != nullptr);
}

BOOST_AUTO_TEST_CASE(a_server_without_the_needed_weights_or_about_to_start_others_is_left_out)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("a", "model"), Entry("b", "model"), Entry("c", "model")}};
    ServerChoice  c({}, 1);
    LoadReport    starting = Load(0, 0, 2);
    starting.m_Starting    = true;
    c.OnReport("a", Load(0, 0, 1), kStart);
    c.OnReport("b", starting, kStart);
    c.OnReport("c", Load(4, 0, 2), kStart);
    const std::vector<WeightsDeadline> deadlines = {{2, kStart}};
    RequestNeed                        need      = Need(s);
    need.m_WeightsDeadlines                      = deadlines;
    need.m_IsRetry                               = true;
    for (int i = 0; i < 20; i++)
        BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server->m_Id == "c");
    c.OnReport("c", Load(0, 0, 0), kStart); // its box reports that it has no weights any more
    BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server == nullptr);
    BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Candidates == 0u);
}

BOOST_AUTO_TEST_CASE(long_prompts_are_not_refused_before_short_ones)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("a", "model")}};
    for (uint32_t running = 0; running < 8; running++)
    {
        ServerChoice c({}, 1);
        c.OnReport("a", Load(running, 0), kStart);
        const bool small = c.Choose(fleet.Candidates(), Need(s, 50), kStart).m_Server != nullptr;
        const bool large = c.Choose(fleet.Candidates(), Need(s, 4000), kStart).m_Server != nullptr;
        BOOST_TEST(small == large);
    }
}

// Guards against a lasting overload without new servers in which retries are always admitted: every answer was late for 25 s.
BOOST_AUTO_TEST_CASE(in_a_lasting_overload_callers_that_come_back_are_held_to_the_objective_too)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("a", "model")}};
    ServerChoice  c({}, 1);
    RequestNeed   retry = Need(s);
    retry.m_IsRetry     = true;
    TimePoint now       = kStart;
    c.OnReport("a", Load(4, 1), now);
    BOOST_TEST(c.Choose(fleet.Candidates(), retry, now).m_Server != nullptr); // no lasting overload yet: a late answer is better than none
    for (int i = 0; i < 60; i++)
    {
        now += milliseconds(50);
        c.OnReport("a", Load(4, 1), now);
        BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), now).m_Server == nullptr);
    }
    BOOST_TEST(c.Choose(fleet.Candidates(), retry, now).m_Server == nullptr);
    c.OnReport("a", Load(0, 0), now);
    BOOST_TEST(c.Choose(fleet.Candidates(), retry, now).m_Server != nullptr);
}

// Guards against a stream that is resumed at a server with older weights shortly before the weights deadline and starts after it.
BOOST_AUTO_TEST_CASE(a_request_that_would_wait_past_the_deadline_of_weights_does_not_go_to_older_ones)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("old", "model")}};
    ServerChoice  c({}, 1);
    c.OnReport("old", Load(4, 3, 1), kStart);
    RequestNeed need = Need(s);
    need.m_IsRetry   = true;
    BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server != nullptr);
    const std::vector<WeightsDeadline> soon = {{2, kStart + seconds(1)}};
    need.m_WeightsDeadlines                 = soon;
    BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server == nullptr);
    const std::vector<WeightsDeadline> later = {{2, kStart + seconds(6)}};
    need.m_WeightsDeadlines                  = later;
    BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server != nullptr);
}

// If they dropped out one by one, the last server would get all routers' requests, and those that wait there would start after the deadline.
BOOST_AUTO_TEST_CASE(servers_with_older_weights_drop_out_together)
{
    const Service         s = ModelService();
    const Fleet           fleet{{Entry("idle", "model"), Entry("busier", "model"), Entry("busy", "model")}};
    const WeightsDeadline deadlines[] = {{2, kStart + seconds(10)}};
    RequestNeed           need        = Need(s);
    need.m_WeightsDeadlines           = deadlines;
    ServerChoice c({}, 1);
    for (TimePoint now = kStart + seconds(7); now < kStart + seconds(11); now += milliseconds(10))
    {
        c.OnReport("idle", LoadKnowing2(0, 0), now);
        c.OnReport("busier", LoadKnowing2(1, 0), now);
        c.OnReport("busy", LoadKnowing2(3, 0), now);
        const size_t left = c.Choose(fleet.Candidates(), need, now).m_Candidates;
        BOOST_TEST((left == 0 || left == 3));
    }
}

BOOST_AUTO_TEST_CASE(a_silent_server_with_older_weights_drops_out_before_those_that_report)
{
    const Service         s = ModelService();
    const Fleet           fleet{{Entry("silent", "model"), Entry("heard", "model")}};
    const WeightsDeadline deadlines[] = {{2, kStart + seconds(10)}};
    RequestNeed           need        = Need(s);
    need.m_WeightsDeadlines           = deadlines;
    ServerChoice    c({}, 1);
    const TimePoint now = kStart + milliseconds(7500);
    c.OnReport("heard", LoadKnowing2(0, 0), now);
    const Choice x = c.Choose(fleet.Candidates(), need, now);
    BOOST_REQUIRE(x.m_Server != nullptr);
    BOOST_TEST(x.m_Server->m_Id == "heard");
    BOOST_TEST(x.m_Candidates == 1u);
}

// Guards against requests sent until shortly before the deadline to a server that nobody stops then.
BOOST_AUTO_TEST_CASE(a_server_whose_agent_has_not_reported_the_newer_version_drops_out_before_others)
{
    const Service         s = ModelService();
    const Fleet           fleet{{Entry("untold", "model"), Entry("told", "model")}};
    const WeightsDeadline deadlines[] = {{2, kStart + seconds(10)}};
    RequestNeed           need        = Need(s);
    need.m_WeightsDeadlines           = deadlines;
    ServerChoice    c({}, 1);
    const TimePoint now = kStart + milliseconds(7500);
    c.OnReport("untold", Load(0, 0), now);
    c.OnReport("told", LoadKnowing2(0, 0), now);
    const Choice x = c.Choose(fleet.Candidates(), need, now);
    BOOST_REQUIRE(x.m_Server != nullptr);
    BOOST_TEST(x.m_Server->m_Id == "told");
    BOOST_TEST(x.m_Candidates == 1u);
}

// Guards against counting on an agent that knows the version and not its deadline: it stops the server some time after it heard of the version.
BOOST_AUTO_TEST_CASE(a_server_whose_agent_does_not_know_the_time_of_the_newer_version_drops_out_before_others)
{
    const Service         s = ModelService();
    const Fleet           fleet{{Entry("heard", "model"), Entry("told", "model")}};
    const WeightsDeadline deadlines[] = {{2, kStart + seconds(10)}};
    RequestNeed           need        = Need(s);
    need.m_WeightsDeadlines           = deadlines;
    ServerChoice    c({}, 1);
    const TimePoint now   = kStart + milliseconds(7500);
    LoadReport      heard = Load(0, 0);
    heard.m_Named         = {{2, -1}};
    c.OnReport("heard", heard, now);
    c.OnReport("told", LoadKnowing2(0, 0), now);
    const Choice x = c.Choose(fleet.Candidates(), need, now);
    BOOST_REQUIRE(x.m_Server != nullptr);
    BOOST_TEST(x.m_Server->m_Id == "told");
    BOOST_TEST(x.m_Candidates == 1u);
}

BOOST_AUTO_TEST_CASE(near_a_deadline_servers_with_newer_weights_go_first_until_they_are_busier)
{
    const Service         s           = ModelService();
    const WeightsDeadline deadlines[] = {{2, kStart + seconds(10)}};
    RequestNeed           need        = Need(s);
    need.m_WeightsDeadlines           = deadlines;
    const Fleet fleet{{Entry("old", "model"), Entry("new", "model")}};
    const auto  chosen = [&](uint32_t running_new, TimePoint now)
    {
        ServerChoice c({}, 1);
        c.OnReport("old", LoadKnowing2(0, 0, 1), now);
        c.OnReport("new", LoadKnowing2(running_new, 0, 2), now);
        return c.Choose(fleet.Candidates(), need, now).m_Server->m_Id;
    };
    BOOST_TEST(chosen(1, kStart + seconds(8)) == "new");
    BOOST_TEST(chosen(4, kStart + seconds(8)) == "old"); // all its slots are taken
    BOOST_TEST(chosen(1, kStart + seconds(2)) == "old"); // far from the deadline: otherwise the first servers with new weights get all
}

// Guards against a weights deadline that moves: declaring version 3 two seconds after version 2 postponed the deadline of version 2.
BOOST_AUTO_TEST_CASE(a_newer_version_does_not_put_off_the_deadline_of_the_one_before)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("one", "model"), Entry("two", "model")}};
    ServerChoice  c({}, 1);
    c.OnReport("one", Load(0, 0, 1), kStart);
    c.OnReport("two", Load(4, 0, 2), kStart);
    const std::vector<WeightsDeadline> deadlines = {{2, kStart}, {3, kStart + seconds(6)}};
    RequestNeed                        need      = Need(s);
    need.m_IsRetry                               = true;
    need.m_WeightsDeadlines                      = deadlines;
    for (int i = 0; i < 20; i++)
        BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server->m_Id == "two");
}

// A server may restart under the same id. State of the earlier incarnation must not be applied to the new one.
BOOST_AUTO_TEST_CASE(state_of_an_incarnation_does_not_apply_to_the_next_one)
{
    const Service s = ModelService();
    Fleet         fleet{{Entry("a", "model"), Entry("b", "model")}};
    for (ServerEntry& e : fleet.m_Entries)
        e.m_BornMs = 1000;
    ServerChoice c({}, 1);
    c.OnReport({"a", 1000}, Load(4, 1), kStart);
    c.OnReport({"b", 1000}, Load(1, 0), kStart);
    c.OnSent({"a", 1000}, 500, kStart);
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_Server->m_Id == "b");
    c.OnReport({"a", 2000}, Load(0, 0), kStart); // restarted: no load and no failures
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_Server->m_Id == "a");
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_InFlight == 0u);
    c.OnReport({"a", 1000}, Load(4, 4), kStart); // a late report of the earlier incarnation
    for (int i = 0; i < 8; i++)
        c.OnEnd({"a", 1000}, ServerOutcome_Failed, 500, milliseconds(900), kStart); // outcomes of requests of the earlier incarnation
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_Server->m_Id == "a");
    const std::vector<ServerLife> tried = {{"a", 1000}};
    RequestNeed                   need  = Need(s);
    need.m_Tried                        = tried;
    fleet.m_Entries[0].m_BornMs         = 2000;
    BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server->m_Id == "a"); // a different incarnation was tried
    fleet.m_Entries[0].m_BornMs = 0;                                              // the entry has no start time: the id alone counts
    BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server->m_Id == "b");
}

BOOST_AUTO_TEST_CASE(of_boxes_that_answered_the_one_with_the_shortest_wait_is_taken_and_no_other_counts)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("a", "model"), Entry("b", "model"), Entry("silent", "model")}};
    ServerChoice  c({}, 1);
    c.OnReport("silent", Load(0, 0), kStart);
    LoadReport a = Load(1, 0);
    a.m_Promised = 5; // places reserved by other routers: more than its slots
    a.m_UnreadMs = 300;
    LoadReport b = Load(3, 0);
    b.m_UnreadMs = 0;
    c.OnReport("a", a, kStart);
    c.OnReport("b", b, kStart);
    RequestNeed need        = Need(s);
    need.m_FreshAnswersOnly = true;
    const Choice x          = c.Choose(fleet.Candidates(), need, kStart);
    BOOST_REQUIRE(x.m_Server != nullptr);
    BOOST_TEST(x.m_Server->m_Id == "b");
    BOOST_TEST(x.m_Candidates == 2u);
    BOOST_TEST(x.m_InFlight == 3u);
    const Choice late = c.Choose(fleet.Candidates(), need, kStart + seconds(1)); // answers are valid for milliseconds
    BOOST_TEST(late.m_Candidates == 0u);
}

BOOST_AUTO_TEST_CASE(few_boxes_are_asked_none_twice_and_a_silent_one_last)
{
    const Service s = ModelService();
    Fleet         fleet;
    for (int i = 0; i < 40; i++)
        fleet.m_Entries.push_back(Entry("s" + std::to_string(i), "model", i < 30 ? "dc-1" : "dc-2"));
    ServerChoice c({}, 1);
    for (int i = 0; i < 40; i++)
        c.OnReport("s" + std::to_string(i), Load(static_cast<uint32_t>(i % 4), 0), kStart);
    std::vector<ServerLife> asked;
    std::set<std::string>   ids;
    for (int round = 0; round < 20; round++)
    {
        const auto boxes = c.ServersToAsk(fleet.Candidates(), Need(s), asked, kStart);
        BOOST_TEST(boxes.size() <= 3u);
        for (const ServerEntry* e : boxes)
        {
            BOOST_TEST(ids.insert(e->m_Id).second, e->m_Id << " twice");
            asked.push_back(e->Life());
        }
    }
    BOOST_TEST(ids.size() == 40u); // every box was asked
    for (int i = 1; i < 40; i++)
        c.OnNoAnswer("s" + std::to_string(i), kStart);
    int first = 0;
    for (int i = 0; i < 200; i++)
    {
        const auto boxes = c.ServersToAsk(fleet.Candidates(), Need(s), {}, kStart);
        for (size_t k = 0; k < boxes.size(); k++)
            if (boxes[k]->m_Id == "s0")
            {
                BOOST_TEST(k == 0u);
                first++;
            }
    }
    BOOST_TEST(first > 20); // is in the sample of 12 out of 30
}

// A box may answer while its server can't take a request.
BOOST_AUTO_TEST_CASE(a_box_that_starts_other_weights_or_holds_none_is_not_taken_though_it_answers)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("a", "model"), Entry("b", "model")}};
    ServerChoice  c({}, 1);
    LoadReport    starting = Load(0, 0);
    starting.m_UnreadMs    = 0;
    LoadReport empty       = starting;
    starting.m_Starting    = true;
    empty.m_Weights        = 0;
    c.OnReport("a", starting, kStart);
    c.OnReport("b", empty, kStart);
    RequestNeed need        = Need(s);
    need.m_FreshAnswersOnly = true;
    BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server == nullptr);
}

BOOST_AUTO_TEST_CASE(a_server_that_was_tried_is_not_tried_again)
{
    const Service                 s = PlainService();
    const Fleet                   fleet{{Entry("a", "plain"), Entry("b", "plain")}};
    ServerChoice                  c({}, 1);
    const std::vector<ServerLife> tried = {"a"};
    RequestNeed                   need  = Need(s);
    need.m_Tried                        = tried;
    for (int i = 0; i < 20; i++)
        BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server->m_Id == "b");
}

BOOST_AUTO_TEST_CASE(an_unreachable_server_is_left_out_for_a_growing_time_but_never_all_of_them)
{
    const Service s = PlainService();
    const Fleet   fleet{{Entry("a", "plain"), Entry("b", "plain")}};
    ServerChoice  c({}, 1);
    c.OnSent("a", 0, kStart);
    c.OnEnd("a", ServerOutcome_Unreachable, 0, milliseconds(300), kStart);
    for (int i = 0; i < 20; i++)
        BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart + milliseconds(200)).m_Server->m_Id == "b");
    c.OnSent("b", 0, kStart);
    c.OnEnd("b", ServerOutcome_Unreachable, 0, milliseconds(300), kStart);
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart + milliseconds(200)).m_Server != nullptr);
}

// A suspension is the router's own guess and may be overruled; a pause is the server's word.
BOOST_AUTO_TEST_CASE(a_server_that_asked_for_a_pause_is_not_tried_though_all_others_are_suspended)
{
    for (const Service& s : {ModelService(), PlainService()})
    {
        const Fleet  fleet{{Entry("a", s.m_Name), Entry("b", s.m_Name)}};
        ServerChoice c({}, 1);
        ServerLimits limits(1);
        RequestNeed  need = Need(s);
        need.m_Limits     = &limits;
        c.OnReport("a", Load(0, 0), kStart);
        c.OnReport("b", Load(0, 0), kStart);
        limits.OnPause("a", kStart + seconds(2), kStart);
        c.OnSent("b", 0, kStart);
        c.OnEnd("b", ServerOutcome_Unreachable, 0, milliseconds(1), kStart);
        for (const bool claims : {false, true})
        {
            need.m_ClaimsAtCold = claims;
            BOOST_TEST(c.Choose(fleet.Candidates(), need, kStart).m_Server->m_Id == "b");
            for (const ServerEntry* e : c.ServersToAsk(fleet.Candidates(), need, {}, kStart))
                BOOST_TEST(e->m_Id == "b");
            if (s.m_Engine)
                for (const Choice& x : c.ServersToClaim(fleet.Candidates(), need, kStart))
                    BOOST_TEST(x.m_Server->m_Id == "b");
        }
    }
}

BOOST_AUTO_TEST_CASE(callers_come_back_spread_out_after_the_first_of_all_pauses)
{
    const Service      s = PlainService();
    const Fleet        fleet{{Entry("a", "plain"), Entry("b", "plain")}};
    ServerChoice       c({}, 1);
    ServerLimits       limits(1);
    RequestNeed        need = Need(s);
    std::set<Duration> waits;
    need.m_Limits = &limits;
    limits.OnPause("a", kStart + seconds(4), kStart);
    BOOST_TEST((c.Choose(fleet.Candidates(), need, kStart).m_Server != nullptr)); // b serves
    limits.OnPause("b", kStart + seconds(2), kStart);
    for (int i = 0; i < 50; i++)
    {
        const Choice x = c.Choose(fleet.Candidates(), need, kStart);
        BOOST_TEST((x.m_Server == nullptr));
        BOOST_TEST((x.m_RetryAfter >= seconds(2)));
        BOOST_TEST((x.m_RetryAfter < seconds(3)));
        waits.insert(x.m_RetryAfter);
    }
    BOOST_TEST(waits.size() > 25u);
    BOOST_TEST((c.Choose(fleet.Candidates(), need, kStart + seconds(2)).m_Server->m_Id == "b"));
}

BOOST_AUTO_TEST_CASE(failures_move_requests_to_the_other_server_and_successes_bring_them_back)
{
    const Service s = PlainService();
    const Fleet   fleet{{Entry("a", "plain"), Entry("b", "plain", "dc-2")}};
    ServerChoice  c({}, 1);
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_Server->m_Id == "a"); // of the own data centre
    for (int i = 0; i < 8; i++)
    {
        c.OnSent("a", 0, kStart);
        c.OnEnd("a", ServerOutcome_Failed, 0, milliseconds(50), kStart);
    }
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_Server->m_Id == "b");
    for (int i = 0; i < 40; i++)
    {
        c.OnSent("a", 0, kStart);
        c.OnEnd("a", ServerOutcome_Good, 0, milliseconds(50), kStart);
    }
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_Server->m_Id == "a");
}

// Guards against overload of a newly started server, which looks empty to all routers until its next report.
BOOST_AUTO_TEST_CASE(routers_that_share_a_stale_view_do_not_all_send_to_the_server_that_looks_best)
{
    constexpr int kRouters  = 12;
    constexpr int kServers  = 12;
    constexpr int kRequests = 48; // in a tenth of a second, from each router in turn
    const Service s         = ModelService();
    Fleet         fleet;
    for (int i = 0; i < kServers; i++)
        fleet.m_Entries.push_back(Entry("s" + std::to_string(i), "model"));
    std::vector<ServerChoice> routers;
    for (int r = 0; r < kRouters; r++)
        routers.emplace_back(ServerChoiceConfig{}, static_cast<uint64_t>(r));
    const auto report = [&](TimePoint now)
    {
        for (ServerChoice& r : routers)
            for (int i = 0; i < kServers; i++)
            {
                LoadReport load = Load(i == 0 ? 0 : 3, 0);
                load.m_Routers  = kRouters;
                r.OnReport("s" + std::to_string(i), load, now);
            }
    };
    std::vector<std::pair<ServerChoice*, std::string>> sent; // requests sent since the last report
    TimePoint                                          now      = kStart;
    int                                                to_empty = 0;
    for (int k = 0; k < 20 * kRequests; k++) // routers need some time to estimate the rate
    {
        if (k % kRequests == 0)
        {
            for (const auto& [router, server] : sent)
                router->OnEnd(server, ServerOutcome_Good, 500, milliseconds(100), now);
            sent.clear();
            report(now);
            to_empty = 0;
        }
        now += milliseconds(100) / kRequests;
        const Choice x = routers[static_cast<size_t>(k % kRouters)].Choose(fleet.Candidates(), Need(s), now);
        if (x.m_Server == nullptr)
            continue;
        to_empty += x.m_Server->m_Id == "s0" ? 1 : 0;
        ServerChoice& router = routers[static_cast<size_t>(k % kRouters)];
        router.OnSent(x.m_Server->m_Id, 500, now);
        sent.emplace_back(&router, x.m_Server->m_Id);
    }
    BOOST_TEST(to_empty > 0);             // the empty server gets some requests
    BOOST_TEST(to_empty < kRequests / 3); // but not those of all routers
}

BOOST_AUTO_TEST_CASE(a_server_that_reports_nothing_is_left_alone_while_others_report)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("silent", "model"), Entry("busy", "model")}};
    ServerChoice  c({}, 1);
    c.OnReport("busy", Load(3, 0), kStart);
    BOOST_TEST(c.Choose(fleet.Candidates(), Need(s), kStart).m_Server->m_Id == "busy");
    const TimePoint later = kStart + seconds(5); // no server has a fresh report any more: all are candidates
    BOOST_TEST((c.Choose(fleet.Candidates(), Need(s), later).m_Server != nullptr));
}

BOOST_AUTO_TEST_CASE(slow_answers_move_requests_away_and_time_brings_them_back)
{
    const Service s = ModelService();
    const Fleet   fleet{{Entry("slow", "model"), Entry("busy", "model")}};
    ServerChoice  c({}, 1);
    const auto    chosen = [&](TimePoint now)
    {
        c.OnReport("slow", Load(0, 0), now);
        c.OnReport("busy", Load(2, 0), now);
        return c.Choose(fleet.Candidates(), Need(s), now).m_Server->m_Id;
    };
    BOOST_TEST(chosen(kStart) == "slow");
    for (int i = 0; i < 4; i++)
    {
        c.OnSent("slow", 500, kStart);
        c.OnEnd("slow", ServerOutcome_Slow, 500, seconds(2), kStart);
    }
    BOOST_TEST(chosen(kStart + milliseconds(100)) == "busy");
    BOOST_TEST(chosen(kStart + seconds(20)) == "slow"); // without a successful request in between: failures decay
}

BOOST_AUTO_TEST_CASE(properties_of_choices)
{
    ALDERVALE_PROPERTY("a chosen server is a candidate that was not tried, and a refusal has a retry delay within bounds",
                       []
                       {
                           const Service s = *rc::gen::arbitrary<bool>() ? ModelService() : PlainService();
                           Fleet         fleet;
                           const int     n = *rc::gen::inRange(0, 6);
                           for (int i = 0; i < n; i++)
                               fleet.m_Entries.push_back(Entry("s" + std::to_string(i), s.m_Name, *rc::gen::element<std::string>("dc-1", "dc-2")));
                           ServerChoice c({}, 7);
                           for (int i = 0; i < n; i++)
                           {
                               if (*rc::gen::arbitrary<bool>())
                                   c.OnReport("s" + std::to_string(i),
                                              Load(*rc::gen::inRange(0u, 9u), *rc::gen::inRange(0u, 9u), *rc::gen::inRange(0u, 3u)), kStart);
                               for (int k = *rc::gen::inRange(0, 4); k > 0; k--)
                                   c.OnSent("s" + std::to_string(i), 500, kStart);
                           }
                           std::vector<ServerLife> tried;
                           for (int i = 0; i < n; i++)
                               if (*rc::gen::arbitrary<bool>())
                                   tried.emplace_back("s" + std::to_string(i));
                           RequestNeed need = Need(s, *rc::gen::inRange(0, 5000));
                           need.m_Tried     = tried;
                           need.m_IsRetry   = *rc::gen::arbitrary<bool>();
                           const Choice x   = c.Choose(fleet.Candidates(), need, kStart + milliseconds(*rc::gen::inRange(0, 3000)));
                           if (x.m_Server == nullptr)
                           {
                               RC_ASSERT(x.m_RetryAfter > Duration::zero());
                               RC_ASSERT(x.m_RetryAfter <= seconds(2));
                               return;
                           }
                           const ServerLife taken = x.m_Server->Life();
                           const bool       again = std::any_of(tried.begin(), tried.end(), [&](const ServerLife& t) { return t.Is(taken); });
                           RC_ASSERT(!again);
                       });
    ALDERVALE_PROPERTY("in flight never goes below zero, whatever the order of reports and ends",
                       []
                       {
                           const Service s = ModelService();
                           const Fleet   fleet{{Entry("a", "model")}};
                           ServerChoice  c({}, 3);
                           int           open = 0;
                           TimePoint     now  = kStart;
                           for (int step = *rc::gen::inRange(0, 60); step > 0; step--)
                           {
                               now += milliseconds(*rc::gen::inRange(0, 400));
                               switch (*rc::gen::inRange(0, 3))
                               {
                               case 0:
                                   c.OnSent("a", 100, now);
                                   open++;
                                   break;
                               case 1:
                                   if (open > 0)
                                       c.OnEnd("a", ServerOutcome_Good, 100, milliseconds(5), now);
                                   open -= open > 0 ? 1 : 0;
                                   break;
                               default:
                                   c.OnReport("a", Load(*rc::gen::inRange(0u, 3u), 0), now);
                               }
                               RequestNeed need = Need(s);
                               need.m_IsRetry   = true;
                               const Choice x   = c.Choose(fleet.Candidates(), need, now);
                               RC_ASSERT(x.m_InFlight < 1000u);
                               if (x.m_Server != nullptr)
                                   RC_ASSERT(static_cast<int>(x.m_InFlight) >= open);
                           }
                       });
}

// Shares of a cold server's rate allow few routers to send: after a loss of everything all servers are cold, and most routers refused all callers.
BOOST_AUTO_TEST_CASE(a_cold_model_server_is_claimed_at_its_box_by_any_router)
{
    ServerChoice choice({}, 1);
    ServerLimits limits(1);
    ServerEntry  entry = Entry("a", "model", "dc-1", 5);
    entry.m_Weights    = 1;
    limits.SetColdServers(std::vector<ColdServer>{{LifeHash(entry.Life()), 14, kStart + seconds(3)}}, kStart);
    const Service model                           = ModelService();
    RequestNeed   need                            = Need(model);
    need.m_Limits                                 = &limits;
    const std::vector<const ServerEntry*> servers = {&entry};
    BOOST_TEST(choice.Choose(servers, need, kStart).m_Server == nullptr); // this router knows no other one, and has no share
    need.m_ClaimsAtCold = true;
    const Choice best   = choice.Best(servers, need, kStart);
    BOOST_TEST(best.m_Server == &entry);
    BOOST_TEST(best.m_ColdPerSecond == 14);
    BOOST_TEST(choice.NeedsClaim(best, need));
    need.m_IsRetry = true;
    BOOST_TEST(choice.NeedsClaim(best, need));
    BOOST_TEST(!choice.NeedsClaim(choice.Best(servers, need, kStart + seconds(3)), need)); // it is warm
}

// Guards against requests that wait in a box's queue past their time limits.
BOOST_AUTO_TEST_CASE(a_claim_waits_no_longer_than_its_request_has_time)
{
    const ServerChoice choice({}, 1);
    const Service      model    = ModelService();
    RequestNeed        need     = Need(model);
    const Duration     patience = choice.ClaimQueueWait({}, need);
    BOOST_TEST((patience > kClaimedTimeMin));
    need.m_TimeToDeadline = patience;
    BOOST_TEST((choice.ClaimQueueWait({}, need) == patience - kClaimedTimeMin));
    for (const Duration none : {Duration(kClaimedTimeMin), Duration::zero(), Duration(milliseconds(-5))})
    {
        need.m_TimeToDeadline = none;
        BOOST_TEST((choice.ClaimQueueWait({}, need) == Duration::zero()));
    }
}

// Guards against a server that is filled up to its slots where its box found that it serves fewer requests well, and against a capacity that counts
// in a deployment without the setting.
BOOST_AUTO_TEST_CASE(a_learned_capacity_takes_the_place_of_the_slots_only_where_it_is_used)
{
    ServerChoice choice({}, 1);
    ServerEntry  entry                            = Entry("a", "model", "dc-1", 5);
    entry.m_Weights                               = 1;
    const Service                         model   = ModelService();
    const std::vector<const ServerEntry*> servers = {&entry};
    LoadReport                            report  = Load(2, 0);
    report.m_Capacity                             = 2;
    choice.OnReport(entry.Life(), report, kStart);
    RequestNeed  need    = Need(model);
    const Choice by_slot = choice.Best(servers, need, kStart);
    BOOST_TEST(by_slot.m_Places == 4u);
    BOOST_TEST(!choice.NeedsClaim(by_slot, need));
    need.m_LearnedCapacity = true;
    const Choice learned   = choice.Best(servers, need, kStart);
    BOOST_TEST(learned.m_Places == 2u);
    BOOST_TEST(choice.NeedsClaim(learned, need));
    BOOST_TEST(ToMs(learned.m_Predicted) > ToMs(by_slot.m_Predicted)); // it waits for a place
}
