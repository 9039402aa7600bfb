#include "loadmeter.h"

#include <algorithm>

namespace nutmeghinge {

std::uint64_t milliRate(std::uint64_t count, Duration elapsed)
{
    constexpr std::uint64_t milliPerSecond = 1000;
    constexpr std::uint64_t microsecondsPerSecond = 1000000;
    return count * milliPerSecond * microsecondsPerSecond / static_cast<std::uint64_t>(std::max<Duration::rep>(elapsed.count(), 1));
}

void LoadMeter::count(ShardIndex shard)
{
    if (shard.value() >= m_counts.size()) {
        m_counts.resize(shard.value() + std::size_t(1));
    }
    if (m_counts[shard.value()]++ == 0) {
        m_counted.push_back(shard);
    }
}

std::vector<ShardLoad> LoadMeter::take(Duration elapsed)
{
    std::vector<ShardLoad> loads;
    loads.reserve(m_counted.size());
    for (const ShardIndex shard : m_counted) {
        loads.push_back({shard, milliRate(m_counts[shard.value()], elapsed)});
        m_counts[shard.value()] = 0;
    }
    m_counted.clear();
    return loads;
}

} // namespace nutmeghinge
