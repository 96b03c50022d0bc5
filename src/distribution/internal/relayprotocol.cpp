#include "distribution/relayprotocol.h"

#include "distribution/types/snapshotage.h"
#include "distribution/types/snapshotoffer.h"
#include "net/query.h"

#include <absl/strings/numbers.h>
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

std::string offerQuery(const SnapshotOffer &offer)
{
    return absl::StrCat("address=", net::percentEncoded(net::endpointText(offer.vm)),
                        "&age_ms=", offer.age.count());
}

std::optional<SnapshotOffer> parseOfferQuery(const std::string &query)
{
    auto fields = net::queryFields(query);
    const auto vm = net::parseEndpoint(fields["address"]);
    std::int64_t ageMs = 0;
    if (!vm || vm->port == 0 || !absl::SimpleAtoi(fields["age_ms"], &ageMs) || ageMs < 0) {
        return std::nullopt;
    }
    return SnapshotOffer{.vm = *vm, .age = std::chrono::milliseconds(ageMs)};
}
}
