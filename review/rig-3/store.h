#pragma once

#include "endpoint.h"
#include "eventloop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Json {
class Value;
}

namespace radishladder::review {

//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it, over HTTP/1.1. Each VM
//! calls it at an address of its own, so that the store can turn single VMs away.
class Store
{
public:
    explicit Store(EventLoop &loop);
    ~Store();

    //! Serves the calls that arrive at \a local.
    void listen(const Endpoint &local);

    //! Turns the VM that calls at \a local away with 503, or serves it again.
    void refuse(const Endpoint &local, bool isRefused);

    //! Leaves the next write at \a local without a response and executes it after \a delay if its
    //! lease still exists then.
    void delayNextWrite(const Endpoint &local, EventLoop::Duration delay);

    //! Changes of the operator and of hosts; acknowledged when the function returns.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    std::vector<std::string> keysUnder(const std::string &prefix) const;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<Item> item;
    };
    struct Lease
    {
        EventLoop::Duration timeToLive{0};
        EventLoop::Clock::time_point endsAt;
    };
    struct Request
    {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        std::string body;
    };
    struct Response
    {
        int status = 200;
        std::string body = "{}";
    };
    struct Front
    {
        bool isRefused = false;
        std::optional<EventLoop::Duration> nextWriteDelay;
    };
    struct Connection
    {
        int descriptor = -1;
        Endpoint front;
        std::string input;
        bool isBusy = false;
    };
    struct Watch
    {
        std::weak_ptr<Connection> connection;
        std::string prefix;
        std::uint64_t after = 0;
        EventLoop::Clock::time_point until;
    };

    void accept(int listener, const Endpoint &local);
    void read(const std::shared_ptr<Connection> &connection);
    void handleNext(const std::shared_ptr<Connection> &connection);
    void handle(const std::shared_ptr<Connection> &connection, const Request &request);
    void close(Connection &connection);
    void respond(const std::shared_ptr<Connection> &connection, const Response &response);
    Response list(const Request &request) const;
    Response getKey(const Request &request) const;
    Response handleLease(const Request &request);
    Response execute(const std::string &body);
    void startWatch(const std::shared_ptr<Connection> &connection, const Request &request);
    void serveWatches();
    std::optional<Response> changes(const Watch &watch) const;
    void change(const std::string &key, std::optional<Item> item);
    void endLease(std::uint64_t lease);
    void expireLeases();

    static std::optional<Request> takeRequest(std::string &input);
    static Json::Value itemJson(const std::string &key, const Item &item);

    EventLoop &loop;
    std::map<Endpoint, Front> fronts;
    std::map<std::string, Item> items;
    std::vector<Event> history;
    std::map<std::uint64_t, Lease> leases;
    std::vector<Watch> watches;
    std::map<int, std::shared_ptr<Connection>> connections;
    std::uint64_t revision = 1;
    std::uint64_t lastLease = 0;
};
}
