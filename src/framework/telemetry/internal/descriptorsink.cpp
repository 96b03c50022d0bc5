#include "telemetry/descriptorsink.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace radishladder::telemetry {
std::size_t DescriptorSink::tryWrite(std::string_view text)
{
    // When poll() reports a pipe as writable, a write of up to PIPE_BUF bytes does not block. The
    // descriptor is not set to non-blocking mode because other processes may share it.
    std::size_t written = 0;
    while (written < text.size()) {
        pollfd ready{this->descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t chunk = std::min<std::size_t>(text.size() - written, PIPE_BUF);
        const ssize_t count = ::write(this->descriptor, text.data() + written, chunk);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    return written;
}
}
