#include "store/internal/etcdjson.h"

#include "store/base64.h"
#include "store/types/storedvalue.h"

#include <charconv>

namespace radishladder::store {
namespace {
std::string decoded(const Json::Value &value)
{
    return value.isString() ? decodeBase64(value.asString()).value_or("") : std::string();
}
}

std::int64_t etcdInteger(const Json::Value &value)
{
    if (value.isInt64()) {
        return value.asInt64();
    }
    const std::string text = value.isString() ? value.asString() : std::string();
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

StoredValue etcdStoredValue(const Json::Value &json)
{
    StoredValue value;
    if (json.isObject()) {
        value.key = decoded(json["key"]);
        value.value = decoded(json["value"]);
        value.revision = etcdInteger(json["mod_revision"]);
    }
    return value;
}

std::string endOfPrefix(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');
    }
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}
}
