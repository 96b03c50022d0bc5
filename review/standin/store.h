#pragma once

#include "loop.h"
#include "net.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

//! Stand-in of the platform's store: its HTTP interface on a map in memory.
class Store
{
public:
    Store(Loop &loop, const Endpoint &address);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    //! Returns false if the address is in use.
    bool start();

    //! Changes a key as the operator or a host does. The change is acknowledged on return.
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);

    //! While the store is silent, it does nothing and sends no response. A connection on which a
    //! response was lost sends nothing further.
    void setSilent(bool isSilentNow) { this->isSilent = isSilentNow; }

    //! Returns when a lease was last renewed.
    Time lastRenewal() const { return this->renewedAt; }

    //! Returns when each connection last began to watch the entries of the hosts; in the order in
    //! which the connections first did so.
    std::vector<Time> hostWatches() const;

    //! Returns when each lease was last renewed.
    std::vector<Time> renewals() const;

private:
    struct Connection;
    struct Request;
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
        bool isRemoval = false;
    };
    struct Watch
    {
        std::weak_ptr<Connection> connection;
        std::string prefix;
        std::uint64_t after = 0;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept();
    void receive(const ConnectionPointer &connection);
    void handle(const ConnectionPointer &connection, const Request &request);
    void list(const ConnectionPointer &connection, const Request &request);
    void watch(const ConnectionPointer &connection, const Request &request);
    void write(const ConnectionPointer &connection, const Request &request);
    void grantLease(const ConnectionPointer &connection, const Request &request);
    void renewLease(const ConnectionPointer &connection, std::uint64_t lease);
    void endLease(std::uint64_t lease);
    void scheduleExpiry(std::uint64_t lease);
    void notifyWatches();
    std::string changesText(const std::string &prefix, std::uint64_t after, bool &isEmpty) const;

    //! Sends a response after the time that the store takes.
    void respond(const ConnectionPointer &connection, int status, const std::string &body);
    void sendNow(const ConnectionPointer &connection, int status, const std::string &body) const;

    Loop &loop;
    Endpoint address;
    int listener = -1;
    bool isSilent = false;
    std::uint64_t revision = 1;
    std::uint64_t lastLease = 0;
    Time renewedAt;
    std::map<std::uint64_t, Time> renewalTimes;
    std::map<std::string, Item> items;
    std::vector<Item> history;
    std::vector<Watch> watches;
    std::map<std::uint64_t, std::pair<Milliseconds, std::uint64_t>> leases;
    std::map<int, ConnectionPointer> connections;
};
}
