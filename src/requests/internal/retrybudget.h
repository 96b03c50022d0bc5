#pragma once

namespace radishladder::requests {

//! Lets retries be a tenth of the recent requests, so that they cannot multiply an overload.
class RetryBudget
{
public:
    void noteRequest();

    //! Takes one retry; false if none is left.
    bool take();

private:
    double tokens = 3;
};
}
