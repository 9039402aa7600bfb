#pragma once

#include "timelinerecord.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace nutmeghinge {

/**
 * The node's latest time line records, in memory. Drops the oldest when full.
 * Records of requests are kept apart, so that load cannot push out those of ownership.
 */
class TimelineRing
{
public:
    /** Keeps this many records of requests, and as many others. */
    explicit TimelineRing(std::size_t capacity);

    void add(TimelineRecord record);
    /** What is still kept of one request, oldest first. */
    std::vector<TimelineRecord> recordsOf(RequestId request) const;
    /**
     * JSON object with the records numbered above `since`, oldest first, and the
     * number to ask with next.
     */
    std::string toJson(std::uint64_t since, const std::string &node, std::uint64_t incarnation) const;

private:
    struct Entry {
        std::uint64_t number = 0;
        TimelineRecord record;
    };

    std::size_t m_capacity;
    std::uint64_t m_lastNumber = 0;
    std::deque<Entry> m_requests;
    std::deque<Entry> m_others;
};

} // namespace nutmeghinge
