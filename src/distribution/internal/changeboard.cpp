#include "distribution/changeboard.h"

#include "distribution/types/copyage.h"
#include "distribution/types/relayanswer.h"
#include "store/types/readkind.h"

#include <algorithm>

namespace radishladder::distribution {
namespace {
//! Longer than a period of lease renewals, which show contact while nothing changes.
constexpr std::chrono::milliseconds kFresh{2600};

//! Longer than two listings of a prefix that is listed now and then are apart.
constexpr std::chrono::milliseconds kListingAge{6000};

//! A larger value would fill the link of a relay for too long if it is sent to many.
constexpr std::size_t kLargestValueBytes = 128 * 1024;

bool isTooLarge(const store::StoreItem &item)
{
    return item.value.size() > kLargestValueBytes;
}
}

void ChangeBoard::noteContact(BootTime now)
{
    this->contact = now;
    this->heardAt = now;
}

void ChangeBoard::noteTrouble()
{
    this->contact.reset();
    for (const auto &[prefix, log] : this->logs) {
        this->unconfirmed.insert(prefix);
    }
    this->tell();
}

bool ChangeBoard::knows(const std::string &prefix) const
{
    const auto copy = this->copies.find(prefix);
    return copy != this->copies.end() && copy->second.listing().has_value();
}

bool ChangeBoard::hasContact(BootTime now) const
{
    return this->contact && now - *this->contact <= kFresh;
}

void ChangeBoard::follow(const std::string &prefix, std::uint64_t after)
{
    this->logs[prefix].extend(after, {.revision = after});
}

void ChangeBoard::extend(const std::string &prefix, std::uint64_t after,
                         const store::StoreListing &changes)
{
    this->unconfirmed.erase(prefix);
    this->logs[prefix].extend(after, changes);
    this->copies[prefix].extend(after, changes);
    if (!changes.items.empty()) {
        this->tell();
    }
}

void ChangeBoard::addPage(const std::string &prefix, store::ReadKind kind,
                          const std::string &afterKey, const store::StoreListing &page,
                          BootTime now)
{
    PrefixCopy &copy = this->copies[prefix];
    copy.addPage(afterKey, page);
    this->listedAt[prefix] = now;
    const auto listing = copy.listing();
    if (kind == store::ReadKind::Stale || !listing) {
        return;
    }
    this->noteContact(now);
    this->unconfirmed.erase(prefix);
    this->follow(prefix, listing->revision);
}

void ChangeBoard::learnListing(const std::string &prefix, const store::StoreListing &listing,
                               BootTime heard)
{
    this->heardAt = std::max(this->heardAt, heard);
    this->copies[prefix].addPage("", listing);
    this->listedAt.erase(prefix);
    this->logs.erase(prefix);
}

void ChangeBoard::learnChanges(const std::string &prefix, std::uint64_t after,
                               const store::StoreListing &changes, BootTime now)
{
    this->heardAt = now;
    this->copies[prefix].extend(after, changes);
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

bool ChangeBoard::isFollowing(const std::string &prefix, BootTime now) const
{
    return this->logs.contains(prefix) && !this->unconfirmed.contains(prefix)
        && this->hasContact(now);
}

bool ChangeBoard::wasListed(const std::string &prefix, BootTime now) const
{
    const auto listed = this->listedAt.find(prefix);
    return listed != this->listedAt.end() && now - listed->second <= kListingAge;
}

bool ChangeBoard::isAllowed(const std::string &prefix, CopyAge age, BootTime now) const
{
    switch (age) {
    case CopyAge::New:
        return this->isFollowing(prefix, now);
    case CopyAge::Polled:
        return this->isFollowing(prefix, now) || this->wasListed(prefix, now);
    case CopyAge::Any:
        break;
    }
    return true;
}

RelayAnswer ChangeBoard::copy(const std::string &prefix, CopyAge age, BootTime now) const
{
    const auto copy = this->copies.find(prefix);
    if (copy == this->copies.end() || !this->isAllowed(prefix, age, now)) {
        return {.verdict = RelayVerdict::Unable};
    }
    auto listing = copy->second.listing();
    if (!listing) {
        return {.verdict = RelayVerdict::Unable};
    }
    if (age != CopyAge::Any && std::ranges::any_of(listing->items, isTooLarge)) {
        return {.verdict = RelayVerdict::AskStore};
    }
    return {.verdict = RelayVerdict::Changes,
            .listing = std::move(*listing),
            .age = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->heardAt)};
}

RelayAnswer ChangeBoard::answer(const std::string &prefix, std::uint64_t after, BootTime now) const
{
    if (!this->isFollowing(prefix, now)) {
        return {.verdict = RelayVerdict::Unable};
    }
    const ChangeLog &log = this->logs.at(prefix);
    auto items = log.since(after);
    if (!items) {
        return {.verdict = RelayVerdict::Unable};
    }
    RelayAnswer answer{.verdict = RelayVerdict::Nothing};
    answer.listing.status = store::StoreStatus::Ok;
    answer.listing.revision = std::max(after, log.end());
    if (std::ranges::any_of(*items, isTooLarge)) {
        answer.verdict = RelayVerdict::AskStore;
    } else if (!items->empty()) {
        answer.verdict = RelayVerdict::Changes;
        answer.listing.items = std::move(*items);
    }
    return answer;
}
}
