#pragma once

#include "fence.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace nutmeghinge {

/** Fences that a target has seen. */
class TargetFences
{
public:
    /** Takes a grant. Returns the newer fence where the grant is older than one taken before. */
    std::optional<Fence> grant(const Fence &fence, const std::vector<std::uint32_t> &shards);
    /** Takes a request's fence. Returns the newer fence where the shard has seen one. */
    std::optional<Fence> check(std::uint32_t shard, const Fence &fence);

private:
    Fence m_granted;
    std::map<std::uint32_t, Fence> m_highest;
};

} // namespace nutmeghinge
