#pragma once

#include "events.h"
#include "refusal.h"
#include "request.h"

#include <variant>

namespace nutmeghinge {

class OwnershipView;
class PseudoRandom;

/**
 * Checks an arrived request against the document in force and reads its service,
 * key, deadline and Idempotency-Key. The random numbers share out the requests of
 * a route with several services.
 */
std::variant<Request, Refusal> takeInRequest(const RequestArrived &arrived, const OwnershipView &ownership, const Event &event, PseudoRandom &random);

} // namespace nutmeghinge
