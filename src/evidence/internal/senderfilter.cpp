#include "evidence/senderfilter.h"

#include "evidence/types/evidencedatagram.h"

#include <algorithm>

namespace radishladder::evidence {
void SenderFilter::setMembers(std::span<const std::uint64_t> members)
{
    std::erase_if(this->senders, [members](const auto &entry) {
        return std::ranges::find(members, entry.first) == members.end();
    });
    for (const std::uint64_t member : members) {
        this->senders.try_emplace(member);
    }
}

Rejection SenderFilter::check(const EvidenceDatagram &datagram)
{
    if (datagram.sender == this->self) {
        return Rejection::OwnDatagram;
    }
    const auto found = this->senders.find(datagram.sender);
    if (found == this->senders.end()) {
        return Rejection::UnknownSender;
    }
    Sender &sender = found->second;
    if (sender.isKnown && datagram.senderStart == sender.start) {
        if (datagram.sequence <= sender.sequence) {
            return Rejection::Replayed;
        }
        sender.sequence = datagram.sequence;
        return Rejection::None;
    }
    // Datagrams from before a restart may still arrive after it.
    if (sender.isKnown && datagram.senderStart == sender.previousStart) {
        return Rejection::Replayed;
    }
    sender = {.isKnown = true,
              .start = datagram.senderStart,
              .previousStart = sender.isKnown ? sender.start : datagram.senderStart,
              .sequence = datagram.sequence};
    return Rejection::None;
}
}
