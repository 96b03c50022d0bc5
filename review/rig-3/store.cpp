#include "store.h"

#include <json/json.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace radishladder::review {
namespace {
using Duration = EventLoop::Duration;

constexpr Duration kResponseTime{4};
constexpr Duration kTick{20};
constexpr std::size_t kPageItems = 500;

constexpr int kOk = 200;
constexpr int kMissing = 404;
constexpr int kConflict = 412;
constexpr int kForbidden = 403;
constexpr int kRefused = 503;

std::string toText(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

Json::Value toJson(const std::string &text)
{
    Json::Value json;
    std::istringstream(text) >> json;
    return json;
}

std::string toBase64(const std::string &bytes)
{
    constexpr const char *kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            const auto byte = i + j < bytes.size() ? static_cast<std::uint8_t>(bytes[i + j]) : 0U;
            group = group << 8U | byte;
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? kDigits[group >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    std::uint32_t bits = 0;
    unsigned int count = 0;
    for (const char digit : text) {
        const auto value = digits.find(digit);
        if (value == std::string::npos) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>(bits >> count & 0xffU);
        }
    }
    return bytes;
}

std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(const std::string &text)
{
    std::map<std::string, std::string> fields;
    std::istringstream stream(text);
    for (std::string field; std::getline(stream, field, '&');) {
        const auto equals = field.find('=');
        if (equals != std::string::npos) {
            fields[field.substr(0, equals)] = percentDecoded(field.substr(equals + 1));
        }
    }
    return fields;
}

std::string fieldOf(const std::map<std::string, std::string> &fields, const std::string &name)
{
    const auto field = fields.find(name);
    return field == fields.end() ? std::string() : field->second;
}

std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

bool isWriteCall(const std::string &path)
{
    return path == "/radishladder/kv-txn";
}
}

Store::Store(EventLoop &loop) : loop(loop)
{
    this->expireLeases();
}

Store::~Store() = default;

void Store::listen(const Endpoint &local)
{
    this->fronts[local];
    const int listener = openSocket(SOCK_STREAM, local);
    ::listen(listener, SOMAXCONN);
    this->loop.watch(listener, [this, listener, local]() { this->accept(listener, local); });
}

void Store::refuse(const Endpoint &local, bool isRefused)
{
    this->fronts[local].isRefused = isRefused;
    if (!isRefused) {
        return;
    }
    // A watch that is waiting may be cut.
    std::vector<Connection *> cut;
    for (const auto &[descriptor, connection] : this->connections) {
        if (connection->front == local && connection->isBusy) {
            cut.push_back(connection.get());
        }
    }
    for (Connection *connection : cut) {
        this->close(*connection);
    }
}

void Store::delayNextWrite(const Endpoint &local, Duration delay)
{
    this->fronts[local].nextWriteDelay = delay;
}

void Store::accept(int listener, const Endpoint &local)
{
    const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_shared<Connection>();
    connection->descriptor = descriptor;
    connection->front = local;
    this->connections[descriptor] = connection;
    this->loop.watch(descriptor, [this, connection]() { this->read(connection); });
}

void Store::close(Connection &connection)
{
    const int descriptor = std::exchange(connection.descriptor, -1);
    if (descriptor >= 0) {
        this->loop.unwatch(descriptor);
        this->connections.erase(descriptor);
        ::close(descriptor);
    }
}

void Store::read(const std::shared_ptr<Connection> &connection)
{
    std::array<char, 16384> bytes;
    const auto size = ::recv(connection->descriptor, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        this->close(*connection);
        return;
    }
    connection->input.append(bytes.data(), static_cast<std::size_t>(size));
    this->handleNext(connection);
}

std::optional<Store::Request> Store::takeRequest(std::string &input)
{
    const auto headersEnd = input.find("\r\n\r\n");
    if (headersEnd == std::string::npos) {
        return std::nullopt;
    }
    std::istringstream headers(input.substr(0, headersEnd));
    Request request;
    std::string target;
    headers >> request.method >> target;
    std::size_t bodySize = 0;
    for (std::string line; std::getline(headers, line);) {
        std::ranges::transform(line, line.begin(),
                               [](unsigned char letter) { return std::tolower(letter); });
        if (line.starts_with("content-length:")) {
            bodySize = std::stoul(line.substr(std::string("content-length:").size()));
        }
    }
    const std::size_t size = headersEnd + 4 + bodySize;
    if (input.size() < size) {
        return std::nullopt;
    }
    request.body = input.substr(headersEnd + 4, bodySize);
    input.erase(0, size);
    const auto question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string::npos) {
        request.query = parseQuery(target.substr(question + 1));
    }
    return request;
}

