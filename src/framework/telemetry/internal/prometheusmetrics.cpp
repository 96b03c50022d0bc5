#include "telemetry/prometheusmetrics.h"

#include "telemetry/icounter.h"
#include "telemetry/igauge.h"
#include "telemetry/ihistogram.h"

#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace radishladder::telemetry {
namespace {
class Counter : public ICounter
{
public:
    explicit Counter(prometheus::Counter &counter) : counter(counter) { }
    void add(std::uint64_t amount) override
    {
        this->counter.Increment(static_cast<double>(amount));
    }
    std::uint64_t value() const override
    {
        return static_cast<std::uint64_t>(this->counter.Value());
    }

private:
    prometheus::Counter &counter;
};

class Gauge : public IGauge
{
public:
    explicit Gauge(prometheus::Gauge &gauge) : gauge(gauge) { }
    void set(double value) override { this->gauge.Set(value); }

private:
    prometheus::Gauge &gauge;
};

class Histogram : public IHistogram
{
public:
    explicit Histogram(prometheus::Histogram &histogram) : histogram(histogram) { }
    void observe(std::chrono::milliseconds value) override
    {
        this->histogram.Observe(std::chrono::duration<double>(value).count());
    }

private:
    prometheus::Histogram &histogram;
};

const prometheus::Histogram::BucketBoundaries kBucketBoundsSeconds{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10};

std::string fullName(std::string_view name)
{
    return "radishladder_" + std::string(name);
}
}

struct PrometheusMetrics::State
{
    std::mutex mutex;
    prometheus::Registry registry;
    std::map<std::pair<std::string, std::map<std::string, std::string>>, std::unique_ptr<Counter>>
        counters;
    std::map<std::pair<std::string, std::map<std::string, std::string>>, std::unique_ptr<Gauge>>
        gauges;
    std::map<std::string, std::unique_ptr<Histogram>> histograms;
};

PrometheusMetrics::PrometheusMetrics() : state(std::make_unique<State>()) { }

PrometheusMetrics::~PrometheusMetrics() = default;

ICounter &PrometheusMetrics::counter(std::string_view name, const std::vector<Label> &labels)
{
    const std::scoped_lock lock(this->state->mutex);
    const std::map<std::string, std::string> labelMap(labels.begin(), labels.end());
    auto &metric = this->state->counters[{std::string(name), labelMap}];
    if (!metric) {
        auto &family =
            prometheus::BuildCounter().Name(fullName(name)).Register(this->state->registry);
        metric = std::make_unique<Counter>(family.Add(labelMap));
    }
    return *metric;
}

IGauge &PrometheusMetrics::gauge(std::string_view name, const std::vector<Label> &labels)
{
    const std::scoped_lock lock(this->state->mutex);
    const std::map<std::string, std::string> labelMap(labels.begin(), labels.end());
    auto &metric = this->state->gauges[{std::string(name), labelMap}];
    if (!metric) {
        auto &family =
            prometheus::BuildGauge().Name(fullName(name)).Register(this->state->registry);
        metric = std::make_unique<Gauge>(family.Add(labelMap));
    }
    return *metric;
}

IHistogram &PrometheusMetrics::histogram(std::string_view name)
{
    const std::scoped_lock lock(this->state->mutex);
    auto &metric = this->state->histograms[std::string(name)];
    if (!metric) {
        auto &family =
            prometheus::BuildHistogram().Name(fullName(name)).Register(this->state->registry);
        metric = std::make_unique<Histogram>(family.Add({}, kBucketBoundsSeconds));
    }
    return *metric;
}

std::string PrometheusMetrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}
}
