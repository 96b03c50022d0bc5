#pragma once

#include "evidence/types/suspectchange.h"

#include <vector>

namespace radishladder::evidence {

//! Changes of suspects that have not been logged yet.
//!
//! Load pattern: overload, in which the silence of an upstream is refuted within milliseconds. Such
//! pairs of changes are not logged.
class SuspectChanges
{
public:
    //! Adds \a change, or removes the earlier change of the same upstream that it reverts.
    void add(const SuspectChange &change);

    //! Returns the changes since the last call.
    std::vector<SuspectChange> take();

private:
    std::vector<SuspectChange> changes;
};
}
