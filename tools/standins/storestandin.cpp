#include "standins/storestandin.h"

#include "net/ihttpresponder.h"
#include "net/pistachehttpserver.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"
#include "settings/jsonfile.h"
#include "standins/storedata.h"

#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace radishladder::standins {
namespace {
using Clock = std::chrono::steady_clock;

// Pistache answers 408 on connections that wait longer than its timeouts; a watch may wait.
constexpr std::chrono::hours kIdleTimeout{1};
constexpr std::chrono::seconds kLongestSleep{1};
constexpr int kServerThreads = 4;

net::HttpAnswer jsonAnswer(const Json::Value &json)
{
    return {.headers = {{"Content-Type", "application/json"}},
            .body = settings::jsonText(json) + "\n"};
}

bool isWrite(const std::string &path)
{
    return path == "/v3/kv/txn" || path == "/v3/lease/grant";
}
}

struct StoreStandin::State
{
    using Responder = std::shared_ptr<net::IHttpResponder>;

    struct Watch
    {
        Json::Value request;
        Responder responder;
    };

    explicit State(const net::Endpoint &local)
        : server({.local = local,
                  .threads = kServerThreads,
                  .headerTimeout = kIdleTimeout,
                  .bodyTimeout = kIdleTimeout})
    { }

    void handle(const net::HttpRequest &request, const Responder &responder);
    void run(const std::string &path, const Json::Value &body, const Responder &responder);
    Json::Value answer(const std::string &path, const Json::Value &body);
    void reply(const Responder &responder, const Json::Value &json);
    void serveWatches();
    void dropWatches();
    void startLease(const Json::Value &granted);
    void keepLease(const Json::Value &body);
    void timerLoop();
    void endDueLeases(Clock::time_point now);

    net::PistacheHttpServer server;
    std::mutex mutex;
    std::condition_variable changed;
    std::thread timer;
    bool stopping = false;
    StoreData data;
    std::uint64_t callCount = 0;
    bool down = false;
    bool loseAnswers = false;
    bool loseNext = false;
    std::chrono::milliseconds delay{0};
    std::optional<std::int64_t> staleRevision;
    std::set<std::uint32_t> refused;
    std::list<Watch> watches;
    std::multimap<Clock::time_point, std::pair<Responder, net::HttpAnswer>> delayed;
    std::map<std::int64_t, std::pair<std::chrono::seconds, Clock::time_point>> leaseEnds;
};

void StoreStandin::State::handle(const net::HttpRequest &request, const Responder &responder)
{
    const std::scoped_lock lock(this->mutex);
    ++this->callCount;
    if (this->down || this->refused.contains(request.from.address)) {
        responder->drop();
        return;
    }
    Reason reason;
    const auto body = settings::parseJson(request.body, "request", reason);
    if (!body || !body->isObject()) {
        responder->answer({.status = 400, .body = reason.detail});
        return;
    }
    this->run(request.path, *body, responder);
}

void StoreStandin::State::run(const std::string &path, const Json::Value &body,
                              const Responder &responder)
{
    if (path == "/v3/watch") {
        this->watches.push_back({body["create_request"], responder});
        this->serveWatches();
        return;
    }
    const Json::Value json = this->answer(path, body);
    this->serveWatches();
    if (isWrite(path) && (this->loseAnswers || std::exchange(this->loseNext, false))) {
        responder->drop();
        return;
    }
    this->reply(responder, json);
}

Json::Value StoreStandin::State::answer(const std::string &path, const Json::Value &body)
{
    if (path == "/v3/kv/range") {
        return this->data.range(body, this->staleRevision);
    }
    if (path == "/v3/kv/txn") {
        return this->data.transaction(body);
    }
    if (path == "/v3/lease/grant") {
        Json::Value granted = this->data.grantLease(body);
        this->startLease(granted);
        return granted;
    }
    if (path == "/v3/lease/keepalive") {
        this->keepLease(body);
        return this->data.keepLeaseAlive(body);
    }
    Json::Value error(Json::objectValue);
    error["error"] = "unknown path";
    return error;
}

