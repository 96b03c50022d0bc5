#include "distribution/relayprotocol.h"

#include "distribution/types/copyage.h"
#include "net/query.h"

namespace radishladder::distribution {
namespace {
constexpr CopyAge kAges[] = {CopyAge::New, CopyAge::Polled, CopyAge::Any};

std::string_view nameOf(CopyAge age)
{
    switch (age) {
    case CopyAge::New:
        return "new";
    case CopyAge::Polled:
        return "polled";
    case CopyAge::Any:
        break;
    }
    return "any";
}
}

std::string listingQuery(const std::string &prefix, CopyAge age)
{
    std::string query = "prefix=" + net::percentEncoded(prefix) + "&age=";
    return query.append(nameOf(age));
}

std::optional<CopyAge> parseCopyAge(std::string_view name)
{
    for (const CopyAge age : kAges) {
        if (nameOf(age) == name) {
            return age;
        }
    }
    return std::nullopt;
}
}
