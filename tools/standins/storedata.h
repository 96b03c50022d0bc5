#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

namespace radishladder::standins {

//! Keys, leases and history of the store stand-in, in the JSON of the etcd v3 gateway.
class StoreData
{
public:
    void put(const std::string &key, const std::string &value);

    //! Answer to a range request as of \a asOf, or of now.
    Json::Value range(const Json::Value &body, std::optional<std::int64_t> asOf) const;

    //! Runs a transaction of one compare list and one success list.
    Json::Value transaction(const Json::Value &body);

    Json::Value grantLease(const Json::Value &body);
    Json::Value keepLeaseAlive(const Json::Value &body) const;

    //! Ends the lease and removes its keys.
    void endLease(std::int64_t lease);

    //! Ends all leases; their ids stay unknown afterwards.
    void endAllLeases();

    //! Answer to a watch with the events it waits for; std::nullopt if there are none yet.
    std::optional<Json::Value> events(const Json::Value &createRequest) const;

    //! Watches from before \a revision are refused from now on.
    void compact(std::int64_t revision) { this->compacted = revision; }

    std::int64_t currentRevision() const { return this->revision; }

private:
    struct Change
    {
        std::string key;
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
        bool removed = false;
    };

    std::map<std::string, Change> entriesAt(std::int64_t asOf) const;
    void putAtRevision(const std::string &key, const std::string &value, std::int64_t lease);
    void remove(const std::string &key);
    Json::Value header(std::int64_t atRevision) const;
    static Json::Value item(const Change &change);

    std::map<std::string, Change> entries;
    std::vector<Change> history;
    std::map<std::int64_t, std::int64_t> leaseSeconds;
    std::int64_t revision = 1;
    std::int64_t lastLease = 0;
    std::int64_t compacted = 0;
};
}
