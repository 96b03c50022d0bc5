#include "store/etcdstore.h"

#include "net/ihttpclient.h"
#include "net/types/httpcall.h"
#include "net/types/httpresult.h"
#include "settings/jsonfile.h"
#include "store/base64.h"
#include "store/internal/etcdjson.h"
#include "store/internal/etcdwatch.h"
#include "store/types/storedvalue.h"

#include <map>

namespace radishladder::store {
namespace {
constexpr std::chrono::milliseconds kCallTimeout{2000};

// A watch whose connection died unnoticed is renewed after this long.
constexpr std::chrono::seconds kWatchTimeout{60};
constexpr int kHttpOk = 200;

enum class CallKind {
    Read,
    Write,
};

//! Reason of a failed call; Ok if the answer is there and has status 200.
Reason failureOf(const net::HttpResult &result, CallKind kind)
{
    const bool isLostWrite = kind == CallKind::Write && result.anythingSent;
    if (result.reason.code != ResultCode::Ok) {
        if (!result.anythingSent) {
            return {ResultCode::StoreUnreachable, result.reason.detail};
        }
        const bool isTimeout = result.reason.code == ResultCode::StoreTimeout;
        const ResultCode lost =
            isLostWrite ? ResultCode::StoreAnswerLost : ResultCode::StoreUnreachable;
        return {isTimeout ? ResultCode::StoreTimeout : lost, result.reason.detail};
    }
    if (result.answer.status != kHttpOk) {
        return {isLostWrite ? ResultCode::StoreAnswerLost : ResultCode::StoreAnswerInvalid,
                "status " + std::to_string(result.answer.status)};
    }
    return {};
}

std::optional<Json::Value> answerJson(const net::HttpResult &result, CallKind kind, Reason &reason)
{
    reason = failureOf(result, kind);
    if (reason.code != ResultCode::Ok) {
        return std::nullopt;
    }
    auto json = settings::parseJson(result.answer.body, "store answer", reason);
    const bool isAnswer = json && json->isObject() && (*json)["error"].isNull();
    if (!isAnswer) {
        // An answer that cannot be read says nothing about whether the write took effect.
        reason.code =
            kind == CallKind::Write ? ResultCode::StoreAnswerLost : ResultCode::StoreAnswerInvalid;
        return std::nullopt;
    }
    return json;
}

Json::Value compareRevision(const std::string &key, std::int64_t expected)
{
    Json::Value compare(Json::objectValue);
    compare["key"] = encodeBase64(key);
    compare["target"] = "MOD";
    compare["result"] = "EQUAL";
    compare["mod_revision"] = std::to_string(expected);
    return compare;
}

Json::Value putOperation(const std::string &key, const std::string &value)
{
    Json::Value put(Json::objectValue);
    put["request_put"]["key"] = encodeBase64(key);
    put["request_put"]["value"] = encodeBase64(value);
    return put;
}
}

struct EtcdStore::State
{
    using AnswerHandler = std::function<void(std::optional<Json::Value>, Reason)>;

    net::IHttpClient &client;
    std::vector<net::Endpoint> gateways;
    std::size_t nextGateway = 0;
    std::map<WatchId, std::shared_ptr<EtcdWatch>> watches;

    std::string url(const std::string &path) const
    {
        return "http://" + net::endpointText(this->gateways[this->nextGateway]) + path;
    }

    void passOver(std::size_t gateway)
    {
        // Several calls may fail at one gateway; only the first moves on.
        if (gateway == this->nextGateway) {
            this->nextGateway = (this->nextGateway + 1) % this->gateways.size();
        }
    }

    //! Posts \a body to the gateways in turn while that cannot repeat a write.
    void post(const std::string &path, const Json::Value &body, CallKind kind,
              AnswerHandler handler)
    {
        this->attempt(path, settings::jsonText(body), kind, this->gateways.size(),
                      std::move(handler));
    }

