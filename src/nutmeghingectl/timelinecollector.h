#pragma once

#include "jsonreader.h"
#include "timelineentry.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmeghinge {

/** Selects entries of a timeline; a field that is not set matches all entries. */
struct TimelineFilter {
    std::optional<std::uint64_t> shard;
    std::optional<std::uint64_t> request;
    std::optional<std::string> node;

    bool matches(const TimelineEntry &entry) const;
};

/** Merges the timelines of several nodes, which are read in several answers each. */
class TimelineCollector
{
public:
    TimelineCollector(std::size_t nodes, TimelineFilter filter);

    /** Returns the record number from which to request the next part of the node's timeline. */
    std::uint64_t since(std::size_t node) const { return m_positions[node].next; }
    /**
     * Adds the entries of a node's answer. A node that was restarted numbers its records
     * from the start: its answer is discarded, and since() is reset to 0. Returns an error
     * if the body is invalid.
     */
    std::optional<JsonError> add(std::size_t node, std::string_view body);
    /** Returns the entries added since the last call, sorted by isEarlier(). */
    std::vector<TimelineEntry> takeEntries();

private:
    /** How far the timeline of a node has been read. */
    struct Position {
        std::uint64_t incarnation = 0;
        std::uint64_t next = 0;
    };

    TimelineFilter m_filter;
    std::vector<Position> m_positions;
    std::vector<TimelineEntry> m_entries;
};

} // namespace nutmeghinge
