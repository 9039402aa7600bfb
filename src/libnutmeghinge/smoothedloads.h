#pragma once

#include "memberload.h"
#include "ownershipmap.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/**
 * Load of each shard, averaged over the latest reports. A report of one second
 * counts few requests a shard, and moves that chase its noise cost more than an
 * uneven load.
 */
class SmoothedLoads
{
public:
    /** Takes a member's report of all shards that it serves; an empty list is no report. */
    void note(MemberSlot from, const std::vector<ShardLoad> &report, const OwnershipMap &map);
    /** Requests a second, times 1000, by shard. */
    std::vector<std::uint64_t> loads(std::size_t shards) const;

private:
    std::vector<double> m_loads;
};

} // namespace nutmeghinge
