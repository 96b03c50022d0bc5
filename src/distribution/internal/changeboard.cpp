#include "distribution/changeboard.h"

#include "distribution/types/relayanswer.h"

#include <algorithm>

namespace radishladder::distribution {
namespace {
//! Longer than a period of lease renewals, which show contact while nothing changes.
constexpr std::chrono::milliseconds kFresh{2600};

//! A larger value would fill the link of a relay for too long if it is sent to many.
constexpr std::size_t kLargestValueBytes = 128 * 1024;

bool isTooLarge(const store::StoreItem &item)
{
    return item.value.size() > kLargestValueBytes;
}
}

void ChangeBoard::noteTrouble()
{
    this->contact.reset();
    this->tell();
}

void ChangeBoard::extend(const std::string &prefix, std::uint64_t after,
                         const store::StoreListing &changes)
{
    this->logs[prefix].extend(after, changes);
    if (!changes.items.empty()) {
        this->tell();
    }
}

void ChangeBoard::forget(const std::string &prefix)
{
    if (this->logs.erase(prefix) > 0) {
        this->tell();
    }
}

void ChangeBoard::tell() const
{
    if (this->listener) {
        this->listener();
    }
}

RelayAnswer ChangeBoard::answer(const std::string &prefix, std::uint64_t after, TimePoint now) const
{
    const auto log = this->logs.find(prefix);
    if (log == this->logs.end() || !this->contact || now - *this->contact > kFresh) {
        return {.verdict = RelayVerdict::Unable};
    }
    auto items = log->second.since(after);
    if (!items) {
        return {.verdict = RelayVerdict::Unable};
    }
    RelayAnswer answer{.verdict = RelayVerdict::Nothing};
    answer.listing.status = store::StoreStatus::Ok;
    answer.listing.revision = std::max(after, log->second.end());
    if (std::ranges::any_of(*items, isTooLarge)) {
        answer.verdict = RelayVerdict::AskStore;
    } else if (!items->empty()) {
        answer.verdict = RelayVerdict::Changes;
        answer.listing.items = std::move(*items);
    }
    return answer;
}
}
