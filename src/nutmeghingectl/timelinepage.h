#pragma once

#include "timelineentry.h"

#include <string>
#include <vector>

namespace nutmeghinge {

/** Writes a timeline as a self-contained HTML page. */
class TimelinePage
{
public:
    /** Returns the page. Entries must be sorted by isEarlier(). Many requests are shown as counts per second. */
    static std::string toHtml(const std::vector<TimelineEntry> &entries);
    /** Writes the page to a file. Returns whether that succeeded. */
    static bool write(const std::string &path, const std::vector<TimelineEntry> &entries);
};

} // namespace nutmeghinge
