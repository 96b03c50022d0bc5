#pragma once

namespace radishladder::radishbench {
class BenchRun;

//! Ends a run on SIGTERM or SIGINT, so that no daemon is left behind.
class InterruptWatch
{
public:
    explicit InterruptWatch(BenchRun &run);
    ~InterruptWatch();
    InterruptWatch(const InterruptWatch &) = delete;
    InterruptWatch &operator=(const InterruptWatch &) = delete;

private:
    BenchRun &run;
    int descriptor = -1;
};
}
