#pragma once

#include <chrono>

namespace radishladder::store {

//! Divides the time within which a change that the store accepted must take effect on every VM
//! among the stages that the change passes: the pause between two watches, a relay, a peer of the
//! relay.
class DelayBudget
{
public:
    using Duration = std::chrono::milliseconds;

    explicit DelayBudget(Duration limit) : limit(limit) { }

    //! Longest pause after a watch response until the next watch, of a VM that serves no peers.
    Duration directPause() const;

    //! The same for a relay, whose peers have to bear its pause too.
    Duration relayPause() const;

    //! Longest time between two calls of a relay that show that it still reaches the store.
    Duration renewInterval() const;

    //! Longest wait of a peer's request at a relay. A response with changes has the age of the data
    //! when it is sent, which the peer counts from its request.
    Duration relayWait() const;

    //! A VM whose relay does not show within this time that it has all changes gets them elsewhere.
    Duration maxAge() const;

    //! Returns true if the time suffices for changes to pass a relay.
    bool allowsRelays() const;

    //! Longest time until a VM that watches at the store has a change.
    Duration longestDirect() const;

    //! Longest time until a VM behind a relay has a change, whatever happens to its relays.
    Duration longestThroughRelay() const;

    //! Age that the data of a relay reaches while nothing fails.
    Duration longestRelayAge() const;

    //! Longest pause of a VM after a response of its relay.
    static constexpr Duration kPeerPause{200};

    //! Time for the request to a relay of the same data centre that responds at once.
    static constexpr Duration kRelayCall{150};

    //! Time for a call to a store that responds, and for applying the response.
    static constexpr Duration kStoreCall{250};

    //! A relay responds at most this long after the wait of a request has ended.
    static constexpr Duration kRelayTick{250};

    //! A response of a relay is used if its data may become this much older: enough for the next
    //! request and a short wait.
    static constexpr Duration kMinRemaining{kRelayCall + kRelayTick + Duration(50)};

    //! Ages are rounded up to a multiple of this, so that peers that are served together get one
    //! body.
    static constexpr Duration kAgeStep{100};

private:
    Duration limit;
};
}
