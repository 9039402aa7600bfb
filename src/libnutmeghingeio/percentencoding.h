#pragma once

#include <string>
#include <string_view>

namespace nutmeghinge {

/** The text for a URL's path or query: all but letters, digits and "-._~/" is percent-encoded. */
std::string percentEncode(std::string_view text);
/** The text that was encoded; a faulty sequence stays as it is. */
std::string percentDecode(std::string_view text);

} // namespace nutmeghinge
