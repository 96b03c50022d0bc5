#pragma once

#include "global/reason.h"

#include <chrono>
#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::settings {
struct Configuration;
}

namespace radishladder::operations {
struct ApplyResult;
struct ChangeRecord;
struct StoredConfiguration;
struct VmAddress;
struct VmAnswer;

//! What operators' commands need of the platform and the VMs. Every call blocks.
class IOperatorBackend
{
public:
    virtual ~IOperatorBackend() = default;

    virtual std::optional<StoredConfiguration> readStored(Reason &reason) = 0;
    virtual ApplyResult apply(const settings::Configuration &wanted,
                              const ChangeRecord &change) = 0;

    //! The platform's list of VMs.
    virtual std::optional<std::vector<VmAddress>> vms(Reason &reason) = 0;

    //! One answer for each of \a vms, in their order.
    virtual std::vector<VmAnswer> callAll(const std::vector<VmAddress> &vms,
                                          const std::string &method,
                                          const Json::Value &parameters) = 0;

    virtual void pause(std::chrono::milliseconds duration) = 0;
};
}
