#pragma once

#include "fence.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace nutmeghinge {

/** Highest fences that a target has received: the highest of all grants, and the highest of each shard. */
class TargetFences
{
public:
    /** Records the fence of a grant for its shards. Returns the newer fence, and records nothing, if an earlier grant had a newer one. */
    std::optional<Fence> grant(const Fence &fence, const std::vector<std::uint32_t> &shards);
    /** Records the fence of a request. Returns the newer fence, and records nothing, if the shard has received a newer one. */
    std::optional<Fence> check(std::uint32_t shard, const Fence &fence);

private:
    /** Fence of the newest grant. */
    Fence m_granted;
    /** Highest fence of each shard. */
    std::map<std::uint32_t, Fence> m_highest;
};

} // namespace nutmeghinge
