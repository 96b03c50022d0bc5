#pragma once

#include "evidence/types/sharedsilence.h"
#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <vector>

namespace radishladder::evidence {

//! Evidence of silent upstreams that the VMs of a data centre share; does no I/O and reads no
//! clock.
class ISharedEvidence
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~ISharedEvidence() = default;

    //! Records that a client retransmitted a packet that \a upstream has not responded to since
    //! \a since. \a isNewFlow is true at the first such retransmission of the flow.
    virtual void recordSilence(upstreams::UpstreamId upstream, TimePoint since, bool isNewFlow,
                               TimePoint now) = 0;

    //! Records that \a upstream responded on a flow of this VM.
    virtual void recordResponse(upstreams::UpstreamId upstream, TimePoint now) = 0;

    //! Discards the silence of all upstreams, for example after this VM was cut off.
    virtual void discardSilence() = 0;

    virtual SharedSilence silenceOf(upstreams::UpstreamId upstream, TimePoint now) const = 0;

    //! Returns the number of other VMs on which clients retransmitted packets to \a upstream after
    //! \a after without a response on any VM since; 0 while reports of responses may be delayed.
    virtual int witnessesSince(upstreams::UpstreamId upstream, TimePoint after,
                               TimePoint now) const = 0;

    //! Returns the time of the last response of \a upstream that another VM reported; TimePoint()
    //! if there was none.
    virtual TimePoint lastResponseOf(upstreams::UpstreamId upstream) const = 0;

    //! Returns the suspects of which other VMs report silence.
    virtual std::vector<upstreams::UpstreamId> suspects(TimePoint now) const = 0;

    //! Returns true if this VM may send a probe flow to the suspect \a upstream at \a now; only one
    //! VM of the data centre may, and a second one if only one reports it for long.
    virtual bool canProbe(upstreams::UpstreamId upstream, TimePoint now) const = 0;

    //! Records a probe flow to a suspect and schedules the next one.
    virtual void recordProbe(upstreams::UpstreamId upstream, TimePoint now) = 0;
};
}
