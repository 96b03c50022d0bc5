#pragma once

#include "flows/internal/flowrecord.h"
#include "flows/internal/recordcodec.h"

#include <chrono>
#include <functional>
#include <map>
#include <vector>

namespace radishladder::flows {

//! Sends records in batches within a byte budget and waits for their acknowledgement.
class RecordSender
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Send = std::function<void(PeerId to, const std::vector<std::uint8_t> &payload)>;

    RecordSender(std::size_t bytesPerSecond, std::size_t maxPayloadBytes, Send send);

    //! Renews the budget.
    void tick(TimePoint now);

    //! Puts \a record into the next batch to \a to; false if the budget is spent.
    bool add(PeerId to, const SentRecord &record, TimePoint now);

    //! Takes \a bytes off the budget; false if it is spent.
    bool spend(std::size_t bytes);

    //! Sends all batches.
    void flush(TimePoint now);

    void acknowledge(PeerId from, std::uint64_t sequence);

    //! Flows whose batch was not acknowledged in time.
    std::vector<std::uint64_t> takeLost(TimePoint now);

    //! Nothing sent to \a to waits for an acknowledgement.
    bool isIdle(PeerId to) const;
    bool isIdle() const { return this->unacknowledged.empty(); }

    //! Lifts the budget, for a planned stop.
    void lift() { this->unlimited = true; }

    std::uint64_t sentBytes() const { return this->bytes; }

private:
    struct Sent
    {
        PeerId to;
        TimePoint at;
        std::vector<std::uint64_t> hashes;
    };

    void sendBatch(PeerId to, RecordBatch &batch, TimePoint now);

    double bytesPerSecond;
    std::size_t perBatch;
    Send send;
    RecordCodec codec;
    std::map<PeerId, RecordBatch> open;
    std::map<std::uint64_t, Sent> unacknowledged;
    TimePoint renewedAt{};
    double budget = 0;
    bool unlimited = false;
    std::uint64_t sequence = 0;
    std::uint64_t bytes = 0;
};
}
