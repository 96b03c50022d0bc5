#include "settings/configurationcodec.h"
#include "settings/types/configuration.h"
#include "settings/types/encodedconfiguration.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::settings;

namespace {
Configuration twoServices()
{
    Configuration configuration{.generation = 7, .changeId = "c7"};
    configuration.dataCentres = {{DataCentreName("obuda"), false}};
    for (const char *name : {"portal", "hangfogado"}) {
        const auto octet = static_cast<std::uint32_t>(configuration.services.size());
        Service service{.name = ServiceName(name), .address = {0x7fc80001 + octet, 443}};
        service.upstreams.push_back({.name = UpstreamName(std::string(name) + "-1"),
                                     .dataCentre = DataCentreName("obuda"),
                                     .tunnel = {0x7f020001 + octet, 6080},
                                     .http = {0x7f020001 + octet, 8080}});
        configuration.services.push_back(service);
    }
    return configuration;
}

ConfigurationCodec::FindPart finder(const EncodedConfiguration &encoded)
{
    return [&encoded](const std::string &digest) -> std::optional<std::string> {
        const auto found = encoded.partsByDigest.find(digest);
        return found == encoded.partsByDigest.end() ? std::nullopt
                                                    : std::make_optional(found->second);
    };
}
}

Test(configurationcodec, round_trips)
{
    ConfigurationCodec codec;
    const EncodedConfiguration encoded = codec.encode(twoServices());
    auto decoded = codec.decode(encoded.head, finder(encoded));
    cr_assert(decoded.has_value(), "%s", codec.lastReason().detail.c_str());
    std::ranges::sort(decoded->services, {}, &Service::name);
    Configuration expected = twoServices();
    std::ranges::sort(expected.services, {}, &Service::name);
    cr_assert(*decoded == expected);
}

Test(configurationcodec, a_change_rewrites_only_the_service_it_touches)
{
    ConfigurationCodec codec;
    const EncodedConfiguration before = codec.encode(twoServices());
    Configuration changed = twoServices();
    changed.services[1].upstreams[0].drain = true;
    const EncodedConfiguration after = codec.encode(changed);
    std::size_t common = 0;
    for (const auto &[digest, part] : after.partsByDigest) {
        common += before.partsByDigest.count(digest);
    }
    // The other service and its group stay; the changed service, its group and the head are new.
    cr_assert_eq(before.partsByDigest.size(), 4);
    cr_assert_eq(common, 2);
    cr_assert_neq(before.head, after.head);
}

Test(configurationcodec, digests_follow_the_groups_at_hand)
{
    ConfigurationCodec codec;
    const EncodedConfiguration encoded = codec.encode(twoServices());
    cr_assert_eq(codec.digests(encoded.head, finder(encoded))->size(), 4);
    const auto withoutParts = [](const std::string &) -> std::optional<std::string> {
        return std::nullopt;
    };
    cr_assert_eq(codec.digests(encoded.head, withoutParts)->size(), 2);
    cr_assert(!codec.digests("{}", withoutParts).has_value());
}

Test(configurationcodec, missing_and_altered_parts_are_refused)
{
    ConfigurationCodec codec;
    EncodedConfiguration encoded = codec.encode(twoServices());
    encoded.partsByDigest.begin()->second += " ";
    cr_assert(!codec.decode(encoded.head, finder(encoded)).has_value());
    cr_assert(codec.lastReason().code == ResultCode::StoreAnswerInvalid);
    encoded.partsByDigest.erase(encoded.partsByDigest.begin());
    cr_assert(!codec.decode(encoded.head, finder(encoded)).has_value());
    cr_assert(codec.lastReason().code == ResultCode::StoreKeyMissing);
}
