#include "app/packetcounters.h"

#include "flows/types/flowdecision.h"
#include "telemetry/icounter.h"
#include "telemetry/ihistogram.h"
#include "telemetry/imetrics.h"

namespace radishladder::app {
PacketCounters::PacketCounters(telemetry::IMetrics &metrics)
    : metrics(metrics), forwarded(metrics.counter("packets_forwarded_total")),
      placed(metrics.counter("flows_placed_total")),
      placedAgain(metrics.counter("flows_placed_again_total")),
      malformed(metrics.counter("packets_malformed_total")),
      bytes(metrics.counter("forwarded_bytes_total")),
      openingTime(metrics.histogram("flow_opening_seconds")),
      responseTime(metrics.histogram("request_answer_seconds"))
{ }

void PacketCounters::count(const flows::FlowDecision &decision)
{
    if (decision.action == flows::FlowAction::Forward) {
        this->forwarded.add();
        if (decision.openingTime) {
            this->openingTime.observe(*decision.openingTime);
        }
        if (decision.responseTime) {
            this->responseTime.observe(*decision.responseTime);
        }
        if (decision.isPlaced) {
            (decision.isPlacedAgain ? this->placedAgain : this->placed).add();
            if (decision.spill) {
                this->countSpilled(decision.spill->dataCentre);
            }
        }
        return;
    }
    const bool isReset = decision.action == flows::FlowAction::Reset;
    telemetry::ICounter *&counter = (isReset ? this->resets : this->drops)[decision.reason];
    if (counter == nullptr) {
        counter =
            &this->metrics.counter(isReset ? "packets_reset_total" : "packets_dropped_total",
                                   {{"reason", std::string(resultCodeName(decision.reason))}});
    }
    counter->add();
    if (decision.admission) {
        this->countRefusal(*decision.admission);
    }
}

void PacketCounters::countSpilled(const DataCentreName &dataCentre)
{
    telemetry::ICounter *&counter = this->spilled[dataCentre];
    if (counter == nullptr) {
        counter =
            &this->metrics.counter("flows_spilled_total", {{"data_centre", dataCentre.str()}});
    }
    counter->add();
}

void PacketCounters::countRefusal(const placement::AdmissionDecision &admission)
{
    telemetry::ICounter *&counter = this->refusals[{admission.result, admission.rank}];
    if (counter == nullptr) {
        counter = &this->metrics.counter(
            "flows_refused_total",
            {{"cause", std::string(placement::admissionResultName(admission.result))},
             {"rank", std::to_string(admission.rank)}});
    }
    counter->add();
}

void PacketCounters::countMalformed()
{
    this->malformed.add();
}

void PacketCounters::countBytes(std::size_t count)
{
    this->bytes.add(count);
}
}
