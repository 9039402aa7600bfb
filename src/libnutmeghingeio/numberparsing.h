#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace nutmeghinge {

/** The number that the text is, digits alone; nothing for any other text or one out of range. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace nutmeghinge