void Store::handleNext(const std::shared_ptr<Connection> &connection)
{
    if (connection->isBusy || connection->descriptor < 0) {
        return;
    }
    const auto request = takeRequest(connection->input);
    if (!request) {
        return;
    }
    connection->isBusy = true;
    this->loop.after(kResponseTime, [this, connection, request = *request]() {
        if (connection->descriptor >= 0) {
            this->handle(connection, request);
        }
    });
}

void Store::handle(const std::shared_ptr<Connection> &connection, const Request &request)
{
    Front &front = this->fronts[connection->front];
    if (front.isRefused) {
        this->respond(connection, {.status = kRefused});
    } else if (request.path == "/radishladder/kv-watch") {
        this->startWatch(connection, request);
    } else if (request.path == "/radishladder/kv-range") {
        this->respond(connection, this->list(request));
    } else if (request.path == "/radishladder/kv-key") {
        this->respond(connection, this->getKey(request));
    } else if (isWriteCall(request.path) && front.nextWriteDelay) {
        this->loop.after(*std::exchange(front.nextWriteDelay, std::nullopt),
                         [this, body = request.body]() { this->execute(body); });
    } else if (isWriteCall(request.path)) {
        this->respond(connection, this->execute(request.body));
    } else {
        this->respond(connection, this->handleLease(request));
    }
}

void Store::respond(const std::shared_ptr<Connection> &connection, const Response &response)
{
    if (connection->descriptor < 0) {
        return;
    }
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n"
        + "Content-Type: application/json\r\nContent-Length: "
        + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    ::send(connection->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    connection->isBusy = false;
    this->handleNext(connection);
}

Json::Value Store::itemJson(const std::string &key, const Item &item)
{
    Json::Value json;
    json["key"] = key;
    json["value"] = toBase64(item.value);
    json["revision"] = Json::UInt64(item.revision);
    json["created"] = Json::UInt64(item.created);
    json["lease"] = Json::UInt64(item.lease);
    return json;
}

Store::Response Store::getKey(const Request &request) const
{
    const std::string key = fieldOf(request.query, "key");
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
        return {.status = kMissing};
    }
    Json::Value json = itemJson(key, found->second);
    json["as_of"] = Json::UInt64(this->revision);
    return {.body = toText(json)};
}

Store::Response Store::list(const Request &request) const
{
    const std::string prefix = fieldOf(request.query, "prefix");
    const std::string after = fieldOf(request.query, "after");
    Json::Value json;
    json["items"] = Json::arrayValue;
    json["has_more"] = false;
    json["as_of"] = Json::UInt64(this->revision);
    for (const auto &[key, item] : this->items) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (json["items"].size() == kPageItems) {
            json["has_more"] = true;
            break;
        }
        json["items"].append(itemJson(key, item));
    }
    return {.body = toText(json)};
}

Store::Response Store::handleLease(const Request &request)
{
    const std::string last = request.path.substr(request.path.find_last_of('/') + 1);
    const std::uint64_t id = std::strtoull(last.c_str(), nullptr, 10);
    Json::Value json(Json::objectValue);
    if (request.path == "/radishladder/kv-lease") {
        const Duration timeToLive(toJson(request.body)["ttl_ms"].asInt64());
        this->leases[++this->lastLease] = {timeToLive, EventLoop::now() + timeToLive};
        json["lease"] = Json::UInt64(this->lastLease);
        json["ttl_ms"] = Json::Int64(timeToLive.count());
        return {.body = toText(json)};
    }
    const auto lease = this->leases.find(id);
    if (lease == this->leases.end()) {
        return {.status = kMissing};
    }
    if (request.method == "DELETE") {
        this->endLease(id);
        return {};
    }
    lease->second.endsAt = EventLoop::now() + lease->second.timeToLive;
    json["lease"] = Json::UInt64(id);
    json["ttl_ms"] = Json::Int64(lease->second.timeToLive.count());
    return {.body = toText(json)};
}

