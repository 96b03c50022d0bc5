#include "settings/types/vmsettings.h"

namespace radishladder::settings {
bool needsRestart(const VmSettings &current, const VmSettings &changed)
{
    return changed.packets != current.packets || changed.readiness != current.readiness
        || changed.operations != current.operations || changed.store != current.store
        || changed.relay != current.relay || changed.peers != current.peers
        || changed.seeds != current.seeds;
}
}
