#include "flows/sharedflowcodec.h"

#include "flows/types/sharedflowdatagram.h"
#include "net/bytereader.h"
#include "net/bytewriter.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
using std::chrono::milliseconds;

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 5;
constexpr std::size_t kFlowBytes = 27;
static_assert(kHeaderBytes + kMaxFlowsPerDatagram * kFlowBytes == kMaxSharedFlowBytes);

//! Longer ages are sent as this one: the age matters for the first seconds of a flow only.
constexpr std::uint16_t kMaxAge = 60000;

void writeEndpoint(net::ByteWriter &writer, const net::Endpoint &endpoint)
{
    writer.write(endpoint.address);
    writer.write(endpoint.port);
}

net::Endpoint readEndpoint(net::ByteReader &reader)
{
    net::Endpoint endpoint;
    endpoint.address = reader.read<std::uint32_t>();
    endpoint.port = reader.read<std::uint16_t>();
    return endpoint;
}

std::uint16_t encodeAge(std::chrono::steady_clock::duration age)
{
    const auto count = std::chrono::duration_cast<milliseconds>(age).count();
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(count, 0, kMaxAge));
}
}

std::size_t encodeSharedFlows(const SharedFlowDatagram &datagram,
                              std::chrono::steady_clock::time_point now,
                              std::span<std::uint8_t> out)
{
    net::ByteWriter writer(out);
    writer.write(kSharedFlowMagic);
    writer.write(kVersion);
    writer.write(static_cast<std::uint8_t>(datagram.isRequest));
    writer.write(static_cast<std::uint8_t>(datagram.flows.size()));
    for (const auto &[key, flow] : datagram.flows) {
        writeEndpoint(writer, key.client);
        writeEndpoint(writer, key.service);
        writer.write(flow.initialSequence);
        writer.write(flow.upstream.value);
        writer.write(static_cast<std::uint8_t>(flow.isOpen));
        writer.write(encodeAge(now - flow.openingSince));
    }
    return writer.size();
}

std::optional<SharedFlowDatagram> decodeSharedFlows(std::span<const std::uint8_t> bytes,
                                                    std::chrono::steady_clock::time_point now)
{
    if (bytes.size() < kHeaderBytes) {
        return std::nullopt;
    }
    net::ByteReader reader(bytes);
    const auto magic = reader.read<std::uint16_t>();
    const auto version = reader.read<std::uint8_t>();
    const auto request = reader.read<std::uint8_t>();
    const std::size_t count = reader.read<std::uint8_t>();
    const bool isValid = magic == kSharedFlowMagic && version == kVersion && request <= 1
        && count <= kMaxFlowsPerDatagram && bytes.size() == kHeaderBytes + count * kFlowBytes;
    if (!isValid) {
        return std::nullopt;
    }
    SharedFlowDatagram datagram{.isRequest = request == 1};
    datagram.flows.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        FlowKey key;
        key.client = readEndpoint(reader);
        key.service = readEndpoint(reader);
        SharedFlow flow;
        flow.initialSequence = reader.read<std::uint32_t>();
        flow.upstream.value = reader.read<std::uint64_t>();
        const auto isOpen = reader.read<std::uint8_t>();
        const auto age = reader.read<std::uint16_t>();
        if (isOpen > 1 || age > kMaxAge) {
            return std::nullopt;
        }
        flow.isOpen = isOpen == 1;
        flow.openingSince = now - milliseconds(age);
        datagram.flows.emplace_back(key, flow);
    }
    return datagram;
}
}