Store::Response Store::execute(const std::string &body)
{
    const Json::Value json = toJson(body);
    for (const Json::Value &row : json["expected"]) {
        const auto found = this->items.find(row["key"].asString());
        const std::uint64_t current = found == this->items.end() ? 0 : found->second.revision;
        if (current != row["revision"].asUInt64()) {
            return {.status = kConflict, .body = R"({"items":[]})"};
        }
    }
    for (const Json::Value &write : json["writes"]) {
        const std::uint64_t lease = write["lease"].asUInt64();
        const std::string key = write["key"].asString();
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return {.status = kForbidden};
        }
        if (lease != 0 && !this->leases.contains(lease)) {
            return {.status = kMissing};
        }
    }
    for (const Json::Value &write : json["writes"]) {
        this->change(write["key"].asString(),
                     Item{.value = fromBase64(write["value"].asString()),
                          .lease = write["lease"].asUInt64()});
    }
    for (const Json::Value &key : json["remove"]) {
        this->change(key.asString(), std::nullopt);
    }
    Json::Value response;
    response["revision"] = Json::UInt64(this->revision);
    return {.status = kOk, .body = toText(response)};
}

void Store::put(const std::string &key, const std::string &value)
{
    this->change(key, Item{.value = value});
}

void Store::remove(const std::string &key)
{
    this->change(key, std::nullopt);
}

void Store::change(const std::string &key, std::optional<Item> item)
{
    const auto found = this->items.find(key);
    if (!item && found == this->items.end()) {
        return;
    }
    ++this->revision;
    if (item) {
        item->revision = this->revision;
        item->created = found == this->items.end() ? this->revision : found->second.created;
        this->items[key] = *item;
    } else {
        this->items.erase(found);
    }
    this->history.push_back({key, this->revision, std::move(item)});
    this->serveWatches();
}

void Store::endLease(std::uint64_t lease)
{
    this->leases.erase(lease);
    std::vector<std::string> ended;
    for (const auto &[key, item] : this->items) {
        if (item.lease == lease) {
            ended.push_back(key);
        }
    }
    for (const std::string &key : ended) {
        this->change(key, std::nullopt);
    }
}

void Store::expireLeases()
{
    std::vector<std::uint64_t> expired;
    for (const auto &[id, lease] : this->leases) {
        if (lease.endsAt <= EventLoop::now()) {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired) {
        this->endLease(id);
    }
    this->serveWatches();
    this->loop.after(kTick, [this]() { this->expireLeases(); });
}

std::optional<Store::Response> Store::changes(const Watch &watch) const
{
    Json::Value json;
    json["events"] = Json::arrayValue;
    json["as_of"] = Json::UInt64(this->revision);
    for (const Event &event : this->history) {
        if (event.revision <= watch.after || !event.key.starts_with(watch.prefix)) {
            continue;
        }
        Json::Value change;
        if (event.item) {
            change = itemJson(event.key, *event.item);
        } else {
            change["key"] = event.key;
            change["revision"] = Json::UInt64(event.revision);
            change["deleted"] = true;
        }
        json["events"].append(change);
    }
    const bool isDue = !json["events"].empty() || EventLoop::now() >= watch.until;
    return isDue ? std::optional(Response{.body = toText(json)}) : std::nullopt;
}

void Store::startWatch(const std::shared_ptr<Connection> &connection, const Request &request)
{
    const Duration wait(numberOf(fieldOf(request.query, "wait_ms")));
    this->watches.push_back({connection, fieldOf(request.query, "prefix"),
                             numberOf(fieldOf(request.query, "after")), EventLoop::now() + wait});
    this->serveWatches();
}

void Store::serveWatches()
{
    std::vector<std::pair<std::shared_ptr<Connection>, Response>> responses;
    std::erase_if(this->watches, [this, &responses](const Watch &watch) {
        const auto connection = watch.connection.lock();
        if (!connection || connection->descriptor < 0) {
            return true;
        }
        auto response = this->changes(watch);
        if (response) {
            responses.emplace_back(connection, std::move(*response));
        }
        return response.has_value();
    });
    for (const auto &[connection, response] : responses) {
        this->respond(connection, response);
    }
}

std::vector<std::string> Store::keysUnder(const std::string &prefix) const
{
    std::vector<std::string> keys;
    for (const auto &[key, item] : this->items) {
        if (key.starts_with(prefix)) {
            keys.push_back(key);
        }
    }
    return keys;
}
}
