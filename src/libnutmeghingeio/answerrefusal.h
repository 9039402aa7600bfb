#pragma once

#include "events.h"
#include "httpmessage.h"

#include <optional>
#include <variant>

namespace nutmeghinge {

/** Kind of server that an attempt is sent to. */
enum class AttemptDestination : std::uint8_t {
    Target,
    Peer,
};

/**
 * Returns the refusal that the header wire::outcome of an answer states;
 * std::nullopt if the answer is not a refusal and goes to the caller.
 */
std::optional<std::variant<AttemptNotRun, AttemptUnknown>> refusalOf(const HttpAnswerHead &head, AttemptDestination from);

} // namespace nutmeghinge
