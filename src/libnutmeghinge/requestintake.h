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
 * key, deadline and Idempotency-Key. Returns a refusal if the request is invalid
 * or cannot be served. The random numbers distribute the requests of a route
 * over its services by weight, and requests without a key over the shards.
 */
std::variant<Request, Refusal> parseRequest(const RequestArrived &arrived, const OwnershipView &ownership, const Event &event, PseudoRandom &random);

} // namespace nutmeghinge
