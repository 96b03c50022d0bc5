#include "membership/internal/datagramcipher.h"

#include <cstring>
#include <sodium/crypto_aead_xchacha20poly1305.h>
#include <sodium/utils.h>

namespace radishladder::membership {
namespace {
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kNonceBytes = 24;
static_assert(kNonceBytes == crypto_aead_xchacha20poly1305_ietf_NPUBBYTES);
static_assert(DatagramCipher::kTagBytes == crypto_aead_xchacha20poly1305_ietf_ABYTES);

void putNumber(std::uint8_t *bytes, std::uint64_t number)
{
    for (std::size_t i = 0; i < kNumberBytes; ++i) {
        bytes[i] = static_cast<std::uint8_t>(number >> (8 * i));
    }
}

std::uint64_t readNumber(const std::uint8_t *bytes)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < kNumberBytes; ++i) {
        number |= static_cast<std::uint64_t>(bytes[i]) << (8 * i);
    }
    return number;
}

//! Header and receiver: a datagram that was meant for another VM does not open.
using AdditionalData = std::array<std::uint8_t, DatagramCipher::kHeaderBytes + kNumberBytes>;

AdditionalData additionalData(std::span<const std::uint8_t> header, std::uint64_t receiver)
{
    AdditionalData data{};
    std::memcpy(data.data(), header.data(), DatagramCipher::kHeaderBytes);
    putNumber(data.data() + DatagramCipher::kHeaderBytes, receiver);
    return data;
}

// Sender, start and counter never repeat together, so that they serve as the nonce.
const std::uint8_t *nonceOf(std::span<const std::uint8_t> datagram)
{
    return datagram.data() + DatagramCipher::kHeaderBytes - kNonceBytes;
}
}

DatagramCipher::DatagramCipher(const std::vector<std::string> &hexKeys)
{
    for (const std::string &hex : hexKeys) {
        Key key{};
        sodium_hex2bin(key.data(), key.size(), hex.data(), hex.size(), nullptr, nullptr, nullptr);
        this->keys.push_back(key);
    }
}

std::vector<std::uint8_t> DatagramCipher::seal(const DatagramHeader &header, std::uint64_t receiver,
                                               std::span<const std::uint8_t> plain) const
{
    std::vector<std::uint8_t> datagram(kHeaderBytes + plain.size() + kTagBytes);
    datagram[0] = kVersion;
    datagram[1] = static_cast<std::uint8_t>(header.kind);
    putNumber(&datagram[2], header.sender);
    putNumber(&datagram[10], header.start);
    putNumber(&datagram[18], header.counter);
    const AdditionalData data = additionalData(datagram, receiver);
    crypto_aead_xchacha20poly1305_ietf_encrypt(
        datagram.data() + kHeaderBytes, nullptr, plain.data(), plain.size(), data.data(),
        data.size(), nullptr, nonceOf(datagram), this->keys.front().data());
    return datagram;
}

std::optional<DatagramHeader> DatagramCipher::header(std::span<const std::uint8_t> datagram)
{
    if (datagram.size() < kHeaderBytes + kTagBytes) {
        this->reason = {ResultCode::MessageMalformed, "datagram is too short"};
        return std::nullopt;
    }
    if (datagram[0] != kVersion) {
        this->reason = {ResultCode::MessageVersionUnknown,
                        "version " + std::to_string(datagram[0])};
        return std::nullopt;
    }
    return DatagramHeader{.version = datagram[0],
                          .kind = static_cast<MessageKind>(datagram[1]),
                          .sender = readNumber(&datagram[2]),
                          .start = readNumber(&datagram[10]),
                          .counter = readNumber(&datagram[18])};
}

std::optional<std::vector<std::uint8_t>> DatagramCipher::open(
    std::span<const std::uint8_t> datagram, std::uint64_t receiver)
{
    const AdditionalData data = additionalData(datagram, receiver);
    std::vector<std::uint8_t> plain(datagram.size() - kHeaderBytes - kTagBytes);
    for (const Key &key : this->keys) {
        const int failed = crypto_aead_xchacha20poly1305_ietf_decrypt(
            plain.data(), nullptr, nullptr, datagram.data() + kHeaderBytes,
            datagram.size() - kHeaderBytes, data.data(), data.size(), nonceOf(datagram),
            key.data());
        if (failed == 0) {
            return plain;
        }
    }
    this->reason = {ResultCode::MessageUnauthenticated, "no key opens the datagram"};
    return std::nullopt;
}
}
