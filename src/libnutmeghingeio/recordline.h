#pragma once

#include "timelinerecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/**
 * Formats a timeline record as the text of a log line: the kind, then the fields as
 * name=value, then the detail. Field names: request, id (the caller's), shard,
 * member, document, fence (TERM.SEQUENCE), at (milliseconds since 1970, then the
 * counter of the hybrid clock).
 */
std::string recordToLine(const TimelineRecord &record);
/** Parses a line written by recordToLine(). Returns std::nullopt if the text is not such a line. */
std::optional<TimelineRecord> recordFromLine(std::string_view line);

} // namespace nutmeghinge
