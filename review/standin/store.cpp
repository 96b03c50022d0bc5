#include "store.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {
constexpr Milliseconds kResponseTime{4};
const std::string kRoot = "/radishladder/";
constexpr const char *kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string base64(const std::string &text)
{
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            const std::uint32_t byte =
                i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0;
            group = group << 8U | byte;
        }
        for (std::size_t j = 0; j < 4; ++j) {
            encoded.push_back(i + j <= text.size() ? kBase64[group >> (18U - 6U * j) & 63U] : '=');
        }
    }
    return encoded;
}

std::string unbase64(const std::string &text)
{
    const std::string digits = kBase64;
    std::string decoded;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const auto digit = digits.find(c);
        if (digit == std::string::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            decoded.push_back(static_cast<char>(group >> static_cast<unsigned>(bits) & 255U));
        }
    }
    return decoded;
}

std::string unescape(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(
                static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

//! Returns the text of \a field in a flat JSON object; enough for the bodies that VMs send.
std::string field(const std::string &json, const std::string &name)
{
    const std::string mark = "\"" + name + "\":";
    const auto begin = json.find(mark);
    if (begin == std::string::npos) {
        return "";
    }
    auto from = begin + mark.size();
    const bool isText = json[from] == '"';
    from += isText ? 1 : 0;
    const auto end = isText ? json.find('"', from) : json.find_first_of(",}", from);
    return json.substr(from, end - from);
}

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}
}

struct Store::Connection
{
    int descriptor = -1;
    std::string received;

    //! A response was lost on this connection.
    bool isMute = false;

    //! When the connection first and last began to watch the entries of the hosts.
    Time firstHostWatchAt;
    Time hostWatchAt;
};

struct Store::Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
};

Store::Store(Loop &loop, const Endpoint &address) : loop(loop), address(address) { }

Store::~Store()
{
    for (const auto &[descriptor, connection] : this->connections) {
        ::close(descriptor);
    }
    if (this->listener >= 0) {
        ::close(this->listener);
    }
}

bool Store::start()
{
    this->listener = listenTcp(this->address);
    if (this->listener >= 0) {
        this->loop.watch(this->listener, [this]() { this->accept(); });
    }
    return this->listener >= 0;
}

std::vector<Time> Store::hostWatches() const
{
    std::map<Time, Time> lastByFirst;
    for (const auto &[descriptor, connection] : this->connections) {
        if (connection->hostWatchAt != Time() && !connection->isMute) {
            lastByFirst[connection->firstHostWatchAt] = connection->hostWatchAt;
        }
    }
    std::vector<Time> times;
    times.reserve(lastByFirst.size());
    for (const auto &[first, last] : lastByFirst) {
        times.push_back(last);
    }
    return times;
}

std::vector<Time> Store::renewals() const
{
    std::vector<Time> times;
    for (const auto &[lease, time] : this->renewalTimes) {
        times.push_back(time);
    }
    return times;
}

void Store::accept()
{
    const int descriptor =
        ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    auto connection = std::make_shared<Connection>();
    connection->descriptor = descriptor;
    this->connections[descriptor] = connection;
    this->loop.watch(descriptor, [this, connection]() { this->receive(connection); });
}

void Store::receive(const ConnectionPointer &connection)
{
    std::array<char, 8192> buffer{};
    const auto size = ::recv(connection->descriptor, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        this->loop.unwatch(connection->descriptor);
        this->connections.erase(connection->descriptor);
        ::close(connection->descriptor);
        connection->descriptor = -1;
        return;
    }
    connection->received.append(buffer.data(), static_cast<std::size_t>(size));
    const auto head = connection->received.find("\r\n\r\n");
    if (head == std::string::npos) {
        return;
    }
    const auto mark = connection->received.find("Content-Length: ");
    const std::size_t length = mark < head ? number(connection->received.substr(mark + 16, 12)) : 0;
    if (connection->received.size() < head + 4 + length) {
        return;
    }
    Request request;
    const auto space = connection->received.find(' ');
    request.method = connection->received.substr(0, space);
    const auto end = connection->received.find(' ', space + 1);
    std::string target = connection->received.substr(space + 1, end - space - 1);
    request.body = connection->received.substr(head + 4, length);
    connection->received.erase(0, head + 4 + length);
    const auto question = target.find('?');
    request.path = target.substr(0, question);
    target = question == std::string::npos ? "" : target.substr(question + 1);
    while (!target.empty()) {
        const auto next = target.find('&');
        const std::string part = target.substr(0, next);
        const auto equals = part.find('=');
        request.query[part.substr(0, equals)] = unescape(part.substr(equals + 1));
        target = next == std::string::npos ? "" : target.substr(next + 1);
    }
    this->handle(connection, request);
}

void Store::handle(const ConnectionPointer &connection, const Request &request)
{
    if (this->isSilent) {
        connection->isMute = true;
    } else if (request.path == kRoot + "kv-range") {
        this->list(connection, request);
    } else if (request.path == kRoot + "kv-watch") {
        this->watch(connection, request);
    } else if (request.path == kRoot + "kv-txn") {
        this->write(connection, request);
    } else if (request.path == kRoot + "kv-lease") {
        this->grantLease(connection, request);
    } else if (request.path.starts_with(kRoot + "kv-keep/")) {
        this->renewLease(connection, number(request.path.substr(kRoot.size() + 8)));
    } else if (request.path.starts_with(kRoot + "kv-lease-end/")) {
        this->endLease(number(request.path.substr(kRoot.size() + 13)));
        this->respond(connection, 200, "{}");
    } else {
        this->respond(connection, 404, "{}");
    }
}

void Store::respond(const ConnectionPointer &connection, int status, const std::string &body)
{
    this->loop.after(kResponseTime, [this, connection, status, body]() {
        this->sendNow(connection, status, body);
    });
}

