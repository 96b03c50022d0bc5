#include "cases.h"
#include "flowcase.h"

namespace review {
//! One SYN+ACK is lost, and the VM that placed the flow is restarted as planned.
Verdict runStray(Deployment &deployment)
{
    static constexpr Milliseconds kWork{50};
    static constexpr Milliseconds kCalm{1500};
    static constexpr Milliseconds kRestart{1000};
    static constexpr Milliseconds kPause{3300};
    static constexpr Milliseconds kEnd{9000};

    if (!deployment.start(2)) {
        return Verdict::NotRun;
    }
    FlowCase flows(deployment);
    for (const std::uint64_t id : {0x7f3a91c2ULL, 0x51c0ffe1ULL, 0x2b44d0a7ULL}) {
        Host *host = deployment.addHost(id, kWork);
        if (host == nullptr) {
            return Verdict::NotRun;
        }
        host->setLosesNextSynAck(hasTrouble());
        host->setOpeningHandler([&deployment, host](const Packet &opening) {
            deployment.record.write(host->about().name + " gets the SYN of flow "
                                    + std::to_string(opening.source.port) + ", transmission "
                                    + std::to_string(opening.acknowledged + 1));
            for (const auto &other : deployment.hosts) {
                if (other.get() != host) {
                    other->setLosesNextSynAck(false);
                }
            }
        });
    }
    deployment.whenReady([&deployment]() {
        deployment.loop.after(kCalm, [&deployment]() {
            deployment.client->open(deployment.portThrough(*deployment.vms[0]),
                                    deployment.service(), {Milliseconds(0), kPause});
            deployment.loop.after(kRestart, [&deployment]() { deployment.vms[0]->restart(); });
            deployment.loop.after(kEnd, [&deployment]() { deployment.loop.stop(); });
        });
    });
    deployment.loop.run();
    return verdict(deployment, flows.count());
}
}
