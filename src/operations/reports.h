#pragma once

#include "operations/types/vmanswer.h"

#include <string>
#include <vector>

namespace radishladder::operations {

//! One line a VM: configuration, flows, what is out, and where it differs from the others.
std::string statusReport(const std::vector<VmAnswer> &answers);

//! Upstreams as each VM sees them, one line each.
std::string upstreamsReport(const std::vector<VmAnswer> &answers);

//! What each VM knows of one flow.
std::string flowReport(const std::vector<VmAnswer> &answers);

//! Events of all VMs in the order of their clocks, which may differ by some milliseconds.
std::string timeLineReport(const std::vector<VmAnswer> &answers);
}
