#pragma once

#include "store/iconfigstore.h"
#include "store/types/storedvalue.h"

#include <map>

namespace radishladder::placement::fakes {

//! A store in memory; each write can be made to fail or to lose its answer.
class FakeStore : public store::IConfigStore
{
public:
    enum class Mode {
        Up,
        Down,
        LoseAnswers,
    };

    void get(const std::string &key, GetHandler handler) override
    {
        const auto found = this->values.find(key);
        if (this->mode == Mode::Down) {
            handler(std::nullopt, 0, {ResultCode::StoreUnreachable, "down"});
        } else if (found == this->values.end()) {
            handler(std::nullopt, this->revision, {ResultCode::StoreKeyMissing, "absent"});
        } else {
            handler(found->second, this->revision, {});
        }
    }
    void list(const std::string &, ListHandler) override { }
    void compareAndSwap(const std::string &key, std::int64_t expected, const std::string &value,
                        std::optional<LeaseId>, WriteHandler handler) override
    {
        if (this->mode == Mode::Down) {
            handler(std::nullopt, {ResultCode::StoreUnreachable, "down"});
            return;
        }
        store::StoredValue &held = this->values[key];
        if (held.revision != expected) {
            handler(std::nullopt, {ResultCode::StoreConflict, "changed"});
            return;
        }
        held = {.key = key, .value = value, .revision = ++this->revision};
        ++this->writes;
        if (this->mode == Mode::LoseAnswers) {
            handler(std::nullopt, {ResultCode::StoreAnswerLost, "lost"});
        } else {
            handler(held.revision, {});
        }
    }
    void grantLease(std::chrono::seconds, LeaseHandler) override { }
    void keepLeaseAlive(LeaseId, LeaseHandler) override { }
    WatchId watch(const std::string &, std::int64_t, WatchHandler) override { return 0; }
    void cancelWatch(WatchId) override { }

    Mode mode = Mode::Up;
    int writes = 0;
    std::int64_t revision = 0;
    std::map<std::string, store::StoredValue> values;
};
}
