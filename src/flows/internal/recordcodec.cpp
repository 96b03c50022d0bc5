#include "flows/internal/recordcodec.h"

#include <algorithm>
#include <msgpack.hpp>

namespace radishladder::flows {
namespace {
constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kEnded = 0x80;
constexpr std::size_t kWireIdBytes = 9;
constexpr std::size_t kEnvelopeBytes = 32;
constexpr std::size_t kMaxWireIds = 256;

void appendBytes(std::vector<char> &bytes, std::uint64_t value, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        bytes.push_back(static_cast<char>(value >> (8 * i)));
    }
}

std::uint64_t readBytes(const char *bytes, std::size_t count)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < count; ++i) {
        value |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[i])) << (8 * i);
    }
    return value;
}

std::vector<std::uint8_t> toBytes(const msgpack::sbuffer &buffer)
{
    return {buffer.data(), buffer.data() + buffer.size()};
}

std::size_t positionOf(std::vector<std::uint64_t> &wireIds, std::uint64_t wireId)
{
    const auto found = std::ranges::find(wireIds, wireId);
    const auto position = static_cast<std::size_t>(found - wireIds.begin());
    if (found == wireIds.end()) {
        wireIds.push_back(wireId);
    }
    return position;
}

void appendRecord(std::vector<char> &bytes, const SentRecord &record, std::size_t position)
{
    constexpr std::int64_t kMaxAgeSeconds = 0xffff;
    const std::uint8_t flags = record.flags | (record.ended ? kEnded : 0);
    appendBytes(bytes, record.hash, 8);
    appendBytes(bytes, position, 1);
    appendBytes(bytes, flags, 1);
    appendBytes(bytes, static_cast<std::uint64_t>(std::min(record.age.count(), kMaxAgeSeconds)), 2);
}

std::optional<SentRecord> readRecord(const char *bytes, const std::vector<std::uint64_t> &wireIds)
{
    const auto position = readBytes(bytes + 8, 1);
    if (position >= wireIds.size()) {
        return std::nullopt;
    }
    const auto flags = static_cast<std::uint8_t>(readBytes(bytes + 9, 1));
    SentRecord record;
    record.hash = readBytes(bytes, 8);
    record.wireId = wireIds[position];
    record.flags = flags & static_cast<std::uint8_t>(~kEnded);
    record.ended = (flags & kEnded) != 0;
    record.age = std::chrono::seconds(readBytes(bytes + 10, 2));
    return record;
}

//! The fields of a message of this version; empty if it is none.
std::vector<msgpack::object> fieldsOf(const msgpack::object &message, std::size_t least)
{
    const auto fields = message.as<std::vector<msgpack::object>>();
    const bool fits = fields.size() >= least && fields[0].as<std::uint8_t>() == kVersion;
    return fits ? fields : std::vector<msgpack::object>();
}
}

std::size_t recordsPerPayload(std::size_t bytes)
{
    const std::size_t room = bytes > kEnvelopeBytes ? bytes - kEnvelopeBytes : 0;
    return std::min(room / (kRecordBytes + kWireIdBytes), kMaxWireIds);
}

std::vector<std::uint8_t> RecordCodec::encode(const RecordBatch &batch) const
{
    std::vector<std::uint64_t> wireIds;
    std::vector<char> bytes;
    for (const SentRecord &record : batch.records) {
        appendRecord(bytes, record, positionOf(wireIds, record.wireId));
    }
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(4);
    packer.pack(kVersion);
    packer.pack(batch.sequence);
    packer.pack(wireIds);
    packer.pack(bytes);
    return toBytes(buffer);
}

std::vector<std::uint8_t> RecordCodec::encode(const PullMessage &message) const
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(3);
    packer.pack(kVersion);
    packer.pack(static_cast<std::uint8_t>(message.kind));
    packer.pack(message.sequence);
    return toBytes(buffer);
}

std::optional<RecordBatch> RecordCodec::decodeBatch(std::span<const std::uint8_t> payload)
try {
    this->reason = ResultCode::MessageMalformed;
    const auto handle =
        msgpack::unpack(reinterpret_cast<const char *>(payload.data()), payload.size());
    const auto fields = fieldsOf(handle.get(), 4);
    if (fields.empty()) {
        return std::nullopt;
    }
    RecordBatch batch;
    batch.sequence = fields[1].as<std::uint64_t>();
    const auto wireIds = fields[2].as<std::vector<std::uint64_t>>();
    const auto bytes = fields[3].as<std::vector<char>>();
    if (bytes.size() % kRecordBytes != 0) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < bytes.size(); i += kRecordBytes) {
        const auto record = readRecord(bytes.data() + i, wireIds);
        if (!record) {
            return std::nullopt;
        }
        batch.records.push_back(*record);
    }
    this->reason = ResultCode::Ok;
    return batch;
} catch (const std::exception &) {
    return std::nullopt;
}

std::optional<PullMessage> RecordCodec::decodePull(std::span<const std::uint8_t> payload)
try {
    this->reason = ResultCode::MessageMalformed;
    const auto handle =
        msgpack::unpack(reinterpret_cast<const char *>(payload.data()), payload.size());
    const auto fields = fieldsOf(handle.get(), 3);
    const auto kind = fields.empty() ? 0xff : fields[1].as<std::uint8_t>();
    if (kind > static_cast<std::uint8_t>(PullMessage::Kind::TakenOver)) {
        return std::nullopt;
    }
    this->reason = ResultCode::Ok;
    return PullMessage{static_cast<PullMessage::Kind>(kind), fields[2].as<std::uint64_t>()};
} catch (const std::exception &) {
    return std::nullopt;
}
}
