#pragma once

#include <string_view>

namespace nutmeghinge {

/** HTML of the page before the JSON with its marks. */
extern const std::string_view timelineHead;
/** HTML of the page after the JSON. */
extern const std::string_view timelineTail;

} // namespace nutmeghinge
