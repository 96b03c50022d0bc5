#pragma once

#include "telemetry/ilogsink.h"

namespace radishladder::telemetry {

//! Writes to an open file descriptor, for example standard output, without blocking.
class DescriptorSink : public ILogSink
{
public:
    explicit DescriptorSink(int descriptor) : descriptor(descriptor) { }

    std::size_t tryWrite(std::string_view text) override;

private:
    int descriptor;
};
}
