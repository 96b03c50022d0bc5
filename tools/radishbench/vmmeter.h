#pragma once

#include "global/name.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <sys/types.h>

namespace radishladder::standins {
class LinkStandin;
}

namespace radishladder::radishbench {
class Cluster;

//! Processor time, memory and control traffic of the daemons.
class VmMeter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit VmMeter(const Cluster &cluster) : cluster(cluster) { }

    //! Starts a window of measurement, without load at first, then with it.
    void begin(TimePoint now);

    //! Notes memory; call it now and then.
    void sample();

    //! Processor share of the busiest daemon that lived through the whole window, in percent of a
    //! core.
    std::optional<double> cpuCorePercent(TimePoint now) const;

    //! Bytes a second of the VM that sent most peer datagrams in this window; std::nullopt if no
    //! VM sent any.
    std::optional<double> controlBytesPerSecond(TimePoint now) const;

    //! The same counted in datagrams.
    std::optional<double> controlDatagramsPerSecond(TimePoint now) const;

    std::optional<double> largestMegabytes() const { return this->largest; }

private:
    const Cluster &cluster;
    TimePoint began;
    std::map<pid_t, std::chrono::nanoseconds> timeAtBegin;
    using Counter = std::uint64_t (standins::LinkStandin::*)(const VmName &) const;

    std::optional<double> mostPerSecond(Counter counter,
                                        const std::map<std::size_t, std::uint64_t> &atBegin,
                                        TimePoint now) const;

    std::map<std::size_t, std::uint64_t> bytesAtBegin;
    std::map<std::size_t, std::uint64_t> datagramsAtBegin;
    std::optional<double> largest;
};
}
