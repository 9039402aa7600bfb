#include "rankedqueue.h"

#include <iterator>

namespace nutmeghinge {

void RankedQueue::push(RequestId id, const QueueRank &rank, Duration work)
{
    m_entries.emplace(rank, Entry{id, work});
    m_work += work;
}

std::optional<RequestId> RankedQueue::pop()
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    const Entry first = m_entries.begin()->second;
    m_entries.erase(m_entries.begin());
    m_work -= first.work;
    return first.id;
}

void RankedQueue::remove(const QueueRank &rank)
{
    const auto entry = m_entries.find(rank);
    if (entry != m_entries.end()) {
        m_work -= entry->second.work;
        m_entries.erase(entry);
    }
}

std::vector<RequestId> RankedQueue::takeAll()
{
    std::vector<RequestId> ids;
    for (const auto &[rank, entry] : m_entries) {
        ids.push_back(entry.id);
    }
    m_entries.clear();
    m_work = Duration(0);
    return ids;
}

Duration RankedQueue::workBefore(const QueueRank &rank) const
{
    Duration work{0};
    for (auto entry = m_entries.begin(); entry != m_entries.end() && entry->first < rank; ++entry) {
        work += entry->second.work;
    }
    return work;
}

std::size_t RankedQueue::countBefore(const QueueRank &rank) const
{
    return static_cast<std::size_t>(std::distance(m_entries.begin(), m_entries.lower_bound(rank)));
}

} // namespace nutmeghinge
