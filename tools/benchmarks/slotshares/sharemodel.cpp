#include "benchmarks/slotshares/sharemodel.h"

#include <cmath>
#include <deque>

namespace radishladder::benchmarks {
namespace {
constexpr int kHosts = 14;
constexpr int kSlotsPerHost = 3;
constexpr int kSlots = kHosts * kSlotsPerHost;
constexpr int kServiceMs = 20;
constexpr int kHopMs = 2;
constexpr int kDeadlineMs = 200;
constexpr int kLeaseMs = 500;
constexpr int kRunMs = 30000;
constexpr double kUnit = 1.0 / 18446744073709551616.0;

std::size_t index(int time)
{
    return static_cast<std::size_t>(time);
}

//! Slots are interchangeable within a VM, so the model counts them per VM.
class Model
{
public:
    explicit Model(const ShareCase &wanted)
        : wanted(wanted), random(wanted.seed), free(static_cast<std::size_t>(wanted.vms)),
          queues(static_cast<std::size_t>(wanted.vms)), finishing(kRunMs + 10 * kDeadlineMs),
          arriving(kRunMs + 10 * kDeadlineMs), returning(kRunMs + 10 * kDeadlineMs)
    {
        for (int slot = 0; slot < kSlots; ++slot) {
            ++this->free[static_cast<std::size_t>(slot % wanted.vms)];
        }
    }

    ShareResult run()
    {
        for (int now = 0; now < kRunMs; ++now) {
            this->finish(now);
            this->returnLoans(now);
            this->arrive(now);
            this->takeHandedOver(now);
            for (std::size_t vm = 0; vm < this->queues.size(); ++vm) {
                this->serve(vm, now);
            }
        }
        const double borne = std::min(this->wanted.load, 1.0);
        const double capacity = static_cast<double>(kSlots) * kRunMs / kServiceMs;
        const double requests = std::max(this->requests, 1);
        return {this->answered / (capacity * borne), this->refused / requests,
                this->messages / requests, this->overloads};
    }

private:
    struct Waiting
    {
        int deadline;
        bool wasHandedOver;
    };
    struct Loan
    {
        std::size_t lender;
        std::size_t borrower;
    };

    double uniform() { return static_cast<double>(this->random.next()) * kUnit; }

    std::size_t anyVm()
    {
        return static_cast<std::size_t>(this->random.next()
                                        % static_cast<std::uint64_t>(this->wanted.vms));
    }

    void arrive(int now)
    {
        const double perMs = this->wanted.load * kSlots / kServiceMs;
        for (double left = -std::log(1 - this->uniform()); left < perMs;
             left -= std::log(1 - this->uniform())) {
            ++this->requests;
            const bool isSkewed = this->uniform() < this->wanted.skew;
            this->place(isSkewed ? 0 : this->anyVm(), {now + kDeadlineMs, false}, now);
        }
    }

    void takeHandedOver(int now)
    {
        for (const auto &[vm, request] : this->arriving[index(now)]) {
            this->queues[vm].push_back(request);
        }
    }

    void place(std::size_t vm, const Waiting &request, int now)
    {
        const int behind = static_cast<int>(this->queues[vm].size()) - this->free[vm];
        const bool isFull = behind >= 0;
        const bool isLate = this->wanted.policy == SharePolicy::FixedHandOverLate;
        const bool handsOver = isLate || this->wanted.policy == SharePolicy::FixedHandOver;
        if (handsOver && behind >= (isLate ? kSlots / this->wanted.vms : 0)) {
            ++this->messages;
            this->arriving[index(now + kHopMs)].push_back(
                {this->anyVm(), {request.deadline, true}});
            return;
        }
        if (isFull && this->wanted.policy == SharePolicy::Lent) {
            this->borrow(vm, now);
        }
        this->queues[vm].push_back(request);
    }

    //! Asks one VM, as a VM cannot know who is idle.
    void borrow(std::size_t borrower, int now)
    {
        const std::size_t lender = this->anyVm();
        this->messages += 2;
        const bool isIdle = this->free[lender] > static_cast<int>(this->queues[lender].size()) + 1;
        if (lender == borrower || !isIdle) {
            return;
        }
        --this->free[lender];
        ++this->free[borrower];
        this->returning[index(now + kLeaseMs)].push_back({lender, borrower});
    }

    //! A slot in use at the end of its lease goes back when its request has ended.
    void returnLoans(int now)
    {
        for (const Loan &loan : this->returning[index(now)]) {
            if (this->free[loan.borrower] <= 0) {
                this->returning[index(now + 1)].push_back(loan);
                continue;
            }
            ++this->messages;
            --this->free[loan.borrower];
            ++this->free[loan.lender];
        }
    }

    void serve(std::size_t vm, int now)
    {
        auto &queue = this->queues[vm];
        while (!queue.empty()) {
            if (queue.front().deadline < now + kServiceMs) {
                ++this->refused;
                queue.pop_front();
                continue;
            }
            if (this->free[vm] <= 0) {
                return;
            }
            queue.pop_front();
            --this->free[vm];
            ++this->inUse;
            this->overloads += this->inUse > kSlots ? 1 : 0;
            this->finishing[index(now + kServiceMs)].push_back(vm);
        }
    }

    void finish(int now)
    {
        for (const std::size_t vm : this->finishing[index(now)]) {
            ++this->free[vm];
            --this->inUse;
            ++this->answered;
        }
    }

    ShareCase wanted;
    SeededRandom random;
    std::vector<int> free;
    std::vector<std::deque<Waiting>> queues;
    std::vector<std::vector<std::size_t>> finishing;
    std::vector<std::vector<std::pair<std::size_t, Waiting>>> arriving;
    std::vector<std::vector<Loan>> returning;
    int requests = 0;
    int answered = 0;
    int refused = 0;
    int messages = 0;
    int inUse = 0;
    int overloads = 0;
};
}

ShareResult runShareModel(const ShareCase &wanted)
{
    return Model(wanted).run();
}
}
