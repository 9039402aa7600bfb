#pragma once

#include "units.h"

#include <compare>
#include <cstdint>

namespace nutmeghinge {

/**
 * Place of a waiting request: those that can still be answered within their
 * objective before those that cannot, the urgent before the less urgent, and the
 * one whose objective ends first before the others. Answers the load of a burst
 * or of a hot key: in the order of arrival all requests would be served late.
 */
struct QueueRank {
    /** The objective cannot be met any more. */
    bool late = false;
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** End of the objective; of a late request its deadline. */
    MonotonicTime dueAt;
    /** Order of arrival among equals. */
    std::uint64_t number = 0;

    friend auto operator<=>(const QueueRank &, const QueueRank &) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace nutmeghinge
