#include "distribution/relayprotocol.h"

#include "distribution/types/snapshotage.h"
#include "net/query.h"

#include <absl/strings/str_cat.h>

namespace radishladder::distribution {
namespace {
constexpr SnapshotAge kAges[] = {SnapshotAge::New, SnapshotAge::Polled, SnapshotAge::Any};

std::string_view nameOf(SnapshotAge age)
{
    switch (age) {
    case SnapshotAge::New:
        return "new";
    case SnapshotAge::Polled:
        return "polled";
    case SnapshotAge::Any:
        break;
    }
    return "any";
}
}

std::string listingQuery(const std::string &prefix, SnapshotAge age)
{
    return absl::StrCat("prefix=", net::percentEncoded(prefix), "&age=", std::string(nameOf(age)),
                        "&", kEncodingField, "=", kCompressedEncoding);
}

std::string changesQuery(const std::string &prefix, std::uint64_t after,
                         std::chrono::milliseconds wait)
{
    return absl::StrCat("prefix=", net::percentEncoded(prefix), "&after=", after,
                        "&wait_ms=", wait.count(), "&", kEncodingField, "=", kCompressedEncoding);
}

std::optional<SnapshotAge> parseSnapshotAge(std::string_view name)
{
    for (const SnapshotAge age : kAges) {
        if (nameOf(age) == name) {
            return age;
        }
    }
    return std::nullopt;
}
}
