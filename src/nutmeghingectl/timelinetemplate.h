#pragma once

#include <string_view>

namespace nutmeghinge {

/** The page up to the JSON of its marks. */
extern const std::string_view timelineHead;
/** The page after it. */
extern const std::string_view timelineTail;

} // namespace nutmeghinge
