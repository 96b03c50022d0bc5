#include "requests/internal/keymessages.h"

#include <map>
#include <msgpack.hpp>

namespace radishladder::requests {
namespace {
constexpr std::uint32_t kFieldCount = 10;
constexpr std::uint8_t kVersion = 1;
}

std::vector<std::uint8_t> encodeKeyMessage(const KeyMessage &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(kFieldCount);
    packer.pack(kVersion);
    packer.pack(message.id.high);
    packer.pack(message.id.low);
    packer.pack(message.claim);
    packer.pack(message.bodyDigest);
    packer.pack(message.state);
    packer.pack(static_cast<std::int64_t>(message.timeLeft.count()));
    packer.pack(message.knowsAll);
    packer.pack(message.hasAnswer ? message.answer.status : 0);
    packer.pack(message.hasAnswer ? message.answer.body : std::string());
    return {buffer.data(), buffer.data() + buffer.size()};
}

std::optional<KeyMessage> decodeKeyMessage(std::span<const std::uint8_t> bytes)
{
    try {
        const msgpack::object_handle handle =
            msgpack::unpack(reinterpret_cast<const char *>(bytes.data()), bytes.size());
        const msgpack::object &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size < kFieldCount) {
            return std::nullopt;
        }
        const msgpack::object *fields = object.via.array.ptr;
        KeyMessage message;
        message.id = {fields[1].as<std::uint64_t>(), fields[2].as<std::uint64_t>()};
        message.claim = fields[3].as<std::uint64_t>();
        message.bodyDigest = fields[4].as<std::uint64_t>();
        message.state = fields[5].as<std::uint8_t>();
        message.timeLeft = std::chrono::milliseconds(fields[6].as<std::int64_t>());
        message.knowsAll = fields[7].as<bool>();
        message.answer.status = fields[8].as<int>();
        message.answer.body = fields[9].as<std::string>();
        message.hasAnswer = message.answer.status != 0;
        return message;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
}
