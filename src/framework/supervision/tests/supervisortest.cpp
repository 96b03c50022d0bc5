#include "supervision/supervisor.h"
#include "global/manualclock.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::supervision;

namespace {
class FakeComponent : public IComponent
{
public:
    std::string name() const override { return "fake"; }
    bool start() override
    {
        ++this->starts;
        this->healthy = this->startSucceeds;
        return this->startSucceeds;
    }
    void stop() override { ++this->stops; }
    bool isHealthy() const override { return this->healthy; }
    Reason lastReason() const override { return {ResultCode::SocketFailed, "socket closed"}; }

    bool startSucceeds = true;
    bool healthy = false;
    int starts = 0;
    int stops = 0;
};

class FakeLog : public telemetry::IEventLog
{
public:
    bool accepts(telemetry::LogKind) override { return true; }
    void write(const telemetry::LogEntry &entry) override { this->last = entry.fields(); }

    std::string last;
};

struct Fixture
{
    ManualClock clock;
    FakeLog log;
    Supervisor supervisor{"root", this->clock, this->log};
    FakeComponent component;
};
}

Test(supervisor, failed_component_is_restarted_with_exponential_backoff)
{
    Fixture f;
    f.supervisor.add(f.component, {.initialDelay = std::chrono::milliseconds(100)});
    cr_assert(f.supervisor.start());
    for (const int delayMs : {100, 200, 400}) {
        f.component.healthy = false;
        f.supervisor.supervise();
        const int starts = f.component.starts;
        f.clock.advance(std::chrono::milliseconds(delayMs - 1));
        f.supervisor.supervise();
        cr_assert_eq(f.component.starts, starts, "restarted before %d ms", delayMs);
        f.clock.advance(std::chrono::milliseconds(1));
        f.supervisor.supervise();
        cr_assert_eq(f.component.starts, starts + 1, "not restarted after %d ms", delayMs);
    }
    cr_assert(f.log.last.find("component.restarted") != std::string::npos);
}

Test(supervisor, escalates_after_max_restarts)
{
    Fixture f;
    f.supervisor.add(f.component, {.maxRestarts = 2});
    cr_assert(f.supervisor.start());
    f.component.startSucceeds = false;
    f.component.healthy = false;
    for (int i = 0; i < 100 && f.supervisor.isHealthy(); ++i) {
        f.supervisor.supervise();
        f.clock.advance(std::chrono::milliseconds(500));
    }
    cr_assert(!f.supervisor.isHealthy());
    cr_assert_eq(f.supervisor.lastReason().code, ResultCode::ComponentEscalated);
    cr_assert_eq(f.component.starts, 3);
}

Test(supervisor, failed_start_stops_components_started_before)
{
    Fixture f;
    FakeComponent second;
    second.startSucceeds = false;
    f.supervisor.add(f.component);
    f.supervisor.add(second);
    cr_assert(!f.supervisor.start());
    cr_assert_eq(f.component.stops, 1);
    cr_assert_eq(f.supervisor.lastReason().code, ResultCode::SocketFailed);
}

Test(supervisor, the_restart_delay_starts_again_after_a_long_time_without_failures)
{
    Fixture f;
    const RestartPolicy policy{.initialDelay = std::chrono::milliseconds(100)};
    f.supervisor.add(f.component, policy);
    cr_assert(f.supervisor.start());
    for (int i = 0; i < 4; ++i) {
        f.component.healthy = false;
        f.supervisor.supervise();
        f.clock.advance(policy.maxDelay);
        f.supervisor.supervise();
    }
    f.clock.advance(policy.failureWindow);
    f.component.healthy = false;
    f.supervisor.supervise();
    const int starts = f.component.starts;
    f.clock.advance(policy.initialDelay);
    f.supervisor.supervise();
    cr_assert_eq(f.component.starts, starts + 1);
}
