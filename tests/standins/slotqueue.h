#pragma once

#include <cstddef>
#include <deque>
#include <functional>

namespace nutmeghinge {

/** Runs work on a limited number of slots. Work that finds no free slot waits in a bounded queue, first in, first out. */
class SlotQueue
{
public:
    SlotQueue(std::size_t slots, std::size_t queueLimit);

    /** Starts the work now or once a slot is free. Returns false and drops the work if all slots are taken and the queue is full. */
    bool submit(std::function<void()> start);
    /** Frees the slot of work that has ended, and starts the first waiting work in it. */
    void release();
    /** Number of work items that run or wait. */
    std::size_t inFlight() const { return m_running + m_waiting.size(); }

private:
    std::size_t m_slots;
    std::size_t m_queueLimit;
    std::size_t m_running = 0;
    std::deque<std::function<void()>> m_waiting;
};

} // namespace nutmeghinge
