#include "cases.h"

#include <cstdlib>
#include <cstring>

namespace review {
bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

Verdict verdict(Deployment &deployment, int violations)
{
    if (!deployment.isReady) {
        deployment.record.write("the VMs did not become ready");
        return Verdict::NotRun;
    }
    if (Loop::isTerminated()) {
        deployment.record.write("ended by SIGTERM");
        return Verdict::NotRun;
    }
    deployment.record.write(violations > 0 ? "BROKEN, times: " + std::to_string(violations)
                                           : "the rule held");
    return violations > 0 ? Verdict::Broken : Verdict::Held;
}
}
