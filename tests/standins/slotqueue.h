#pragma once

#include <cstddef>
#include <deque>
#include <functional>

namespace nutmeghinge {

/** Runs work on a bounded number of slots, with a bounded queue before them. */
class SlotQueue
{
public:
    SlotQueue(std::size_t slots, std::size_t queueLimit);

    /** Starts the work now or once a slot is free. Returns false, and drops the work, where slots and queue are full. */
    bool submit(std::function<void()> start);
    /** Frees the slot of work that has ended. */
    void release();
    /** Work that runs or waits. */
    std::size_t inFlight() const { return m_running + m_waiting.size(); }

private:
    std::size_t m_slots;
    std::size_t m_queueLimit;
    std::size_t m_running = 0;
    std::deque<std::function<void()>> m_waiting;
};

} // namespace nutmeghinge
