#include "requests/internal/waitingqueue.h"

#include <algorithm>

namespace radishladder::requests {
WaitingQueue::Order WaitingQueue::orderOf(const Job &job)
{
    return {-job.service.priority, job.deadline, job.number};
}

WaitingQueue::JobPointer WaitingQueue::push(JobPointer job)
{
    const Order order = orderOf(*job);
    this->jobs.emplace(order, std::move(job));
    if (this->jobs.size() <= this->limit) {
        return nullptr;
    }
    auto last = std::prev(this->jobs.end());
    JobPointer evicted = std::move(last->second);
    this->jobs.erase(last);
    return evicted;
}

std::size_t WaitingQueue::ahead(const Job &job) const
{
    const auto end = this->jobs.lower_bound(orderOf(job));
    return static_cast<std::size_t>(std::count_if(this->jobs.begin(), end, [&](const auto &item) {
        return item.second->service.name == job.service.name && item.second->tried.empty();
    }));
}
}
