#include "distribution/documentfeed.h"

#include "distribution/idocumentsource.h"
#include "distribution/internal/documenttable.h"
#include "distribution/internal/prefixwatcher.h"
#include "global/hash.h"
#include "global/iclock.h"
#include "global/irandom.h"
#include "membership/imembership.h"
#include "membership/types/member.h"
#include "store/storekeys.h"
#include "telemetry/icounter.h"
#include "telemetry/imetrics.h"
#include "telemetry/itimeline.h"

#include <algorithm>
#include <set>

namespace radishladder::distribution {
namespace {
constexpr std::size_t kWatchersInDataCentre = 2;
constexpr std::size_t kMaxBatchBytes = 256 * 1024;
constexpr std::chrono::milliseconds kRankPeriod{500};
constexpr std::chrono::milliseconds kAvoidAfterFailure{1000};
constexpr std::chrono::milliseconds kPullGivenUp{3000};
const std::string kVmList(store::kVmListKey);
const std::string kDocuments(store::kDocumentPrefix);

bool isUp(const membership::Member &member)
{
    return member.state == membership::MemberState::Alive
        || member.state == membership::MemberState::Suspect;
}
}

struct DocumentFeed::State
{
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Subscription
    {
        std::string prefix;
        Subscriber subscriber;
    };

    const membership::IMembership &membership;
    IDocumentSource &source;
    IRandom &random;
    const IClock &clock;
    telemetry::ITimeLine &timeLine;
    telemetry::ICounter &pulls;
    DocumentTable table;
    std::int64_t known = 0;
    std::vector<Subscription> subscriptions;
    ResultCode lastReach = ResultCode::Ok;
    bool isWatching = false;
    std::optional<TimePoint> rankedAt;
    std::optional<TimePoint> pullingSince;
    std::uint64_t pullNumber = 0;
    std::map<VmName, TimePoint> avoidUntil;
    std::unique_ptr<PrefixWatcher> documentWatcher;
    std::unique_ptr<PrefixWatcher> vmListWatcher;

