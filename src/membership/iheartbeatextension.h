#pragma once

#include "global/name.h"

#include <cstdint>
#include <span>
#include <vector>

namespace radishladder::membership {

//! Knowledge that travels on heartbeats and their answers.
class IHeartbeatExtension
{
public:
    virtual ~IHeartbeatExtension() = default;

    //! Bytes to attach to a heartbeat to \a to, or to the answer to one.
    virtual std::vector<std::uint8_t> attachment(const VmName &to, bool isAnswer,
                                                 std::size_t maxBytes) = 0;

    //! Takes what \a from has attached.
    virtual void receive(const VmName &from, bool isAnswer,
                         std::span<const std::uint8_t> bytes) = 0;

    //! True if everything that \a peer knew when it last answered is known here.
    virtual bool isCaughtUpWith(const VmName &peer) const = 0;
};
}
