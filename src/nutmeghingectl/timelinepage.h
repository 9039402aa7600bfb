#pragma once

#include "timelineentry.h"

#include <string>
#include <vector>

namespace nutmeghinge {

/** The time line as one HTML page that needs nothing else. */
class TimelinePage
{
public:
    /** Entries in the order of the merge. Many requests are shown as counts a second. */
    static std::string toHtml(const std::vector<TimelineEntry> &entries);
    /** Writes the page to a file; false where that fails. */
    static bool write(const std::string &path, const std::vector<TimelineEntry> &entries);
};

} // namespace nutmeghinge
