#pragma once

#include "store/iconfigstore.h"
#include "store/storekeys.h"
#include "store/types/storedvalue.h"

#include <list>
#include <map>

namespace radishladder::distribution {

//! Store in virtual time that can be down, slow, hang, lose answers or answer with old values.
class FakeStore
{
public:
    using Milliseconds = std::chrono::milliseconds;

    struct Watch
    {
        std::string prefix;
        std::int64_t next = 0;
        store::IConfigStore::WatchHandler handler;
    };

    //! One VM's way to the store.
    class Client : public store::IConfigStore
    {
    public:
        explicit Client(FakeStore &store) : store(store) { }

        void get(const std::string &key, GetHandler handler) override
        {
            this->store.answer(this, [this, key, handler](const Reason &reason) {
                const auto &data = this->store.visible();
                const auto found = data.find(key);
                if (reason.code != ResultCode::Ok) {
                    handler(std::nullopt, 0, reason);
                } else if (found == data.end()) {
                    handler(std::nullopt, this->store.visibleRevision(),
                            {ResultCode::StoreKeyMissing, key});
                } else {
                    handler(found->second, this->store.visibleRevision(), {});
                }
            });
        }
        void list(const std::string &prefix, ListHandler handler) override
        {
            this->store.answer(this, [this, prefix, handler](const Reason &reason) {
                if (reason.code != ResultCode::Ok) {
                    handler(std::nullopt, 0, reason);
                    return;
                }
                std::vector<store::StoredValue> values;
                for (const auto &[key, value] : this->store.visible()) {
                    if (key.starts_with(prefix)) {
                        values.push_back(value);
                    }
                }
                handler(values, this->store.visibleRevision(), {});
            });
        }
        void compareAndSwap(const std::string &, std::int64_t, const std::string &,
                            std::optional<LeaseId>, WriteHandler) override
        { }
        void grantLease(std::chrono::seconds, LeaseHandler) override { }
        void keepLeaseAlive(LeaseId, LeaseHandler) override { }
        WatchId watch(const std::string &prefix, std::int64_t from, WatchHandler handler) override
        {
            ++this->calls;
            this->watches[++this->lastWatch] = {prefix, from, std::move(handler)};
            return this->lastWatch;
        }
        void cancelWatch(WatchId id) override { this->watches.erase(id); }

        FakeStore &store;
        std::map<WatchId, Watch> watches;
        WatchId lastWatch = 0;
        std::uint64_t calls = 0;
    };

    void put(const std::string &key, const std::string &value)
    {
        ++this->revision;
        this->data[key] = {key, value, this->revision};
    }

    //! From now on reads see what is there now.
    void freezeReads() { this->old = {this->data, this->revision}; }
    void thawReads() { this->old.reset(); }

    void tick(Milliseconds step)
    {
        this->now += step;
        for (auto call = this->pending.begin(); call != this->pending.end();) {
            if (call->due > this->now) {
                ++call;
                continue;
            }
            const Call due = *call;
            call = this->pending.erase(call);
            due.run();
        }
    }

    //! Sends due events to the watches of \a client.
    void serveWatches(Client &client)
    {
        if (this->areWatchesHung) {
            return;
        }
        const auto watches = client.watches;
        for (const auto &[id, watch] : watches) {
            if (this->isDown) {
                client.watches.erase(id);
                watch.handler({}, {ResultCode::StoreUnreachable, "down"});
                continue;
            }
            std::map<std::int64_t, store::StoredValue> due;
            for (const auto &[key, value] : this->data) {
                if (key.starts_with(watch.prefix) && value.revision >= watch.next) {
                    due[value.revision] = value;
                }
            }
            if (!due.empty()) {
                std::vector<store::StoredValue> events;
                events.reserve(due.size());
                for (const auto &[at, value] : due) {
                    events.push_back(value);
                }
                client.watches[id].next = events.back().revision + 1;
                watch.handler(events, {});
            }
        }
    }

    void forget(const Client &client)
    {
        this->pending.remove_if([&client](const Call &call) { return call.client == &client; });
    }

    bool isDown = false;
    bool areWatchesHung = false;
    bool areAnswersLost = false;
    Milliseconds delay{10};

private:
    struct Call
    {
        Milliseconds due{};
        const Client *client = nullptr;
        std::function<void()> run;
    };
    using Data = std::map<std::string, store::StoredValue>;

    static constexpr Milliseconds kCallTimeout{2000};

    const Data &visible() const { return this->old ? this->old->first : this->data; }
    std::int64_t visibleRevision() const { return this->old ? this->old->second : this->revision; }

    void answer(Client *client, const std::function<void(const Reason &)> &handler)
    {
        ++client->calls;
        const bool isLate = this->areAnswersLost || this->delay > kCallTimeout;
        const Reason reason = this->isDown ? Reason{ResultCode::StoreUnreachable, "down"}
            : isLate                       ? Reason{ResultCode::StoreTimeout, "late"}
                                           : Reason{};
        this->pending.push_back({this->now + (isLate ? kCallTimeout : this->delay), client,
                                 [handler, reason] { handler(reason); }});
    }

    Milliseconds now{};
    Data data;
    std::int64_t revision = 100;
    std::optional<std::pair<Data, std::int64_t>> old;
    std::list<Call> pending;
};
}
