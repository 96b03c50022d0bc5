#pragma once

#include "distribution/documentfeed.h"
#include "distribution/idocumentsource.h"
#include "distribution/tests/fakestore.h"
#include "distribution/types/documentbatch.h"
#include "membership/tests/fleet.h"
#include "membership/vmlistreader.h"

#include <algorithm>
#include <utility>

namespace radishladder::distribution {

//! In-process VMs with memberships, feeds, one store and pulls that take a step.
class FeedFleet
{
public:
    using Milliseconds = std::chrono::milliseconds;

    struct Node;

    class Source : public IDocumentSource
    {
    public:
        Source(FeedFleet &fleet, int self) : fleet(fleet), self(self) { }
        void pull(const membership::Member &from, std::int64_t since, std::int64_t vmListRevision,
                  Handler handler) override
        {
            this->waiting = [this, name = from.name, since, vmListRevision, handler] {
                const int index = std::stoi(name.str().substr(3));
                if (!this->fleet.isReachable(this->self, index)) {
                    handler(std::nullopt, {ResultCode::VmUnreachable, name.str()});
                    return;
                }
                handler(this->fleet.at(index).feed.batchAfter(since, vmListRevision), {});
            };
        }
        FeedFleet &fleet;
        int self;
        std::function<void()> waiting;
    };

    struct Node
    {
        Node(FeedFleet &fleet, membership::Fleet::Vm &vm, int index)
            : vm(vm), client(fleet.store), source(fleet, index),
              feed(vm.membership, this->client, this->source, vm.random, vm.clock, vm.timeLine,
                   vm.metrics)
        {
            this->feed.subscribe(std::string(store::kVmListKey),
                                 [&vm](const store::StoredValue &list) {
                                     Reason reason;
                                     membership::VmListReader reader;
                                     if (const auto vms = reader.read(list.value)) {
                                         vm.membership.applyVmList(list.revision, *vms);
                                     }
                                 });
        }
        std::string value(const std::string &key) const
        {
            const auto document = this->feed.find(key);
            return document ? document->value : std::string();
        }
        membership::Fleet::Vm &vm;
        FakeStore::Client client;
        Source source;
        DocumentFeed feed;
    };

    explicit FeedFleet(int count, std::uint64_t seed = 1) : fleet(0, seed)
    {
        this->store.put(std::string(store::kVmListKey), listText(count));
        for (int i = 0; i < count; ++i) {
            this->start(i);
        }
    }

    static std::string listText(int count)
    {
        std::string text = "[";
        for (int i = 0; i < count; ++i) {
            const membership::ListedVm vm = membership::Fleet::listed(i);
            const std::string host =
                "127.21." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":70";
            text += (i == 0 ? "" : ",") + std::string(R"({"name":")") + vm.name.str()
                + R"(","dataCentre":")" + vm.dataCentre.str() + R"(","data":")" + host
                + R"(00","peer":")" + host + R"(10","requests":")" + host + R"(80","admin":")"
                + host + R"(90"})";
        }
        return text + "]";
    }

    void start(int index)
    {
        this->kill(index);
        this->fleet.start(index);
        this->nodes[index] = std::make_unique<Node>(*this, this->fleet.at(index), index);
    }
    void kill(int index)
    {
        if (this->nodes.contains(index)) {
            this->store.forget(this->nodes[index]->client);
            this->nodes.erase(index);
            this->fleet.kill(index);
        }
    }

    void run(
        Milliseconds duration, const std::function<void()> &check = [] {})
    {
        this->fleet.run(duration, [&] {
            this->store.tick(membership::Fleet::kStep);
            for (auto &[index, node] : this->nodes) {
                if (!node->vm.isPaused) {
                    this->tick(*node);
                }
            }
            check();
        });
    }

    Node &at(int index) { return *this->nodes.at(index); }
    bool allHave(const std::string &key, const std::string &value) const
    {
        return std::ranges::all_of(
            this->nodes, [&](const auto &item) { return item.second->value(key) == value; });
    }
    int watchers() const
    {
        return static_cast<int>(std::ranges::count_if(
            this->nodes, [](const auto &item) { return item.second->feed.isWatching(); }));
    }
    bool isReachable(int from, int to) const
    {
        return this->nodes.contains(to)
            && this->nodes.at(from)->vm.group == this->nodes.at(to)->vm.group
            && !this->nodes.at(to)->vm.isPaused;
    }

    FakeStore store;
    membership::Fleet fleet;
    std::map<int, std::unique_ptr<Node>> nodes;

private:
    void tick(Node &node)
    {
        this->store.serveWatches(node.client);
        if (const auto pull = std::exchange(node.source.waiting, nullptr)) {
            pull();
        }
        node.feed.tick();
        node.vm.membership.reportOwn(0, node.feed.revision());
        node.vm.membership.reportNewestDocument(node.feed.newestRevision());
    }
};
}
