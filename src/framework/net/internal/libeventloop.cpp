#include "net/libeventloop.h"

#include <event2/event.h>
#include <list>

namespace radishladder::net {
namespace {
timeval toTimeval(std::chrono::milliseconds duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    const std::chrono::microseconds rest = duration - seconds;
    return {static_cast<time_t>(seconds.count()), static_cast<suseconds_t>(rest.count())};
}

//! Libevent event and the task that it runs.
struct Registration
{
    event *handle = nullptr;
    std::function<void()> task;
    std::list<Registration> *owner = nullptr;
    std::list<Registration>::iterator self;

    ~Registration()
    {
        if (this->handle != nullptr) {
            event_free(this->handle);
        }
    }
};

void runTask(evutil_socket_t, short, void *context)
{
    static_cast<Registration *>(context)->task();
}

void runTaskOnce(evutil_socket_t, short, void *context)
{
    auto *registration = static_cast<Registration *>(context);
    const auto task = std::move(registration->task);
    registration->owner->erase(registration->self);
    task();
}
}

struct LibeventLoop::State
{
    event_base *base = nullptr;
    std::list<Registration> registrations;

    Registration &add(int descriptor, short flags, event_callback_fn callback,
                      std::function<void()> task)
    {
        this->registrations.emplace_back();
        Registration &entry = this->registrations.back();
        entry.task = std::move(task);
        entry.owner = &this->registrations;
        entry.self = std::prev(this->registrations.end());
        entry.handle = event_new(this->base, descriptor, flags, callback, &entry);
        return entry;
    }
};

LibeventLoop::LibeventLoop() : state(std::make_unique<State>())
{
    this->state->base = event_base_new();
}

LibeventLoop::~LibeventLoop()
{
    this->state->registrations.clear();
    event_base_free(this->state->base);
}

void LibeventLoop::every(std::chrono::milliseconds period, std::function<void()> task)
{
    const timeval interval = toTimeval(period);
    event_add(this->state->add(-1, EV_PERSIST, runTask, std::move(task)).handle, &interval);
}

void LibeventLoop::after(std::chrono::milliseconds delay, std::function<void()> task)
{
    const timeval interval = toTimeval(delay);
    event_add(this->state->add(-1, 0, runTaskOnce, std::move(task)).handle, &interval);
}

void LibeventLoop::watchReadable(int descriptor, std::function<void()> task)
{
    event_add(this->state->add(descriptor, EV_READ | EV_PERSIST, runTask, std::move(task)).handle,
              nullptr);
}

void LibeventLoop::unwatch(int descriptor)
{
    this->state->registrations.remove_if([descriptor](const Registration &entry) {
        return event_get_fd(entry.handle) == descriptor
            && (event_get_events(entry.handle) & EV_READ) != 0;
    });
}

void LibeventLoop::watchSignal(int signal, std::function<void()> task)
{
    event_add(this->state->add(signal, EV_SIGNAL | EV_PERSIST, runTask, std::move(task)).handle,
              nullptr);
}

void LibeventLoop::run()
{
    event_base_dispatch(this->state->base);
}

void LibeventLoop::stop()
{
    event_base_loopbreak(this->state->base);
}

event_base *LibeventLoop::base() const
{
    return this->state->base;
}
}
