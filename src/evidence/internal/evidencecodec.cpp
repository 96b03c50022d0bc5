#include "evidence/evidencecodec.h"

#include "evidence/types/evidencedatagram.h"
#include "net/bytereader.h"
#include "net/bytewriter.h"

#include <algorithm>

namespace radishladder::evidence {
namespace {
using std::chrono::milliseconds;

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 20;
constexpr std::size_t kRecordBytes = 15;
static_assert(kHeaderBytes + EvidenceDatagram::kMaxRecords * kRecordBytes == kMaxEvidenceBytes);

//! Longer ages are sent as this one: evidence is used for a few seconds only.
constexpr std::uint16_t kMaxAge = 60000;
constexpr std::uint16_t kNoAge = 0xffff;
constexpr int kMaxSilentFlows = 255;

std::uint16_t encodeAge(milliseconds age)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(age.count(), 0, kMaxAge));
}

EvidenceRecord readRecord(net::ByteReader &reader, bool &isInRange)
{
    EvidenceRecord record;
    record.upstream.value = reader.read<std::uint64_t>();
    record.silentFlows = reader.read<std::uint8_t>();
    const auto silenceAge = reader.read<std::uint16_t>();
    const auto retransmissionAge = reader.read<std::uint16_t>();
    const auto responseAge = reader.read<std::uint16_t>();
    // A flow is silent only after its first packet, so the retransmission is the newer one.
    isInRange = isInRange && silenceAge <= kMaxAge && retransmissionAge <= silenceAge
        && (responseAge <= kMaxAge || responseAge == kNoAge);
    record.silenceAge = milliseconds(silenceAge);
    record.retransmissionAge = milliseconds(retransmissionAge);
    if (responseAge != kNoAge) {
        record.responseAge = milliseconds(responseAge);
    }
    return record;
}
}

std::size_t encodeEvidence(const EvidenceDatagram &datagram, std::span<std::uint8_t> out)
{
    net::ByteWriter writer(out);
    writer.write(kEvidenceMagic);
    writer.write(kVersion);
    writer.write(static_cast<std::uint8_t>(datagram.recordCount));
    writer.write(datagram.sender);
    writer.write(datagram.senderStart);
    writer.write(datagram.sequence);
    for (const EvidenceRecord &record : datagram.usedRecords()) {
        writer.write(record.upstream.value);
        writer.write(static_cast<std::uint8_t>(std::clamp(record.silentFlows, 0, kMaxSilentFlows)));
        writer.write(encodeAge(record.silenceAge));
        writer.write(encodeAge(record.retransmissionAge));
        writer.write(record.responseAge ? encodeAge(*record.responseAge) : kNoAge);
    }
    return writer.size();
}

Rejection decodeEvidence(std::span<const std::uint8_t> bytes, EvidenceDatagram &datagram)
{
    if (bytes.size() > kMaxEvidenceBytes) {
        return Rejection::TooLong;
    }
    if (bytes.size() < kHeaderBytes) {
        return Rejection::Truncated;
    }
    net::ByteReader reader(bytes);
    if (reader.read<std::uint16_t>() != kEvidenceMagic) {
        return Rejection::WrongMagic;
    }
    if (reader.read<std::uint8_t>() != kVersion) {
        return Rejection::WrongVersion;
    }
    const std::size_t count = reader.read<std::uint8_t>();
    const std::size_t expectedBytes = kHeaderBytes + count * kRecordBytes;
    if (count > EvidenceDatagram::kMaxRecords || bytes.size() > expectedBytes) {
        return Rejection::TooLong;
    }
    if (bytes.size() < expectedBytes) {
        return Rejection::Truncated;
    }
    datagram.sender = reader.read<std::uint64_t>();
    datagram.senderStart = reader.read<std::uint32_t>();
    datagram.sequence = reader.read<std::uint32_t>();
    datagram.recordCount = count;
    bool isInRange = true;
    for (std::size_t i = 0; i < count; ++i) {
        datagram.records[i] = readRecord(reader, isInRange);
    }
    return isInRange ? Rejection::None : Rejection::AgeOutOfRange;
}
}
