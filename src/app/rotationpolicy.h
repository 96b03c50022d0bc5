#pragma once

#include <chrono>
#include <optional>

namespace radishladder::app {

//! Decides whether routers should send packets to this VM or withdraw it from rotation; does no I/O
//! and reads no clock.
//!
//! Routers send packets to other data centres once all VMs of a data centre respond to readiness
//! probes that they are not ready. Load patterns in which that serves clients better:
//! - operators have evacuated the data centre: every request would cross to another data centre,
//!   and fail if the evacuated one is cut off;
//! - a VM without a connection to any upstream can serve none of its clients, while VMs of other
//!   data centres can.
class RotationPolicy
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Reachability of upstreams and of the store, on which the decision is based.
    struct Conditions
    {
        //! True if the own data centre has an upstream for new flows.
        bool servesLocally = true;

        //! True if the own data centre has no such upstream and no remote upstream responds.
        bool isCutOff = false;

        //! True if the store responds to calls of this VM.
        bool isStoreConnected = true;

        //! True if the own data centre is evacuated and another one has an upstream for new flows.
        bool isEvacuated = false;
    };

    //! Updates the decision and returns true if it has changed. A VM that was cut off returns to
    //! rotation once local upstreams serve or the store responds again after it was lost, otherwise
    //! after a delay. Packets that still arrive do not return the VM to rotation, because they may
    //! acknowledge responses that clients received through other VMs.
    bool update(const Conditions &conditions, TimePoint now);

    //! Returns true while routers should send no packets to this VM.
    bool isWithdrawn() const { return this->evacuated || this->cutOff; }

private:
    void updateCutOff(const Conditions &conditions, TimePoint now);
    bool canReturn(const Conditions &conditions, TimePoint now) const;

    bool evacuated = false;
    bool cutOff = false;

    //! True if the store was lost at any time since this VM was cut off.
    bool wasStoreLost = false;
    TimePoint cutOffAt;
    std::optional<TimePoint> returnedAt;
    std::chrono::milliseconds returnDelay{0};
};
}
