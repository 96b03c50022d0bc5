#pragma once

#include "net/types/endpoint.h"
#include "operations/types/vmresponse.h"

#include <chrono>
#include <string>
#include <vector>

namespace radishladder::operations {

//! Queries the operations pages of several VMs in parallel and waits for all responses.
class VmQuery
{
public:
    //! \a timeout limits the request to each VM.
    explicit VmQuery(std::chrono::milliseconds timeout) : timeout(timeout) { }

    //! Returns one response per VM, in the order of \a vms.
    std::vector<VmResponse> queryAll(const std::vector<net::Endpoint> &vms, const std::string &path,
                                     const std::string &query = "") const;

private:
    std::chrono::milliseconds timeout;
};
}
