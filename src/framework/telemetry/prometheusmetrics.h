#pragma once

#include "telemetry/imetrics.h"

#include <memory>

namespace radishladder::telemetry {

//! Metrics registry based on prometheus-cpp.
class PrometheusMetrics : public IMetrics
{
public:
    PrometheusMetrics();
    ~PrometheusMetrics() override;

    ICounter &counter(std::string_view name, const std::vector<Label> &labels = {}) override;
    IGauge &gauge(std::string_view name, const std::vector<Label> &labels = {}) override;
    IHistogram &histogram(std::string_view name) override;
    std::string exposition() const override;

private:
    struct State;
    std::unique_ptr<State> state;
};
}
