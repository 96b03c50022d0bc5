#include "stockrelease.h"

#include <algorithm>

namespace review {
namespace {
const std::string kStock = "stock";
constexpr Milliseconds kWork{20};
constexpr Milliseconds kFirstStep{100};
constexpr Milliseconds kStep{425};
constexpr Milliseconds kDrainTime{3600};
//! Hosts at first, and how many of them are replaced: a share of 0.45, one at a time, 0.85 s apart.
constexpr int kHosts = 40;
constexpr int kReplaced = 18;
}

std::uint64_t StockRelease::nextId()
{
    return 0x3311000000 + ++this->count * 104729;
}

bool StockRelease::start()
{
    for (int i = 0; i < kHosts; ++i) {
        if (this->deployment.addHost(this->nextId(), kWork, kStock) == nullptr) {
            return false;
        }
    }
    this->deployment.loop.after(kFirstStep, [this]() { this->replaceOne(); });
    return true;
}

void StockRelease::replaceOne()
{
    const auto &hosts = this->deployment.hosts;
    const auto old = std::ranges::find_if(hosts, [](const auto &host) {
        return host->isUp() && !host->isDraining() && host->about().service == kStock;
    });
    if (this->count >= kHosts + kReplaced || old == hosts.end()) {
        return;
    }
    Loop &loop = this->deployment.loop;
    Host *leaving = old->get();
    this->deployment.addHost(this->nextId(), kWork, kStock);
    loop.after(kStep, [leaving]() { leaving->drain(); });
    loop.after(kStep + kDrainTime, [leaving]() { leaving->leave(); });
    loop.after(kStep * 2, [this]() { this->replaceOne(); });
}
}
