#pragma once

#include "supervision/icomponent.h"
#include "supervision/types/restartpolicy.h"

#include <memory>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::supervision {

//! Starts components in order, restarts failed components with exponential backoff and escalates
//! when a component exceeds its restart limit: the supervisor then reports itself as unhealthy. A
//! supervisor is itself a component, so supervisors can form a tree.
class Supervisor : public IComponent
{
public:
    Supervisor(std::string name, const IClock &clock, telemetry::IEventLog &log);
    ~Supervisor() override;

    //! Adds \a component, which starts after all components added before it.
    void add(IComponent &component, const RestartPolicy &policy = {});

    std::string name() const override;
    bool start() override;
    void stop() override;
    bool isHealthy() const override;
    Reason lastReason() const override;

    //! Checks the health of every component and restarts failed components whose delay has passed;
    //! must be called regularly.
    void supervise();

private:
    struct Child;

    void recordFailure(Child &child, const Reason &reason);
    void restartIfDue(Child &child);

    std::string supervisorName;
    const IClock &clock;
    telemetry::IEventLog &log;
    std::vector<std::unique_ptr<Child>> children;
    bool isEscalated = false;
    Reason reason;
};
}
