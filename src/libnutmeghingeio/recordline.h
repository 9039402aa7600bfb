#pragma once

#include "timelinerecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/**
 * Time line records as the text of a log line, and back: the kind, then fields as
 * name=value, then the detail. Field names: request, id (the caller's), shard,
 * member, document, fence (TERM.SEQUENCE), at (milliseconds since 1970, then the
 * counter of the hybrid clock).
 */
std::string recordToLine(const TimelineRecord &record);
/** Nothing where the text is not such a line. */
std::optional<TimelineRecord> recordFromLine(std::string_view line);

} // namespace nutmeghinge
