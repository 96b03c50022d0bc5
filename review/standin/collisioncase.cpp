#include "cases.h"
#include "flowcase.h"

namespace review {
//! A host is replaced by one whose token is the same, and one VM is restarted before the other.
Verdict runCollision(Deployment &deployment)
{
    static constexpr std::uint64_t kOldId = 0x20d29c482;
    static constexpr std::uint64_t kNewId = 0xba5c6252a8;
    static constexpr std::uint64_t kOtherId = 0x51c0ffe1;
    static constexpr Milliseconds kWork{50};
    static constexpr Milliseconds kNewStart{1000};
    static constexpr Milliseconds kDrain{2500};
    static constexpr Milliseconds kEndOfOld{kDrain + Milliseconds(3600)};
    static constexpr Milliseconds kFirstRestart{kEndOfOld + Milliseconds(1500)};
    static constexpr Milliseconds kOpening{kFirstRestart + Milliseconds(7000)};
    static constexpr Milliseconds kSecondRestart{kOpening + Milliseconds(1000)};
    static constexpr Milliseconds kPause{2500};
    static constexpr Milliseconds kEnd{kOpening + Milliseconds(9000)};
    static constexpr int kFlows = 12;

    if (!deployment.start(2)) {
        return Verdict::NotRun;
    }
    FlowCase flows(deployment);
    if (deployment.addHost(kOldId, kWork) == nullptr
        || deployment.addHost(kOtherId, kWork) == nullptr) {
        return Verdict::NotRun;
    }
    deployment.whenReady([&deployment]() {
        Loop &loop = deployment.loop;
        loop.after(kNewStart, [&deployment]() { deployment.addHost(kNewId, kWork); });
        loop.after(kDrain, [&deployment]() { deployment.hosts[0]->drain(); });
        loop.after(kEndOfOld, [&deployment]() { deployment.hosts[0]->leave(); });
        if (hasTrouble()) {
            loop.after(kFirstRestart, [&deployment]() { deployment.vms[1]->restart(); });
        }
        loop.after(kOpening, [&deployment]() {
            for (int i = 0; i < kFlows; ++i) {
                deployment.client->open(deployment.portThrough(*deployment.vms[1]),
                                        deployment.service(), {Milliseconds(0), kPause});
            }
        });
        loop.after(kSecondRestart, [&deployment]() { deployment.vms[1]->restart(); });
        loop.after(kEnd, [&deployment]() { deployment.loop.stop(); });
    });
    deployment.loop.run();
    return verdict(deployment, flows.count());
}
}
