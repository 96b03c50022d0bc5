#include "upstreams/types/upstreamid.h"

#include <absl/strings/str_cat.h>

namespace radishladder::upstreams {
std::string upstreamIdText(UpstreamId id)
{
    return absl::StrCat(absl::Hex(id.value, absl::kZeroPad16));
}

std::uint32_t flowToken(UpstreamId id)
{
    // Finalizer of SplitMix64: every bit of the identifier affects every bit of the token.
    std::uint64_t mixed = id.value;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    mixed ^= mixed >> 31U;
    const auto token = static_cast<std::uint32_t>(mixed);
    return token == 0 ? 1 : token;
}
}
