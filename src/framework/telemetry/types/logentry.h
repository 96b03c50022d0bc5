#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishladder::telemetry {

//! What a line is about, which decides how it is bounded.
enum class LogKind : std::uint8_t {
    State, //!< changes what the process believes or is: few, kept as long as the buffer has room
    Flow, //!< a decision on one flow: many, bounded by a budget a second
    FlowEnd, //!< a decision that ends a flow: as Flow, but placements cannot crowd it out
};

//! One line of the structured log: a JSON object that is built field by field.
class LogEntry
{
public:
    LogEntry(LogKind kind, std::string_view event);

    LogEntry &text(std::string_view field, std::string_view value);
    LogEntry &number(std::string_view field, std::int64_t value);
    LogEntry &duration(std::string_view field, std::chrono::milliseconds value);

    LogKind kind() const { return this->lineKind; }

    //! Fields as they stand in the line, without the closing brace.
    const std::string &fields() const { return this->body; }

private:
    void appendName(std::string_view field);

    LogKind lineKind;
    std::string body;
};
}
