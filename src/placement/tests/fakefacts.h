#pragma once

#include "membership/isharedfacts.h"

#include <map>

namespace radishladder::placement::fakes {

//! Facts of this VM and of others, confirmed when the test says so.
class FakeFacts : public membership::ISharedFacts
{
public:
    void publish(const std::string &key, const Value &value) override
    {
        this->state(VmName("vm-a"), key, value);
    }
    void withdraw(const std::string &key) override
    {
        this->state(VmName("vm-a"), key, std::nullopt);
    }
    bool isKnownByAll(const std::string &key, std::chrono::steady_clock::time_point) const override
    {
        return this->confirmed && this->value(VmName("vm-a"), key).has_value();
    }
    std::optional<Value> value(const VmName &origin, const std::string &key) const override
    {
        const auto found = this->facts.find({key, origin});
        return found == this->facts.end() ? std::nullopt : std::make_optional(found->second);
    }
    std::vector<VmName> origins(const std::string &key) const override
    {
        std::vector<VmName> names;
        for (const auto &[fact, value] : this->facts) {
            if (fact.first == key) {
                names.push_back(fact.second);
            }
        }
        return names;
    }
    void subscribe(Subscriber subscriber) override { this->subscriber = subscriber; }

    void state(const VmName &origin, const std::string &key, const std::optional<Value> &value)
    {
        if (value) {
            this->facts[{key, origin}] = *value;
        } else {
            this->facts.erase({key, origin});
        }
        if (this->subscriber) {
            this->subscriber(origin, key, value);
        }
    }

    bool confirmed = false;
    std::map<std::pair<std::string, VmName>, Value> facts;

private:
    Subscriber subscriber;
};
}
