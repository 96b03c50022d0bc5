#include "distribution/acceptera.h"

#include "distribution/types/relayresponse.h"
#include "distribution/types/snapshotoffer.h"
#include "store/eratracker.h"
#include "store/types/storerevision.h"

namespace radishladder::distribution {
bool acceptEra(RelayResponse &response, store::EraTracker &tracker)
{
    if (response.outcome == RelayOutcome::QueryStore) {
        return true;
    }
    if (response.hasEra) {
        return tracker.accept(response.listing.era);
    }
    response.listing.era = tracker.newestEra().value_or(0);
    return response.listing.era <= store::kMaxUnrestoredEra;
}

bool acceptEra(SnapshotOffer &offer, const store::EraTracker &tracker)
{
    if (offer.era) {
        return !tracker.isOutdated(*offer.era);
    }
    offer.era = tracker.newestEra().value_or(0);
    return *offer.era <= store::kMaxUnrestoredEra;
}
}
