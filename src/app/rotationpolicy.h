#pragma once

#include <chrono>

namespace radishladder::app {

//! Decides whether routers should send packets to this VM or withdraw it from rotation; does no I/O
//! and reads no clock.
//!
//! Load pattern: a VM without a connection to any upstream can serve none of its clients, while VMs
//! of other data centres can. Routers send packets to other data centres once all VMs of a data
//! centre respond to readiness probes that they are not ready.
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
    };

    //! Updates the decision and returns true if it has changed. A withdrawn VM returns to rotation
    //! once local upstreams serve or the store responds again after it was lost, otherwise after a
    //! delay. Packets that still arrive do not return the VM to rotation, because they may
    //! acknowledge responses that clients received through other VMs.
    bool update(const Conditions &conditions, TimePoint now);

    //! Returns true while routers should send no packets to this VM.
    bool isWithdrawn() const { return this->withdrawn; }

private:
    bool canReturn(const Conditions &conditions, TimePoint now) const;

    bool withdrawn = false;

    //! True if the store was lost at any time since this VM was withdrawn.
    bool wasStoreLost = false;
    TimePoint withdrawnAt;
    TimePoint returnedAt;
    std::chrono::milliseconds returnDelay{0};
};
}
