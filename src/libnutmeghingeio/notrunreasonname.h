#pragma once

#include "notrunreason.h"

#include <optional>
#include <string_view>

namespace nutmeghinge {

/** Name of the reason in the header wire::reason. */
std::string_view nameOf(NotRunReason reason);
/** Reason of that name; nothing where there is none. */
std::optional<NotRunReason> notRunReasonOf(std::string_view name);

} // namespace nutmeghinge
