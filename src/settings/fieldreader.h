#pragma once

#include "global/reason.h"
#include "net/types/endpoint.h"

#include <cstdint>
#include <json/value.h>
#include <set>
#include <string>

namespace radishladder::settings {

//! Reads the fields of one JSON object and remembers the first error with its path.
class FieldReader
{
public:
    //! \a reason keeps the first error of all readers that share it.
    FieldReader(const Json::Value &object, std::string path, Reason &reason);

    std::string text(const std::string &field);
    //! As text(), but an empty string is allowed.
    std::string emptyableText(const std::string &field);
    std::string textOr(const std::string &field, const std::string &fallback);
    std::int64_t integer(const std::string &field, std::int64_t least, std::int64_t most);
    std::int64_t integerOr(const std::string &field, std::int64_t least, std::int64_t most,
                           std::int64_t fallback);
    double numberOr(const std::string &field, double least, double most, double fallback);
    bool booleanOr(const std::string &field, bool fallback);
    std::uint32_t address(const std::string &field);
    net::Endpoint endpoint(const std::string &field);
    std::optional<net::Endpoint> endpointIfGiven(const std::string &field);

    //! Array of \a field; empty if absent and not \a required.
    const Json::Value &array(const std::string &field, bool required);

    //! Counts \a field as asked for; another reader reads it.
    void ignore(const std::string &field) { this->known.insert(field); }

    //! Fails on every field that was not asked for.
    void rejectUnknownFields();

    //! Notes \a code at \a field unless an earlier error is already noted.
    void fail(ResultCode code, const std::string &field, const std::string &detail);

    bool isOk() const;
    std::string pathOf(const std::string &field) const;

private:
    const Json::Value *find(const std::string &field, bool required);

    const Json::Value &object;
    std::string path;
    Reason &reason;
    std::set<std::string> known;
};
}
