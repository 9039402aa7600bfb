#pragma once

#include "events.h"
#include "refusal.h"
#include "request.h"

#include <variant>

namespace nutmeghinge {

class OwnershipView;

/**
 * Checks an arrived request against the document in force and reads its key,
 * deadline and Idempotency-Key.
 */
std::variant<Request, Refusal> takeInRequest(const RequestArrived &arrived, const OwnershipView &ownership, const Event &event);

} // namespace nutmeghinge
