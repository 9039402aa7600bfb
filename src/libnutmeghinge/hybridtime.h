#pragma once

#include "units.h"

#include <compare>
#include <cstdint>

namespace nutmeghinge {

/**
 * Hybrid logical clock: orders records of all nodes by cause, close to the time
 * of day. Travels with every message between nodes.
 */
struct HybridTime {
    WallTime wall;
    std::uint32_t counter = 0;

    friend constexpr auto operator<=>(const HybridTime &, const HybridTime &) = default; // NOLINT(modernize-use-nullptr)
    friend constexpr bool operator==(const HybridTime &, const HybridTime &) = default;
};

} // namespace nutmeghinge
