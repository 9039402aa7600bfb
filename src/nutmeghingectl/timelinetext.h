#pragma once

#include "timelineentry.h"

#include <nlohmann/json.hpp>
#include <string>

namespace nutmeghinge {

/** Formats timeline entries as text or JSON. */
class TimelineText
{
public:
    /** Returns one line without a line break: UTC time, counter, node, kind, ids and detail. */
    static std::string toLine(const TimelineEntry &entry);
    static nlohmann::json toJson(const TimelineEntry &entry);
};

} // namespace nutmeghinge
