#include "slopes/configurationslopes.h"

#include "settings/configurationcodec.h"
#include "settings/types/encodedconfiguration.h"
#include "slopes/processusage.h"
#include "slopes/syntheticconfiguration.h"

namespace radishladder::slopes {
namespace {
constexpr std::size_t kUpstreamsPerService = 19;

double milliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double partBytes(const settings::EncodedConfiguration &encoded)
{
    double bytes = 0;
    for (const auto &[digest, part] : encoded.partsByDigest) {
        bytes += static_cast<double>(part.size());
    }
    return bytes;
}

//! Bytes of the head and of the parts that \a after has and \a before has not.
double changeBytes(const settings::EncodedConfiguration &before,
                   const settings::EncodedConfiguration &after)
{
    auto bytes = static_cast<double>(after.head.size());
    for (const auto &[digest, part] : after.partsByDigest) {
        bytes += before.partsByDigest.contains(digest) ? 0 : static_cast<double>(part.size());
    }
    return bytes;
}

settings::ConfigurationCodec::FindPart finder(const settings::EncodedConfiguration &encoded)
{
    return [&encoded](const std::string &digest) -> std::optional<std::string> {
        const auto found = encoded.partsByDigest.find(digest);
        return found == encoded.partsByDigest.end() ? std::nullopt
                                                    : std::make_optional(found->second);
    };
}
}

std::vector<Slope> measureConfiguration()
{
    Slope stored("store", "stored bytes of the configuration", "service");
    Slope change("peer", "bytes of one change", "service");
    Slope decode("peer", "ms of processor time to decode one change", "service");
    Slope memory("peer", "heap bytes of the configuration", "service");
    for (const std::size_t services : {39U, 390U, 3900U}) {
        const auto size = static_cast<double>(services);
        settings::Configuration configuration =
            syntheticConfiguration(services, kUpstreamsPerService);
        settings::ConfigurationCodec codec;
        const auto before = codec.encode(configuration);
        configuration.services.back().upstreams.front().drain = true;
        const auto after = codec.encode(configuration);
        stored.add(size, partBytes(before) + static_cast<double>(before.head.size()));
        change.add(size, changeBytes(before, after));
        const auto startHeap = heapBytes();
        const auto first = codec.decode(before.head, finder(before));
        memory.add(size, first ? static_cast<double>(heapBytes() - startHeap) : 0);
        const auto startTime = threadTime();
        const auto second = codec.decode(after.head, finder(after));
        decode.add(size, second ? milliseconds(threadTime() - startTime) : 0);
    }
    return {stored, change, decode, memory};
}
}
