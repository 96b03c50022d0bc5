#pragma once

#include "store/iconfigstore.h"

#include <string>
#include <string_view>

namespace radishladder::store {

//! Turns the pieces of a streamed watch answer into events, one line of JSON at a time.
class EtcdWatch
{
public:
    explicit EtcdWatch(IConfigStore::WatchHandler handler);

    //! Takes the next piece; lines may be split anywhere.
    void take(std::string_view piece);

    //! Reports that the connection ended, unless the store has already ended the watch.
    void end(Reason reason);

    //! Nothing is reported any more.
    void silence() { this->ended = true; }
    bool hasEnded() const { return this->ended; }

private:
    void takeLine(const std::string &line);

    IConfigStore::WatchHandler handler;
    std::string pending;
    bool ended = false;
};
}
