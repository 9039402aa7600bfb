#include "requestqueue.h"

#include <utility>

namespace nutmeghinge {

std::optional<RequestId> RequestQueue::pop()
{
    if (m_ids.empty()) {
        return std::nullopt;
    }
    const RequestId id = m_ids.front();
    m_ids.pop_front();
    return id;
}

void RequestQueue::remove(RequestId id)
{
    std::erase(m_ids, id);
}

std::deque<RequestId> RequestQueue::takeAll()
{
    return std::exchange(m_ids, {});
}

} // namespace nutmeghinge
