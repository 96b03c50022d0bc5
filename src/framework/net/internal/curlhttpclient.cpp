#include "net/curlhttpclient.h"

#include "net/ieventloop.h"
#include "net/internal/curltransfer.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace radishladder::net {
namespace {
constexpr int kPollMs = 1000;
constexpr long kIdleConnections = 256;
}

struct CurlHttpClient::State
{
    State(IEventLoop &loop, std::uint32_t localAddress) : loop(loop), localAddress(localAddress) { }

    void run();
    void takeWaiting();
    void reportFinished();

    IEventLoop &loop;
    std::uint32_t localAddress = 0;
    CURLM *multi = nullptr;
    std::atomic<bool> stopping = false;
    std::atomic<CallId> lastId = 0;
    std::mutex mutex;
    std::vector<std::unique_ptr<CurlTransfer>> waiting;
    std::vector<CallId> cancelled;
    std::map<CallId, std::unique_ptr<CurlTransfer>> running;
    std::thread thread;
};

void CurlHttpClient::State::run()
{
    while (!this->stopping) {
        this->takeWaiting();
        int active = 0;
        curl_multi_perform(this->multi, &active);
        this->reportFinished();
        curl_multi_poll(this->multi, nullptr, 0, kPollMs, nullptr);
    }
}

void CurlHttpClient::State::takeWaiting()
{
    const std::scoped_lock lock(this->mutex);
    for (auto &transfer : this->waiting) {
        curl_multi_add_handle(this->multi, transfer->handle());
        const CallId id = transfer->id();
        this->running.emplace(id, std::move(transfer));
    }
    this->waiting.clear();
    for (const CallId id : this->cancelled) {
        const auto found = this->running.find(id);
        if (found != this->running.end()) {
            curl_multi_remove_handle(this->multi, found->second->handle());
            this->running.erase(found);
        }
    }
    this->cancelled.clear();
}

void CurlHttpClient::State::reportFinished()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CurlTransfer *transfer = nullptr;
        const CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        HttpResult result = transfer->finish(code);
        this->loop.post([handler = transfer->takeHandler(), result = std::move(result)]() mutable {
            handler(std::move(result));
        });
        curl_multi_remove_handle(this->multi, transfer->handle());
        this->running.erase(transfer->id());
    }
}

CurlHttpClient::CurlHttpClient(IEventLoop &loop, std::uint32_t localAddress)
    : state(std::make_unique<State>(loop, localAddress))
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    this->state->multi = curl_multi_init();
    curl_multi_setopt(this->state->multi, CURLMOPT_MAXCONNECTS, kIdleConnections);
    this->state->thread = std::thread([raw = this->state.get()] { raw->run(); });
}

CurlHttpClient::~CurlHttpClient()
{
    this->state->stopping = true;
    curl_multi_wakeup(this->state->multi);
    this->state->thread.join();
    for (auto &[id, transfer] : this->state->running) {
        curl_multi_remove_handle(this->state->multi, transfer->handle());
    }
    this->state->running.clear();
    curl_multi_cleanup(this->state->multi);
}

IHttpClient::CallId CurlHttpClient::send(HttpCall call, Handler handler)
{
    const CallId id = ++this->state->lastId;
    if (call.localAddress == 0) {
        call.localAddress = this->state->localAddress;
    }
    auto transfer =
        std::make_unique<CurlTransfer>(id, std::move(call), std::move(handler), this->state->loop);
    {
        const std::scoped_lock lock(this->state->mutex);
        this->state->waiting.push_back(std::move(transfer));
    }
    curl_multi_wakeup(this->state->multi);
    return id;
}

void CurlHttpClient::cancel(CallId id)
{
    {
        const std::scoped_lock lock(this->state->mutex);
        this->state->cancelled.push_back(id);
    }
    curl_multi_wakeup(this->state->multi);
}
}
