#include "standins/wire.h"

#include "global/hash.h"

namespace radishladder::standins {
namespace {
constexpr std::size_t kAnswerLines = 32;
}

std::vector<std::uint8_t> encodeFlowAnswer(std::span<const std::uint8_t> sent,
                                           const UpstreamName &name)
{
    std::vector<std::uint8_t> payload(sent.begin(), sent.end());
    payload.insert(payload.end(), name.str().begin(), name.str().end());
    return payload;
}

std::string expectedAnswer(const std::string &path, const std::string &body)
{
    std::string answer = path + "\n";
    std::uint64_t digest = hash64(body, hash64(path));
    for (std::size_t i = 0; i < kAnswerLines; ++i) {
        digest = hash64(answer, digest);
        answer += std::to_string(digest) + "\n";
    }
    return answer;
}
}
