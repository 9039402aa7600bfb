#pragma once

#include "units.h"

#include <cstdint>

namespace nutmeghinge {

struct RequestRoute;

/**
 * Returns the work class of the route's requests. Routes with the same objective and idempotency share a class, because routes
 * for similar requests differ in name and prefix only.
 */
std::uint32_t workClassOf(const RequestRoute &route);
/** Returns the objective of the routes that share the work class; zero if they have none. */
Duration objectiveOf(std::uint32_t workClass);

} // namespace nutmeghinge
