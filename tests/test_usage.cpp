// Usage accounting, burn rates and their report, histograms, gauges.
#include "common/metrics.h"
#include "process/burn_report.h"
#include "request/usage.h"
#include "support.h"

using namespace aldervale;

BOOST_AUTO_TEST_CASE(totals_add_up)
{
    ALDERVALE_PROPERTY(
        "the verdict counts of an account add up to its requests",
        []
        {
            Usage     u;
            uint64_t  sent = 0;
            TimePoint now  = TimePoint() + seconds(100'000);
            for (const int v : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3)))
            {
                u.Record({"s", "a", static_cast<Verdict>(v), v == 2, 10, 20, 1}, now);
                sent++;
            }
            if (sent == 0)
                return;
            const json::object  totals = u.Totals();
            const json::object& t      = totals.at("a").as_object();
            RC_ASSERT(t.at("requests").to_number<uint64_t>() == sent);
            RC_ASSERT(t.at("ran").to_number<uint64_t>() + t.at("not_run").to_number<uint64_t>() + t.at("may_have_run").to_number<uint64_t>() == sent);
            RC_ASSERT(t.at("bytes_in").to_number<uint64_t>() == 10 * sent);
        });
}

BOOST_AUTO_TEST_CASE(burn_over_windows_and_routers)
{
    Usage     a;
    Usage     b;
    TimePoint now = TimePoint() + std::chrono::hours(1000);
    for (int i = 0; i < 90; i++)
        a.Record({"s", "x", Verdict_Ran, true, 0, 0, 0}, now);
    for (int i = 0; i < 10; i++)
        b.Record({"s", "x", Verdict_NotRun, false, 0, 0, 0}, now - std::chrono::minutes(20)); // outside the shortest window only
    json::array rows = a.BurnRows(now);
    MergeBurn(rows, b.BurnRows(now));
    AddBurnRates(rows, {{"s", 0.05}});
    BOOST_REQUIRE_EQUAL(rows.size(), 1u);
    const json::array& windows = rows[0].at("windows").as_array();
    BOOST_CHECK_EQUAL(windows[0].at("burn").to_number<double>(), 0.0);
    BOOST_CHECK_CLOSE(windows[1].at("burn").to_number<double>(), 2.0, 1e-6); // 10% of the requests are bad, 5% are allowed
    const json::value burn = json::object{{"routers", 2}, {"rows", rows}};
    BOOST_CHECK(BurnText(burn).find("2.00") != std::string::npos);
    BOOST_CHECK(BurnHtml(burn, "<now>").find("&lt;now&gt;") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(histogram_quantiles_are_within_a_bin)
{
    HistogramMetric h;
    for (int i = 1; i <= 1000; i++)
        h.Record(i * 1e-3);
    BOOST_CHECK_EQUAL(h.Count(), 1000u);
    BOOST_CHECK_GE(h.Quantile(0.5), 0.5);
    BOOST_CHECK_LE(h.Quantile(0.5), 0.5 * 1.16); // 16 bins per decade
    BOOST_CHECK(h.Prometheus("x", "").find("x_count 1000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_gauge_prints_large_integers_exactly_and_keeps_fractions)
{
    MetricsRegistry registry;
    registry.GetGauge("row").Set(123'456'789'012.0);
    registry.GetGauge("age", "of=\"x\"").Set(0.25);
    const std::string page = registry.Prometheus();
    BOOST_CHECK(page.find("row 123456789012\n") != std::string::npos);
    BOOST_CHECK(page.find("age{of=\"x\"} 0.25\n") != std::string::npos);
}
