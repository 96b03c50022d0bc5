#pragma once

#include "global/reason.h"
#include "net/types/endpoint.h"

#include <cstdint>
#include <json/value.h>
#include <set>
#include <string>

namespace radishladder::settings {

//! Reads the fields of one JSON object and records the first error with its path.
class FieldReader
{
public:
    //! \a reason holds the first error of all readers that share it.
    FieldReader(const Json::Value &object, std::string path, Reason &reason);

    std::string text(const std::string &field);
    //! As text(), but accepts an empty string.
    std::string possiblyEmptyText(const std::string &field);
    std::string textOr(const std::string &field, const std::string &defaultValue);
    std::int64_t integer(const std::string &field, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integerOr(const std::string &field, std::int64_t minimum, std::int64_t maximum,
                           std::int64_t defaultValue);
    double numberOr(const std::string &field, double minimum, double maximum, double defaultValue);
    bool booleanOr(const std::string &field, bool defaultValue);
    std::uint32_t address(const std::string &field);
    net::Endpoint endpoint(const std::string &field);
    std::optional<net::Endpoint> optionalEndpoint(const std::string &field);

    //! Returns the array in \a field, or an empty array if the field is absent or not an array.
    //! Records an error if the field is not an array, or if it is absent and \a required is true.
    const Json::Value &array(const std::string &field, bool required);

    //! Marks \a field as known without reading it, for a field that another reader reads.
    void markKnown(const std::string &field) { this->knownFields.insert(field); }

    //! Records an error if the object has a field that was neither read nor marked as known.
    void rejectUnknownFields();

    //! Records \a code and \a detail for \a field unless an error is recorded already.
    void fail(ResultCode code, const std::string &field, const std::string &detail);

    bool isOk() const;
    std::string pathOf(const std::string &field) const;

private:
    const Json::Value *find(const std::string &field, bool required);

    const Json::Value &object;
    std::string path;
    Reason &reason;
    std::set<std::string> knownFields;
};
}
