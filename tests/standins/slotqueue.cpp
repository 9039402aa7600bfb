#include "slotqueue.h"

namespace nutmeghinge {

SlotQueue::SlotQueue(std::size_t slots, std::size_t queueLimit)
    : m_slots(slots)
    , m_queueLimit(queueLimit)
{
}

bool SlotQueue::submit(std::function<void()> start)
{
    if (m_running < m_slots) {
        ++m_running;
        start();
        return true;
    }
    if (m_waiting.size() >= m_queueLimit) {
        return false;
    }
    m_waiting.push_back(std::move(start));
    return true;
}

void SlotQueue::release()
{
    if (m_waiting.empty()) {
        --m_running;
        return;
    }
    const std::function<void()> start = std::move(m_waiting.front());
    m_waiting.pop_front();
    start();
}

} // namespace nutmeghinge
