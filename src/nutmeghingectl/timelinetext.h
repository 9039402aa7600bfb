#pragma once

#include "timelineentry.h"

#include <nlohmann/json.hpp>
#include <string>

namespace nutmeghinge {

/** Entries of the time line as lines of text or as JSON. */
class TimelineText
{
public:
    /** One line without its end: UTC time, counter, node, kind, ids and detail. */
    static std::string toLine(const TimelineEntry &entry);
    static nlohmann::json toJson(const TimelineEntry &entry);
};

} // namespace nutmeghinge
