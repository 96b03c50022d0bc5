#pragma once

#include "store/ichangestore.h"
#include "store/types/storedvalue.h"

#include <deque>
#include <map>

namespace radishladder::operations::fakes {

//! What becomes of one call.
enum class Fate {
    Answered,
    Unreachable,
    AnswerLost,
    EffectDelayed,
    Stale,
};

//! A store in memory whose calls wait until the test runs them, each with a fate of its own.
class FakeChangeStore : public store::IChangeStore
{
public:
    void get(const std::string &key, GetHandler handler) override
    {
        this->calls.push_back([this, key, handler = std::move(handler)](Fate fate) {
            if (fate == Fate::Unreachable || fate == Fate::AnswerLost) {
                handler(std::nullopt, 0, {ResultCode::StoreUnreachable, ""});
                return;
            }
            const Entries &shown = this->shown(fate);
            const auto found = shown.find(key);
            if (found == shown.end()) {
                handler(std::nullopt, 0, {ResultCode::StoreKeyMissing, key});
                return;
            }
            handler(found->second, this->revision, {});
        });
    }

    void list(const std::string &prefix, ListHandler handler) override
    {
        this->calls.push_back([this, prefix, handler = std::move(handler)](Fate fate) {
            if (fate == Fate::Unreachable || fate == Fate::AnswerLost) {
                handler(std::nullopt, 0, {ResultCode::StoreUnreachable, ""});
                return;
            }
            std::vector<store::StoredValue> values;
            for (const auto &[key, value] : this->shown(fate)) {
                if (key.starts_with(prefix)) {
                    values.push_back(value);
                }
            }
            handler(values, this->revision, {});
        });
    }

    void compareAndSwap(const std::string &key, std::int64_t expected, const std::string &value,
                        std::optional<LeaseId>, WriteHandler handler) override
    {
        this->writeTogether(key, expected, {{key, value}}, std::move(handler));
    }

    void writeTogether(const std::string &key, std::int64_t expected,
                       const std::vector<Write> &writes, WriteHandler handler) override
    {
        this->enqueue([this, key, expected, writes] { return this->write(key, expected, writes); },
                      std::move(handler));
    }

    void remove(const std::string &key, std::int64_t expected, WriteHandler handler) override
    {
        this->enqueue(
            [this, key, expected] {
                const auto found = this->entries.find(key);
                if (found == this->entries.end() || found->second.revision != expected) {
                    return false;
                }
                this->entries.erase(found);
                ++this->revision;
                return true;
            },
            std::move(handler));
    }

    void grantLease(std::chrono::seconds, LeaseHandler) override { }
    void keepLeaseAlive(LeaseId, LeaseHandler) override { }
    WatchId watch(const std::string &, std::int64_t, WatchHandler) override { return 0; }
    void cancelWatch(WatchId) override { }

    //! Runs waiting call \a index.
    void run(std::size_t index, Fate fate)
    {
        auto call = std::move(this->calls[index]);
        this->calls.erase(this->calls.begin() + static_cast<std::ptrdiff_t>(index));
        call(fate);
    }

    //! Effects of writes that timed out happen now.
    void runDelayedEffects()
    {
        for (const auto &effect : std::exchange(this->delayed, {})) {
            effect();
        }
    }

    //! Stale reads show the entries as they are now.
    void keepPast() { this->past = this->entries; }

    std::deque<std::function<void(Fate)>> calls;
    std::map<std::string, store::StoredValue> entries;

    //! Every value that \a watchedKey has held.
    std::string watchedKey;
    std::vector<std::string> log;

private:
    using Entries = std::map<std::string, store::StoredValue>;

    const Entries &shown(Fate fate) const
    {
        return fate == Fate::Stale ? this->past : this->entries;
    }

    bool write(const std::string &key, std::int64_t expected, const std::vector<Write> &writes)
    {
        const auto found = this->entries.find(key);
        if ((found == this->entries.end() ? 0 : found->second.revision) != expected) {
            return false;
        }
        ++this->revision;
        for (const auto &[name, value] : writes) {
            this->entries[name] = {name, value, this->revision};
            if (name == this->watchedKey) {
                this->log.push_back(value);
            }
        }
        return true;
    }

    void enqueue(std::function<bool()> effect, WriteHandler handler)
    {
        this->calls.push_back(
            [this, effect = std::move(effect), handler = std::move(handler)](Fate fate) {
                if (fate == Fate::Unreachable) {
                    handler(std::nullopt, {ResultCode::StoreUnreachable, ""});
                } else if (fate == Fate::EffectDelayed) {
                    this->delayed.push_back(effect);
                    handler(std::nullopt, {ResultCode::StoreTimeout, ""});
                } else if (fate == Fate::AnswerLost) {
                    effect();
                    handler(std::nullopt, {ResultCode::StoreAnswerLost, ""});
                } else if (effect()) {
                    handler(this->revision, {});
                } else {
                    handler(std::nullopt, {ResultCode::StoreConflict, ""});
                }
            });
    }

    std::int64_t revision = 1;
    Entries past;
    std::vector<std::function<bool()>> delayed;
};
}
