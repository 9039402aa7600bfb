#pragma once

#include "ids.h"
#include "queuerank.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmeghinge {

/** Priority queue of waiting requests, ordered by rank, with the expected work of each. */
class RankedQueue
{
public:
    /** Adds a request. Its rank must be unique. work: expected time in a slot of the target. */
    void push(RequestId id, const QueueRank &rank, Duration work);
    std::optional<RequestId> pop();
    void remove(const QueueRank &rank);
    /** Removes and returns all requests, ordered by rank. */
    std::vector<RequestId> takeAll();

    /** Returns the request that pop() would remove; the queue must not be empty. */
    RequestId front() const { return m_entries.begin()->second.id; }
    std::uint32_t size() const { return static_cast<std::uint32_t>(m_entries.size()); }
    bool isEmpty() const { return m_entries.empty(); }
    /** Returns the total work of the requests that are served before a request of this rank. */
    Duration workBefore(const QueueRank &rank) const;
    /** Returns the number of requests that are served before a request of this rank. */
    std::size_t countBefore(const QueueRank &rank) const;
    /** Returns the total work of all requests. */
    Duration work() const { return m_work; }

private:
    struct Entry {
        RequestId id;
        Duration work{0};
    };

    std::map<QueueRank, Entry> m_entries;
    Duration m_work{0};
};

} // namespace nutmeghinge
