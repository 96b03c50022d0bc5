#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace radishladder::distribution {

//! Offer of a VM to send its snapshots to a VM that starts while the store cannot be reached.
struct SnapshotOffer
{
    //! Relay address of the offering VM.
    net::Endpoint vm;

    //! Time since the offering VM last received data of the store, directly or through a relay.
    std::chrono::milliseconds age{0};

    //! Era of the snapshots; std::nullopt if the offer names none, because the sender is of a
    //! release that knows no eras.
    std::optional<std::uint64_t> era;
};
}
