#pragma once

#include "units.h"

#include <compare>
#include <cstdint>

namespace nutmeghinge {

/**
 * Rank of a waiting request. Requests that can still be answered within their
 * objective are served before those that cannot, then by priority, then by
 * earliest end of the objective. This is for bursts and hot keys: if requests
 * were served in order of arrival, all of them would be late.
 */
struct QueueRank {
    /** The request can no longer be answered within its objective. */
    bool late = false;
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** End of the objective; for a late request its deadline. */
    MonotonicTime dueAt;
    /** Sequence number of arrival; decides between otherwise equal requests. */
    std::uint64_t arrivalNumber = 0;

    friend auto operator<=>(const QueueRank &, const QueueRank &) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace nutmeghinge
