#pragma once

#include "timelineentry.h"

#include <cstdint>
#include <istream>
#include <vector>

namespace nutmeghinge {

/**
 * Reads time line entries out of nodes' JSON logs. A line may carry a prefix of
 * whoever collected it. Lines of several nodes and runs may be mixed.
 */
class LogReader
{
public:
    void add(std::istream &log);
    /** The entries so far, in the order of their causes. */
    std::vector<TimelineEntry> takeEntries();
    /** Lines with a JSON object that was cut or is none. */
    std::uint64_t unreadableLines() const { return m_unreadable; }
    /** Lines of nodes. */
    std::uint64_t nodeLines() const { return m_nodeLines; }

private:
    void addLine(const std::string &line);

    std::vector<TimelineEntry> m_entries;
    std::uint64_t m_unreadable = 0;
    std::uint64_t m_nodeLines = 0;
};

} // namespace nutmeghinge
