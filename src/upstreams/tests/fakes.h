#pragma once

#include "global/hash.h"
#include "membership/imembership.h"
#include "membership/isharedfacts.h"
#include "membership/types/member.h"
#include "settings/configurationholder.h"
#include "settings/types/configuration.h"

#include <algorithm>
#include <deque>
#include <map>

namespace radishladder::upstreams {

//! Members as a test sets them.
class FakeMembership : public membership::IMembership
{
public:
    explicit FakeMembership(VmName self) : name(std::move(self)) { }

    const VmName &self() const override { return this->name; }
    std::vector<membership::Member> members() const override { return this->list; }
    const membership::Member *find(const VmName &) const override { return nullptr; }
    std::vector<VmName> ranked(std::uint64_t, std::size_t) const override { return {}; }
    bool isConfident(std::chrono::steady_clock::time_point) const override { return true; }
    bool isRevisionKnownByAll(std::int64_t, std::chrono::steady_clock::time_point) const override
    {
        return true;
    }
    void reportOwn(std::uint64_t, std::int64_t) override { }
    void subscribe(Subscriber) override { }

    std::vector<membership::Member> list;

private:
    VmName name;
};

class FakeFacts;

//! Carries facts between FakeFacts when a test says so.
struct FactBus
{
    void deliverAll();

    std::vector<FakeFacts *> vms;
    std::map<std::pair<VmName, std::string>, membership::ISharedFacts::Value> stated;
    std::deque<std::pair<VmName, std::string>> changed;
};

class FakeFacts : public membership::ISharedFacts
{
public:
    FakeFacts(FactBus &bus, VmName self) : bus(bus), self(std::move(self))
    {
        bus.vms.push_back(this);
    }

    void publish(const std::string &key, const Value &value) override
    {
        this->bus.stated[{this->self, key}] = value;
        this->bus.changed.emplace_back(this->self, key);
    }
    void withdraw(const std::string &key) override
    {
        this->bus.stated.erase({this->self, key});
        this->bus.changed.emplace_back(this->self, key);
    }
    bool isKnownByAll(const std::string &, std::chrono::steady_clock::time_point) const override
    {
        return this->bus.changed.empty();
    }
    std::optional<Value> value(const VmName &origin, const std::string &key) const override
    {
        const auto found = this->known.find({origin, key});
        return found == this->known.end() ? std::nullopt : std::optional(found->second);
    }
    std::vector<VmName> origins(const std::string &key) const override
    {
        std::vector<VmName> names;
        for (const auto &[fact, value] : this->known) {
            if (fact.second == key) {
                names.push_back(fact.first);
            }
        }
        return names;
    }
    void subscribe(Subscriber subscriber) override { this->subscriber = std::move(subscriber); }

    const VmName &owner() const { return this->self; }

    void learn(const VmName &origin, const std::string &key, const std::optional<Value> &value)
    {
        if (value) {
            this->known[{origin, key}] = *value;
        } else {
            this->known.erase({origin, key});
        }
        if (this->subscriber) {
            this->subscriber(origin, key, value);
        }
    }

private:
    FactBus &bus;
    VmName self;
    std::map<std::pair<VmName, std::string>, Value> known;
    Subscriber subscriber;
};

inline void FactBus::deliverAll()
{
    while (!this->changed.empty()) {
        const auto fact = this->changed.front();
        this->changed.pop_front();
        const auto found = this->stated.find(fact);
        for (FakeFacts *vm : this->vms) {
            vm->learn(fact.first, fact.second,
                      found == this->stated.end() ? std::nullopt : std::optional(found->second));
        }
    }
}
}
