#pragma once

#include "memberload.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/** Converts a number of requests in the elapsed time to requests per second, times 1000. */
std::uint64_t milliRate(std::uint64_t count, Duration elapsed);

/** Counts the requests of each shard between two load reports. */
class LoadMeter
{
public:
    /** Counts one request of a shard. */
    void count(ShardIndex shard);
    /** Returns the rates of all shards with requests since the last call, and resets the counts. */
    std::vector<ShardLoad> take(Duration elapsed);

private:
    /** Number of requests by shard. */
    std::vector<std::uint32_t> m_counts;
    /** Shards with requests. */
    std::vector<ShardIndex> m_counted;
};

} // namespace nutmeghinge
