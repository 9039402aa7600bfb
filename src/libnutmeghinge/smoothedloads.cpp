#include "smoothedloads.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Weight of the newest report in the average. */
constexpr double newestWeight = 0.4;

} // namespace

void SmoothedLoads::addReport(MemberSlot from, const std::vector<ShardLoad> &report, const OwnershipMap &map)
{
    if (report.empty()) {
        return;
    }
    m_loads.resize(map.shards.size(), 0);
    for (std::size_t shard = 0; shard < m_loads.size(); ++shard) {
        if (map.shards[shard].owner == from) {
            m_loads[shard] *= 1 - newestWeight;
        }
    }
    for (const ShardLoad &load : report) {
        if (load.shard.value() < m_loads.size() && map.shards[load.shard.value()].owner == from) {
            m_loads[load.shard.value()] += newestWeight * static_cast<double>(load.milliRequestsPerSecond);
        }
    }
}

std::vector<std::uint64_t> SmoothedLoads::loads(std::size_t shards) const
{
    std::vector<std::uint64_t> result(shards, 0);
    for (std::size_t shard = 0; shard < std::min(shards, m_loads.size()); ++shard) {
        result[shard] = static_cast<std::uint64_t>(m_loads[shard]);
    }
    return result;
}

} // namespace nutmeghinge
