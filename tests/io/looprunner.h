#pragma once

#include "eventloop.h"

#include <functional>

namespace nutmeghinge {

/** Runs an event loop until a condition holds. */
class LoopRunner
{
public:
    explicit LoopRunner(EventLoop &loop);
    ~LoopRunner();
    LoopRunner(const LoopRunner &) = delete;
    LoopRunner &operator=(const LoopRunner &) = delete;

    /** Returns whether the condition held within the limit. */
    bool runUntil(const std::function<bool()> &condition, Duration limit = std::chrono::seconds(5));
    void runFor(Duration time);

private:
    EventLoop &m_loop;
    /** Wakes the loop regularly, so that the condition is checked. */
    uv_timer_t *m_timer;
};

} // namespace nutmeghinge
