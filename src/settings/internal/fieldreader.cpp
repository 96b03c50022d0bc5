#include "settings/fieldreader.h"

namespace radishladder::settings {
FieldReader::FieldReader(const Json::Value &object, std::string path, Reason &reason)
    : object(object), path(std::move(path)), reason(reason)
{
    if (!object.isObject()) {
        this->fail(ResultCode::FieldType, "", "is not an object");
    }
}

std::string FieldReader::text(const std::string &field)
{
    std::string value = this->possiblyEmptyText(field);
    if (value.empty()) {
        this->fail(ResultCode::FieldRange, field, "is empty");
    }
    return value;
}

std::string FieldReader::possiblyEmptyText(const std::string &field)
{
    const Json::Value *value = this->find(field, true);
    if (value == nullptr) {
        return {};
    }
    if (!value->isString()) {
        this->fail(ResultCode::FieldType, field, "is not a string");
        return {};
    }
    return value->asString();
}

std::string FieldReader::textOr(const std::string &field, const std::string &defaultValue)
{
    return this->find(field, false) == nullptr ? defaultValue : this->text(field);
}

std::int64_t FieldReader::integer(const std::string &field, std::int64_t minimum,
                                  std::int64_t maximum)
{
    const Json::Value *value = this->find(field, true);
    if (value == nullptr) {
        return minimum;
    }
    if (!value->isIntegral() || value->isBool()) {
        this->fail(ResultCode::FieldType, field, "is not a 64-bit integer");
        return minimum;
    }
    if (!value->isInt64() || value->asInt64() < minimum || value->asInt64() > maximum) {
        this->fail(ResultCode::FieldRange, field,
                   "is not between " + std::to_string(minimum) + " and " + std::to_string(maximum));
        return minimum;
    }
    return value->asInt64();
}

std::int64_t FieldReader::integerOr(const std::string &field, std::int64_t minimum,
                                    std::int64_t maximum, std::int64_t defaultValue)
{
    return this->find(field, false) == nullptr ? defaultValue
                                               : this->integer(field, minimum, maximum);
}

double FieldReader::numberOr(const std::string &field, double minimum, double maximum,
                             double defaultValue)
{
    const Json::Value *value = this->find(field, false);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->isNumeric() || value->isBool()) {
        this->fail(ResultCode::FieldType, field, "is not a number");
        return defaultValue;
    }
    const double number = value->asDouble();
    if (!(number >= minimum && number <= maximum)) {
        this->fail(ResultCode::FieldRange, field,
                   "is not between " + std::to_string(minimum) + " and " + std::to_string(maximum));
        return defaultValue;
    }
    return number;
}

bool FieldReader::booleanOr(const std::string &field, bool defaultValue)
{
    const Json::Value *value = this->find(field, false);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->isBool()) {
        this->fail(ResultCode::FieldType, field, "is neither true nor false");
        return defaultValue;
    }
    return value->asBool();
}

std::uint32_t FieldReader::address(const std::string &field)
{
    const std::string value = this->text(field);
    const auto parsed = net::parseAddress(value);
    if (!parsed) {
        this->fail(ResultCode::FieldType, field, "is not an IPv4 address: " + value);
    }
    return parsed.value_or(0);
}

net::Endpoint FieldReader::endpoint(const std::string &field)
{
    const std::string value = this->text(field);
    const auto parsed = net::parseEndpoint(value);
    if (!parsed) {
        this->fail(ResultCode::FieldType, field,
                   "is not an IPv4 address and port (ADDRESS:PORT): " + value);
    }
    return parsed.value_or(net::Endpoint());
}

std::optional<net::Endpoint> FieldReader::optionalEndpoint(const std::string &field)
{
    return this->find(field, false) == nullptr ? std::nullopt
                                               : std::optional(this->endpoint(field));
}

const Json::Value &FieldReader::array(const std::string &field, bool required)
{
    static const Json::Value kEmpty(Json::arrayValue);
    const Json::Value *value = this->find(field, required);
    if (value == nullptr) {
        return kEmpty;
    }
    if (!value->isArray()) {
        this->fail(ResultCode::FieldType, field, "is not an array");
        return kEmpty;
    }
    return *value;
}

void FieldReader::rejectUnknownFields()
{
    if (!this->object.isObject()) {
        return;
    }
    for (const std::string &field : this->object.getMemberNames()) {
        if (!this->knownFields.contains(field)) {
            this->fail(ResultCode::FieldUnknown, field, "is not a known field");
        }
    }
}

void FieldReader::fail(ResultCode code, const std::string &field, const std::string &detail)
{
    if (this->isOk()) {
        this->reason = {code, this->pathOf(field) + " " + detail};
    }
}

bool FieldReader::isOk() const
{
    return this->reason.code == ResultCode::Ok;
}

std::string FieldReader::pathOf(const std::string &field) const
{
    if (field.empty()) {
        return this->path.empty() ? "/" : this->path;
    }
    return this->path + "/" + field;
}

const Json::Value *FieldReader::find(const std::string &field, bool required)
{
    this->knownFields.insert(field);
    if (this->object.isObject() && this->object.isMember(field)) {
        return &this->object[field];
    }
    if (required) {
        this->fail(ResultCode::FieldMissing, field, "is missing");
    }
    return nullptr;
}
}
