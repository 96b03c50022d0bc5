#include "distribution/seedclient.h"

#include "distribution/relaycodec.h"
#include "distribution/relayprotocol.h"
#include "distribution/types/snapshotage.h"
#include "global/iclock.h"
#include "net/ihttpconnection.h"
#include "net/types/httprequest.h"
#include "net/types/httpresult.h"

namespace radishladder::distribution {
namespace {
//! Ends before the next retry; a seed in a data centre that is cut off does not respond at all.
constexpr std::chrono::milliseconds kRequestTimeout{400};

constexpr std::chrono::milliseconds kRetryInterval{500};
}

SeedClient::SeedClient(const IClock &clock, ConnectionFactory connect,
                       std::vector<net::Endpoint> seeds)
    : clock(clock), connect(std::move(connect)), seeds(std::move(seeds))
{ }

SeedClient::~SeedClient() = default;

void SeedClient::requestListing(const std::string &prefix, Handler handler)
{
    PendingRequest &pending = this->pendingRequests[prefix];
    pending.handler = std::move(handler);
    pending.isDone = false;
    this->send(prefix, pending);
}

void SeedClient::cancel(const std::string &prefix)
{
    const auto pending = this->pendingRequests.find(prefix);
    if (pending != this->pendingRequests.end()) {
        // The caller may be a handler of one of the connections, so they are closed later, by
        // tick().
        pending->second.isDone = true;
    }
}

void SeedClient::tick()
{
    std::erase_if(this->pendingRequests, [](const auto &entry) { return entry.second.isDone; });
    for (auto &[prefix, pending] : this->pendingRequests) {
        if (this->clock.now() - pending.sentAt >= kRetryInterval) {
            this->send(prefix, pending);
        }
    }
}

void SeedClient::send(const std::string &prefix, PendingRequest &pending)
{
    const net::HttpRequest request{.path = std::string(kListingPath),
                                   .query = listingQuery(prefix, SnapshotAge::Any),
                                   .timeout = kRequestTimeout};
    pending.sentAt = this->clock.now();
    pending.connections.clear();
    for (const net::Endpoint &vm : this->seeds) {
        pending.connections.push_back(this->connect(vm));
        pending.connections.back()->send(request,
                                         [this, prefix, vm](const net::HttpResult &result) {
                                             this->onResult(prefix, vm, result);
                                         });
    }
}

void SeedClient::onResult(const std::string &prefix, const net::Endpoint &vm,
                          const net::HttpResult &result)
{
    const auto pending = this->pendingRequests.find(prefix);
    if (pending == this->pendingRequests.end() || pending->second.isDone || result.status != 200) {
        return;
    }
    const auto response = parseRelayBody(result.body);
    if (!response || response->outcome == RelayOutcome::QueryStore) {
        return;
    }
    pending->second.isDone = true;
    const Handler handler = pending->second.handler;
    handler(vm, *response);
}
}
