#include "requests/internal/retrybudget.h"

#include <algorithm>

namespace radishladder::requests {
namespace {
constexpr double kRetriesPerRequest = 0.1;
constexpr double kMostTokens = 10;
}

void RetryBudget::noteRequest()
{
    this->tokens = std::min(this->tokens + kRetriesPerRequest, kMostTokens);
}

bool RetryBudget::take()
{
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}
}
