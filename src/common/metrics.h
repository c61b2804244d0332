// aldervale: metrics, read as Prometheus text at /metrics
//
// Usage:
//   static Counter&   sent    = Metrics().GetCounter("aldervale_requests_total", "verdict=\"ran\"");
//   static HistogramMetric& seconds = Metrics().GetHistogram("aldervale_request_seconds");
//   sent.Add(1); seconds.Record(0.012);
// References stay valid for the life of the process. Histograms are Boost.Histogram with logarithmic bins from 10 us to 100 s.

#pragma once
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace aldervale
{

class Counter
{
public:
    void     Add(uint64_t n) { m_Value.fetch_add(n, std::memory_order_relaxed); }
    uint64_t Get() const { return m_Value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_Value{0}; // never falls
};

class Gauge
{
public:
    void   Set(double v) { m_Value.store(v, std::memory_order_relaxed); }
    double Get() const { return m_Value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_Value{0}; // whole numbers are exact up to 2^53
};

class HistogramMetric // seconds
{
public:
    HistogramMetric();
    ~HistogramMetric();
    void        Record(double seconds);   // any thread
    double      Quantile(double q) const; // seconds; upper edge of the bin that holds it; 0 when empty
    uint64_t    Count() const;            //
    std::string Prometheus(std::string_view name, std::string_view labels) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_Impl;
};

class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    Counter&         GetCounter(std::string_view name, std::string_view labels = {});
    Gauge&           GetGauge(std::string_view name, std::string_view labels = {});
    HistogramMetric& GetHistogram(std::string_view name, std::string_view labels = {});
    std::string      Prometheus() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_Impl;
};

MetricsRegistry& Metrics(); // of this process

} // namespace aldervale
