#include "settings/configurationreader.h"
#include "settings/jsonfile.h"

#include <criterion/parameterized.h>

using namespace radishladder;
using namespace radishladder::settings;

struct FieldCase
{
    char from[96];
    char to[96];
    ResultCode code;
    char detail[160];
};

namespace {
const char *const kValid = R"({
    // one data centre, one service
    "dataCentres": [{"name": "obuda"}],
    "services": [{"name": "portal", "address": "127.200.0.1", "port": 443,
        "upstreams": [
            {"name": "h1", "dataCentre": "obuda", "address": "127.2.0.1", "tunnelPort": 6080},
            {"name": "h2", "dataCentre": "obuda", "address": "127.2.0.2", "tunnelPort": 6080}]}]
})";

std::string withReplacement(const char *from, const char *to)
{
    std::string text = kValid;
    const auto at = text.find(from);
    cr_assert(at != std::string::npos, "%s", from);
    return text.replace(at, std::string(from).size(), to);
}
}

ParameterizedTestParameters(configuration, errors_name_the_invalid_field)
{
    static FieldCase cases[] = {
        {"\"port\": 443", "\"port\": 0", ResultCode::FieldRange,
         "/services/portal/port is not between 1 and 65535"},
        {"\"port\": 443", "\"port\": \"443\"", ResultCode::FieldType,
         "/services/portal/port is not a 64-bit integer"},
        {"\"port\": 443", "\"port\": true", ResultCode::FieldType,
         "/services/portal/port is not a 64-bit integer"},
        {"\"port\": 443,", "", ResultCode::FieldMissing, "/services/portal/port is missing"},
        {"\"port\": 443", "\"port\": 443, \"prot\": 1", ResultCode::FieldUnknown,
         "/services/portal/prot is not a known field"},
        {"127.200.0.1", "127.200.0", ResultCode::FieldType,
         "/services/portal/address is not an IPv4 address: 127.200.0"},
        {"\"h2\"", "\"h1\"", ResultCode::DuplicateName,
         "/services/portal/upstreams/h1/name is used twice"},
        {"127.2.0.2", "127.2.0.1", ResultCode::DuplicateAddress,
         "/services/portal/upstreams/h2/address is used twice with the same tunnel port"},
        {"\"dataCentre\": \"obuda\"", "\"dataCentre\": \"buda\"", ResultCode::UnknownDataCentre,
         "/services/portal/upstreams/h1/dataCentre names a data centre that is not configured"},
        {"{\"name\": \"obuda\"}", "{\"name\": \"obuda\"}, {\"name\": \"obuda\"}",
         ResultCode::DuplicateName, "/dataCentres/obuda/name is used twice"},
        {"{\"name\": \"obuda\"}", "{\"name\": \"obuda\", \"out\": \"yes\"}", ResultCode::FieldType,
         "/dataCentres/obuda/out is neither true nor false"},
        {"[{\"name\": \"obuda\"}]", "{\"name\": \"obuda\"}", ResultCode::FieldType,
         "/dataCentres is not an array"},
        {"[{\"name\": \"obuda\"}]", "[7]", ResultCode::FieldType,
         "/dataCentres/0 is not an object"},
        {"\"dataCentres\"", "\"freeze\": 1, \"dataCentres\"", ResultCode::FieldType,
         "/freeze is neither true nor false"},
        {"\"port\": 443", "\"port\": 443, \"protocol\": \"sctp\"", ResultCode::FieldRange,
         "/services/portal/protocol is neither tcp nor udp"},
        {"\"port\": 443", "\"port\": 443.5", ResultCode::FieldType,
         "/services/portal/port is not a 64-bit integer"},
        {"\"port\": 443", "\"port\": 99999999999999999999", ResultCode::FieldType,
         "/services/portal/port is not a 64-bit integer"},
        {"\"tunnelPort\": 6080", "\"tunnelPort\": 6080, \"slots\": 0", ResultCode::FieldRange,
         "/services/portal/upstreams/h1/slots is not between 1 and 10000"},
    };
    return cr_make_param_array(FieldCase, cases, sizeof(cases) / sizeof(FieldCase));
}

ParameterizedTest(FieldCase *row, configuration, errors_name_the_invalid_field)
{
    Reason reason;
    const auto json = parseJson(withReplacement(row->from, row->to), "test", reason);
    cr_assert(json.has_value(), "%s", reason.detail.c_str());
    ConfigurationReader reader;
    cr_assert(!reader.read(*json).has_value());
    cr_assert(reader.lastReason().code == row->code, "%s", reader.lastReason().detail.c_str());
    cr_assert_str_eq(reader.lastReason().detail.c_str(), row->detail);
}

Test(configuration, survives_conversion_to_json_and_back)
{
    Reason reason;
    ConfigurationReader reader;
    const auto first = reader.read(*parseJson(kValid, "test", reason));
    cr_assert(first.has_value(), "%s", reader.lastReason().detail.c_str());
    cr_assert(reader.read(configurationJson(*first)) == first);
}

Test(json, errors_name_origin_and_line)
{
    Reason reason;
    cr_assert(!parseJson("{\"a\": }", "base.json", reason).has_value());
    cr_assert(reason.code == ResultCode::JsonMalformed);
    cr_assert(reason.detail.starts_with("base.json: * Line 1"), "%s", reason.detail.c_str());
}
