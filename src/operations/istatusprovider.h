#pragma once

namespace radishladder::operations {
struct VmStatus;

//! Tells what this VM knows of itself and the others. Called on the event loop.
class IStatusProvider
{
public:
    virtual ~IStatusProvider() = default;
    virtual VmStatus status() const = 0;
};
}
