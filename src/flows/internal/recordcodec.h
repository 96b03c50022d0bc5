#pragma once

#include "flows/internal/flowtime.h"
#include "global/resultcode.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace radishladder::flows {

//! One record as it is sent to another VM.
struct SentRecord
{
    std::uint64_t hash = 0;
    std::uint64_t wireId = 0;

    //! FlowRecord::Flag values that other VMs need.
    std::uint8_t flags = 0;

    //! The flow ended: forget it.
    bool ended = false;

    //! Time since the last packet.
    std::chrono::seconds age{0};
};

//! Records in one datagram.
struct RecordBatch
{
    std::uint64_t sequence = 0;
    std::vector<SentRecord> records;
};

//! Request or answer that carries no records.
struct PullMessage
{
    enum class Kind : std::uint8_t {
        //! Send me the records that I am home of.
        Pull = 0,

        //! The batch was stored whole.
        Acknowledge = 1,

        //! All records that you are home of were sent and acknowledged.
        TakenOver = 2,
    };
    Kind kind = Kind::Pull;

    //! Batch that is acknowledged.
    std::uint64_t sequence = 0;
};

//! Encodes and checks the messages of the flow path.
class RecordCodec
{
public:
    std::vector<std::uint8_t> encode(const RecordBatch &batch) const;
    std::vector<std::uint8_t> encode(const PullMessage &message) const;

    //! std::nullopt if the payload is malformed (see lastReason()).
    std::optional<RecordBatch> decodeBatch(std::span<const std::uint8_t> payload);
    std::optional<PullMessage> decodePull(std::span<const std::uint8_t> payload);

    ResultCode lastReason() const { return this->reason; }

private:
    ResultCode reason = ResultCode::Ok;
};

//! Records that fit into a payload of \a bytes whatever upstreams they name.
std::size_t recordsPerPayload(std::size_t bytes);

inline constexpr std::size_t kRecordBytes = 12;
}
