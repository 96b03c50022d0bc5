#include "evidence/types/rejection.h"

#include <array>

namespace radishladder::evidence {
std::string_view rejectionName(Rejection rejection)
{
    constexpr std::array<std::string_view, kRejectionCount> kNames{
        "none",          "truncated",        "too_long",     "wrong_magic",
        "wrong_version", "age_out_of_range", "own_datagram", "unknown_sender",
        "replayed",      "queued",           "inactive"};
    return kNames[static_cast<std::size_t>(rejection)];
}
}
