#pragma once

namespace radishladder::store {
class EraTracker;
}

namespace radishladder::distribution {
struct RelayResponse;
struct SnapshotOffer;

//! Records the era of \a response with \a tracker. Returns false if \a response must be dropped:
//! its era is older than the known one, or it names no era although the store was restored. A
//! response without an era is given the known one.
bool acceptEra(RelayResponse &response, store::EraTracker &tracker);

//! Returns false if \a offer must be ignored for the same reasons. An offer without an era is given
//! the known one. An offer does not change the known era.
bool acceptEra(SnapshotOffer &offer, const store::EraTracker &tracker);
}
