#pragma once

#include "distribution/changelog.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace radishladder::distribution {
struct RelayAnswer;

//! What this VM can tell its neighbours of the store; does no I/O and reads no clock.
//!
//! Only what this VM hears from the store itself is told, so neighbours never follow each other in
//! a circle.
class ChangeBoard
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Calls \a listener when there are changes, or when this VM can no longer tell.
    void onChange(std::function<void()> listener) { this->listener = std::move(listener); }

    //! The store answered a call of this VM, or did not.
    void noteContact(TimePoint now) { this->contact = now; }
    void noteTrouble();

    //! The store answered a watch of \a prefix that asked for changes after \a after.
    void extend(const std::string &prefix, std::uint64_t after, const store::StoreListing &changes);

    //! This VM follows \a prefix through a neighbour from now on.
    void forget(const std::string &prefix);

    //! Answers a neighbour that knows everything up to \a after.
    RelayAnswer answer(const std::string &prefix, std::uint64_t after, TimePoint now) const;

private:
    void tell() const;

    std::map<std::string, ChangeLog> logs;
    std::optional<TimePoint> contact;
    std::function<void()> listener;
};
}
