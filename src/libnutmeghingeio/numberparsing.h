#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace nutmeghinge {

/** Parses a number that consists of digits only. Returns std::nullopt for any other text or a number out of range. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace nutmeghinge
