#pragma once

#include "deployment.h"

namespace review {

//! Counts flows that are reset though the host that has them lives.
class FlowCase
{
public:
    explicit FlowCase(Deployment &deployment) : deployment(deployment)
    {
        deployment.client->setOutcomeHandler(
            [this](const Client::Flow &flow, Client::Outcome outcome) {
                this->check(flow, outcome);
            });
    }

    int count() const { return this->violations; }

    //! Doesn't count resets before \a time, when VMs aren't in touch.
    void judgeFrom(Time time) { this->judgedFrom = time; }

private:
    void check(const Client::Flow &flow, Client::Outcome outcome)
    {
        const std::string name = "flow " + std::to_string(flow.key.client.port);
        if (outcome == Client::Outcome::Answered) {
            return;
        }
        this->deployment.record.write(name + " ends with " + std::to_string(flow.answered) + " of "
                                      + std::to_string(flow.pauses.size()) + " requests answered");
        if (outcome != Client::Outcome::Reset || Clock::now() < this->judgedFrom) {
            return;
        }
        for (const auto &host : this->deployment.hosts) {
            if (host->holds(flow.key)) {
                ++this->violations;
                this->deployment.record.write("BROKEN: " + name + " gets a reset from "
                                              + (flow.isResetByVm ? "a VM" : "another host")
                                              + ", its host " + host->about().name
                                              + " lives and has it");
            }
        }
    }

    Deployment &deployment;
    Time judgedFrom;
    int violations = 0;
};
}
