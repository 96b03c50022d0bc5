#include "operations/internal/applyrun.h"

#include "operations/changehistorycodec.h"
#include "settings/configurationcodec.h"
#include "settings/configurationdiff.h"
#include "store/ichangestore.h"
#include "store/storekeys.h"

#include <algorithm>

namespace radishladder::operations {
namespace {
constexpr int kAttempts = 5;
constexpr std::size_t kKeptChanges = 100;
constexpr std::size_t kKeptGenerations = 3;

std::string partKey(const std::string &digest)
{
    return std::string(store::kPartPrefix) + digest;
}

const ChangeRecord *findChange(const ChangeHistory &history, const std::string &changeId)
{
    const auto found = std::ranges::find(history.changes, changeId, &ChangeRecord::changeId);
    return found == history.changes.end() ? nullptr : &*found;
}

bool mayHaveTakenEffect(ResultCode code)
{
    return code == ResultCode::StoreAnswerLost || code == ResultCode::StoreTimeout;
}
}

ConfigurationApplier::Run::Run(store::IChangeStore &store, settings::Configuration wanted,
                               ChangeRecord change, Handler handler)
    : store(store), reader(store), wanted(std::move(wanted)), handler(std::move(handler))
{
    this->result.change = std::move(change);
}

void ConfigurationApplier::Run::start()
{
    this->reader.read([self = this->shared_from_this()](auto read, Reason reason) {
        if (!read) {
            self->finish(std::move(reason));
            return;
        }
        self->base = std::move(*read);
        self->confirmHistory();
    });
}

void ConfigurationApplier::Run::confirmHistory()
{
    if (this->base.isHistoryComplete) {
        this->prepare();
        return;
    }
    // The history is either an old value, which would drop changes when it is written again, or the
    // head was written by another program. A comparison without writes tells, as the newest
    // answers.
    this->store.writeTogether(
        std::string(store::kHistoryKey), this->base.historyRevision, {},
        [self = this->shared_from_this()](auto, const Reason &reason) {
            if (reason.code == ResultCode::Ok) {
                self->prepare();
            } else if (reason.code == ResultCode::StoreConflict) {
                self->finish({ResultCode::StoreAnswerInvalid, "the store answers with old values"});
            } else {
                self->finish({ResultCode::StoreUnreachable, reason.detail});
            }
        });
}

void ConfigurationApplier::Run::prepare()
{
    const auto &current = this->base.configuration;
    this->result.differences = settings::differences(current, this->wanted);
    if (this->base.headRevision != 0 && this->result.differences.empty()) {
        this->confirmNothingToDo();
        return;
    }
    this->wanted.generation = current.generation + 1;
    this->wanted.changeId = this->result.change.changeId;
    this->result.change.generation = this->wanted.generation;
    this->encoded = settings::ConfigurationCodec().encode(this->wanted);
    for (const auto &[digest, text] : this->encoded.partsByDigest) {
        if (std::ranges::find(this->base.digests, digest) == this->base.digests.end()) {
            this->unwritten.insert(digest);
        }
    }
    this->attemptsLeft = kAttempts;
    this->writeNextPart();
}

void ConfigurationApplier::Run::confirmNothingToDo()
{
    // The read may have shown an old head; a comparison without writes is answered by the newest.
    this->store.writeTogether(
        std::string(store::kConfigurationKey), this->base.headRevision, {},
        [self = this->shared_from_this()](auto, Reason reason) {
            if (reason.code == ResultCode::Ok) {
                reason = {ResultCode::ChangeNothingToDo, "the configuration is in force already"};
            } else if (mayHaveTakenEffect(reason.code)) {
                reason = {ResultCode::StoreUnreachable, "nothing was written: " + reason.detail};
            }
            self->finish(std::move(reason));
        });
}

void ConfigurationApplier::Run::writeNextPart()
{
    if (this->unwritten.empty()) {
        this->attemptsLeft = kAttempts;
        this->writeHead();
        return;
    }
    const std::string digest = *this->unwritten.begin();
    // A part that no current head refers to may be removed by the operator who made that head.
    // Writing it again moves its revision, so that such a removal fails.
    const auto known = this->base.partRevisions.find(digest);
    const std::int64_t expected = known == this->base.partRevisions.end() ? 0 : known->second;
    this->store.compareAndSwap(
        partKey(digest), expected, this->encoded.partsByDigest[digest], std::nullopt,
        [self = this->shared_from_this(), digest](auto, const Reason &reason) {
            self->partAnswered(digest, reason);
        });
}

void ConfigurationApplier::Run::partAnswered(const std::string &digest, const Reason &reason)
{
    if (reason.code == ResultCode::Ok) {
        this->unwritten.erase(digest);
        this->attemptsLeft = kAttempts;
        this->writeNextPart();
        return;
    }
    if (--this->attemptsLeft <= 0) {
        this->finish(reason);
        return;
    }
    this->readPart(digest);
}

void ConfigurationApplier::Run::readPart(const std::string &digest)
{
    this->store.get(partKey(digest),
                    [self = this->shared_from_this(), digest](auto value, auto, const Reason &) {
                        if (value) {
                            self->base.partRevisions[digest] = value->revision;
                        } else {
                            self->base.partRevisions.erase(digest);
                        }
                        self->writeNextPart();
                    });
}

void ConfigurationApplier::Run::writeHead()
{
    const std::string head(store::kConfigurationKey);
    this->store.writeTogether(head, this->base.headRevision,
                              {{head, this->encoded.head},
                               {std::string(store::kHistoryKey), historyText(this->nextHistory())}},
                              [self = this->shared_from_this()](auto, const Reason &reason) {
                                  self->headAnswered(reason);
                              });
}

ChangeHistory ConfigurationApplier::Run::nextHistory() const
{
    ChangeHistory history = this->base.history;
    history.changes.insert(history.changes.begin(), this->result.change);
    history.changes.resize(std::min(history.changes.size(), kKeptChanges));
    std::vector<std::string> digests;
    for (const auto &[digest, text] : this->encoded.partsByDigest) {
        digests.push_back(digest);
    }
    history.parts.insert(history.parts.begin(), std::move(digests));
    history.parts.resize(std::min(history.parts.size(), kKeptGenerations));
    return history;
}

void ConfigurationApplier::Run::headAnswered(const Reason &reason)
{
    if (reason.code == ResultCode::Ok) {
        this->removeOldParts();
        return;
    }
    this->isInDoubt = this->isInDoubt || mayHaveTakenEffect(reason.code);
    this->wasRefused = reason.code == ResultCode::StoreConflict;
    if (--this->attemptsLeft <= 0 && !this->isInDoubt) {
        this->finish(reason);
        return;
    }
    this->readBack();
}

void ConfigurationApplier::Run::readBack()
{
    this->reader.read([self = this->shared_from_this()](auto read, const Reason &) {
        if (read) {
            self->settle(*read);
        } else if (self->attemptsLeft > 0) {
            self->writeHead();
        } else if (self->wasRefused && !self->isInDoubt) {
            self->finish({ResultCode::ChangeLost, "another change was accepted first"});
        } else {
            self->finish({ResultCode::StoreAnswerLost,
                          "the change may be in force; radishctl history tells"});
        }
    });
}

void ConfigurationApplier::Run::settle(const StoredConfiguration &read)
{
    const std::string &own = this->result.change.changeId;
    const bool isInForce = read.configuration.changeId == own;
    if (isInForce || findChange(read.history, own) != nullptr) {
        this->removeOldParts();
        return;
    }
    // With another head and a whole history, this change was not accepted and can no longer be.
    const bool isOvertaken = read.headRevision > this->base.headRevision;
    if (isOvertaken && (read.isHistoryComplete || !this->isInDoubt)) {
        this->lose(read);
        return;
    }
    if (this->attemptsLeft > 0) {
        // The same write with the same expected revision takes effect at most once.
        this->writeHead();
        return;
    }
    if (this->wasRefused && !this->isInDoubt) {
        this->finish({ResultCode::ChangeLost, "another change was accepted first"});
        return;
    }
    this->finish(
        {ResultCode::StoreAnswerLost, "the change may be in force; radishctl history tells"});
}

void ConfigurationApplier::Run::lose(const StoredConfiguration &read)
{
    const ChangeRecord *winner = findChange(read.history, read.configuration.changeId);
    this->result.winner = winner != nullptr
        ? *winner
        : ChangeRecord{.generation = read.configuration.generation,
                       .changeId = read.configuration.changeId};
    this->result.differences = settings::differences(read.configuration, this->wanted);
    this->finish({ResultCode::ChangeLost,
                  "change " + this->result.winner->changeId + " was accepted first"});
}

void ConfigurationApplier::Run::removeOldParts()
{
    std::set<std::string> kept;
    for (const auto &digests : this->nextHistory().parts) {
        kept.insert(digests.begin(), digests.end());
    }
    // The head before this one may have been written without a history.
    kept.insert(this->base.digests.begin(), this->base.digests.end());
    for (const auto &[digest, revision] : this->base.partRevisions) {
        if (!kept.contains(digest)) {
            this->store.remove(partKey(digest), revision, [](auto, const Reason &) {});
        }
    }
    this->finish({});
}

void ConfigurationApplier::Run::finish(Reason reason)
{
    this->result.reason = std::move(reason);
    this->handler(this->result);
}
}
