#pragma once

#include "memberload.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/** Requests a second, times 1000. */
std::uint64_t milliRate(std::uint64_t count, Duration elapsed);

/** Counts the requests on each shard between two reports. */
class LoadMeter
{
public:
    void count(ShardIndex shard);
    /** Rates of all shards with requests since the last call; forgets the counts. */
    std::vector<ShardLoad> take(Duration elapsed);

private:
    /** By shard. */
    std::vector<std::uint32_t> m_counts;
    std::vector<ShardIndex> m_counted;
};

} // namespace nutmeghinge
