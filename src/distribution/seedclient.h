#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
class IHttpConnection;
struct HttpResult;
}

namespace radishladder::distribution {
struct RelayAnswer;

//! Asks VMs that run on for what they last knew of a prefix, while the store does not answer.
//!
//! Load pattern: many VMs of a data centre end and start again while it is cut off or the store is
//! away. Those that run on serve with what they know; the others need the same.
class SeedClient
{
public:
    using ConnectionFactory =
        std::function<std::unique_ptr<net::IHttpConnection>(const net::Endpoint &vm)>;
    using Handler = std::function<void(const net::Endpoint &vm, const RelayAnswer &answer)>;

    SeedClient(const IClock &clock, ConnectionFactory connect, std::vector<net::Endpoint> vms);
    ~SeedClient();

    //! False if there is nobody to ask.
    bool hasVms() const { return !this->vms.empty(); }

    //! Asks until one VM hands \a prefix over; \a handler hears of the first one that does.
    void ask(const std::string &prefix, Handler handler);

    //! Asks for \a prefix no longer.
    void cancel(const std::string &prefix);

    //! Repeats questions that nobody has answered; call it a few times a second.
    void tick();

private:
    struct Question
    {
        Handler handler;
        std::chrono::steady_clock::time_point askedAt;
        bool isOver = false;
        std::vector<std::unique_ptr<net::IHttpConnection>> connections;
    };

    void send(const std::string &prefix, Question &question);
    void onResult(const std::string &prefix, const net::Endpoint &vm,
                  const net::HttpResult &result);

    const IClock &clock;
    ConnectionFactory connect;
    std::vector<net::Endpoint> vms;
    std::map<std::string, Question> questions;
};
}
