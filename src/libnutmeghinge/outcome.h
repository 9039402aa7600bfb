#pragma once

#include <cstdint>

namespace nutmeghinge {

/** What is known of a request that has no answer of the target. */
enum class Outcome : std::uint8_t {
    /** No byte can have reached the target, or the target refused it. */
    NotRun,
    /** The target may have run it. */
    Unknown,
};

} // namespace nutmeghinge
