#pragma once

#include "fence.h"
#include "units.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Target leases on ranges of a numeric key space: the report in a target's
 * heartbeat and the grant in the node's answer. Used if the document delivers
 * grants by heartbeat.
 */
namespace nutmeghinge {

/** Size of the numeric key space; keys are 0 to one less than this. */
inline constexpr std::uint32_t numericKeys = 65536;

/** Keys that the target holds, or on which its requests still run. */
struct HeldRange {
    std::uint32_t first = 0;
    /** Inclusive. */
    std::uint32_t last = 0;
    Fence fence;

    friend bool operator==(const HeldRange &, const HeldRange &) = default;
};

/** Keys that the target has released since its last answered heartbeat. */
struct ReleasedRange {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    /** Opaque token that lets the next holder take over the target's state. */
    std::string handover;

    friend bool operator==(const ReleasedRange &, const ReleasedRange &) = default;
};

/** The target's report of its keys in a heartbeat. */
struct TargetLeaseReport {
    std::vector<HeldRange> held;
    std::vector<ReleasedRange> released;
};

/** Keys granted to the target. */
struct GrantedRange {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    Fence fence;
    /** Handover token of the last holder; empty if there is none. */
    std::string handover;

    friend bool operator==(const GrantedRange &, const GrantedRange &) = default;
};

/** All keys that the target may hold from now on; it releases all others. */
struct TargetLeaseGrant {
    std::vector<GrantedRange> ranges;
    /** Length of the target lease, counted by the target from the time it sent its heartbeat. */
    Duration holdTime{0};
};

} // namespace nutmeghinge
