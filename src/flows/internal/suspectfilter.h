#pragma once

#include "global/name.h"

#include <chrono>
#include <vector>

namespace radishladder::evidence {
class ISharedEvidence;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
struct Upstream;
struct UpstreamRecord;
}

namespace radishladder::flows {
class FlowTable;

//! Decides which upstreams are suspects, from the flows of this VM and the evidence of others.
//!
//! Load pattern: overload of a whole service, in which all VMs find many upstreams silent for a
//! moment. Evidence of others about more than half of the upstreams of a service is ignored.
class SuspectFilter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    SuspectFilter(const upstreams::UpstreamRegistry &registry, FlowTable &table);

    //! Sets the evidence of other VMs; null if there is none, so that only own flows count.
    void setSharedEvidence(evidence::ISharedEvidence *shared) { this->evidence = shared; }

    bool isSuspect(const upstreams::Upstream &upstream, TimePoint now) const;

    //! Returns true if \a upstream was silent on all VMs for long before a SYN was forwarded to it
    //! at \a sentAt and is silent still, so that it hardly accepted the flow.
    bool wasSilentBefore(const upstreams::UpstreamRecord &upstream, TimePoint sentAt,
                         TimePoint now) const;

    //! Returns true if the suspect \a upstream may get a probe flow of this VM at \a now.
    bool canProbe(const upstreams::Upstream &upstream, TimePoint now) const;

    //! Records a probe flow to the suspect \a upstream.
    void recordProbe(const upstreams::Upstream &upstream, TimePoint now);

private:
    //! Whether evidence about the upstreams of a service in a data centre is ignored.
    struct CachedState
    {
        ServiceName service;
        DataCentreName dataCentre;
        TimePoint validUntil;
        bool isIgnored = false;
    };

    bool isSuspectOfOthers(const upstreams::Upstream &upstream, TimePoint now) const;
    bool isIgnored(const upstreams::Upstream &upstream, TimePoint now) const;
    bool areMostSuspects(const ServiceName &service, const DataCentreName &dataCentre,
                         TimePoint now) const;

    const upstreams::UpstreamRegistry &registry;
    FlowTable &table;
    evidence::ISharedEvidence *evidence = nullptr;

    //! Recent results of isIgnored(), since counting the suspects for each candidate would take too
    //! long.
    mutable std::vector<CachedState> cache;
};
}
