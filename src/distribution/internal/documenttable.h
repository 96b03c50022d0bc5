#pragma once

#include "distribution/types/documentbatch.h"

#include <functional>
#include <map>
#include <string>

namespace radishladder::distribution {

//! Newest known value of each key; a key only moves forward.
class DocumentTable
{
public:
    //! True if \a document is newer than what is known of its key.
    bool accept(const store::StoredValue &document);

    const store::StoredValue *find(const std::string &key) const;
    void forEach(const std::string &prefix,
                 const std::function<void(const store::StoredValue &)> &visit) const;

    //! Revision of the newest document of the system.
    std::int64_t newest() const;

    //! Documents of the system after \a since, up to about \a maxBytes.
    DocumentBatch after(std::int64_t since, std::size_t maxBytes) const;

private:
    std::map<std::string, store::StoredValue> byKey;
    std::multimap<std::int64_t, std::string> byRevision;
};
}
