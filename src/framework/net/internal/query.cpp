#include "net/query.h"

#include <cctype>
#include <charconv>
#include <sstream>

namespace radishladder::net {
namespace {
constexpr const char *kHexDigits = "0123456789ABCDEF";
constexpr std::size_t kEscapeLength = 3;

std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const char *digits = text.data() + i + 1;
        const bool isEscape = text[i] == '%' && i + kEscapeLength <= text.size()
            && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
        decoded.push_back(isEscape ? static_cast<char>(value) : text[i]);
        i += isEscape ? kEscapeLength - 1 : 0;
    }
    return decoded;
}
}

std::string percentEncoded(const std::string &text)
{
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '/') {
            encoded.push_back(c);
        } else {
            encoded.push_back('%');
            encoded.push_back(kHexDigits[byte >> 4U]);
            encoded.push_back(kHexDigits[byte & 15U]);
        }
    }
    return encoded;
}

std::map<std::string, std::string> queryFields(const std::string &query)
{
    std::map<std::string, std::string> fields;
    std::istringstream parts(query);
    for (std::string part; std::getline(parts, part, '&');) {
        const std::string::size_type equals = part.find('=');
        const std::string value = equals == std::string::npos ? "" : part.substr(equals + 1);
        fields[percentDecoded(part.substr(0, equals))] = percentDecoded(value);
    }
    return fields;
}
}
