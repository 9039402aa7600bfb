#pragma once

#include "units.h"

#include <cstdint>
#include <uv.h>

namespace nutmeghinge {

/**
 * Measures how far an event loop is behind its input. A loop that is busy, or
 * whose process does not get the processor, reads what has arrived only at its next
 * turn; times that count from the arrival would count too late from the reading.
 * Owned by the EventLoop.
 */
class LoopLag
{
public:
    explicit LoopLag(uv_loop_t *loop);
    /** Closes the handles; the loop must run once more afterwards. */
    void close();

    /** Returns the time by which everything that had arrived was handled before the present function was called. */
    MonotonicTime inputHandledUntil(MonotonicTime now);
    /** Returns the number of the loop's present turn. */
    std::uint64_t turn() const { return m_turn; }

    /** Returns the time of the monotonic clock, which includes the time that the machine was suspended. */
    static MonotonicTime now();

private:
    void pollBegins();
    void pollEnded();
    /** Returns the time at which the loop last stopped to wait for input. */
    MonotonicTime waitEnd(MonotonicTime now) const;

    uv_loop_t *m_loop;
    uv_prepare_t m_prepare{};
    uv_check_t m_check{};
    std::uint64_t m_turn = 0;
    /** The loop has begun to wait for input, and calls functions for what has arrived. */
    bool m_polling = false;
    /** Longest time for which the loop meant to wait; negative: without a limit. */
    Duration m_timeout{0};
    MonotonicTime m_pollBegan;
    /** End of the wait of the latest turn whose input was handled completely. */
    MonotonicTime m_handledUntil;
};

} // namespace nutmeghinge
