#include "settings/vmsettingsreader.h"

#include <criterion/parameterized.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace radishladder;
using namespace radishladder::settings;

namespace {
const char *const kValid = R"({
    // one entry VM
    "name": "vm-1", "dataCentre": "obuda",
    "data": "127.0.0.1:7000", "peer": "127.0.0.1:7010",
    "requests": "127.0.0.1:7080", "admin": "127.0.0.1:7090",
    "platform": ["127.0.0.9:2379"],
    "peerKeys": ["5d1f0a7c3be94286a0c7d5e1f2938475b6a7c8d9e0f1a2b3c4d5e6f708192a3b"],
    "adminToken": "token"
})";

std::string fileWith(const std::string &text)
{
    std::string path = std::filesystem::temp_directory_path()
        / ("radishladder-settings-" + std::to_string(getpid()) + ".json");
    std::ofstream(path) << text;
    return path;
}
}

struct SettingsCase
{
    char from[40];
    char to[64];
    ResultCode code;
    char detail[96];
};

ParameterizedTestParameters(vmsettings, bad_files_are_refused)
{
    static SettingsCase cases[] = {
        {"\"name\": \"vm-1\", ", "", ResultCode::FieldMissing, "/name is missing"},
        {"\"vm-1\"", "\"\"", ResultCode::FieldRange, "/name is empty"},
        {"\"vm-1\"", "7", ResultCode::FieldType, "/name is not a string"},
        {"\"name\"", "\"nmae\": 1, \"name\"", ResultCode::FieldUnknown, "/nmae is not known here"},
        {"127.0.0.1:7000", "127.0.0.1", ResultCode::FieldType,
         "/data is not an IPv4 address and port: 127.0.0.1"},
        {"127.0.0.1:7000", "::1:7000", ResultCode::FieldType,
         "/data is not an IPv4 address and port: ::1:7000"},
        {"127.0.0.1:7000", "127.0.0.1:70000", ResultCode::FieldType,
         "/data is not an IPv4 address and port: 127.0.0.1:70000"},
        {"127.0.0.1:7000", "127.0.0.1:0", ResultCode::FieldRange, "/data has port 0"},
        {"127.0.0.1:7000", "127.0.0.1:65534", ResultCode::FieldRange,
         "/data needs three ports and leaves too few"},
        {"127.0.0.1:7010", "127.0.0.1:7002", ResultCode::DuplicateAddress,
         "/peer is one of the three ports from data on"},
        {"127.0.0.1:7090", "127.0.0.1:7080", ResultCode::DuplicateAddress,
         "/admin is the same as requests"},
        {"[\"127.0.0.9:2379\"]", "[]", ResultCode::FieldRange, "/platform is empty"},
        {"[\"127.0.0.9:2379\"]", "[7]", ResultCode::FieldType,
         "/platform holds no IPv4 address and port"},
        {"[\"127.0.0.9:2379\"]", "\"127.0.0.9:2379\"", ResultCode::FieldType,
         "/platform is not an array"},
        {"[\"127.0.0.9:2379\"]", "[\"127.0.0.9:1\", \"127.0.0.9:1\"]", ResultCode::DuplicateAddress,
         "/platform holds an address twice"},
        {"5d1f", "zz1f", ResultCode::FieldRange,
         "/peerKeys holds a key that is not 64 hexadecimal digits"},
        {"5d1f", "1f", ResultCode::FieldRange,
         "/peerKeys holds a key that is not 64 hexadecimal digits"},
        {"\"token\"", "\"token\", \"openReads\": 1", ResultCode::FieldType,
         "/openReads is neither true nor false"},
        {"\"token\"", "\"token\", \"flowMechanism\": \"best\"", ResultCode::FieldRange,
         "/flowMechanism is none of epochs, hash, hash-cache, home"},
        {"\"token\"", "\"token\", \"requestMechanism\": \"best\"", ResultCode::FieldRange,
         "/requestMechanism is none of shared, least-connections, round-robin"},
    };
    return cr_make_param_array(SettingsCase, cases, sizeof(cases) / sizeof(SettingsCase));
}

ParameterizedTest(SettingsCase *row, vmsettings, bad_files_are_refused)
{
    std::string text = kValid;
    const auto at = text.find(row->from);
    cr_assert(at != std::string::npos, "%s", row->from);
    const std::string file = fileWith(text.replace(at, std::string(row->from).size(), row->to));
    VmSettingsReader reader;
    const bool isRead = reader.read(file).has_value();
    std::filesystem::remove(file);
    cr_assert(!isRead);
    cr_assert(reader.lastReason().code == row->code, "%s", reader.lastReason().detail.c_str());
    const std::string expected = file + ": " + row->detail;
    cr_assert_str_eq(reader.lastReason().detail.c_str(), expected.c_str());
}

Test(vmsettings, a_valid_file_is_read_and_a_missing_or_broken_one_is_named)
{
    VmSettingsReader reader;
    const std::string file = fileWith(kValid);
    cr_assert(reader.read(file).has_value(), "%s", reader.lastReason().detail.c_str());
    fileWith("{");
    cr_assert(!reader.read(file).has_value());
    cr_assert(reader.lastReason().code == ResultCode::JsonMalformed);
    std::filesystem::remove(file);
    cr_assert(!reader.read(file).has_value());
    cr_assert(reader.lastReason().code == ResultCode::FileUnreadable);
}
