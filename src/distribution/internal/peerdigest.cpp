#include "distribution/internal/peerdigest.h"

#include <algorithm>
#include <array>
#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

namespace radishladder::distribution {
namespace {
constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kDigestBytes = 32;

// Keeps these digests apart from whatever else is made with the same keys.
constexpr std::string_view kPurpose = "radishladder documents 1\n";

std::string binaryKey(const std::string &hex)
{
    std::string key(kKeyBytes, '\0');
    sodium_hex2bin(reinterpret_cast<unsigned char *>(key.data()), key.size(), hex.data(),
                   hex.size(), nullptr, nullptr, nullptr);
    return key;
}

std::string digestOf(const std::string &key, std::string_view nonce, std::string_view text)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, reinterpret_cast<const unsigned char *>(key.data()), key.size(),
                            kDigestBytes);
    for (const std::string_view part : {kPurpose, nonce, std::string_view("\n"), text}) {
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(part.data()),
                                  part.size());
    }
    std::array<unsigned char, kDigestBytes> digest{};
    crypto_generichash_final(&state, digest.data(), digest.size());
    std::string hex(2 * kDigestBytes + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}
}

PeerDigest::PeerDigest(std::vector<std::string> hexKeys)
{
    std::ranges::transform(hexKeys, std::back_inserter(this->keys), binaryKey);
}

std::string PeerDigest::sign(std::string_view nonce, std::string_view text) const
{
    return digestOf(this->keys.front(), nonce, text);
}

bool PeerDigest::isValid(std::string_view nonce, std::string_view text,
                         const std::string &digest) const
{
    return std::ranges::any_of(this->keys, [&](const std::string &key) {
        const std::string expected = digestOf(key, nonce, text);
        return digest.size() == expected.size()
            && sodium_memcmp(digest.data(), expected.data(), expected.size()) == 0;
    });
}
}
