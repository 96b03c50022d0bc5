#include "distribution/relayprotocol.h"

#include "distribution/types/snapshotage.h"
#include "net/query.h"

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
    std::string query = "prefix=" + net::percentEncoded(prefix) + "&age=";
    return query.append(nameOf(age));
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
