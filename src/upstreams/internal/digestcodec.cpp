#include "upstreams/internal/digestcodec.h"

#include <algorithm>
#include <msgpack.hpp>

namespace radishladder::upstreams {
namespace {
constexpr std::uint32_t kFieldCount = 5;
}

std::vector<std::uint8_t> encodeDigest(const Digest &digest)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(kFieldCount);
    packer.pack(digest.warmth.generation);
    packer.pack(digest.warmth.resets);
    packer.pack(digest.warmth.slots);
    packer.pack(digest.warmth.flowLevel);
    packer.pack(static_cast<std::uint8_t>(digest.condition));
    return {buffer.data(), buffer.data() + buffer.size()};
}

std::optional<Digest> decodeDigest(std::span<const std::uint8_t> bytes)
{
    try {
        const msgpack::object_handle handle =
            msgpack::unpack(reinterpret_cast<const char *>(bytes.data()), bytes.size());
        const msgpack::object &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size < kFieldCount) {
            return std::nullopt;
        }
        const msgpack::object *fields = object.via.array.ptr;
        const auto condition = fields[4].as<std::uint8_t>();
        Digest digest{{.generation = fields[0].as<std::uint64_t>(),
                       .resets = fields[1].as<std::uint32_t>(),
                       .slots = std::max(fields[2].as<int>(), 1),
                       .flowLevel = std::max(fields[3].as<int>(), 0)},
                      Condition::Gone};
        // A condition unknown here comes from a later version; the worst is assumed.
        if (condition <= static_cast<std::uint8_t>(Condition::Gone)) {
            digest.condition = static_cast<Condition>(condition);
        }
        return digest;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
}
