#include "net/compression.h"

#include <algorithm>
#include <zlib.h>

namespace radishladder::net {
namespace {
//! Larger than most texts, so that they need one step.
constexpr std::size_t kFirstBufferBytes = 64 * 1024;

const Bytef *bytesOf(const std::string &text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}
}

std::optional<std::string> compress(const std::string &text)
{
    std::string data(compressBound(text.size()), '\0');
    uLongf size = data.size();
    // The fastest level: narrow VMs wait for the result while they start.
    if (compress2(bytesOf(data), &size, bytesOf(text), text.size(), Z_BEST_SPEED) != Z_OK) {
        return std::nullopt;
    }
    data.resize(size);
    return data;
}

std::optional<std::string> decompress(const std::string &data, std::size_t maxBytes)
{
    z_stream stream{};
    stream.next_in = const_cast<Bytef *>(bytesOf(data));
    stream.avail_in = static_cast<uInt>(data.size());
    if (inflateInit(&stream) != Z_OK) {
        return std::nullopt;
    }
    // One byte more than allowed, which shows that a text is too long.
    const std::size_t bufferLimit = maxBytes + 1;
    std::string text;
    int status = Z_OK;
    while (status == Z_OK && text.size() < bufferLimit) {
        const std::size_t done = text.size();
        text.resize(std::min(std::max(kFirstBufferBytes, done * 2), bufferLimit));
        stream.next_out = bytesOf(text) + done;
        stream.avail_out = static_cast<uInt>(text.size() - done);
        status = inflate(&stream, Z_NO_FLUSH);
        text.resize(text.size() - stream.avail_out);
    }
    const bool isWhole = status == Z_STREAM_END && stream.avail_in == 0 && text.size() <= maxBytes;
    inflateEnd(&stream);
    return isWhole ? std::optional(std::move(text)) : std::nullopt;
}
}
