#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace radishladder::radishbench {

//! What a run showed; empty where a measure does not apply.
struct Measures
{
    std::uint64_t flows = 0;
    std::uint64_t flowsNotOpened = 0;

    //! Every lost flow but those given up.
    std::uint64_t brokenFlows = 0;

    //! The broken ones whose upstream was killed during their life; no balancer can save them.
    std::uint64_t brokenWithUpstream = 0;

    std::uint64_t givenUpFlows = 0;
    std::map<std::string, std::uint64_t> brokenByCause;
    std::uint64_t misdelivered = 0;

    std::uint64_t runTwice = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t badAnswers = 0;
    std::uint64_t cutRequests = 0;
    //! Answers other than the whole one, by result code; 0: none was stated.
    std::map<int, std::uint64_t> answersByCode;

    std::uint64_t refusedRequests = 0;
    std::uint64_t failedRequests = 0;
    std::uint64_t unreachableRequests = 0;
    std::uint64_t requests = 0;
    std::uint64_t lookups = 0;
    std::uint64_t uploads = 0;

    //! Lookups answered over lookups sent.
    std::optional<double> answeredRatio;
    std::optional<double> answeredRatioUploads;

    //! The same for everything that must run at most once.
    std::optional<double> answeredRatioNonIdempotent;

    //! Answered over what the upstreams bear, under overload.
    std::optional<double> goodputOverCapacity;

    std::optional<double> imbalance;
    std::optional<std::uint64_t> coldOverload;
    std::optional<std::uint64_t> unwarnedOverload;
    std::optional<double> secondsToLastPacket;
    std::optional<double> secondsToLastRequest;
    std::optional<double> secondsToLastRelay;
    std::optional<double> secondsToLastNewWork;
    std::optional<double> secondsToConfig;
    std::optional<std::uint64_t> configReverted;
    std::optional<double> controlBytesPerVmSecond;
    std::optional<double> controlBytesPerVmSecondIdle;

    //! Calls of all VMs together to the platform's store.
    std::optional<double> storeCallsPerSecond;
    std::optional<double> controlDatagramsPerVmSecond;

    //! Busiest VM before the load, and during it.
    std::optional<double> cpuCorePercent;
    std::optional<double> cpuCorePercentLoaded;
    std::optional<double> rssMegabytes;
    std::optional<std::uint64_t> vmsRestarted;
    std::optional<double> answeredP50Ms;
    std::optional<double> answeredP99Ms;
};
}
