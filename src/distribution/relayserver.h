#pragma once

#include "net/ihttpserver.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishladder {
class IClock;
}

namespace radishladder::distribution {
class ChangeBoard;

//! Answers neighbours that follow the store through this VM, or start from what it knows (see
//! relayprotocol.h); 503 if this VM cannot tell.
class RelayServer
{
public:
    RelayServer(ChangeBoard &board, const IClock &clock);

    //! True if \a path is one that neighbours ask for.
    static bool takes(const std::string &path);

    void handle(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);

    //! Answers those who have waited long enough; call it a few times a second.
    void tick();

    std::size_t waitingCount() const { return this->waiting.size(); }

private:
    struct Waiting
    {
        std::string prefix;
        std::uint64_t after = 0;
        std::chrono::steady_clock::time_point until;
        net::IHttpServer::Responder respond;
    };

    //! Texts of answers by prefix and revision, for many who ask the same.
    using Texts = std::map<std::pair<std::string, std::uint64_t>, std::string>;

    void handleChanges(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);
    void handleListing(const net::HttpRequest &request, const net::IHttpServer::Responder &respond);

    //! What to answer if this VM cannot tell.
    net::HttpAnswer inability() const;

    //! False if there is nothing to say yet.
    bool tryAnswer(const Waiting &question, Texts &texts) const;
    void answerWaiting();

    ChangeBoard &board;
    const IClock &clock;
    std::vector<Waiting> waiting;

    //! Bytes of listings that may be sent until the next tick.
    std::size_t listingBudget;
};
}
