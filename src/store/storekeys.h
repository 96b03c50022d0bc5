#pragma once

#include <string_view>

namespace radishladder::store {

//! Prefix of everything that the system itself keeps.
inline constexpr std::string_view kDocumentPrefix = "/radishladder/";

//! Head of the accepted configuration, replaced by compare-and-swap only.
inline constexpr std::string_view kConfigurationKey = "/radishladder/configuration";

//! The last accepted changes, written together with the head; outside of kDocumentPrefix, because
//! VMs need it not.
inline constexpr std::string_view kHistoryKey = "/radishladder-history";

//! Prefix of the parts of configurations, one for each digest, written once and never changed.
inline constexpr std::string_view kPartPrefix = "/radishladder/parts/";

//! Prefix of the epochs, one key a service.
inline constexpr std::string_view kEpochPrefix = "/radishladder/epochs/";

//! The platform's list of VMs: a JSON array of {name, dataCentre, data, peer, requests, admin,
//! leaving}.
inline constexpr std::string_view kVmListKey = "/platform/vms";
}
