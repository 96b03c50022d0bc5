#include "membership/internal/updatequeue.h"

#include <algorithm>

namespace radishladder::membership {
namespace {
constexpr std::size_t kUpdateOverheadBytes = 13;
}

void UpdateQueue::add(const StateUpdate &update, int times)
{
    this->entries[update.vm] = {update, times};
}

std::vector<StateUpdate> UpdateQueue::take(std::size_t maxBytes)
{
    std::vector<Entry *> order;
    for (auto &[vm, entry] : this->entries) {
        order.push_back(&entry);
    }
    std::ranges::stable_sort(order, std::greater<>(), &Entry::remaining);
    std::vector<StateUpdate> taken;
    std::size_t bytes = 0;
    for (Entry *entry : order) {
        bytes += entry->update.vm.size() + kUpdateOverheadBytes;
        if (bytes > maxBytes) {
            break;
        }
        taken.push_back(entry->update);
        --entry->remaining;
    }
    std::erase_if(this->entries, [](const auto &item) { return item.second.remaining <= 0; });
    return taken;
}
}
