#pragma once

#include "notrunreason.h"
#include "units.h"

#include <cstdint>
#include <string>

namespace nutmeghinge {

/** A refusal of a request by the node: the HTTP status, the reason and the details for the caller. */
struct Refusal {
    std::uint16_t status = 503;
    NotRunReason reason = NotRunReason::Overloaded;
    /** Time after which the caller may retry; zero if a retry is of no use. */
    Duration retryAfter{0};
    std::string detail;
};

} // namespace nutmeghinge
