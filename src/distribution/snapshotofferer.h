#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace radishladder {
class IClock;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::net {
class IHttpConnection;
}

namespace radishladder::distribution {
struct SnapshotOffer;

//! Offers the snapshots of this VM to the members of its data centre, some at a time, while the
//! store cannot be reached.
//!
//! Load pattern: most VMs of a data centre that is cut off lose power and start again. They know
//! only their seeds, which have restarted, too, or are cut off; the VMs that kept running know them
//! as members.
class SnapshotOfferer
{
public:
    using ConnectionFactory =
        std::function<std::unique_ptr<net::IHttpConnection>(const net::Endpoint &vm)>;

    SnapshotOfferer(const IClock &clock, ConnectionFactory connect, VmName self);
    ~SnapshotOfferer();

    //! Sets the membership whose other members get offers; without it there are no offers.
    void setMembership(const membership::IMembership &members) { this->membership = &members; }

    //! Sends the next offers; \a dataAge is the time since this VM last received data of the store,
    //! std::nullopt if no offers are due, and \a dataEra is the era of that data. Must be called
    //! several times a second.
    void tick(std::optional<std::chrono::milliseconds> dataAge, std::uint64_t dataEra);

private:
    struct PendingOffer
    {
        std::unique_ptr<net::IHttpConnection> connection;
        std::chrono::steady_clock::time_point sentAt;
    };

    void offerToNextMember(const SnapshotOffer &offer);
    void send(const VmName &member, const net::Endpoint &address, const SnapshotOffer &offer);
    bool isPaused(const VmName &member) const;

    const IClock &clock;
    ConnectionFactory connect;
    VmName self;
    const membership::IMembership *membership = nullptr;

    //! Position of the next member in the list of members.
    std::size_t nextMember = 0;
    std::map<VmName, PendingOffer> pendingOffers;

    //! Members that need no offer, with the time until which they get none.
    std::map<VmName, std::chrono::steady_clock::time_point> pausedUntil;
};
}
