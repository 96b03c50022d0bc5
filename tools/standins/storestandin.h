#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace radishladder::standins {

//! Small stand-in of the platform's store: the part of the etcd v3 JSON gateway that the system
//! uses, with faults that can be switched on. A watch ends after its first events.
class StoreStandin
{
public:
    explicit StoreStandin(const net::Endpoint &local);
    ~StoreStandin();

    bool start();
    void stop();

    //! Writes without a call, as the platform itself does.
    void put(const std::string &key, const std::string &value);

    //! Calls received so far; a waiting watch counts as one.
    std::uint64_t calls() const;

    //! Revision of the last change.
    std::int64_t revision() const;

    //! Closes connections unanswered and runs nothing.
    void setDown(bool down);

    //! Answers after \a delay; writes take effect at once.
    void setDelay(std::chrono::milliseconds delay);

    //! Writes take effect and their connections are closed unanswered.
    void setLoseAnswers(bool lose);

    //! The same for the next write only.
    void loseNextAnswer();

    //! Ends all leases as if they had not been kept alive.
    void lapseLeases();

    //! Answers reads as of \a revision until serveCurrent().
    void serveStale(std::int64_t revision);
    void serveCurrent();

    //! Closes connections from \a address unanswered, as a network partition would.
    void refuseFrom(std::uint32_t address);
    void acceptFrom(std::uint32_t address);

    //! Watches from before \a revision are refused.
    void compact(std::int64_t revision);

private:
    struct State;
    std::unique_ptr<State> state;
};
}
