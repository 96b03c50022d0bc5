#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishladder::telemetry {
class ICounter;
class IGauge;
class IHistogram;

using Label = std::pair<std::string, std::string>;

//! Registry of named metrics; returned references are valid for the lifetime of the registry.
class IMetrics
{
public:
    virtual ~IMetrics() = default;
    virtual ICounter &counter(std::string_view name, const std::vector<Label> &labels = {}) = 0;
    virtual IGauge &gauge(std::string_view name, const std::vector<Label> &labels = {}) = 0;

    //! Returns the histogram \a name, exported in seconds, with buckets from 5 ms to 10 s.
    virtual IHistogram &histogram(std::string_view name) = 0;

    //! Returns all metrics in the Prometheus text exposition format.
    virtual std::string exposition() const = 0;
};
}