void Store::sendNow(const ConnectionPointer &connection, int status, const std::string &body) const
{
    connection->isMute = connection->isMute || this->isSilent;
    if (connection->isMute || connection->descriptor < 0) {
        return;
    }
    const std::string text = "HTTP/1.1 " + std::to_string(status)
        + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    ::send(connection->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

void Store::list(const ConnectionPointer &connection, const Request &request)
{
    std::string text;
    for (const auto &[key, item] : this->items) {
        if (key.starts_with(request.query.at("prefix"))) {
            text += (text.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\""
                + base64(item.value) + "\",\"revision\":" + std::to_string(item.revision)
                + ",\"created\":" + std::to_string(item.created)
                + ",\"lease\":" + std::to_string(item.lease) + "}";
        }
    }
    this->respond(connection, 200,
                  "{\"items\":[" + text
                      + "],\"has_more\":false,\"as_of\":" + std::to_string(this->revision) + "}");
}

std::string Store::changesText(const std::string &prefix, std::uint64_t after, bool &isEmpty) const
{
    std::string text;
    for (const Item &item : this->history) {
        if (item.revision <= after || !item.key.starts_with(prefix)) {
            continue;
        }
        text += (text.empty() ? "" : ",") + ("{\"key\":\"" + item.key)
            + "\",\"revision\":" + std::to_string(item.revision);
        text += item.isRemoval ? ",\"deleted\":true}"
                               : ",\"value\":\"" + base64(item.value)
                + "\",\"created\":" + std::to_string(item.created) + ",\"lease\":0}";
    }
    isEmpty = text.empty();
    return "{\"events\":[" + text + "],\"as_of\":" + std::to_string(this->revision) + "}";
}

void Store::watch(const ConnectionPointer &connection, const Request &request)
{
    if (request.query.at("prefix") == "servers/") {
        connection->hostWatchAt = Clock::now();
        if (connection->firstHostWatchAt == Time()) {
            connection->firstHostWatchAt = connection->hostWatchAt;
        }
    }
    this->watches.push_back(
        {connection, request.query.at("prefix"), number(request.query.at("after"))});
    this->loop.after(kResponseTime, [this]() { this->notifyWatches(); });
    this->loop.after(
        Milliseconds(number(request.query.at("wait_ms"))) + kResponseTime,
        [this, connection, prefix = request.query.at("prefix"),
         after = number(request.query.at("after"))]() {
            const auto waiting = std::ranges::find_if(this->watches, [&](const Watch &watch) {
                return watch.connection.lock() == connection && watch.after == after
                    && watch.prefix == prefix;
            });
            if (waiting != this->watches.end()) {
                this->watches.erase(waiting);
                bool isEmpty = false;
                this->sendNow(connection, 200, this->changesText(prefix, after, isEmpty));
            }
        });
}

void Store::notifyWatches()
{
    std::erase_if(this->watches, [this](const Watch &watch) {
        const auto connection = watch.connection.lock();
        if (!connection) {
            return true;
        }
        bool isEmpty = false;
        const std::string text = this->changesText(watch.prefix, watch.after, isEmpty);
        if (!isEmpty) {
            this->sendNow(connection, 200, text);
        }
        return !isEmpty;
    });
}

void Store::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = this->items[key];
    const std::uint64_t created = item.created == 0 ? this->revision + 1 : item.created;
    item = {key, value, ++this->revision, created, lease, false};
    this->history.push_back(item);
    this->loop.after(kResponseTime, [this]() { this->notifyWatches(); });
}

void Store::remove(const std::string &key)
{
    if (this->items.erase(key) > 0) {
        this->history.push_back({.key = key, .revision = ++this->revision, .isRemoval = true});
        this->loop.after(kResponseTime, [this]() { this->notifyWatches(); });
    }
}

void Store::write(const ConnectionPointer &connection, const Request &request)
{
    const std::uint64_t lease = number(field(request.body, "lease"));
    if (lease != 0 && !this->leases.contains(lease)) {
        this->respond(connection, 404, "{}");
        return;
    }
    this->put(field(request.body, "key"), unbase64(field(request.body, "value")), lease);
    this->respond(connection, 200, "{\"revision\":" + std::to_string(this->revision) + "}");
}

void Store::grantLease(const ConnectionPointer &connection, const Request &request)
{
    const std::uint64_t lease = ++this->lastLease;
    const std::string timeToLive = field(request.body, "ttl_ms");
    this->leases[lease] = {Milliseconds(number(timeToLive)), 0};
    this->scheduleExpiry(lease);
    this->respond(connection, 200,
                  "{\"lease\":" + std::to_string(lease) + ",\"ttl_ms\":" + timeToLive + "}");
}

void Store::renewLease(const ConnectionPointer &connection, std::uint64_t lease)
{
    const auto found = this->leases.find(lease);
    if (found == this->leases.end()) {
        this->respond(connection, 404, "{}");
        return;
    }
    this->renewedAt = Clock::now();
    this->renewalTimes[lease] = this->renewedAt;
    this->scheduleExpiry(lease);
    this->respond(connection, 200,
                  "{\"lease\":" + std::to_string(lease)
                      + ",\"ttl_ms\":" + std::to_string(found->second.first.count()) + "}");
}

void Store::scheduleExpiry(std::uint64_t lease)
{
    auto &[timeToLive, renewals] = this->leases[lease];
    this->loop.after(timeToLive, [this, lease, at = ++renewals]() {
        const auto found = this->leases.find(lease);
        if (found != this->leases.end() && found->second.second == at) {
            this->endLease(lease);
        }
    });
}

void Store::endLease(std::uint64_t lease)
{
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : this->items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        this->remove(key);
    }
}
}
