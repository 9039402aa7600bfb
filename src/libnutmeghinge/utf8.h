#pragma once

#include <cstddef>
#include <string_view>

namespace nutmeghinge {

/**
 * Returns the position of the first character that is a control character (other than
 * tabs and line ends) or is not valid UTF-8; npos if there is none.
 */
std::size_t findUnprintable(std::string_view text);

} // namespace nutmeghinge
