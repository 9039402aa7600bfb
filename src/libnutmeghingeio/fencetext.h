#pragma once

#include "fence.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/** Returns the fence as "TERM.SEQUENCE", the form used in HTTP headers and bodies. */
std::string fenceToText(const Fence &fence);
/** Parses a fence written as "TERM.SEQUENCE". Returns std::nullopt if the text is invalid. */
std::optional<Fence> fenceFromText(std::string_view text);

} // namespace nutmeghinge
