#pragma once

#include <cstdint>

namespace nutmeghinge {

/** What is known about a request that got no answer from the target. */
enum class Outcome : std::uint8_t {
    /** No byte can have reached the target, or the target refused the request. */
    NotRun,
    /** The target may have run the request. */
    Unknown,
};

} // namespace nutmeghinge
