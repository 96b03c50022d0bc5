#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace radishladder::distribution {

inline constexpr std::string_view kPeerNonceHeader = "X-Peer-Nonce";
inline constexpr std::string_view kPeerDigestHeader = "X-Peer-Digest";

//! Keyed digests that show that a text comes from a VM; the first key signs, every key is accepted.
class PeerDigest
{
public:
    explicit PeerDigest(std::vector<std::string> hexKeys);

    std::string sign(std::string_view nonce, std::string_view text) const;
    bool isValid(std::string_view nonce, std::string_view text, const std::string &digest) const;

private:
    std::vector<std::string> keys;
};
}
