#include "flows/internal/recordsender.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
//! IP and UDP headers, authentication and the message's own frame.
constexpr std::size_t kDatagramOverheadBytes = 120;
constexpr std::chrono::milliseconds kAcknowledgeLimit{1000};
constexpr double kBurstSeconds = 4;
}

RecordSender::RecordSender(std::size_t bytesPerSecond, std::size_t maxPayloadBytes, Send send)
    : bytesPerSecond(static_cast<double>(bytesPerSecond)),
      perBatch(recordsPerPayload(maxPayloadBytes)), send(std::move(send))
{ }

void RecordSender::tick(TimePoint now)
{
    const double full = this->bytesPerSecond * kBurstSeconds;
    if (this->renewedAt == TimePoint{}) {
        this->budget = full;
    } else {
        const std::chrono::duration<double> passed = now - this->renewedAt;
        this->budget = std::min(full, this->budget + passed.count() * this->bytesPerSecond);
    }
    this->renewedAt = now;
}

bool RecordSender::spend(std::size_t bytes)
{
    if (!this->unlimited && this->budget < static_cast<double>(bytes)) {
        return false;
    }
    this->budget -= static_cast<double>(bytes);
    this->bytes += bytes;
    return true;
}

bool RecordSender::add(PeerId to, const SentRecord &record, TimePoint now)
{
    RecordBatch &batch = this->open[to];
    if (!this->spend(kRecordBytes + (batch.records.empty() ? kDatagramOverheadBytes : 0))) {
        return false;
    }
    batch.records.push_back(record);
    if (batch.records.size() >= this->perBatch) {
        this->sendBatch(to, batch, now);
    }
    return true;
}

void RecordSender::sendBatch(PeerId to, RecordBatch &batch, TimePoint now)
{
    batch.sequence = ++this->sequence;
    this->send(to, this->codec.encode(batch));
    Sent &sent = this->unacknowledged[batch.sequence];
    sent.to = to;
    sent.at = now;
    for (const SentRecord &record : batch.records) {
        sent.hashes.push_back(record.hash);
    }
    batch.records.clear();
}

void RecordSender::flush(TimePoint now)
{
    for (auto &[to, batch] : this->open) {
        if (!batch.records.empty()) {
            this->sendBatch(to, batch, now);
        }
    }
    this->open.clear();
}

void RecordSender::acknowledge(PeerId from, std::uint64_t sequence)
{
    const auto sent = this->unacknowledged.find(sequence);
    if (sent != this->unacknowledged.end() && sent->second.to == from) {
        this->unacknowledged.erase(sent);
    }
}

std::vector<std::uint64_t> RecordSender::takeLost(TimePoint now)
{
    std::vector<std::uint64_t> lost;
    std::erase_if(this->unacknowledged, [&](const auto &entry) {
        const Sent &sent = entry.second;
        const bool isLost = now - sent.at > kAcknowledgeLimit;
        if (isLost) {
            lost.insert(lost.end(), sent.hashes.begin(), sent.hashes.end());
        }
        return isLost;
    });
    return lost;
}

bool RecordSender::isIdle(PeerId to) const
{
    return std::ranges::none_of(this->unacknowledged,
                                [to](const auto &entry) { return entry.second.to == to; });
}
}
