#include "distribution/relayprotocol.h"

#include "distribution/types/relayera.h"
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

constexpr const char *kAnyEra = "any";

std::string eraQuery(const RelayEra &era)
{
    switch (era.kind) {
    case RelayEra::Kind::Absent:
        break;
    case RelayEra::Kind::Any:
        return absl::StrCat("&", kEraField, "=", kAnyEra);
    case RelayEra::Kind::Named:
        return absl::StrCat("&", kEraField, "=", era.era);
    }
    return "";
}
}

std::string listingQuery(const std::string &prefix, SnapshotAge age, const RelayEra &era)
{
    return absl::StrCat("prefix=", net::percentEncoded(prefix), "&age=", std::string(nameOf(age)),
                        eraQuery(era), "&", kEncodingField, "=", kCompressedEncoding);
}

std::string changesQuery(const std::string &prefix, std::uint64_t after,
                         std::chrono::milliseconds wait, const RelayEra &era)
{
    return absl::StrCat("prefix=", net::percentEncoded(prefix), "&after=", after,
                        "&wait_ms=", wait.count(), eraQuery(era), "&", kEncodingField, "=",
                        kCompressedEncoding);
}

std::optional<RelayEra> parseRelayEra(const std::string &text)
{
    RelayEra era;
    if (text.empty()) {
        return era;
    }
    era.kind = text == kAnyEra ? RelayEra::Kind::Any : RelayEra::Kind::Named;
    if (era.kind == RelayEra::Kind::Named && !absl::SimpleAtoi(text, &era.era)) {
        return std::nullopt;
    }
    return era;
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
                        "&age_ms=", offer.age.count(),
                        offer.era ? absl::StrCat("&", kEraField, "=", *offer.era) : "");
}

std::optional<SnapshotOffer> parseOfferQuery(const std::string &query)
{
    auto fields = net::queryFields(query);
    const auto vm = net::parseEndpoint(fields["address"]);
    std::int64_t ageMs = 0;
    if (!vm || vm->port == 0 || !absl::SimpleAtoi(fields["age_ms"], &ageMs) || ageMs < 0) {
        return std::nullopt;
    }
    SnapshotOffer offer{.vm = *vm, .age = std::chrono::milliseconds(ageMs)};
    if (fields[kEraField].empty()) {
        return offer;
    }
    if (!absl::SimpleAtoi(fields[kEraField], &offer.era.emplace())) {
        return std::nullopt;
    }
    return offer;
}
}