    void attempt(const std::string &path, const std::string &body, CallKind kind,
                 std::size_t attempts, AnswerHandler handler)
    {
        net::HttpCall call{
            .method = "POST",
            .url = this->url(path),
            .headers = {{"Content-Type", "application/json"}, {"Connection", "keep-alive"}},
            .body = body,
            .timeout = kCallTimeout,
            .freshConnection = kind == CallKind::Write};
        this->client.send(std::move(call),
                          [this, path, body, kind, attempts, gateway = this->nextGateway,
                           handler = std::move(handler)](const net::HttpResult &result) mutable {
                              Reason reason;
                              auto json = answerJson(result, kind, reason);
                              if (json) {
                                  handler(std::move(json), {});
                                  return;
                              }
                              this->passOver(gateway);
                              // A read that timed out has used up its caller's patience.
                              const bool isRepeatable = !result.anythingSent
                                  || (kind == CallKind::Read
                                      && reason.code != ResultCode::StoreTimeout);
                              if (isRepeatable && attempts > 1) {
                                  this->attempt(path, body, kind, attempts - 1, std::move(handler));
                                  return;
                              }
                              handler(std::nullopt, std::move(reason));
                          });
    }

    //! Runs \a operations together if the revision of \a key is \a expected.
    void transact(const std::string &key, std::int64_t expected, const Json::Value &operations,
                  WriteHandler handler)
    {
        Json::Value body(Json::objectValue);
        body["compare"].append(compareRevision(key, expected));
        body["success"] = operations;
        this->post("/v3/kv/txn", body, CallKind::Write,
                   [key, handler = std::move(handler)](auto json, Reason reason) {
                       if (!json) {
                           handler(std::nullopt, std::move(reason));
                           return;
                       }
                       if (!(*json)["succeeded"].isBool() || !(*json)["succeeded"].asBool()) {
                           handler(
                               std::nullopt,
                               {ResultCode::StoreConflict, key + " was changed by another writer"});
                           return;
                       }
                       handler(etcdInteger((*json)["header"]["revision"]), {});
                   });
    }
};

EtcdStore::EtcdStore(net::IHttpClient &client, std::vector<net::Endpoint> gateways)
    : state(std::make_unique<State>(State{client, std::move(gateways), 0, {}}))
{ }

EtcdStore::~EtcdStore() = default;

void EtcdStore::get(const std::string &key, GetHandler handler)
{
    Json::Value body(Json::objectValue);
    body["key"] = encodeBase64(key);
    this->state->post("/v3/kv/range", body, CallKind::Read,
                      [key, handler = std::move(handler)](auto json, Reason reason) {
                          if (!json) {
                              handler(std::nullopt, 0, std::move(reason));
                              return;
                          }
                          const std::int64_t revision = etcdInteger((*json)["header"]["revision"]);
                          const Json::Value &items = (*json)["kvs"];
                          if (!items.isArray() || items.empty()) {
                              handler(std::nullopt, revision, {ResultCode::StoreKeyMissing, key});
                              return;
                          }
                          handler(etcdStoredValue(items[0]), revision, {});
                      });
}

void EtcdStore::list(const std::string &prefix, ListHandler handler)
{
    Json::Value body(Json::objectValue);
    body["key"] = encodeBase64(prefix);
    body["range_end"] = encodeBase64(endOfPrefix(prefix));
    this->state->post("/v3/kv/range", body, CallKind::Read,
                      [handler = std::move(handler)](auto json, Reason reason) {
                          if (!json) {
                              handler(std::nullopt, 0, std::move(reason));
                              return;
                          }
                          std::vector<StoredValue> values;
                          for (const Json::Value &item : (*json)["kvs"]) {
                              values.push_back(etcdStoredValue(item));
                          }
                          handler(std::move(values), etcdInteger((*json)["header"]["revision"]),
                                  {});
                      });
}

void EtcdStore::compareAndSwap(const std::string &key, std::int64_t expected,
                               const std::string &value, std::optional<LeaseId> lease,
                               WriteHandler handler)
{
    Json::Value put = putOperation(key, value);
    if (lease) {
        put["request_put"]["lease"] = std::to_string(*lease);
    }
    Json::Value operations(Json::arrayValue);
    operations.append(put);
    this->state->transact(key, expected, operations, std::move(handler));
}

void EtcdStore::writeTogether(const std::string &key, std::int64_t expected,
                              const std::vector<Write> &writes, WriteHandler handler)
{
    Json::Value operations(Json::arrayValue);
    for (const auto &[name, value] : writes) {
        operations.append(putOperation(name, value));
    }
    this->state->transact(key, expected, operations, std::move(handler));
}

void EtcdStore::remove(const std::string &key, std::int64_t expected, WriteHandler handler)
{
    Json::Value removal(Json::objectValue);
    removal["request_delete_range"]["key"] = encodeBase64(key);
    Json::Value operations(Json::arrayValue);
    operations.append(removal);
    this->state->transact(key, expected, operations, std::move(handler));
}

void EtcdStore::grantLease(std::chrono::seconds duration, LeaseHandler handler)
{
    Json::Value body(Json::objectValue);
    body["TTL"] = std::to_string(duration.count());
    this->state->post("/v3/lease/grant", body, CallKind::Write,
                      [handler = std::move(handler)](auto json, Reason reason) {
                          if (!json) {
                              handler(std::nullopt, std::move(reason));
                              return;
                          }
                          handler(etcdInteger((*json)["ID"]), {});
                      });
}

void EtcdStore::keepLeaseAlive(LeaseId lease, LeaseHandler handler)
{
    Json::Value body(Json::objectValue);
    body["ID"] = std::to_string(lease);
    this->state->post("/v3/lease/keepalive", body, CallKind::Write,
                      [lease, handler = std::move(handler)](auto json, Reason reason) {
                          if (!json) {
                              handler(std::nullopt, std::move(reason));
                              return;
                          }
                          // The gateway wraps answers of streaming calls in "result"; a lapsed
                          // lease is answered with no TTL.
                          if (etcdInteger((*json)["result"]["TTL"]) <= 0) {
                              handler(
                                  std::nullopt,
                                  {ResultCode::StoreLeaseLapsed, "lease " + std::to_string(lease)});
                              return;
                          }
                          handler(lease, {});
                      });
}

IConfigStore::WatchId EtcdStore::watch(const std::string &prefix, std::int64_t fromRevision,
                                       WatchHandler handler)
{
    Json::Value body(Json::objectValue);
    body["create_request"]["key"] = encodeBase64(prefix);
    body["create_request"]["range_end"] = encodeBase64(endOfPrefix(prefix));
    body["create_request"]["start_revision"] = std::to_string(fromRevision);
    auto stream = std::make_shared<EtcdWatch>(std::move(handler));
    auto id = std::make_shared<WatchId>(0);
    net::HttpCall call{.method = "POST",
                       .url = this->state->url("/v3/watch"),
                       .headers = {{"Content-Type", "application/json"}},
                       .body = settings::jsonText(body),
                       .timeout = kWatchTimeout};
    call.onData = [this, stream, id](std::string_view piece) {
        stream->take(piece);
        // The gateway keeps the connection of a cancelled watch open.
        if (stream->hasEnded()) {
            this->cancelWatch(*id);
        }
    };
    *id = this->state->client.send(
        std::move(call),
        [this, stream, id, gateway = this->state->nextGateway](const net::HttpResult &result) {
            this->state->watches.erase(*id);
            if (result.reason.code != ResultCode::Ok || result.answer.status != kHttpOk) {
                this->state->passOver(gateway);
            }
            stream->end(failureOf(result, CallKind::Read));
        });
    this->state->watches[*id] = stream;
    return *id;
}

void EtcdStore::cancelWatch(WatchId id)
{
    const auto found = this->state->watches.find(id);
    if (found == this->state->watches.end()) {
        return;
    }
    // Pieces that have arrived already may still wait on the event loop.
    found->second->silence();
    this->state->watches.erase(found);
    this->state->client.cancel(id);
}
}
