#pragma once

#include "ids.h"
#include "queuerank.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmeghinge {

/** Waiting requests in the order of their ranks, with the work that each is expected to be. */
class RankedQueue
{
public:
    /** Ranks differ between requests; work: expected time in a slot. */
    void push(RequestId id, const QueueRank &rank, Duration work);
    std::optional<RequestId> pop();
    void remove(const QueueRank &rank);
    /** Takes all out, in their order. */
    std::vector<RequestId> takeAll();

    /** Request that pop() would return; the queue must not be empty. */
    RequestId front() const { return m_entries.begin()->second.id; }
    std::uint32_t size() const { return static_cast<std::uint32_t>(m_entries.size()); }
    bool isEmpty() const { return m_entries.empty(); }
    /** Work of the requests that go before one of this rank. */
    Duration workBefore(const QueueRank &rank) const;
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
