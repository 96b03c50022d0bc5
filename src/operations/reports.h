#pragma once

#include "operations/types/vmresponse.h"

#include <string>
#include <vector>

namespace radishladder::operations {

//! Returns one line per VM: configuration version, routes, flows, number of VMs, evacuated data
//! centres, and marks for a VM with an outdated configuration or with frozen automatic actions.
std::string statusReport(const std::vector<VmResponse> &responses);

//! Returns the upstreams that each VM lists, one line per upstream.
std::string upstreamsReport(const std::vector<VmResponse> &responses);

//! Returns the state of one flow on each VM, one line per VM.
std::string flowReport(const std::vector<VmResponse> &responses);

//! Returns the events of all VMs, ordered by timestamp; the clocks of VMs may differ by some
//! milliseconds.
std::string timelineReport(const std::vector<VmResponse> &responses);
}
