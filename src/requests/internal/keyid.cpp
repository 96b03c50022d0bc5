#include "requests/internal/keyid.h"

#include "global/hash.h"

namespace radishladder::requests {
KeyId KeyId::of(const std::string &service, const std::string &key)
{
    const std::string text = service + '\n' + key;
    return {hash64(text, 1), hash64(text, 2)};
}
}
