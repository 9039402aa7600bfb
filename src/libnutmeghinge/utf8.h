#pragma once

#include <cstddef>
#include <string_view>

namespace nutmeghinge {

/**
 * Position of the first byte that is no part of a printable UTF-8 text, which
 * may hold tabs and line ends; npos where there is none.
 */
std::size_t findUnprintable(std::string_view text);

} // namespace nutmeghinge
