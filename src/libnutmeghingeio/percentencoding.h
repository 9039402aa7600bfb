#pragma once

#include <string>
#include <string_view>

namespace nutmeghinge {

/** Returns the text for a URL's path or query, with all characters but letters, digits and "-._~/" percent-encoded. */
std::string percentEncode(std::string_view text);
/** Returns the decoded text. Invalid sequences are left unchanged. */
std::string percentDecode(std::string_view text);

} // namespace nutmeghinge
