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
    m_loads.resize(map.shards.size());
    std::vector<double> reported(map.shards.size(), 0);
    for (const ShardLoad &load : report) {
        if (load.shard.value() < reported.size()) {
            reported[load.shard.value()] = static_cast<double>(load.milliRequestsPerSecond);
        }
    }
    for (std::size_t shard = 0; shard < m_loads.size(); ++shard) {
        const ShardOwnership &entry = map.shards[shard];
        // An owner that hands a shard over is asked for it no more, which says nothing about its load.
        if (entry.owner == from && entry.state == ShardOwnership::State::Owned) {
            addLoad(m_loads[shard], reported[shard], entry, map);
        }
    }
}

void SmoothedLoads::addLoad(Load &load, double reported, const ShardOwnership &entry, const OwnershipMap &map)
{
    const bool isFirst = load.reportedUnder != entry.fence;
    load.reportedUnder = entry.fence;
    // The owner of a shard that was granted in this term may have served it for only a part of the time that its first report covers.
    if (isFirst && entry.fence.term == map.version.term) {
        return;
    }
    load.average = load.known ? (1 - newestWeight) * load.average + newestWeight * reported : reported;
    load.known = true;
}

double SmoothedLoads::meanOfKnown() const
{
    double total = 0;
    std::size_t count = 0;
    for (const Load &load : m_loads) {
        total += load.known ? load.average : 0;
        count += load.known ? 1 : 0;
    }
    return count == 0 ? 0 : total / static_cast<double>(count);
}

std::vector<std::uint64_t> SmoothedLoads::loads(std::size_t shards) const
{
    const double mean = meanOfKnown();
    std::vector<std::uint64_t> result(shards, static_cast<std::uint64_t>(mean));
    for (std::size_t shard = 0; shard < std::min(shards, m_loads.size()); ++shard) {
        if (m_loads[shard].known) {
            result[shard] = static_cast<std::uint64_t>(m_loads[shard].average);
        }
    }
    return result;
}

} // namespace nutmeghinge
