#pragma once

#include "fence.h"
#include "units.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * How a target that holds ranges of a numeric key space tells of them, and what
 * the node answers. Used where the document delivers grants by heartbeat.
 */
namespace nutmeghinge {

/** Keys of a numeric key space lie from 0 to one less than this. */
inline constexpr std::uint32_t numericKeys = 65536;

/** Keys that the target holds, or still works on. */
struct HeldRange {
    std::uint32_t first = 0;
    /** Included. */
    std::uint32_t last = 0;
    Fence fence;

    friend bool operator==(const HeldRange &, const HeldRange &) = default;
};

/** Keys that the target has given up since its last answered heartbeat. */
struct ReleasedRange {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    /** Lets the next holder begin warm; opaque. */
    std::string handover;

    friend bool operator==(const ReleasedRange &, const ReleasedRange &) = default;
};

/** What a heartbeat of the target says of its keys. */
struct HoldReport {
    std::vector<HeldRange> held;
    std::vector<ReleasedRange> released;
};

/** Keys that the target is to hold. */
struct GrantedRange {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    Fence fence;
    /** Of the last holder; empty where there is none. */
    std::string handover;

    friend bool operator==(const GrantedRange &, const GrantedRange &) = default;
};

/** All that the target is to hold from now on; it releases the rest. */
struct HoldGrant {
    std::vector<GrantedRange> ranges;
    /** Counted by the target from when it sent its heartbeat. */
    Duration holdTime{0};
};

} // namespace nutmeghinge
