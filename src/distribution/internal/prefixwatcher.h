#pragma once

#include "global/reason.h"
#include "store/iconfigstore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishladder {
class IClock;
}

namespace radishladder::distribution {

//! Follows the keys with one prefix in the store: lists them, then watches from there on, and polls
//! one key now and then because a watch may hang silently.
class PrefixWatcher
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! What the store holds: all keys at \a revision, or just the changes that led to it.
    using Listed = std::function<void(const std::vector<store::StoredValue> &, std::int64_t)>;
    using Changed = std::function<void(const std::vector<store::StoredValue> &)>;
    using Reached = std::function<void(const Reason &)>;

    struct Handlers
    {
        Listed listed;
        Changed changed;
        Reached reached;
    };

    PrefixWatcher(std::string prefix, std::string polledKey, store::IConfigStore &store,
                  const IClock &clock, Handlers handlers);
    ~PrefixWatcher();

    void start();
    void stop();
    void tick();

private:
    enum class Phase { Stopped, Waiting, Listing, Watching };

    void list();
    void watch();
    void watchEnded(const Reason &reason);
    void poll();
    void retryLater(Phase next);
    template <typename Function>
    auto whileCurrent(Function function);

    std::string prefix;
    std::string polledKey;
    store::IConfigStore &store;
    const IClock &clock;
    Handlers handlers;
    Phase phase = Phase::Stopped;
    bool needsList = true;
    std::int64_t revision = 0;
    std::optional<store::IConfigStore::WatchId> watchId;
    std::chrono::milliseconds backOff{};
    TimePoint retryAt{};
    TimePoint listedAt{};
    TimePoint listingSince{};
    TimePoint polledAt{};

    //! Replaced whenever earlier calls are given up; their handlers then do nothing.
    std::shared_ptr<int> turn = std::make_shared<int>();
};
}
