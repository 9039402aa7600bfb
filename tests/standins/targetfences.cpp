#include "targetfences.h"

namespace nutmeghinge {

std::optional<Fence> TargetFences::grant(const Fence &fence, const std::vector<std::uint32_t> &shards)
{
    if (fence < m_granted) {
        return m_granted;
    }
    m_granted = fence;
    for (const std::uint32_t shard : shards) {
        check(shard, fence);
    }
    return std::nullopt;
}

std::optional<Fence> TargetFences::check(std::uint32_t shard, const Fence &fence)
{
    Fence &highest = m_highest[shard];
    if (fence < highest) {
        return highest;
    }
    highest = fence;
    return std::nullopt;
}

} // namespace nutmeghinge
