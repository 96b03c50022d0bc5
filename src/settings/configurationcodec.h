#pragma once

#include "global/name.h"
#include "global/reason.h"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::settings {
struct Configuration;
struct DataCentre;
struct EncodedConfiguration;
struct Service;

//! Splits a configuration into a head, groups of services and one part a service, so that a change
//! rewrites only the head, one group and the services it touches.
class ConfigurationCodec
{
public:
    //! Text of the part with a digest; std::nullopt if it is not at hand.
    using FindPart = std::function<std::optional<std::string>(const std::string &digest)>;

    EncodedConfiguration encode(const Configuration &configuration) const;

    //! Digests of all parts that \a head refers to, directly or through a group that is at hand;
    //! std::nullopt if something is malformed (see lastReason()).
    std::optional<std::vector<std::string>> digests(const std::string &head,
                                                    const FindPart &findPart);

    //! std::nullopt if a part is missing, altered or wrong (see lastReason()).
    std::optional<Configuration> decode(const std::string &head, const FindPart &findPart);

    const Reason &lastReason() const { return this->reason; }

private:
    std::optional<Json::Value> readPart(const std::string &digest, const FindPart &findPart);
    std::shared_ptr<const Service> readService(const std::string &digest, const FindPart &findPart,
                                               const std::vector<DataCentre> &dataCentres);
    bool readServices(const Json::Value &groups, const FindPart &findPart,
                      Configuration &configuration);

    //! Services of the last decoded configuration by digest, so that a change parses only what it
    //! touches.
    std::map<std::string, std::shared_ptr<const Service>> decoded;
    std::vector<DataCentreName> dataCentres;
    Reason reason;
};
}
