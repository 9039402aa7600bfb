#pragma once

#include "fence.h"
#include "memberload.h"
#include "ownershipmap.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/**
 * Load of each shard as an exponentially weighted average of the members'
 * reports. A report covers one second and few requests per shard; moving shards
 * in response to its noise would cost more than an uneven load.
 *
 * A new coordinator knows no load, and nobody reports the shards of members that
 * have ended. A shard whose load is not known counts as an average one until its
 * owner reports it, so that no member is given many of them as if they were idle.
 */
class SmoothedLoads
{
public:
    /** Adds a member's report of all shards that it serves. Ignores an empty report. */
    void addReport(MemberSlot from, const std::vector<ShardLoad> &report, const OwnershipMap &map);
    /** Returns requests per second, times 1000, by shard; the mean of the known loads for a shard whose load is not known. */
    std::vector<std::uint64_t> loads(std::size_t shards) const;

private:
    struct Load {
        bool known = false;
        /** Requests per second, times 1000. */
        double average = 0;
        /** Fence of the grant that the latest report was made under. */
        Fence reportedUnder;
    };

    void addLoad(Load &load, double reported, const ShardOwnership &entry, const OwnershipMap &map);
    double meanOfKnown() const;

    std::vector<Load> m_loads;
};

} // namespace nutmeghinge
