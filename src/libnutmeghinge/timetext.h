#pragma once

#include "units.h"

#include <optional>
#include <string>
#include <string_view>

/**
 * Text form of durations and times in documents and settings.
 */
namespace nutmeghinge {

/** Parses a whole number with a unit, such as "250ms", "2s", "10m", "1h" or "50us". Returns nothing if the text is invalid. */
std::optional<Duration> parseDuration(std::string_view text);
/** Formats the duration in the largest unit that leaves no remainder. */
std::string durationText(Duration duration);
/** Parses a UTC time from 1970 on, such as "2027-01-31T18:00:00Z", with or without milliseconds. Returns nothing if the text is invalid. */
std::optional<WallTime> parseWallTime(std::string_view text);
/** Formats the time in the form that parseWallTime() reads; milliseconds are omitted if zero. */
std::string wallTimeText(WallTime time);

} // namespace nutmeghinge
