#pragma once

#include <string>
#include <string_view>

namespace radishladder::operations {

//! What a call does to the VM.
enum class CallKind {
    Read,
    Change,
};

//! Decides whether a call may run, by its token.
class AccessPolicy
{
public:
    //! \a openReads: calls that only read need no token.
    AccessPolicy(std::string token, bool openReads);

    //! \a authorization is the value of the header of that name.
    bool allows(CallKind kind, std::string_view authorization) const;

private:
    std::string token;
    bool openReads;
};
}
