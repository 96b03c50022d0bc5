#pragma once

#include "operations/ioperatorbackend.h"

#include "net/types/endpoint.h"

#include <memory>

namespace radishladder::operations {

//! Reaches the platform's store over its gateways and the VMs over JSON-RPC.
class PlatformBackend : public IOperatorBackend
{
public:
    PlatformBackend(std::vector<net::Endpoint> gateways, std::string token);
    ~PlatformBackend() override;

    std::optional<StoredConfiguration> readStored(Reason &reason) override;
    ApplyResult apply(const settings::Configuration &wanted, const ChangeRecord &change) override;
    std::optional<std::vector<VmAddress>> vms(Reason &reason) override;
    std::vector<VmAnswer> callAll(const std::vector<VmAddress> &vms, const std::string &method,
                                  const Json::Value &parameters) override;
    void pause(std::chrono::milliseconds duration) override;

private:
    struct State;
    std::unique_ptr<State> state;
};
}