    PrefixWatcher::Handlers documentHandlers();
    PrefixWatcher::Handlers vmListHandlers();
    void accept(const store::StoredValue &document);
    void acceptListed(const std::vector<store::StoredValue> &values, std::int64_t revision);
    void acceptBatch(const DocumentBatch &batch, std::int64_t since);
    void noteReach(const Reason &reason);
    std::int64_t vmListRevision() const;
    bool ranksAsWatcher() const;
    void updateRole(TimePoint now);
    bool isAhead(const membership::Member &member) const;
    std::optional<membership::Member> choosePeer(TimePoint now);
    void pull(TimePoint now);
    void pulled(const VmName &from, std::int64_t since, const std::optional<DocumentBatch> &batch);
};

DocumentFeed::DocumentFeed(const membership::IMembership &membership, store::IConfigStore &store,
                           IDocumentSource &source, IRandom &random, const IClock &clock,
                           telemetry::ITimeLine &timeLine, telemetry::IMetrics &metrics)
    : state(new State{.membership = membership,
                      .source = source,
                      .random = random,
                      .clock = clock,
                      .timeLine = timeLine,
                      .pulls = metrics.counter("document_pulls_total")})
{
    this->state->documentWatcher =
        std::make_unique<PrefixWatcher>(kDocuments, std::string(store::kConfigurationKey), store,
                                        clock, this->state->documentHandlers());
    this->state->vmListWatcher = std::make_unique<PrefixWatcher>(kVmList, kVmList, store, clock,
                                                                 this->state->vmListHandlers());
}

DocumentFeed::~DocumentFeed() = default;

std::optional<store::StoredValue> DocumentFeed::find(const std::string &key) const
{
    const store::StoredValue *document = this->state->table.find(key);
    return document == nullptr || document->removed ? std::nullopt : std::make_optional(*document);
}

std::int64_t DocumentFeed::revision() const
{
    return this->state->known;
}

std::int64_t DocumentFeed::newestRevision() const
{
    return std::max(this->state->known, this->state->table.newest());
}

bool DocumentFeed::isWatching() const
{
    return this->state->isWatching;
}

void DocumentFeed::subscribe(const std::string &prefix, Subscriber subscriber)
{
    this->state->table.forEach(prefix, subscriber);
    this->state->subscriptions.push_back({prefix, std::move(subscriber)});
}

void DocumentFeed::offer(const store::StoredValue &document)
{
    this->state->accept(document);
}

DocumentBatch DocumentFeed::batchAfter(std::int64_t since, std::int64_t vmListRevision) const
{
    DocumentBatch batch = this->state->table.after(since, kMaxBatchBytes);
    if (!batch.isCut) {
        batch.upTo = this->state->known;
    }
    // Documents past what is wholly known here may have gaps before them.
    batch.upTo = std::min(batch.upTo, this->state->known);
    if (this->state->vmListRevision() > vmListRevision) {
        batch.vmList = *this->state->table.find(kVmList);
    }
    return batch;
}

void DocumentFeed::tick()
{
    const auto now = this->state->clock.now();
    this->state->updateRole(now);
    this->state->documentWatcher->tick();
    this->state->vmListWatcher->tick();
    this->state->pull(now);
}

PrefixWatcher::Handlers DocumentFeed::State::documentHandlers()
{
    return {.listed = [this](const auto &values,
                             std::int64_t revision) { this->acceptListed(values, revision); },
            .changed =
                [this](const auto &events) {
                    for (const store::StoredValue &event : events) {
                        this->accept(event);
                        this->known = std::max(this->known, event.revision);
                    }
                },
            .reached = [this](const Reason &reason) { this->noteReach(reason); }};
}

PrefixWatcher::Handlers DocumentFeed::State::vmListHandlers()
{
    return {.listed =
                [this](const auto &values, std::int64_t) {
                    for (const store::StoredValue &value : values) {
                        this->accept(value);
                    }
                    // No list at all is an answer too: this VM works alone.
                    if (this->table.find(kVmList) == nullptr) {
                        this->accept({.key = kVmList, .value = "[]"});
                    }
                },
            .changed =
                [this](const auto &events) {
                    for (const store::StoredValue &event : events) {
                        this->accept(event);
                    }
                },
            .reached = [](const Reason &) {}};
}

void DocumentFeed::State::accept(const store::StoredValue &document)
{
    if (!this->table.accept(document)) {
        return;
    }
    const store::StoredValue accepted = document;
    for (std::size_t i = 0; i < this->subscriptions.size(); ++i) {
        if (accepted.key.starts_with(this->subscriptions[i].prefix)) {
            this->subscriptions[i].subscriber(accepted);
        }
    }
}

void DocumentFeed::State::acceptListed(const std::vector<store::StoredValue> &values,
                                       std::int64_t revision)
{
    if (revision < this->known) {
        return;
    }
    std::set<std::string> present;
    std::int64_t newest = this->known;
    for (const store::StoredValue &value : values) {
        present.insert(value.key);
        newest = std::max(newest, value.revision);
        this->accept(value);
    }
    std::vector<store::StoredValue> removed;
    this->table.forEach(kDocuments, [&](const store::StoredValue &document) {
        if (!document.removed && document.revision < revision && !present.contains(document.key)) {
            removed.push_back({.key = document.key, .revision = revision, .removed = true});
        }
    });
    for (const store::StoredValue &document : removed) {
        newest = revision;
        this->accept(document);
    }
    this->known = newest;
}

void DocumentFeed::State::acceptBatch(const DocumentBatch &batch, std::int64_t since)
{
    for (const store::StoredValue &document : batch.documents) {
        if (document.key.starts_with(kDocuments)) {
            this->accept(document);
        }
    }
    if (batch.vmList && batch.vmList->key == kVmList) {
        this->accept(*batch.vmList);
    }
    if (since <= this->known) {
        this->known = std::max(this->known, batch.upTo);
    }
}

void DocumentFeed::State::noteReach(const Reason &reason)
{
    if (reason.code == this->lastReach) {
        return;
    }
    this->lastReach = reason.code;
    this->timeLine.record({.kind = reason.code == ResultCode::Ok ? "store.reached" : "store.failed",
                           .reason = reason.code,
                           .detail = reason.detail});
}

std::int64_t DocumentFeed::State::vmListRevision() const
{
    const store::StoredValue *list = this->table.find(kVmList);
    return list == nullptr ? 0 : list->revision;
}

bool DocumentFeed::State::ranksAsWatcher() const
{
    const membership::Member self = *this->membership.find(this->membership.self());
    const std::uint64_t key = hash64("watchers", hash64(self.dataCentre.str()));
    const std::uint64_t ownScore = rendezvousScore(key, self.name.str());
    std::size_t better = 0;
    for (const membership::Member &member : this->membership.members()) {
        const bool isRival =
            member.name != self.name && member.dataCentre == self.dataCentre && isUp(member);
        better += isRival && rendezvousScore(key, member.name.str()) > ownScore ? 1 : 0;
    }
    return better < kWatchersInDataCentre;
}

void DocumentFeed::State::updateRole(TimePoint now)
{
    if (this->rankedAt && now - *this->rankedAt < kRankPeriod) {
        return;
    }
    this->rankedAt = now;
    const bool isWatcher = this->ranksAsWatcher();
    if (isWatcher == this->isWatching) {
        return;
    }
    this->isWatching = isWatcher;
    this->timeLine.record({.kind = isWatcher ? "store.watching" : "store.watch-left"});
    if (isWatcher) {
        this->documentWatcher->start();
        this->vmListWatcher->start();
    } else {
        this->documentWatcher->stop();
        this->vmListWatcher->stop();
    }
}

bool DocumentFeed::State::isAhead(const membership::Member &member) const
{
    return member.documentRevision > this->known
        || member.newestDocument > std::max(this->known, this->table.newest())
        || member.vmListRevision > this->vmListRevision();
}

std::optional<membership::Member> DocumentFeed::State::choosePeer(TimePoint now)
{
    std::erase_if(this->avoidUntil, [now](const auto &item) { return item.second <= now; });
    const membership::Member self = *this->membership.find(this->membership.self());
    std::vector<membership::Member> near;
    std::vector<membership::Member> far;
    for (const membership::Member &member : this->membership.members()) {
        if (member.name == self.name || !isUp(member) || member.admin.port == 0
            || this->avoidUntil.contains(member.name) || !this->isAhead(member)) {
            continue;
        }
        (member.dataCentre == self.dataCentre ? near : far).push_back(member);
    }
    const auto &candidates = near.empty() ? far : near;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[this->random.next() % candidates.size()];
}

void DocumentFeed::State::pull(TimePoint now)
{
    if (this->pullingSince && now - *this->pullingSince < kPullGivenUp) {
        return;
    }
    const auto peer = this->choosePeer(now);
    if (!peer) {
        return;
    }
    this->pullingSince = now;
    this->pulls.add();
    const std::uint64_t number = ++this->pullNumber;
    const std::int64_t since = this->known;
    this->source.pull(*peer, since, this->vmListRevision(),
                      [this, number, since, from = peer->name](const auto &batch, const Reason &) {
                          if (number == this->pullNumber) {
                              this->pulled(from, since, batch);
                          }
                      });
}

void DocumentFeed::State::pulled(const VmName &from, std::int64_t since,
                                 const std::optional<DocumentBatch> &batch)
{
    this->pullingSince.reset();
    const auto before = std::tuple(this->known, this->table.newest(), this->vmListRevision());
    if (batch) {
        this->acceptBatch(*batch, since);
    }
    if (before == std::tuple(this->known, this->table.newest(), this->vmListRevision())) {
        this->avoidUntil[from] = this->clock.now() + kAvoidAfterFailure;
    }
}
}
