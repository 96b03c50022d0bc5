#include "supervision/supervisor.h"

#include "global/iclock.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <algorithm>
#include <deque>

namespace radishladder::supervision {
struct Supervisor::Child
{
    Child(IComponent &component, const RestartPolicy &policy) : component(component), policy(policy)
    { }

    IComponent &component;
    RestartPolicy policy;
    bool isRunning = false;
    std::chrono::milliseconds delay{0};
    std::chrono::steady_clock::time_point restartAt{};
    std::deque<std::chrono::steady_clock::time_point> failures;
};

Supervisor::Supervisor(std::string name, const IClock &clock, telemetry::IEventLog &log)
    : supervisorName(std::move(name)), clock(clock), log(log)
{ }

Supervisor::~Supervisor() = default;

void Supervisor::add(IComponent &component, const RestartPolicy &policy)
{
    this->children.push_back(std::make_unique<Child>(component, policy));
}

std::string Supervisor::name() const
{
    return this->supervisorName;
}

bool Supervisor::start()
{
    this->isEscalated = false;
    for (const auto &child : this->children) {
        if (!child->component.start()) {
            this->reason = child->component.lastReason();
            this->reason.detail = child->component.name() + ": " + this->reason.detail;
            this->stop();
            return false;
        }
        child->isRunning = true;
        child->delay = child->policy.initialDelay;
    }
    return true;
}

void Supervisor::stop()
{
    for (auto child = this->children.rbegin(); child != this->children.rend(); ++child) {
        if ((*child)->isRunning) {
            (*child)->component.stop();
            (*child)->isRunning = false;
        }
    }
}

bool Supervisor::isHealthy() const
{
    return !this->isEscalated;
}

Reason Supervisor::lastReason() const
{
    return this->reason;
}

void Supervisor::supervise()
{
    for (const auto &child : this->children) {
        if (this->isEscalated) {
            return;
        }
        if (!child->isRunning) {
            this->restartIfDue(*child);
        } else if (!child->component.isHealthy()) {
            const Reason failure = child->component.lastReason();
            child->component.stop();
            child->isRunning = false;
            this->recordFailure(*child, failure);
        }
    }
}

void Supervisor::recordFailure(Child &child, const Reason &failure)
{
    const auto now = this->clock.now();
    child.failures.push_back(now);
    while (child.failures.front() + child.policy.failureWindow <= now) {
        child.failures.pop_front();
    }
    if (child.failures.size() == 1) {
        child.delay = child.policy.initialDelay;
    }
    const bool isExhausted = static_cast<int>(child.failures.size()) > child.policy.maxRestarts;
    child.restartAt = now + child.delay;
    child.delay = std::min(child.delay * 2, child.policy.maxDelay);
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State,
                                        isExhausted ? "component.escalated" : "component.failed")
                        .text("component", child.component.name())
                        .text("code",
                              resultCodeName(isExhausted ? ResultCode::ComponentEscalated
                                                         : ResultCode::ComponentFailed))
                        .text("detail", failure.detail));
    if (isExhausted) {
        this->isEscalated = true;
        this->reason = {ResultCode::ComponentEscalated,
                        child.component.name() + ": " + failure.detail};
    }
}

void Supervisor::restartIfDue(Child &child)
{
    if (this->clock.now() < child.restartAt) {
        return;
    }
    if (!child.component.start()) {
        this->recordFailure(child, child.component.lastReason());
        return;
    }
    child.isRunning = true;
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "component.restarted")
                        .text("component", child.component.name()));
}
}
