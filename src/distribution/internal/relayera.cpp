#include "distribution/types/relayera.h"

#include "store/types/storerevision.h"

namespace radishladder::distribution {
RelayEra RelayEra::of(const std::optional<std::uint64_t> &newest)
{
    return newest ? RelayEra{.kind = Kind::Named, .era = *newest} : RelayEra{.kind = Kind::Any};
}

bool RelayEra::accepts(std::uint64_t dataEra, std::uint64_t ownEra) const
{
    switch (this->kind) {
    case Kind::Absent:
        // The revisions of a restored store are ambiguous to a VM that does not know its eras.
        return dataEra == ownEra && ownEra <= store::kMaxUnrestoredEra;
    case Kind::Any:
        break;
    case Kind::Named:
        return dataEra == this->era && ownEra == this->era;
    }
    return true;
}
}
