#include "requests/internal/requestcheck.h"

#include "net/types/httprequest.h"
#include "requests/requestheaders.h"
#include "settings/types/configuration.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace radishladder::requests {
namespace {
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMaxTargetBytes = 8 * 1024;
constexpr std::array<std::string_view, 3> kSingleHeaders = {"Host", "Content-Length",
                                                            kIdempotencyKeyHeader};
constexpr std::array<std::string_view, 7> kMethods = {"GET",    "HEAD", "OPTIONS", "PUT",
                                                      "DELETE", "POST", "PATCH"};

bool hasControlCharacter(std::string_view text)
{
    return std::ranges::any_of(text, [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

bool isTarget(std::string_view target)
{
    return target.starts_with('/') && target.size() <= kMaxTargetBytes
        && std::ranges::all_of(target, [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

std::optional<std::uint64_t> wholeNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    return isWhole ? std::optional(value) : std::nullopt;
}

Reason checkHeaders(const net::HttpRequest &request)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size();
        if (name.empty() || hasControlCharacter(name) || hasControlCharacter(value)
            || name.find_first_of(" :") != std::string::npos) {
            return {ResultCode::RequestHeaderInvalid, "forbidden character in a header"};
        }
    }
    if (bytes > kMaxHeaderBytes) {
        return {ResultCode::RequestTooLarge, "headers"};
    }
    // A server that joins repeated fields does so with a comma.
    for (const std::string_view name : kSingleHeaders) {
        if (net::headerValue(request.headers, name).find(',') != std::string::npos) {
            return {ResultCode::RequestHeaderInvalid, std::string(name) + " occurs twice"};
        }
    }
    return {};
}
}

bool isIdempotent(const std::string &method)
{
    return method != "POST" && method != "PATCH";
}

const settings::Service *serviceOf(const net::HttpRequest &request,
                                   const settings::Configuration &configuration)
{
    const std::string host = net::headerValue(request.headers, "Host");
    const ServiceName name(host.substr(0, host.find(':')));
    const auto found = std::ranges::find(configuration.services, name, &settings::Service::name);
    return found == configuration.services.end() ? nullptr : &*found;
}

Reason checkRequest(const net::HttpRequest &request, const settings::Service &service)
{
    if (std::ranges::find(kMethods, request.method) == kMethods.end()
        || !isTarget(request.path + request.query)) {
        return {ResultCode::RequestMalformed, "method or target"};
    }
    Reason headers = checkHeaders(request);
    if (headers.code != ResultCode::Ok) {
        return headers;
    }
    if (request.body.size() > service.maxBodyBytes) {
        return {ResultCode::RequestTooLarge, "body"};
    }
    const std::string length = net::headerValue(request.headers, "Content-Length");
    if (!length.empty() && wholeNumber(length) != request.body.size()) {
        return {ResultCode::RequestMalformed, "Content-Length differs from the body"};
    }
    const std::string key = net::headerValue(request.headers, kIdempotencyKeyHeader);
    if (key.size() > kMaxKeyBytes) {
        return {ResultCode::RequestTooLarge, std::string(kIdempotencyKeyHeader)};
    }
    if (!isIdempotent(request.method) && key.empty()) {
        return {ResultCode::RequestKeyMissing, request.method + " needs a key"};
    }
    return {};
}

std::optional<std::chrono::milliseconds> timeLeft(const net::HttpRequest &request,
                                                  std::chrono::milliseconds longest)
{
    const std::string text = net::headerValue(request.headers, kDeadlineHeader);
    if (text.empty()) {
        return longest;
    }
    const std::optional<std::uint64_t> value = wholeNumber(text);
    if (!value) {
        return std::nullopt;
    }
    const auto capped =
        std::min<std::uint64_t>(*value, static_cast<std::uint64_t>(longest.count()));
    return std::chrono::milliseconds(capped);
}
}
