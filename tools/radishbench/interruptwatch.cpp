#include "radishbench/interruptwatch.h"

#include "net/ieventloop.h"
#include "radishbench/benchrun.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace radishladder::radishbench {
InterruptWatch::InterruptWatch(BenchRun &run) : run(run)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    this->descriptor = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    this->run.loop().watchReadable(this->descriptor, [this] { this->run.interrupt(); });
}

InterruptWatch::~InterruptWatch()
{
    this->run.loop().unwatch(this->descriptor);
    ::close(this->descriptor);
}
}
