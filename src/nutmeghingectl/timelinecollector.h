#pragma once

#include "jsonreader.h"
#include "timelineentry.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmeghinge {

/** Which entries to keep; a field that is not set keeps all. */
struct TimelineFilter {
    std::optional<std::uint64_t> shard;
    std::optional<std::uint64_t> request;
    std::optional<std::string> node;

    bool keeps(const TimelineEntry &entry) const;
};

/** Merges the time lines of several nodes, read one answer after the other. */
class TimelineCollector
{
public:
    TimelineCollector(std::size_t nodes, TimelineFilter filter);

    /** Number to ask the node with. */
    std::uint64_t since(std::size_t node) const { return m_positions[node].next; }
    /**
     * Takes the body of a node's answer. A node that was started again numbers its
     * records anew: the answer is dropped then, and since() is 0.
     */
    std::optional<JsonFault> add(std::size_t node, std::string_view body);
    /** The entries since the last call, by wall time, counter and node. */
    std::vector<TimelineEntry> takeEntries();

private:
    struct Position {
        std::uint64_t incarnation = 0;
        std::uint64_t next = 0;
    };

    TimelineFilter m_filter;
    std::vector<Position> m_positions;
    std::vector<TimelineEntry> m_entries;
};

} // namespace nutmeghinge
