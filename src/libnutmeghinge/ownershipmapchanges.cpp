#include "ownershipmapchanges.h"

#include <algorithm>

namespace nutmeghinge {

bool OwnershipMapChanges::applyTo(OwnershipMap &map) const
{
    const bool isBetween = map.version.term == version.term && map.version >= base && map.version <= version;
    const bool hasShards = std::all_of(
        runs.begin(), runs.end(), [&](const ShardRun &run) { return run.count <= map.shards.size() && run.first.value() <= map.shards.size() - run.count; });
    if ((map.version != base && !isBetween) || !hasShards) {
        return false;
    }
    for (const ShardRun &run : runs) {
        std::fill_n(map.shards.begin() + run.first.value(), run.count, run.ownership);
    }
    map.version = version;
    return true;
}

} // namespace nutmeghinge
