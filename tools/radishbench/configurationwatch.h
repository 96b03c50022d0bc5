#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace radishladder::net {
class IHttpClient;
struct HttpResult;
}

namespace radishladder::radishbench {

//! Asks each VM which generation is in force there, and judges how fast changes spread and whether
//! one is taken back.
class ConfigurationWatch
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ConfigurationWatch(net::IHttpClient &client, std::vector<net::Endpoint> admins);

    //! A change with \a generation was accepted at \a at.
    void accepted(std::uint64_t generation, TimePoint at);

    //! The VM can learn of changes from \a at on: it started, woke up or was reconnected.
    void reachable(std::size_t vm, TimePoint at);

    //! The VM ended, sleeps or is cut off.
    void unreachable(std::size_t vm);

    //! The VM was started anew and knows nothing yet.
    void restarted(std::size_t vm, TimePoint at);

    //! Asks every reachable VM that has something to catch up with; call it often.
    void poll(TimePoint now);

    //! Takes in what \a vm reports.
    void report(std::size_t vm, std::uint64_t generation, TimePoint now);

    //! Longest time a VM took to have an accepted change in force; what still waits counts with
    //! its time so far. std::nullopt without a change.
    std::optional<double> secondsToConfig(TimePoint now) const;

    std::uint64_t reverted() const { return this->revertedCount; }

    //! True if every reachable VM reports the newest generation.
    bool isSettled() const;

private:
    struct Vm
    {
        net::Endpoint admin;
        bool isReachable = true;
        bool isAsking = false;
        std::uint64_t incarnation = 0;
        TimePoint since;
        std::uint64_t generation = 0;

        //! Every VM had at least this one when this one started.
        std::uint64_t leastGeneration = 0;
    };

    void ask(std::size_t index);
    std::uint64_t inForceEverywhere() const;
    double waited(const Vm &vm, std::uint64_t generation, TimePoint now) const;

    net::IHttpClient &client;
    std::vector<Vm> vms;
    std::map<std::uint64_t, TimePoint> changes;
    TimePoint lastFullPoll;
    double longestSeconds = 0;
    std::uint64_t revertedCount = 0;
};

//! Generation in the answer of an admin endpoint: JSON of /status or text of /metrics.
std::optional<std::uint64_t> parseGeneration(const std::string &body);
}
