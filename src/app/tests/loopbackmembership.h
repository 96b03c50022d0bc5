#pragma once

#include "membership/imembership.h"
#include "membership/types/relayoffer.h"

#include <string>

namespace radishladder::app {

//! Members vm1, vm2 and so on, each with its own address on the loopback network.
class LoopbackMembership : public membership::IMembership
{
public:
    explicit LoopbackMembership(int count = 8)
    {
        for (int i = 1; i <= count; ++i) {
            this->names.emplace_back("vm" + std::to_string(i));
        }
    }

    static std::uint32_t addressOf(const VmName &vm)
    {
        return 0x7f000100U + static_cast<std::uint32_t>(vm.str().back() - '0');
    }
    const std::vector<VmName> &members() const override { return this->names; }
    std::optional<membership::RelayOffer> relayOfferOf(const VmName &member) const override
    {
        return membership::RelayOffer{.address = {addressOf(member), 1}, .mbps = 10};
    }
    bool isSettled() const override { return true; }

private:
    std::vector<VmName> names;
};
}
