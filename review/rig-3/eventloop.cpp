#include "eventloop.h"

#include <poll.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace radishladder::review {
namespace {
constexpr EventLoop::Duration kLongestPoll{100};
}

void EventLoop::after(Duration delay, Task task)
{
    this->timers.emplace(now() + delay, std::move(task));
}

void EventLoop::watch(int descriptor, Task task)
{
    this->readers[descriptor] = std::move(task);
}

void EventLoop::unwatch(int descriptor)
{
    this->readers.erase(descriptor);
}

EventLoop::Duration EventLoop::elapsed() const
{
    return std::chrono::duration_cast<Duration>(now() - this->startedAt);
}

int EventLoop::pollTimeout() const
{
    if (this->timers.empty()) {
        return static_cast<int>(kLongestPoll.count());
    }
    const auto wait = std::chrono::ceil<Duration>(this->timers.begin()->first - now());
    return static_cast<int>(std::clamp(wait, Duration(0), kLongestPoll).count());
}

void EventLoop::runDueTimers()
{
    const auto limit = now();
    while (!this->timers.empty() && this->timers.begin()->first <= limit) {
        const Task task = std::move(this->timers.begin()->second);
        this->timers.erase(this->timers.begin());
        task();
    }
}

void EventLoop::run()
{
    while (!this->isStopped) {
        std::vector<pollfd> descriptors;
        descriptors.reserve(this->readers.size());
        for (const auto &[descriptor, task] : this->readers) {
            descriptors.push_back({.fd = descriptor, .events = POLLIN, .revents = 0});
        }
        ::poll(descriptors.data(), descriptors.size(), this->pollTimeout());
        for (const pollfd &ready : descriptors) {
            // The handler of another descriptor may have removed this one.
            const auto reader = this->readers.find(ready.fd);
            if (ready.revents != 0 && reader != this->readers.end()) {
                const Task task = reader->second;
                task();
            }
        }
        this->runDueTimers();
    }
}
}
