#pragma once

#include "units.h"

#include <compare>
#include <cstdint>

namespace nutmeghinge {

/**
 * Timestamp of a hybrid logical clock: orders the records of all nodes causally
 * and stays close to the time of day. Part of every message between nodes.
 */
struct HybridTime {
    WallTime wall;
    /** Orders events with the same wall time. */
    std::uint32_t counter = 0;

    friend constexpr auto operator<=>(const HybridTime &, const HybridTime &) = default; // NOLINT(modernize-use-nullptr)
    friend constexpr bool operator==(const HybridTime &, const HybridTime &) = default;
};

} // namespace nutmeghinge
