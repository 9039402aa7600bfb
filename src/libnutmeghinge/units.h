#pragma once

#include <chrono>
#include <cstdint>

/**
 * Time types shared by all modules.
 */
namespace nutmeghinge {

/** Duration in microseconds. */
using Duration = std::chrono::microseconds;

/** Clock type of MonotonicTime. It has no now(), because events carry the time. */
struct MonotonicClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

/** Time on the monotonic clock of one node; not comparable between nodes. */
using MonotonicTime = MonotonicClock::time_point;
/** UTC wall-clock time. Used for schedules in documents and for display, never for leases. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace nutmeghinge
