#pragma once

#include "timelineentry.h"

#include <cstdint>
#include <istream>
#include <vector>

namespace nutmeghinge {

/**
 * Reads timeline entries from the JSON logs of nodes. A log collector may have added a
 * prefix to each line, and lines of several nodes and runs may be mixed.
 */
class LogReader
{
public:
    /** Reads all lines of a log. */
    void add(std::istream &log);
    /** Returns the entries read since the last call, sorted by isEarlier(). */
    std::vector<TimelineEntry> takeEntries();
    /** Number of lines whose JSON object is truncated or invalid. */
    std::uint64_t unreadableLines() const { return m_unreadable; }
    /** Number of lines that a node wrote. */
    std::uint64_t nodeLines() const { return m_nodeLines; }

private:
    void addLine(const std::string &line);

    std::vector<TimelineEntry> m_entries;
    std::uint64_t m_unreadable = 0;
    std::uint64_t m_nodeLines = 0;
};

} // namespace nutmeghinge
