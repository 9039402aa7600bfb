#pragma once

#include "memberload.h"
#include "ownershipmap.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/**
 * Load of each shard as an exponentially weighted average of the members'
 * reports. A report covers one second and few requests per shard; moving shards
 * in response to its noise would cost more than an uneven load.
 */
class SmoothedLoads
{
public:
    /** Adds a member's report of all shards that it serves. Ignores an empty report. */
    void addReport(MemberSlot from, const std::vector<ShardLoad> &report, const OwnershipMap &map);
    /** Returns requests per second, times 1000, by shard. */
    std::vector<std::uint64_t> loads(std::size_t shards) const;

private:
    /** Requests per second, times 1000, by shard. */
    std::vector<double> m_loads;
};

} // namespace nutmeghinge
