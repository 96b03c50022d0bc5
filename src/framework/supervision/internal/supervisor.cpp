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
    bool running = false;
    std::chrono::milliseconds delay{0};
    std::chrono::steady_clock::time_point restartAt{};
    std::deque<std::chrono::steady_clock::time_point> failures;
};

Supervisor::Supervisor(std::string name, const IClock &clock, telemetry::IEventLog &log)
    : ownName(std::move(name)), clock(clock), log(log)
{ }

Supervisor::~Supervisor() = default;

void Supervisor::add(IComponent &component, const RestartPolicy &policy)
{
    this->children.push_back(std::make_unique<Child>(component, policy));
}

std::string Supervisor::name() const
{
    return this->ownName;
}

bool Supervisor::start()
{
    this->escalated = false;
    for (const auto &child : this->children) {
        if (!child->component.start()) {
            this->reason = child->component.lastReason();
            this->reason.detail = child->component.name() + ": " + this->reason.detail;
            this->stop();
            return false;
        }
        child->running = true;
        child->delay = child->policy.firstDelay;
    }
    return true;
}

void Supervisor::stop()
{
    for (auto child = this->children.rbegin(); child != this->children.rend(); ++child) {
        if ((*child)->running) {
            (*child)->component.stop();
            (*child)->running = false;
        }
    }
}

bool Supervisor::isHealthy() const
{
    return !this->escalated;
}

Reason Supervisor::lastReason() const
{
    return this->reason;
}

void Supervisor::supervise()
{
    for (const auto &child : this->children) {
        if (this->escalated) {
            return;
        }
        if (!child->running) {
            this->restartIfDue(*child);
        } else if (!child->component.isHealthy()) {
            const Reason failure = child->component.lastReason();
            child->component.stop();
            child->running = false;
            this->noteFailure(*child, failure);
        }
    }
}

void Supervisor::noteFailure(Child &child, const Reason &failure)
{
    const auto now = this->clock.now();
    child.failures.push_back(now);
    while (child.failures.front() + child.policy.window < now) {
        child.failures.pop_front();
    }
    const bool spent =
        static_cast<int>(child.failures.size()) > child.policy.restartsBeforeEscalation;
    child.restartAt = now + child.delay;
    child.delay = std::min(child.delay * 2, child.policy.longestDelay);
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State,
                                        spent ? "component.escalated" : "component.failed")
                        .text("component", child.component.name())
                        .text("code",
                              resultCodeName(spent ? ResultCode::ComponentEscalated
                                                   : ResultCode::ComponentFailed))
                        .text("detail", failure.detail));
    if (spent) {
        this->escalated = true;
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
        this->noteFailure(child, child.component.lastReason());
        return;
    }
    child.running = true;
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "component.restarted")
                        .text("component", child.component.name()));
}
}
