#pragma once

#include "requests/internal/job.h"

#include <map>
#include <memory>
#include <vector>

namespace radishladder::requests {

//! Requests that wait for a slot: highest priority first, then the earliest deadline. Bounded.
class WaitingQueue
{
public:
    using JobPointer = std::shared_ptr<Job>;

    explicit WaitingQueue(std::size_t limit) : limit(limit) { }

    //! Adds \a job; the job that has to go instead if the queue is full (\a job itself if it ranks
    //! last), otherwise nullptr.
    JobPointer push(JobPointer job);

    //! Takes out every job for which \a start returns true, in order; at most one failure a
    //! service.
    template <typename Start>
    void offer(const Start &start)
    {
        std::set<ServiceName> full;
        for (auto it = this->jobs.begin(); it != this->jobs.end();) {
            const ServiceName &service = it->second->service.name;
            if (!full.contains(service) && start(it->second)) {
                it = this->jobs.erase(it);
                continue;
            }
            // A retry may only go to upstreams not tried before, so others may still start.
            if (it->second->tried.empty()) {
                full.insert(service);
            }
            ++it;
        }
    }

    //! Removes the jobs for which \a predicate holds.
    template <typename Predicate>
    std::vector<JobPointer> removeIf(const Predicate &predicate)
    {
        std::vector<JobPointer> removed;
        std::erase_if(this->jobs, [&](const auto &item) {
            const bool matches = predicate(*item.second);
            if (matches) {
                removed.push_back(item.second);
            }
            return matches;
        });
        return removed;
    }

    //! Jobs of the same service that would be served before \a job.
    std::size_t ahead(const Job &job) const;

    std::size_t size() const { return this->jobs.size(); }

private:
    struct Order
    {
        int negatedPriority;
        Job::TimePoint deadline;
        std::uint64_t number;
        auto operator<=>(const Order &) const = default;
    };

    static Order orderOf(const Job &job);

    std::size_t limit;
    std::map<Order, JobPointer> jobs;
};
}
