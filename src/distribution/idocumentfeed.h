#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace radishladder::store {
struct StoredValue;
}

namespace radishladder::distribution {

//! The system's documents in the platform's store, kept current on every VM by few watchers and by
//! the other VMs.
class IDocumentFeed
{
public:
    using Subscriber = std::function<void(const store::StoredValue &)>;

    virtual ~IDocumentFeed() = default;

    //! Newest known value of \a key.
    virtual std::optional<store::StoredValue> find(const std::string &key) const = 0;

    //! Every document changed up to this store revision is known here.
    virtual std::int64_t revision() const = 0;

    //! Calls \a subscriber on the event loop for each newer value of a key that starts with \a
    //! prefix, at once for those already known.
    virtual void subscribe(const std::string &prefix, Subscriber subscriber) = 0;

    //! Takes a value that this VM has just written itself.
    virtual void offer(const store::StoredValue &document) = 0;
};
}
