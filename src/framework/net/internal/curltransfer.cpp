#include "net/internal/curltransfer.h"

#include "net/ieventloop.h"
#include "net/types/endpoint.h"

#include <string_view>

namespace radishladder::net {
namespace {
std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    const auto last = text.find_last_not_of(" \t\r\n");
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, last - first + 1);
}

ResultCode codeOf(CURLcode code)
{
    switch (code) {
    case CURLE_OK:
        return ResultCode::Ok;
    case CURLE_OPERATION_TIMEDOUT:
        return ResultCode::StoreTimeout;
    case CURLE_COULDNT_CONNECT:
        return ResultCode::StoreUnreachable;
    default:
        return ResultCode::StoreAnswerLost;
    }
}
}

CurlTransfer::CurlTransfer(IHttpClient::CallId id, HttpCall call, IHttpClient::Handler handler,
                           IEventLoop &loop)
    : callId(id), call(std::move(call)), handler(std::move(handler)), loop(loop),
      easy(curl_easy_init())
{
    this->configure();
}

CurlTransfer::~CurlTransfer()
{
    curl_slist_free_all(this->headerList);
    curl_easy_cleanup(this->easy);
}

void CurlTransfer::configure()
{
    for (const auto &[name, value] : this->call.headers) {
        const std::string line = value.empty() ? name + ";" : name + ": " + value;
        this->headerList = curl_slist_append(this->headerList, line.c_str());
    }
    // Without this line curl waits up to a second for "100 Continue" before it sends a larger body.
    this->headerList = curl_slist_append(this->headerList, "Expect:");
    curl_easy_setopt(this->easy, CURLOPT_URL, this->call.url.c_str());
    curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headerList);
    curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, this->call.method.c_str());
    curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS, static_cast<long>(this->call.timeout.count()));
    curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(this->call.connectTimeout.count()));
    curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(this->easy, CURLOPT_TCP_NODELAY, 1L);
    if (this->call.localAddress != 0) {
        const std::string interface = "host!" + addressText(this->call.localAddress);
        curl_easy_setopt(this->easy, CURLOPT_INTERFACE, interface.c_str());
    }
    curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &CurlTransfer::writeBody);
    curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &CurlTransfer::writeHeader);
    curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, this->call.freshConnection ? 1L : 0L);
    if (this->call.method == "HEAD") {
        curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
    }
    if (!this->call.body.empty() || this->call.method == "POST" || this->call.method == "PUT") {
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, this->call.body.data());
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(this->call.body.size()));
    }
}

std::size_t CurlTransfer::writeBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<CurlTransfer *>(self);
    const std::size_t bytes = size * count;
    if (transfer->call.onData) {
        transfer->loop.post(
            [onData = transfer->call.onData, piece = std::string(data, bytes)] { onData(piece); });
        return bytes;
    }
    if (transfer->result.answer.body.size() + bytes > transfer->call.maxAnswerBytes) {
        return 0;
    }
    transfer->result.answer.body.append(data, bytes);
    return bytes;
}

std::size_t CurlTransfer::writeHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<CurlTransfer *>(self);
    const std::string_view line(data, size * count);
    const auto colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        transfer->result.answer.headers.clear();
    } else if (colon != std::string_view::npos) {
        transfer->result.answer.headers[std::string(line.substr(0, colon))] =
            trimmed(line.substr(colon + 1));
    }
    return size * count;
}

HttpResult CurlTransfer::finish(CURLcode code)
{
    long status = 0;
    long requestBytes = 0;
    curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    this->result.answer.status = static_cast<int>(status);
    this->result.anythingSent = requestBytes > 0;
    this->result.reason = {codeOf(code), code == CURLE_OK ? "" : curl_easy_strerror(code)};
    return std::move(this->result);
}
}
