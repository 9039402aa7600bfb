#pragma once

#include "notrunreason.h"

#include <optional>
#include <string_view>

namespace nutmeghinge {

/** Returns the reason's name in the header wire::reason. */
std::string_view nameOf(NotRunReason reason);
/** Returns the reason with the name; std::nullopt if there is none. */
std::optional<NotRunReason> notRunReasonOf(std::string_view name);

} // namespace nutmeghinge
