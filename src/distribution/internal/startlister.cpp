#include "distribution/startlister.h"

#include "distribution/types/relayanswer.h"
#include "global/iclock.h"
#include "store/types/readkind.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

namespace radishladder::distribution {
namespace {
//! A store that is well answers much sooner.
constexpr std::chrono::milliseconds kLate{250};

//! After this time a store that failed one listing, but answers other calls, is asked again.
constexpr std::chrono::milliseconds kGiveUp{1500};
}

StartLister::StartLister(store::IStore &store, const IClock &clock, telemetry::IEventLog &log,
                         SeedClient::ConnectionFactory connect, std::vector<net::Endpoint> vms)
    : store(store), clock(clock), log(log), seeds(clock, std::move(connect), std::move(vms))
{ }

void StartLister::list(const std::string &prefix, store::IStore::ListingHandler handler)
{
    const std::uint64_t number = ++this->lastNumber;
    this->awaited[prefix] = {
        .number = number, .handler = std::move(handler), .since = this->clock.now()};
    this->store.list(prefix, "", store::ReadKind::Linearizable,
                     [this, prefix, number](const store::StoreListing &page) {
                         this->onStore(prefix, number, page);
                     });
}

void StartLister::abandon(const std::string &prefix)
{
    this->awaited.erase(prefix);
    this->seeds.cancel(prefix);
}

void StartLister::onStore(const std::string &prefix, std::uint64_t number,
                          const store::StoreListing &page)
{
    const auto waiting = this->awaited.find(prefix);
    if (waiting == this->awaited.end() || waiting->second.number != number) {
        return;
    }
    if (page.status != store::StoreStatus::Ok && this->seeds.hasVms()) {
        waiting->second.failure = page;
    } else {
        this->finish(prefix, page);
    }
}

void StartLister::tick(bool isStoreLost)
{
    this->seeds.tick();
    std::vector<std::string> givenUp;
    for (auto &[prefix, waiting] : this->awaited) {
        const auto waited = this->clock.now() - waiting.since;
        if (!waiting.isAsked && (waiting.failure || waited >= kLate)) {
            this->askSeeds(prefix, waiting);
        }
        if (waiting.failure && !isStoreLost && waited >= kGiveUp) {
            givenUp.push_back(prefix);
        }
    }
    for (const std::string &prefix : givenUp) {
        this->finish(prefix, store::StoreListing(*this->awaited[prefix].failure));
    }
}

void StartLister::askSeeds(const std::string &prefix, Awaited &waiting)
{
    waiting.isAsked = true;
    this->seeds.ask(prefix, [this, prefix](const net::Endpoint &vm, const RelayAnswer &answer) {
        this->onSeed(prefix, vm, answer);
    });
}

void StartLister::onSeed(const std::string &prefix, const net::Endpoint &vm,
                         const RelayAnswer &answer)
{
    if (!this->awaited.contains(prefix)) {
        return;
    }
    this->log.write(telemetry::LogEntry(telemetry::LogKind::State, "start.from_seed")
                        .text("vm", net::endpointText(vm))
                        .text("prefix", prefix)
                        .number("items", static_cast<std::int64_t>(answer.listing.items.size()))
                        .number("revision", static_cast<std::int64_t>(answer.listing.revision))
                        .duration("age_ms", answer.age));
    store::StoreListing listing = answer.listing;
    listing.age = answer.age;
    this->finish(prefix, listing);
}

void StartLister::finish(const std::string &prefix, const store::StoreListing &listing)
{
    const auto handler = std::move(this->awaited[prefix].handler);
    this->abandon(prefix);
    handler(listing);
}
}
