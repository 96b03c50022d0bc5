#include "telemetry/types/logentry.h"

#include <array>
#include <cstdio>

namespace radishladder::telemetry {
namespace {
constexpr char kFirstPrintable = 0x20;

void appendEscaped(std::string &out, std::string_view text)
{
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out.push_back('\\');
            out.push_back(c);
        } else if (static_cast<unsigned char>(c) < kFirstPrintable) {
            std::array<char, 8> escaped;
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x", static_cast<unsigned char>(c));
            out.append(escaped.data());
        } else {
            out.push_back(c);
        }
    }
}
}

LogEntry::LogEntry(LogKind kind, std::string_view event) : entryKind(kind)
{
    this->text("event", event);
}

LogEntry &LogEntry::text(std::string_view field, std::string_view value)
{
    this->appendName(field);
    this->body.push_back('"');
    appendEscaped(this->body, value);
    this->body.push_back('"');
    return *this;
}

LogEntry &LogEntry::number(std::string_view field, std::int64_t value)
{
    this->appendName(field);
    this->body.append(std::to_string(value));
    return *this;
}

LogEntry &LogEntry::duration(std::string_view field, std::chrono::milliseconds value)
{
    return this->number(field, value.count());
}

void LogEntry::appendName(std::string_view field)
{
    this->body.append(",\"").append(field).append("\":");
}
}
