#pragma once

namespace radishladder::radishbench {
struct RunOptions;

//! Runs real daemons at several numbers of VMs, upstreams and flows and prints what each size costs
//! a VM as JSON; returns the exit code.
int measureSlopes(const RunOptions &options);
}
