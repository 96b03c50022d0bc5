#include "loop.h"

#include <algorithm>
#include <csignal>
#include <poll.h>
#include <vector>

namespace review {
namespace {
constexpr Milliseconds kMaxWait{50};

volatile std::sig_atomic_t terminated = 0;

void onTerminate(int)
{
    terminated = 1;
}
}

bool Loop::isTerminated()
{
    return terminated != 0;
}

void Loop::after(Milliseconds delay, std::function<void()> task)
{
    this->timers.emplace(Clock::now() + delay, std::move(task));
}

void Loop::watch(int descriptor, std::function<void()> task)
{
    this->readers[descriptor] = std::move(task);
}

void Loop::unwatch(int descriptor)
{
    this->readers.erase(descriptor);
}

double Loop::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - this->startedAt).count();
}

void Loop::runTimers()
{
    while (!this->timers.empty() && this->timers.begin()->first <= Clock::now()) {
        const auto task = std::move(this->timers.begin()->second);
        this->timers.erase(this->timers.begin());
        task();
    }
}

void Loop::run()
{
    std::signal(SIGTERM, onTerminate);
    while (!this->isStopping && terminated == 0) {
        this->runTimers();
        auto wait = kMaxWait;
        if (!this->timers.empty()) {
            const auto next =
                std::chrono::ceil<Milliseconds>(this->timers.begin()->first - Clock::now());
            wait = std::clamp(next, Milliseconds(0), kMaxWait);
        }
        std::vector<pollfd> descriptors;
        descriptors.reserve(this->readers.size());
        for (const auto &[descriptor, task] : this->readers) {
            descriptors.push_back({descriptor, POLLIN, 0});
        }
        ::poll(descriptors.data(), descriptors.size(), static_cast<int>(wait.count()));
        for (const pollfd &ready : descriptors) {
            const auto reader = this->readers.find(ready.fd);
            if (ready.revents != 0 && reader != this->readers.end()) {
                // A copy, since the task may unwatch its own descriptor.
                const auto task = reader->second;
                task();
            }
        }
    }
}
}
