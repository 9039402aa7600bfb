#pragma once

#include "ids.h"

#include <compare>
#include <cstdint>

namespace nutmeghinge {

/**
 * Fencing token that orders all grants of shards and all versions of the
 * ownership map. A target that checks fences refuses a request whose fence is
 * lower than the highest one it has seen for the shard.
 */
struct Fence {
    /** Number of sequence numbers of a term; a coordinator begins a new term before it has used them all. */
    static constexpr std::uint64_t sequencesPerTerm = std::uint64_t(1) << 14U;

    /** Term of the coordinator. */
    Term term;
    /** Number of the map version within the term. */
    std::uint64_t sequence = 0;

    friend constexpr auto operator<=>(const Fence &, const Fence &) = default; // NOLINT(modernize-use-nullptr)
    friend constexpr bool operator==(const Fence &, const Fence &) = default;
};

} // namespace nutmeghinge
