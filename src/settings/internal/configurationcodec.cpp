#include "settings/configurationcodec.h"

#include "settings/configurationreader.h"
#include "settings/jsonfile.h"
#include "settings/types/encodedconfiguration.h"

#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

namespace radishladder::settings {
namespace {
constexpr std::size_t kDigestBytes = 16;

std::string digestOf(const std::string &text)
{
    unsigned char digest[kDigestBytes];
    crypto_generichash(digest, sizeof digest, reinterpret_cast<const unsigned char *>(text.data()),
                       text.size(), nullptr, 0);
    char hex[2 * kDigestBytes + 1];
    sodium_bin2hex(hex, sizeof hex, digest, sizeof digest);
    return hex;
}
}

EncodedConfiguration ConfigurationCodec::encode(const Configuration &configuration) const
{
    EncodedConfiguration encoded;
    Json::Value head = configurationJson(configuration);
    Json::Value digests(Json::arrayValue);
    for (const Json::Value &service : head["services"]) {
        const std::string text = jsonText(service);
        const std::string digest = digestOf(text);
        digests.append(digest);
        encoded.partsByDigest[digest] = text;
    }
    head["services"] = digests;
    encoded.head = jsonText(head);
    return encoded;
}

std::optional<std::vector<std::string>> ConfigurationCodec::digests(const std::string &head)
{
    this->reason = {};
    const auto json = parseJson(head, "configuration head", this->reason);
    if (!json) {
        return std::nullopt;
    }
    if (!json->isObject() || !(*json)["services"].isArray()) {
        this->reason = {ResultCode::FieldType, "configuration head: /services is not an array"};
        return std::nullopt;
    }
    std::vector<std::string> digests;
    for (const Json::Value &digest : (*json)["services"]) {
        digests.push_back(digest.isString() ? digest.asString() : std::string());
    }
    return digests;
}

std::optional<Configuration> ConfigurationCodec::decode(const std::string &head,
                                                        const FindPart &findPart)
{
    const auto wanted = this->digests(head);
    if (!wanted) {
        return std::nullopt;
    }
    auto json = parseJson(head, "configuration head", this->reason);
    Json::Value services(Json::arrayValue);
    for (const std::string &digest : *wanted) {
        const auto text = findPart(digest);
        if (!text) {
            this->reason = {ResultCode::StoreKeyMissing, "part " + digest + " is not known"};
            return std::nullopt;
        }
        if (digestOf(*text) != digest) {
            this->reason = {ResultCode::StoreAnswerInvalid,
                            "part " + digest + " has another content"};
            return std::nullopt;
        }
        const auto part = parseJson(*text, "part " + digest, this->reason);
        if (!part) {
            return std::nullopt;
        }
        services.append(*part);
    }
    (*json)["services"] = services;
    ConfigurationReader reader;
    auto configuration = reader.read(*json);
    this->reason = reader.lastReason();
    return configuration;
}
}
