#include "net/asioeventloop.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace radishladder::net {
struct AsioEventLoop::State
{
    asio::io_context context{1};
    std::map<int, std::shared_ptr<asio::posix::stream_descriptor>> descriptors;

    void repeat(const std::shared_ptr<asio::steady_timer> &timer, std::chrono::milliseconds period,
                const std::shared_ptr<std::function<void()>> &task);
    void watch(const std::shared_ptr<asio::posix::stream_descriptor> &descriptor,
               const std::shared_ptr<std::function<void()>> &task);
};

void AsioEventLoop::State::repeat(const std::shared_ptr<asio::steady_timer> &timer,
                                  std::chrono::milliseconds period,
                                  const std::shared_ptr<std::function<void()>> &task)
{
    // Relative to now, not to the last expiry: a process that was paused must not replay every
    // missed tick.
    timer->expires_after(period);
    timer->async_wait([this, timer, period, task](const asio::error_code &error) {
        if (error) {
            return;
        }
        (*task)();
        this->repeat(timer, period, task);
    });
}

void AsioEventLoop::State::watch(const std::shared_ptr<asio::posix::stream_descriptor> &descriptor,
                                 const std::shared_ptr<std::function<void()>> &task)
{
    descriptor->async_wait(asio::posix::stream_descriptor::wait_read,
                           [this, descriptor, task](const asio::error_code &error) {
                               if (error || !descriptor->is_open()) {
                                   return;
                               }
                               (*task)();
                               if (descriptor->is_open()) {
                                   this->watch(descriptor, task);
                               }
                           });
}

AsioEventLoop::AsioEventLoop() : state(std::make_unique<State>()) { }

AsioEventLoop::~AsioEventLoop()
{
    for (auto &[descriptor, watched] : this->state->descriptors) {
        watched->release();
    }
}

void AsioEventLoop::post(std::function<void()> task)
{
    asio::post(this->state->context, std::move(task));
}

void AsioEventLoop::every(std::chrono::milliseconds period, std::function<void()> task)
{
    this->state->repeat(std::make_shared<asio::steady_timer>(this->state->context), period,
                        std::make_shared<std::function<void()>>(std::move(task)));
}

void AsioEventLoop::after(std::chrono::milliseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(this->state->context, delay);
    timer->async_wait([timer, task = std::move(task)](const asio::error_code &error) {
        if (!error) {
            task();
        }
    });
}

void AsioEventLoop::watchReadable(int descriptor, std::function<void()> task)
{
    auto watched =
        std::make_shared<asio::posix::stream_descriptor>(this->state->context, descriptor);
    this->state->descriptors[descriptor] = watched;
    this->state->watch(watched, std::make_shared<std::function<void()>>(std::move(task)));
}

void AsioEventLoop::unwatch(int descriptor)
{
    const auto found = this->state->descriptors.find(descriptor);
    if (found != this->state->descriptors.end()) {
        found->second->release();
        this->state->descriptors.erase(found);
    }
}

void AsioEventLoop::run()
{
    {
        const auto guard = asio::make_work_guard(this->state->context);
        this->state->context.run();
    }
    // The end of the guard's work stops the context as stop() does; without this line a second
    // run() would return at once.
    this->state->context.restart();
}

void AsioEventLoop::stop()
{
    this->state->context.stop();
}
}
