#pragma once

#include "units.h"

#include <optional>
#include <string>
#include <string_view>

/**
 * Times as texts of documents and settings.
 */
namespace nutmeghinge {

/** A whole number with its unit: "250ms", "2s", "10m", "1h" or "50us". Nothing for another text. */
std::optional<Duration> parseDuration(std::string_view text);
/** The duration in the largest unit that leaves no remainder. */
std::string durationText(Duration duration);
/** A UTC time from 1970 on, such as "2027-01-31T18:00:00Z", with milliseconds or without. Nothing for another text. */
std::optional<WallTime> parseWallTime(std::string_view text);
/** The time as parseWallTime() reads it; milliseconds are left out where they are zero. */
std::string wallTimeText(WallTime time);

} // namespace nutmeghinge
