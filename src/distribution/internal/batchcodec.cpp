#include "distribution/internal/batchcodec.h"

#include "distribution/types/documentbatch.h"

#include <msgpack.hpp>

namespace radishladder::distribution {
namespace {
constexpr std::size_t kMaxItems = 65536;
constexpr std::size_t kMaxBytes = 16 * 1024 * 1024;
constexpr std::size_t kMaxDepth = 8;

struct WireDocument
{
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    bool isRemoved = false;

    MSGPACK_DEFINE_ARRAY(key, value, revision, isRemoved)
};

//! New fields are appended; readers skip those that they don't know.
struct WireBatch
{
    std::vector<WireDocument> documents;
    std::int64_t upTo = 0;
    bool isCut = false;
    std::vector<WireDocument> vmList;

    MSGPACK_DEFINE_ARRAY(documents, upTo, isCut, vmList)
};

WireDocument toWire(const store::StoredValue &value)
{
    return {value.key, value.value, value.revision, value.removed};
}

store::StoredValue fromWire(WireDocument &document)
{
    return {std::move(document.key), std::move(document.value), document.revision,
            document.isRemoved};
}
}

std::string encodeBatch(const DocumentBatch &batch)
{
    WireBatch wire{.upTo = batch.upTo, .isCut = batch.isCut};
    for (const store::StoredValue &document : batch.documents) {
        wire.documents.push_back(toWire(document));
    }
    if (batch.vmList) {
        wire.vmList.push_back(toWire(*batch.vmList));
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

std::optional<DocumentBatch> decodeBatch(const std::string &bytes)
{
    const msgpack::unpack_limit limit(kMaxItems, kMaxItems, kMaxBytes, kMaxBytes, kMaxBytes,
                                      kMaxDepth);
    try {
        auto wire = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit)
                        .get()
                        .as<WireBatch>();
        DocumentBatch batch{.upTo = wire.upTo, .isCut = wire.isCut};
        for (WireDocument &document : wire.documents) {
            batch.documents.push_back(fromWire(document));
        }
        if (!wire.vmList.empty()) {
            batch.vmList = fromWire(wire.vmList.front());
        }
        return batch;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
}
