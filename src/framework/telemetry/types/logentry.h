#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishladder::telemetry {

//! Kind of a log line, which selects the limits that apply to it.
enum class LogKind : std::uint8_t {
    State, //!< a change of the state of the process: rare, limited only by the buffer
    Flow, //!< a decision on one flow: frequent, limited per second
    FlowEnd, //!< a decision that ends a flow: as Flow, but with a separate limit
};

//! Line of the structured log: a JSON object that is built field by field.
class LogEntry
{
public:
    LogEntry(LogKind kind, std::string_view event);

    LogEntry &text(std::string_view field, std::string_view value);
    LogEntry &number(std::string_view field, std::int64_t value);
    LogEntry &duration(std::string_view field, std::chrono::milliseconds value);

    LogKind kind() const { return this->entryKind; }

    //! Returns the serialized fields, each with a leading comma, without the enclosing braces.
    const std::string &fields() const { return this->body; }

private:
    void appendName(std::string_view field);

    LogKind entryKind;
    std::string body;
};
}
