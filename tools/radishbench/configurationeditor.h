#pragma once

#include "settings/types/configuration.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace radishladder::net {
class IEventLoop;
}

namespace radishladder::standins {
class StoreStandin;
}

namespace radishladder::radishbench {

//! Changes the configuration as operators would: edits made together become one change, which is
//! accepted once the store takes it.
class ConfigurationEditor
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Edit = std::function<void(settings::Configuration &)>;
    using Accepted = std::function<void(std::uint64_t generation, TimePoint at)>;

    ConfigurationEditor(settings::Configuration first, standins::StoreStandin &store,
                        net::IEventLoop &loop);

    //! Applies \a edit with the next change; \a accepted is called when the store has taken it.
    void change(const Edit &edit, Accepted accepted);

    //! While the store is down nothing is accepted.
    void setStoreDown(bool down);

    //! Calls \a listener after each accepted change.
    void onAccepted(Accepted listener) { this->listener = std::move(listener); }

    const settings::Configuration &current() const { return this->configuration; }

private:
    void publish();

    settings::Configuration configuration;
    standins::StoreStandin &store;
    net::IEventLoop &loop;
    std::vector<Accepted> waiting;
    Accepted listener;
    bool isStoreDown = false;
    bool isScheduled = false;
};
}