void StoreStandin::State::reply(const Responder &responder, const Json::Value &json)
{
    if (this->delay.count() == 0) {
        responder->answer(jsonAnswer(json));
        return;
    }
    this->delayed.emplace(Clock::now() + this->delay, std::pair{responder, jsonAnswer(json)});
    this->changed.notify_one();
}

void StoreStandin::State::serveWatches()
{
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        const auto events = this->data.events(watch->request);
        if (events) {
            this->reply(watch->responder, *events);
        }
        watch = events ? this->watches.erase(watch) : std::next(watch);
    }
}

void StoreStandin::State::dropWatches()
{
    for (const Watch &watch : this->watches) {
        watch.responder->drop();
    }
    this->watches.clear();
}

void StoreStandin::State::startLease(const Json::Value &granted)
{
    const std::chrono::seconds duration(std::stoll(granted["TTL"].asString()));
    this->leaseEnds[std::stoll(granted["ID"].asString())] = {duration, Clock::now() + duration};
}

void StoreStandin::State::keepLease(const Json::Value &body)
{
    const auto lease = this->leaseEnds.find(std::stoll(body["ID"].asString()));
    if (lease != this->leaseEnds.end()) {
        lease->second.second = Clock::now() + lease->second.first;
    }
}

void StoreStandin::State::endDueLeases(Clock::time_point now)
{
    for (auto lease = this->leaseEnds.begin(); lease != this->leaseEnds.end();) {
        const bool isDue = lease->second.second <= now;
        if (isDue) {
            this->data.endLease(lease->first);
        }
        lease = isDue ? this->leaseEnds.erase(lease) : std::next(lease);
    }
    this->serveWatches();
}

void StoreStandin::State::timerLoop()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const auto now = Clock::now();
        while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
            const auto [responder, answer] = this->delayed.begin()->second;
            this->delayed.erase(this->delayed.begin());
            responder->answer(answer);
        }
        this->endDueLeases(now);
        const auto next =
            this->delayed.empty() ? now + kLongestSleep : this->delayed.begin()->first;
        this->changed.wait_until(lock, next);
    }
}

StoreStandin::StoreStandin(const net::Endpoint &local) : state(std::make_unique<State>(local)) { }

StoreStandin::~StoreStandin()
{
    this->stop();
}

bool StoreStandin::start()
{
    this->state->stopping = false;
    this->state->timer = std::thread([raw = this->state.get()] { raw->timerLoop(); });
    return this->state->server.start(
        [raw = this->state.get()](const net::HttpRequest &request, const auto &responder) {
            raw->handle(request, responder);
        });
}

void StoreStandin::stop()
{
    this->state->server.stop();
    {
        const std::scoped_lock lock(this->state->mutex);
        this->state->stopping = true;
        this->state->watches.clear();
        this->state->delayed.clear();
        this->state->changed.notify_one();
    }
    if (this->state->timer.joinable()) {
        this->state->timer.join();
    }
}

void StoreStandin::put(const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->data.put(key, value);
    this->state->serveWatches();
}

std::uint64_t StoreStandin::calls() const
{
    const std::scoped_lock lock(this->state->mutex);
    return this->state->callCount;
}

std::int64_t StoreStandin::revision() const
{
    const std::scoped_lock lock(this->state->mutex);
    return this->state->data.currentRevision();
}

void StoreStandin::setDown(bool down)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->down = down;
    if (down) {
        this->state->dropWatches();
    }
}

void StoreStandin::setDelay(std::chrono::milliseconds delay)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->delay = delay;
}

void StoreStandin::setLoseAnswers(bool lose)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->loseAnswers = lose;
}

void StoreStandin::loseNextAnswer()
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->loseNext = true;
}

void StoreStandin::lapseLeases()
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->leaseEnds.clear();
    this->state->data.endAllLeases();
    this->state->serveWatches();
}

void StoreStandin::serveStale(std::int64_t revision)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->staleRevision = revision;
}

void StoreStandin::serveCurrent()
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->staleRevision.reset();
}

void StoreStandin::refuseFrom(std::uint32_t address)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->refused.insert(address);
}

void StoreStandin::acceptFrom(std::uint32_t address)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->refused.erase(address);
}

void StoreStandin::compact(std::int64_t revision)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->data.compact(revision);
}
}
