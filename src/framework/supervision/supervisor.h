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

//! Starts components in order, restarts failed ones with back-off and escalates when one keeps
//! failing. A supervisor is itself a component, so supervisors form a tree.
class Supervisor : public IComponent
{
public:
    Supervisor(std::string name, const IClock &clock, telemetry::IEventLog &log);
    ~Supervisor() override;

    //! Adds \a component, started after all added before it.
    void add(IComponent &component, const RestartPolicy &policy = {});

    std::string name() const override;
    bool start() override;
    void stop() override;
    bool isHealthy() const override;
    Reason lastReason() const override;

    //! Checks every component and restarts what is due; call it regularly.
    void supervise();

private:
    struct Child;

    void noteFailure(Child &child, const Reason &reason);
    void restartIfDue(Child &child);

    std::string ownName;
    const IClock &clock;
    telemetry::IEventLog &log;
    std::vector<std::unique_ptr<Child>> children;
    bool escalated = false;
    Reason reason;
};
}
