#pragma once

#include "ids.h"

#include <compare>
#include <cstdint>

namespace nutmeghinge {

/**
 * Fencing token: orders every grant of shards and every map of ownership. A
 * target that checks fences refuses a request with a lower one than it has seen
 * for the shard.
 */
struct Fence {
    Term term;
    std::uint64_t sequence = 0;

    friend constexpr auto operator<=>(const Fence &, const Fence &) = default; // NOLINT(modernize-use-nullptr)
    friend constexpr bool operator==(const Fence &, const Fence &) = default;
};

} // namespace nutmeghinge
