#pragma once

#include "deployment.h"

namespace review {

//! Result of a case; the value is the exit status of the program.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

//! Returns false if TROUBLE=0 leaves out the disruption of the case.
bool hasTrouble();

//! Returns the result of a case in which the rule was broken \a violations times, and records it.
Verdict verdict(Deployment &deployment, int violations);

Verdict runDrain(Deployment &deployment);
Verdict runStray(Deployment &deployment);
Verdict runCollision(Deployment &deployment);
Verdict runRelay(Deployment &deployment);
Verdict runReturn(Deployment &deployment);
Verdict runRoute(Deployment &deployment);
Verdict runListing(Deployment &deployment);
}
