#include "operations/accesspolicy.h"

#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

namespace radishladder::operations {
namespace {
constexpr std::string_view kScheme = "Bearer ";

//! True if the texts are equal, in a time that tells nothing about where they differ.
bool isEqual(std::string_view left, std::string_view right)
{
    unsigned char leftHash[crypto_generichash_BYTES];
    unsigned char rightHash[crypto_generichash_BYTES];
    crypto_generichash(leftHash, sizeof leftHash,
                       reinterpret_cast<const unsigned char *>(left.data()), left.size(), nullptr,
                       0);
    crypto_generichash(rightHash, sizeof rightHash,
                       reinterpret_cast<const unsigned char *>(right.data()), right.size(), nullptr,
                       0);
    return sodium_memcmp(leftHash, rightHash, sizeof leftHash) == 0;
}
}

AccessPolicy::AccessPolicy(std::string token, bool openReads)
    : token(std::move(token)), openReads(openReads)
{ }

bool AccessPolicy::allows(CallKind kind, std::string_view authorization) const
{
    if (kind == CallKind::Read && this->openReads) {
        return true;
    }
    return !this->token.empty() && authorization.starts_with(kScheme)
        && isEqual(authorization.substr(kScheme.size()), this->token);
}
}
