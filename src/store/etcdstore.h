#pragma once

#include "store/ichangestore.h"

#include "net/types/endpoint.h"

#include <memory>

namespace radishladder::net {
class IHttpClient;
}

namespace radishladder::store {

//! The store behind the etcd v3 JSON gateway.
class EtcdStore : public IChangeStore
{
public:
    EtcdStore(net::IHttpClient &client, std::vector<net::Endpoint> gateways);
    ~EtcdStore() override;

    void get(const std::string &key, GetHandler handler) override;
    void list(const std::string &prefix, ListHandler handler) override;
    void compareAndSwap(const std::string &key, std::int64_t expected, const std::string &value,
                        std::optional<LeaseId> lease, WriteHandler handler) override;
    void remove(const std::string &key, std::int64_t expected, WriteHandler handler) override;
    void writeTogether(const std::string &key, std::int64_t expected,
                       const std::vector<Write> &writes, WriteHandler handler) override;
    void grantLease(std::chrono::seconds duration, LeaseHandler handler) override;
    void keepLeaseAlive(LeaseId lease, LeaseHandler handler) override;
    WatchId watch(const std::string &prefix, std::int64_t fromRevision,
                  WatchHandler handler) override;
    void cancelWatch(WatchId id) override;

private:
    struct State;
    std::unique_ptr<State> state;
};
}
