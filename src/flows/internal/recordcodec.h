#pragma once

#include "flows/internal/flowtime.h"
#include "flows/internal/pullmessage.h"
#include "flows/internal/recordbatch.h"
#include "flows/internal/sentrecord.h"
#include "global/resultcode.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace radishladder::flows {

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
