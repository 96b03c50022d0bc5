#pragma once

#include "upstreams/types/vmlist.h"

#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace radishladder::upstreams {

//! This VM's share of what an upstream bears, from the platform's list of VMs alone: shares of all
//! VMs with the same list add up to the whole, whoever is alive. After a change of the list a
//! larger share rests until no VM can still use the old one.
class ShareLedger
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Shares are 0 until a first list was confirmed or has rested.
    ShareLedger(VmName self, std::chrono::milliseconds rest);

    //! The longest time for which a VM may still act on a list that was replaced.
    void setRest(std::chrono::milliseconds duration) { this->rest = duration; }

    //! Takes \a list as the platform's newest.
    void setList(VmList list, TimePoint now);

    //! \a vm has stated that it uses no slot any more; its removal needs no rest.
    void noteReleased(const VmName &vm);
    void forgetReleased(const VmName &vm);

    //! Every listed VM has released what this list takes from it.
    void confirm();

    //! Lets the replaced lists rest from \a now on.
    void prolongRest(TimePoint now);

    //! True if this VM may say that it has released: no VM left the list within the rest.
    bool mayConfirm(TimePoint now) const;

    //! True if larger shares still rest.
    bool isResting(TimePoint now) const;

    //! Identifies the list; equal on all VMs that have the same.
    std::uint64_t listDigest() const;

    //! Share of \a total that this VM may use; among the VMs of \a dataCentre if it has any, among
    //! all if \a dataCentre is empty.
    int share(const std::string &subject, const DataCentreName &dataCentre, int total,
              TimePoint now) const;

    //! VMs with a share of at least one of \a total in the newest list, best rank first.
    std::vector<VmName> holders(const std::string &subject, const DataCentreName &dataCentre,
                                int total) const;

    const VmList &list() const { return this->lists.back().list; }

private:
    struct Position
    {
        int rank = -1;
        int count = 0;
    };
    struct Entry
    {
        VmList list;
        TimePoint replacedAt{};
        mutable std::map<std::string, Position> positions;
    };

    const Position &position(const Entry &entry, const std::string &subject,
                             const DataCentreName &dataCentre) const;

    VmName self;
    std::chrono::milliseconds rest;
    std::deque<Entry> lists;
    TimePoint lastRemoval = TimePoint::min();
    std::set<VmName> released;
};

//! Names of the VMs of \a dataCentre in \a list (of all VMs if it has none or is empty) by
//! rendezvous rank for \a subject.
std::vector<VmName> rankedVms(const VmList &list, const std::string &subject,
                              const DataCentreName &dataCentre);
}
