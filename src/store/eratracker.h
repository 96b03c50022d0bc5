#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::store {

//! The newest era of the store that this VM knows from any response of the store or of a relay.
class EraTracker
{
public:
    //! Receives the era known before and the newer one.
    using Listener = std::function<void(std::uint64_t oldEra, std::uint64_t newEra)>;

    //! Adds a function that is called when a response has a newer era than the known one; not for
    //! the first response. It must not cancel calls to the store, since it may be called from the
    //! handler of one.
    void addListener(Listener listener) { this->listeners.push_back(std::move(listener)); }

    //! Records the era of a response. Returns false if the response must be dropped because its era
    //! is older than the known one.
    bool accept(std::uint64_t era);

    //! Returns true if accept() would reject a response of \a era.
    bool isOutdated(std::uint64_t era) const { return this->newest && era < *this->newest; }

    //! Returns the newest era; std::nullopt before the first response.
    std::optional<std::uint64_t> newestEra() const { return this->newest; }

    //! Describes a response of \a era that accept() rejected.
    std::string rejectionDetail(std::uint64_t era) const;

private:
    std::optional<std::uint64_t> newest;
    std::vector<Listener> listeners;
};
}
