#pragma once

#include <cstdint>
#include <optional>

namespace radishladder::distribution {

//! Era of the store that a request to a relay names.
struct RelayEra
{
    enum class Kind : std::uint8_t {
        Absent, //!< the sender is of a release that knows no eras
        Any, //!< the sender knows no era yet and takes data of any
        Named, //!< the sender needs data of \a era
    };

    Kind kind = Kind::Absent;
    std::uint64_t era = 0;

    //! Returns the era of a request of a VM that knows \a newest as the newest era, if any.
    static RelayEra of(const std::optional<std::uint64_t> &newest);

    //! Returns true if data of \a dataEra may be sent by a VM that knows \a ownEra as the newest.
    bool accepts(std::uint64_t dataEra, std::uint64_t ownEra) const;
};
}
