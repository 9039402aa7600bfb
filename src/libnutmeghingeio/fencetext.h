#pragma once

#include "fence.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/** The fence as "TERM.SEQUENCE", as HTTP headers and bodies carry it. */
std::string fenceToText(const Fence &fence);
/** Nothing where the text is no fence. */
std::optional<Fence> fenceFromText(std::string_view text);

} // namespace nutmeghinge
