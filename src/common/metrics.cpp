// Metrics. See metrics.h.
#include "common/metrics.h"
#include <array>
#include <boost/histogram.hpp>
#include <iomanip>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

namespace aldervale
{

namespace bh = boost::histogram;

namespace
{

constexpr unsigned kBins        = 112;   // 16 a decade
constexpr double   kLowest      = 1e-5;  // seconds
constexpr double   kHighest     = 100.0; // seconds
constexpr size_t   kShards      = 8;     // each under its own lock
constexpr int      kGaugeDigits = 15;    // versions are told whole

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Hist = decltype(bh::make_histogram(Axis(kBins, kLowest, kHighest)));

} // namespace

struct HistogramMetric::Impl
{
    struct Shard
    {
        mutable std::mutex m_Mutex;                                                     // guards the members below
        Hist               m_Hist = bh::make_histogram(Axis(kBins, kLowest, kHighest)); //
        double             m_Sum  = 0;                                                  // seconds
    };

    std::array<Shard, kShards> m_Shards; // a thread always uses the same one

    Hist Merged(double* sum = nullptr) const
    {
        Hist all = bh::make_histogram(Axis(kBins, kLowest, kHighest));
        for (const Shard& s : m_Shards)
        {
            std::lock_guard lock(s.m_Mutex);
            all += s.m_Hist;
            if (sum != nullptr)
                *sum += s.m_Sum;
        }
        return all;
    }
};

HistogramMetric::HistogramMetric() : m_Impl(std::make_unique<Impl>())
{
}
HistogramMetric::~HistogramMetric() = default;

void HistogramMetric::Record(double seconds)
{
    const size_t    shard = std::hash<std::thread::id>{}(std::this_thread::get_id()) % kShards;
    Impl::Shard&    s     = m_Impl->m_Shards[shard];
    std::lock_guard lock(s.m_Mutex);
    s.m_Hist(seconds);
    s.m_Sum += seconds;
}

uint64_t HistogramMetric::Count() const
{
    return static_cast<uint64_t>(bh::algorithm::sum(m_Impl->Merged()));
}

double HistogramMetric::Quantile(double q) const
{
    const Hist   all   = m_Impl->Merged();
    const double total = bh::algorithm::sum(all);
    double       seen  = 0;
    if (total <= 0)
        return 0;
    for (int i = -1; i <= static_cast<int>(kBins); i++)
    {
        seen += all.at(i);
        if (seen >= q * total)
            return i < 0 ? kLowest : i >= static_cast<int>(kBins) ? kHighest : all.axis().bin(i).upper();
    }
    return kHighest;
}

static std::string WithLabel(std::string_view labels, std::string_view extra)
{
    std::string out = "{" + std::string(labels);
    if (!labels.empty() && !extra.empty())
        out += ",";
    out += extra;
    return out == "{" ? std::string() : out + "}";
}

std::string HistogramMetric::Prometheus(std::string_view name, std::string_view labels) const
{
    double             sum = 0;
    const Hist         all = m_Impl->Merged(&sum);
    std::ostringstream out;
    double             seen = all.at(-1);
    for (int i = 0; i < static_cast<int>(kBins); i++)
    {
        seen += all.at(i);
        if (i % 8 == 7) // two bounds a decade are enough to read; the inner bins serve Quantile()
            out << name << "_bucket" << WithLabel(labels, "le=\"" + std::to_string(all.axis().bin(i).upper()) + "\"") << " " << seen << "\n";
    }
    seen += all.at(static_cast<int>(kBins));
    out << name << "_bucket" << WithLabel(labels, "le=\"+Inf\"") << " " << seen << "\n";
    out << name << "_sum" << WithLabel(labels, "") << " " << sum << "\n";
    out << name << "_count" << WithLabel(labels, "") << " " << seen << "\n";
    return out.str();
}

struct MetricsRegistry::Impl
{
    mutable std::mutex                                                              m_Mutex; // guards the maps; values are thread-safe
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Counter>>         m_Counters;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Gauge>>           m_Gauges;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<HistogramMetric>> m_Histograms;
};

MetricsRegistry::MetricsRegistry() : m_Impl(std::make_unique<Impl>())
{
}
MetricsRegistry::~MetricsRegistry() = default;

template <class T>
static T& GetOrMake(std::mutex& mutex, std::map<std::pair<std::string, std::string>, std::unique_ptr<T>>& map, std::string_view name,
                    std::string_view labels)
{
    std::lock_guard lock(mutex);
    auto&           slot = map[{std::string(name), std::string(labels)}];
    if (!slot)
        slot = std::make_unique<T>();
    return *slot;
}

Counter& MetricsRegistry::GetCounter(std::string_view name, std::string_view labels)
{
    return GetOrMake(m_Impl->m_Mutex, m_Impl->m_Counters, name, labels);
}

Gauge& MetricsRegistry::GetGauge(std::string_view name, std::string_view labels)
{
    return GetOrMake(m_Impl->m_Mutex, m_Impl->m_Gauges, name, labels);
}

HistogramMetric& MetricsRegistry::GetHistogram(std::string_view name, std::string_view labels)
{
    return GetOrMake(m_Impl->m_Mutex, m_Impl->m_Histograms, name, labels);
}

std::string MetricsRegistry::Prometheus() const
{
    std::lock_guard    lock(m_Impl->m_Mutex);
    std::ostringstream out;
    for (const auto& [key, c] : m_Impl->m_Counters)
        out << key.first << WithLabel(key.second, "") << " " << c->Get() << "\n";
    out << std::setprecision(kGaugeDigits);
    for (const auto& [key, g] : m_Impl->m_Gauges)
        out << key.first << WithLabel(key.second, "") << " " << g->Get() << "\n";
    for (const auto& [key, h] : m_Impl->m_Histograms)
        out << h->Prometheus(key.first, key.second);
    return out.str();
}

MetricsRegistry& Metrics()
{
    static MetricsRegistry registry;
    return registry;
}

} // namespace aldervale
