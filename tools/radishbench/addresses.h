#pragma once

#include "net/types/endpoint.h"

#include <cstdint>

namespace radishladder::radishbench {

//! Loopback addresses and ports of the processes and stand-ins of a testbed. Testbeds that run at
//! the same time need different lanes, so that their addresses do not collide.
struct Addresses
{
    std::uint8_t lane = 0;

    static constexpr std::uint16_t kPackets = 18172;
    static constexpr std::uint16_t kReadiness = 18167;
    static constexpr std::uint16_t kOperations = 17720;
    static constexpr std::uint16_t kRelay = 17735;
    static constexpr std::uint16_t kUpstream = 18080;
    static constexpr std::uint16_t kStore = 18169;

    //! Returns the address of VM \a number of a data centre, which has at most 32 VMs.
    net::Endpoint vm(int dataCentre, int number, std::uint16_t port) const
    {
        return this->at(1, static_cast<std::uint8_t>(dataCentre * 32 + number), port);
    }
    net::Endpoint upstream(int number) const
    {
        return this->at(2, static_cast<std::uint8_t>(number), kUpstream);
    }
    net::Endpoint client() const { return this->at(3, 1, kPackets); }
    net::Endpoint service(int number) const
    {
        return this->at(4, 1, static_cast<std::uint16_t>(8000 + number));
    }
    net::Endpoint store() const { return this->at(5, 1, kStore); }

    //! Address of the proxy through which VM \a number reaches the store.
    net::Endpoint proxy(int number) const
    {
        return this->at(6, static_cast<std::uint8_t>(number), kStore);
    }

private:
    //! Returns the endpoint 127.(128 + lane).part.(number + 1):port.
    net::Endpoint at(std::uint8_t part, std::uint8_t number, std::uint16_t port) const
    {
        const std::uint32_t address =
            0x7f000000U | (0x80U | this->lane) << 16U | std::uint32_t{part} << 8U | (number + 1U);
        return {address, port};
    }
};
}
