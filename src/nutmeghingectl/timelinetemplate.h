#pragma once

#include <string_view>

namespace nutmeghinge {

/** HTML of the timeline page before the JSON list of its marks. */
extern const std::string_view timelineHead;
/** HTML of the timeline page after that list. */
extern const std::string_view timelineTail;

} // namespace nutmeghinge
