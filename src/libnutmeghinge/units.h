#pragma once

#include <chrono>
#include <cstdint>

/**
 * Units of time and size shared by every module.
 */
namespace nutmeghinge {

/** Length of time; microseconds. */
using Duration = std::chrono::microseconds;

/** Clock of MonotonicTime. It has no now(): time arrives in events. */
struct MonotonicClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

/** Time on one node's monotonic clock; not comparable between nodes. */
using MonotonicTime = MonotonicClock::time_point;
/** Time of day, UTC; for schedules in documents and for people, never for leases. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace nutmeghinge
