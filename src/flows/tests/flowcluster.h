#pragma once

#include "flows/flowrouter.h"
#include "flows/tests/fakemembership.h"
#include "flows/tests/fakenetwork.h"
#include "flows/tests/fakeplacement.h"
#include "flows/tests/fakeupstreams.h"
#include "flows/types/flowkey.h"
#include "global/manualclock.h"
#include "settings/configurationholder.h"
#include "settings/types/configuration.h"
#include "telemetry/prometheusmetrics.h"

#include <memory>
#include <string>
#include <vector>

namespace radishladder::flows {

//! TCP flags of a test packet.
enum class Segment : std::uint8_t {
    Fin = 0x11,
    Syn = 0x02,
    Rst = 0x04,
    Data = 0x10,
};

//! IPv4 packet of the flow \a key.
std::vector<std::uint8_t> testPacket(const FlowKey &key, Segment segment);

//! One VM with a real router and fakes of its own.
struct TestVm
{
    TestVm(const std::string &name, FakeNetwork &network, const ManualClock &clock,
           const FlowOptions &options, const std::string &dataCentre);

    VmName name;
    FakePlacement placement;
    FakeMembership membership;
    FakeUpstreams upstreams;
    settings::ConfigurationHolder configuration;
    telemetry::PrometheusMetrics metrics;
    std::unique_ptr<FakeNetwork::Transport> transport;
    FlowRouter router;
    bool isUp = true;
};

//! Several VMs, one service "board" with upstreams a, b, c (index 0 to 2) and one service "intake"
//! with upstream x (index 3).
class FlowCluster
{
public:
    explicit FlowCluster(std::size_t vms, FlowOptions options = smallOptions());

    static FlowOptions smallOptions();

    //! Starts another VM that is unknown to the others until join().
    TestVm &start(const std::string &dataCentre = "obuda");

    //! All VMs learn of all others.
    void join();

    //! Lets time pass with ticks and deliveries.
    void run(std::chrono::milliseconds duration);

    //! Hands the packet to a VM, follows relays; upstream name or reason of the drop.
    std::string send(std::size_t vm, const FlowKey &key, Segment segment);

    //! The same for a packet as it is.
    std::string sendRaw(std::size_t vm, std::vector<std::uint8_t> packet);

    //! Sets the view of all slots of the board service on every VM.
    void setViews(placement::UpstreamIndex oldest, placement::UpstreamIndex current, bool contested,
                  bool settled);

    //! The VM stops at once; the others learn its \a state.
    void kill(std::size_t vm, membership::MemberState state = membership::MemberState::Dead);

    //! Changes what all running VMs believe of \a vm.
    void setState(std::size_t vm, membership::MemberState state);

    //! VM that is home of the flow in the eyes of \a observer, and the one ranked next.
    std::size_t homeOf(const FlowKey &key, std::size_t observer = 0, std::size_t rank = 0);

    //! A VM that is neither home nor backup.
    std::size_t otherThanHome(const FlowKey &key);

    //! The nth flow of the board service.
    static FlowKey flow(std::uint16_t n);

    TestVm &vm(std::size_t index) { return *this->vms[index]; }
    std::size_t size() const { return this->vms.size(); }

    ManualClock clock;
    FakeNetwork network;

private:
    membership::Member memberOf(std::size_t index) const;

    FlowOptions options;
    std::vector<std::unique_ptr<TestVm>> vms;
};
}
