#pragma once

#include "events.h"
#include "httpmessage.h"

#include <optional>
#include <variant>

namespace nutmeghinge {

/** Who answers an attempt. */
enum class AttemptDestination : std::uint8_t {
    Target,
    Peer,
};

/**
 * Reads the refusal out of an answer whose header wire::outcome states one;
 * nothing where the answer is one for the caller.
 */
std::optional<std::variant<AttemptNotRun, AttemptUnknown>> refusalOf(const HttpAnswerHead &head, AttemptDestination from);

} // namespace nutmeghinge
