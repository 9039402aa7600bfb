#pragma once

#include "notrunreason.h"
#include "units.h"

#include <cstdint>
#include <string>

namespace nutmeghinge {

/** Why and how a request is answered by the system itself. */
struct Refusal {
    std::uint16_t status = 503;
    NotRunReason reason = NotRunReason::Overloaded;
    /** Zero where coming again is of no use. */
    Duration retryAfter{0};
    std::string detail;
};

} // namespace nutmeghinge
