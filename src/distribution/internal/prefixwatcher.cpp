#include "distribution/internal/prefixwatcher.h"

#include "global/iclock.h"
#include "store/types/storedvalue.h"

#include <algorithm>
#include <utility>

namespace radishladder::distribution {
namespace {
constexpr std::chrono::milliseconds kFirstBackOff{250};
constexpr std::chrono::milliseconds kLongestBackOff{2000};
constexpr std::chrono::milliseconds kPollPeriod{3000};
constexpr std::chrono::milliseconds kCallGivenUp{4000};

//! Other users of the store move its revision too, so that it alone justifies few lists.
constexpr std::chrono::seconds kListPeriod{15};
}

PrefixWatcher::PrefixWatcher(std::string prefix, std::string polledKey, store::IConfigStore &store,
                             const IClock &clock, Handlers handlers)
    : prefix(std::move(prefix)), polledKey(std::move(polledKey)), store(store), clock(clock),
      handlers(std::move(handlers))
{ }

PrefixWatcher::~PrefixWatcher()
{
    this->stop();
}

//! Wraps a handler so that it does nothing once the calls of this turn were given up.
template <typename Function>
auto PrefixWatcher::whileCurrent(Function function)
{
    return [held = std::weak_ptr<int>(this->turn), function](auto &&...arguments) {
        if (!held.expired()) {
            function(std::forward<decltype(arguments)>(arguments)...);
        }
    };
}

void PrefixWatcher::start()
{
    if (this->phase == Phase::Stopped) {
        this->needsList = true;
        this->backOff = {};
        this->list();
    }
}

void PrefixWatcher::stop()
{
    this->turn = std::make_shared<int>();
    this->phase = Phase::Stopped;
    if (this->watchId) {
        this->store.cancelWatch(*std::exchange(this->watchId, std::nullopt));
    }
}

void PrefixWatcher::tick()
{
    const TimePoint now = this->clock.now();
    switch (this->phase) {
    case Phase::Stopped:
        return;
    case Phase::Waiting:
        if (now >= this->retryAt) {
            this->needsList ? this->list() : this->watch();
        }
        return;
    case Phase::Listing:
        if (now - this->listingSince >= kCallGivenUp) {
            this->turn = std::make_shared<int>();
            this->retryLater(Phase::Listing);
        }
        return;
    case Phase::Watching:
        if (now - this->polledAt >= kPollPeriod) {
            this->poll();
        }
        return;
    }
}

void PrefixWatcher::list()
{
    this->phase = Phase::Listing;
    this->listingSince = this->clock.now();
    this->store.list(this->prefix,
                     this->whileCurrent(
                         [this](const auto &values, std::int64_t atRevision, const Reason &reason) {
                             this->handlers.reached(reason);
                             if (!values) {
                                 this->retryLater(Phase::Listing);
                                 return;
                             }
                             this->listedAt = this->clock.now();
                             this->backOff = {};
                             this->needsList = false;
                             // A store that answers with an older state must not move the watch
                             // back.
                             if (atRevision >= this->revision) {
                                 this->revision = atRevision;
                                 this->handlers.listed(*values, atRevision);
                             }
                             this->watch();
                         }));
}

void PrefixWatcher::watch()
{
    if (this->watchId) {
        this->store.cancelWatch(*std::exchange(this->watchId, std::nullopt));
    }
    this->phase = Phase::Watching;
    this->polledAt = this->clock.now();
    auto isEnded = std::make_shared<bool>(false);
    const auto id = this->store.watch(
        this->prefix, this->revision + 1,
        this->whileCurrent(
            [this, isEnded](const std::vector<store::StoredValue> &events, const Reason &reason) {
                if (*isEnded) {
                    return;
                }
                for (const store::StoredValue &event : events) {
                    this->revision = std::max(this->revision, event.revision);
                }
                if (!events.empty()) {
                    this->backOff = {};
                    this->handlers.changed(events);
                }
                if (reason.code != ResultCode::Ok) {
                    *isEnded = true;
                    this->watchEnded(reason);
                }
            }));
    if (!*isEnded) {
        this->watchId = id;
    }
}

void PrefixWatcher::watchEnded(const Reason &reason)
{
    this->watchId.reset();
    this->needsList = reason.code == ResultCode::StoreWatchCompacted;
    this->retryLater(Phase::Watching);
}

void PrefixWatcher::retryLater(Phase next)
{
    this->needsList = this->needsList || next == Phase::Listing;
    this->phase = Phase::Waiting;
    this->retryAt = this->clock.now() + this->backOff;
    this->backOff = std::min(kLongestBackOff, std::max(kFirstBackOff, 2 * this->backOff));
}

void PrefixWatcher::poll()
{
    this->polledAt = this->clock.now();
    this->store.get(this->polledKey,
                    this->whileCurrent([this](const auto &value, std::int64_t atRevision,
                                              const Reason &reason) {
                        const bool isAnswered = reason.code == ResultCode::Ok
                            || reason.code == ResultCode::StoreKeyMissing;
                        this->handlers.reached(isAnswered ? Reason{} : reason);
                        if (this->phase != Phase::Watching || !isAnswered) {
                            return;
                        }
                        const bool isKeyMissed = value && value->revision > this->revision;
                        const bool isListDue = atRevision > this->revision
                            && this->clock.now() - this->listedAt >= kListPeriod;
                        if (!isKeyMissed && !isListDue) {
                            return;
                        }
                        // The watch should have told: it hangs, or the change was outside the
                        // prefix.
                        if (this->watchId) {
                            this->store.cancelWatch(*std::exchange(this->watchId, std::nullopt));
                        }
                        this->turn = std::make_shared<int>();
                        this->list();
                    }));
}
}
