#pragma once

#include "net/types/endpoint.h"
#include "operations/types/vmanswer.h"

#include <chrono>
#include <string>
#include <vector>

namespace radishladder::operations {

//! Asks the operations pages of several VMs at once and waits for all answers.
class VmQuery
{
public:
    //! Each VM has \a timeout to answer.
    explicit VmQuery(std::chrono::milliseconds timeout) : timeout(timeout) { }

    //! One answer for each of \a vms, in their order.
    std::vector<VmAnswer> ask(const std::vector<net::Endpoint> &vms, const std::string &path,
                              const std::string &query = "") const;

private:
    std::chrono::milliseconds timeout;
};
}
