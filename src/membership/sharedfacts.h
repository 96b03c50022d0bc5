#pragma once

#include "membership/iheartbeatextension.h"
#include "membership/isharedfacts.h"

#include <memory>

namespace radishladder {
class IClock;
}
namespace radishladder::telemetry {
class IMetrics;
}

namespace radishladder::membership {
class IPeerTransport;
class Membership;

//! Facts as one versioned log a VM, spread by gossip and repaired by comparing digests.
class SharedFacts : public ISharedFacts, public IHeartbeatExtension
{
public:
    //! Attaches itself to \a membership.
    SharedFacts(Membership &membership, IPeerTransport &transport, const IClock &clock,
                telemetry::IMetrics &metrics);
    ~SharedFacts() override;

    void publish(const std::string &key, const Value &value) override;
    void withdraw(const std::string &key) override;
    bool isKnownByAll(const std::string &key,
                      std::chrono::steady_clock::time_point now) const override;
    std::optional<Value> value(const VmName &origin, const std::string &key) const override;
    std::vector<VmName> origins(const std::string &key) const override;
    void subscribe(Subscriber subscriber) override;

    std::vector<std::uint8_t> attachment(const VmName &to, bool isAnswer,
                                         std::size_t maxBytes) override;
    void receive(const VmName &from, bool isAnswer, std::span<const std::uint8_t> bytes) override;
    bool isCaughtUpWith(const VmName &peer) const override;

    //! Pushes new facts of this VM to those that have not acknowledged them; call every 50 ms or
    //! so.
    void tick();

private:
    struct State;

    std::unique_ptr<State> state;
};
}
