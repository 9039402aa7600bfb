#pragma once

#include "timelinerecord.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace nutmeghinge {

/**
 * Holds the node's latest timeline records in memory and drops the oldest when full.
 * Records about requests are kept separately, so that load cannot displace those
 * about ownership.
 */
class TimelineRing
{
public:
    /** @param capacity maximum number of records about requests, and also of other records */
    explicit TimelineRing(std::size_t capacity);

    void add(TimelineRecord record);
    /** Returns the records still held about one request, oldest first. */
    std::vector<TimelineRecord> recordsOf(RequestId request) const;
    /**
     * Returns a JSON object with the records numbered above `since`, oldest first,
     * and in "next" the number to pass as `since` in the next call.
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
